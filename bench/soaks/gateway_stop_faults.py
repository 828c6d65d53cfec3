"""Phase of the gateway's soak: workers stand still, and decline most requests once they go on.

What was sent to them meanwhile waits at their proxies as in a kernel, and reaches them then, also
if its connection was reset. Daemons are killed while it waits.

Runs after all faults are undone, and undoes its own.

Owns: nothing.
Relies on: :mod:`.gateway_retries` for the check.
"""

import asyncio
import random
import signal

import aiohttp

from .gateway_callers import KINDS
from .gateway_callers import Caller
from .gateway_retries import RETRY_WINDOW_SECONDS
from .gateway_site import SoakSite
from .proxy import Mode

# Until a daemon has run for this long, it has no share of the fixed number of retries.
SHARE_SECONDS = RETRY_WINDOW_SECONDS + 3.5
# Requests of all callers together, few enough for the fixed number to matter.
REQUESTS_PER_SECOND = 20
# Bounds of the time for which the workers stand still.
MIN_STOP_SECONDS, MAX_STOP_SECONDS = 5.0, 9.0
# Share of the requests that each worker declines from then on, and for how long.
DECLINED_SHARE = 0.8
DECLINING_SECONDS = RETRY_WINDOW_SECONDS
# Share of the phases in which some daemons are killed while the workers stand still.
KILLED_SHARE = 0.5


async def stop_workers(site: SoakSite, callers: list[Caller], seed: int) -> None:
    """Make workers stand still and go on while requests are sent at a steady rate."""
    rng = random.Random(f"stops {seed}")
    calls = asyncio.create_task(_send_steadily(site, callers))
    try:
        await asyncio.sleep(_seconds_until_shared(site))
        await _stop(site, rng)
        for worker in site.workers.values():
            worker.declined_share = DECLINED_SHARE
        await asyncio.sleep(DECLINING_SECONDS)
    finally:
        calls.cancel()
        await asyncio.gather(calls, return_exceptions=True)
        for worker in site.workers.values():
            worker.declined_share = 0.0


def _seconds_until_shared(site: SoakSite) -> float:
    """Return the seconds until each daemon has run for :data:`SHARE_SECONDS`."""
    started_at = max(daemon.started_at for daemon in site.daemons)
    return max(0.0, started_at + SHARE_SECONDS - asyncio.get_running_loop().time())


async def _stop(site: SoakSite, rng: random.Random) -> None:
    """Make all workers stand still for a while, and kill some daemons meanwhile or not."""
    stopped = [worker for worker in site.workers.values() if worker.is_available]
    seconds = rng.uniform(MIN_STOP_SECONDS, MAX_STOP_SECONDS)
    for worker in stopped:
        assert worker.proxy is not None
        worker.proxy.mode = Mode.SILENCE
    try:
        await asyncio.sleep(seconds / 2)
        if rng.random() < KILLED_SHARE:
            await _restart_some(site, rng)
        await asyncio.sleep(seconds / 2)
    finally:
        for worker in stopped:
            assert worker.proxy is not None
            worker.proxy.mode = Mode.PASS


async def _restart_some(site: SoakSite, rng: random.Random) -> None:
    killed = rng.sample(site.daemons, rng.randint(1, len(site.daemons) - 1))
    await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in killed))
    await asyncio.gather(*(site.start_daemon(daemon) for daemon in killed))


async def _send_steadily(site: SoakSite, callers: list[Caller]) -> None:
    """Send requests at a rate, whether or not earlier ones are answered."""
    async with (
        aiohttp.ClientSession(auto_decompress=False) as client,
        asyncio.TaskGroup() as calls,
    ):
        number = 0
        while True:
            caller = callers[number % len(callers)]
            daemon = caller.rng.choice(site.daemons)
            kind = KINDS[number % len(KINDS)]
            calls.create_task(caller.call(client, daemon, kind, site.valid_keys[0]))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
