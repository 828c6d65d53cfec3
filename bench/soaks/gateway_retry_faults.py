"""Phase of the gateway's soak: daemons are killed again and again while workers decline requests.

Each daemon that starts knows nothing of the retries that its predecessor sent a moment before.

Runs after all faults are undone, and undoes its own.

Owns: nothing.
Relies on: :mod:`.gateway_retries` for the check.
"""

import asyncio
import random
import signal

from .gateway_callers import Caller
from .gateway_site import SoakSite

# Share of the requests that each worker declines.
DECLINED_SHARE = 0.7
# Waves of kills, and the time between the start of the killed daemons and the next wave, in which
# they serve their callers again.
WAVES = 3
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 1.5, 2.5
# Time in which the daemons spend their budget before the first wave.
FIRST_PAUSE_SECONDS = 1.0


async def decline_while_daemons_restart(site: SoakSite, callers: list[Caller], seed: int) -> None:
    """Make all workers decline most requests, and kill all daemons but one several times."""
    rng = random.Random(f"retries {seed}")
    for worker in site.workers.values():
        worker.declined_share = DECLINED_SHARE
    calls = [asyncio.create_task(caller.run(float("inf"))) for caller in callers]
    try:
        await asyncio.sleep(FIRST_PAUSE_SECONDS)
        for _ in range(WAVES):
            await _restart_all_but_one(site, rng)
            await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
    finally:
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        for worker in site.workers.values():
            worker.declined_share = 0.0


async def _restart_all_but_one(site: SoakSite, rng: random.Random) -> None:
    killed = rng.sample(site.daemons, len(site.daemons) - 1)
    await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in killed))
    await asyncio.gather(*(site.start_daemon(daemon) for daemon in killed))
