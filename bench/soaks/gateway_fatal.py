"""The last phase of the gateway's soak: a request that ends each endpoint which runs it.

All faults are undone by then, so every daemon has to know what the others have seen. It is no
trouble among the others, since a further one would change what each seed draws.

Owns: the tries of one such request.
Relies on: workers that crash on a marked body and are back under their id, with another ``born``.
"""

import asyncio

import aiohttp

from .gateway_callers import Caller
from .gateway_checks import RequestKind
from .gateway_site import SoakSite
from .gateway_workers import FATAL_BODY

ATTEMPTS = 10
# on average between two tries: some come at once, some after a worker is back
MEAN_PAUSE_SECONDS = 0.3
# that all daemons in touch may let through: three, and one whose word was under way
MAX_CRASHES = 4


async def send_fatal_requests(site: SoakSite, caller: Caller) -> None:
    """Send the request to daemons at random, and others beside it."""
    crashes_before = sum(worker.crashes for worker in site.workers.values())
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        for _ in range(ATTEMPTS):
            daemon = caller.rng.choice(site.daemons)
            await caller.call(
                client, daemon, RequestKind.STREAM, site.valid_keys[0], body=FATAL_BODY
            )
            await asyncio.sleep(caller.rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        crashes = sum(worker.crashes for worker in site.workers.values()) - crashes_before
        site.checks.counts["endpoints ended by a fatal request"] += crashes
        if crashes > MAX_CRASHES:
            site.checks.violations.append(f"BUDGET a request ended {crashes} endpoints")
        await _check_other_requests(site, caller, client)


async def _check_other_requests(
    site: SoakSite, caller: Caller, client: aiohttp.ClientSession
) -> None:
    for daemon in site.daemons:
        exchange = await caller.call(client, daemon, RequestKind.STREAM, site.valid_keys[0])
        if exchange.status == 429:
            site.checks.violations.append(f"HELD {exchange.id}, which ended nothing")
