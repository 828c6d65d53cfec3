"""A part of a prompt that crashes each endpoint, in requests of which no two are alike.

Guards against crashes that are put down to whole requests only.
"""

import pytest

from .test_gateway import events
from .test_gateway import site

FATAL = b"a part that ends its endpoints"
FATAL_PART = "dead01"
SHARED_PART = "5c1e07"
DAEMONS = 3
GROUPS = 8
TRIES = 12
# Three crashes show the part; the request of each has two attempts.
MAX_CRASHES = 6


def _prompt(*parts: str) -> dict[str, str]:
    return {"X-Thorncleat-Prompt-Prefix": ",".join(f"{part}:40" for part in parts)}


@pytest.mark.parametrize("position", ["first", "second"])
async def test_requests_with_a_fatal_part_are_quarantined(tmp_path, position):
    async with site(tmp_path, domains=GROUPS, daemons=DAEMONS) as made:
        for worker in made.workers:
            worker.crash_trigger = FATAL
            worker.events_before_crash = 1
        for number in range(TRIES):
            shared = [FATAL_PART, SHARED_PART]
            parts = shared if position == "first" else shared[::-1]
            body = FATAL + b" %d" % number
            await made.try_fatal(body, number, **_prompt(*parts, f"{number:06x}"))
        assert sum(worker.crashes for worker in made.workers) <= MAX_CRASHES
        # Requests that share the other part are served by each daemon.
        for daemon in range(DAEMONS):
            status, _, body = await made.chat(
                daemon=daemon, number=f"other-{daemon}", **_prompt(SHARED_PART, f"{daemon:06x}")
            )
            assert (status, body) == (200, events(1, 2, 3, 4, 5))
