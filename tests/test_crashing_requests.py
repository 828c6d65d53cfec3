"""A request that crashes each endpoint which begins to run it, and that its caller retries.

Guards against retries that crash endpoint after endpoint.
"""

import pytest

from .test_gateway import events
from .test_gateway import site

FATAL = b"a request that ends its endpoints"
DAEMONS = 3
GROUPS = 8
TRIES = 12
# Endpoints that such a request may crash.
MAX_CRASHES = 3


@pytest.mark.parametrize("head", [True, False], ids=["after an event", "before the head"])
async def test_fatal_request_is_quarantined(tmp_path, head):
    async with site(tmp_path, domains=GROUPS, daemons=DAEMONS) as made:
        for worker in made.workers:
            worker.crash_trigger = FATAL
            worker.events_before_crash = 1 if head else 0
        for number in range(TRIES):
            await made.try_fatal(FATAL, number)
        # A request that never began to answer may only have waited, so its crashes count half.
        allowed = MAX_CRASHES if head else 2 * MAX_CRASHES
        assert sum(worker.crashes for worker in made.workers) <= allowed
        # Other requests of the same caller are served by each daemon.
        for daemon in range(DAEMONS):
            status, _, body = await made.chat(daemon=daemon, number=f"other-{daemon}")
            assert (status, body) == (200, events(1, 2, 3, 4, 5))
