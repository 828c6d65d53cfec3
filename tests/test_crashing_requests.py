"""A request that ends each endpoint which begins to run it, sent again and again by its caller.

On a site of eight daemons one such request ended 26 leaders of groups, and a second one 22: each
try of it was sent to two endpoints, each time its caller tried again all counts began anew, and no
daemon told the others. The lines of one try: "request_sent" to its first endpoint, 0.220 s later
"attempt_failed" with "answer cut: ClientPayloadError" and sends=1, 0.3 ms later "request_sent" to
the next endpoint, there "answer cut: ClientPayloadError" again with sends=2, and "request_refused"
with 502. The same request came back every 2.5 to 5 s, at any daemon, and ended two more each time.
"""

import pytest

from .test_gateway import events
from .test_gateway import site

FATAL = b"a request that ends its endpoints"
DAEMONS = 3
GROUPS = 8
TRIES = 12
# endpoints that such a request may end at most
LIMIT = 3


@pytest.mark.parametrize("head", [True, False], ids=["after an event", "before the head"])
async def test_request_that_ends_its_endpoints_is_kept_from_the_others(tmp_path, head):
    async with site(tmp_path, domains=GROUPS, daemons=DAEMONS) as made:
        for worker in made.workers:
            worker.crash_trigger = FATAL
            worker.events_before_crash = 1 if head else 0
        for number in range(TRIES):
            await made.try_fatal(FATAL, number)
        # one that is never seen to begin may only have waited; it counts half
        allowed = LIMIT if head else 2 * LIMIT
        assert sum(worker.crashes for worker in made.workers) <= allowed
        # other requests of the same caller are served at each daemon
        for daemon in range(DAEMONS):
            status, _, body = await made.chat(daemon=daemon, number=f"other-{daemon}")
            assert (status, body) == (200, events(1, 2, 3, 4, 5))
