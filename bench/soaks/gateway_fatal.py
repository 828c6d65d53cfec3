"""Last phase of the gateway's soak: requests that crash each endpoint that runs them.

First requests of which no two are alike, but whose prompts share a fatal part; then one request
that comes again and again.

Runs after all faults are undone, when daemons must share what they know of crashes.

Owns: the attempts of the requests.
Relies on: workers that crash on its body and restart under the same id with another ``born``.
"""

import asyncio

import aiohttp

from .gateway_callers import Caller
from .gateway_checks import RequestKind
from .gateway_site import SoakSite
from .gateway_workers import FATAL_BODY

ATTEMPTS = 10
# Mean pause between two attempts.
MEAN_PAUSE_SECONDS = 0.3
# Three crashes cause a quarantine; a fourth may happen before all daemons know of the third.
MAX_CRASHES = 4
# Four crashes show a fatal part, each request may have two attempts, and of two daemons one request
# is let through later.
MAX_PART_CRASHES = 4 * 2 + 2
FATAL_PROMPT = "5c1e:40,dead:120"
SHARED_PROMPT = "5c1e:40"


async def send_fatal_requests(site: SoakSite, caller: Caller) -> None:
    """Send the fatal request to random daemons, then check that other requests are served."""
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
            site.checks.violations.append(f"BUDGET a request crashed {crashes} endpoints")
        await _check_other_requests(site, caller, client)


async def send_fatal_parts(site: SoakSite, caller: Caller) -> None:
    """Send requests that share a fatal part, then check that others are served."""
    crashes_before = sum(worker.crashes for worker in site.workers.values())
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        for number in range(2 * ATTEMPTS):
            await caller.call(
                client,
                caller.rng.choice(site.daemons),
                RequestKind.STREAM,
                site.valid_keys[0],
                body=FATAL_BODY + b" %d" % number,
                prompt=f"{FATAL_PROMPT},{number:06x}:20",
            )
            await asyncio.sleep(caller.rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        crashes = sum(worker.crashes for worker in site.workers.values()) - crashes_before
        site.checks.counts["endpoints ended by a fatal part"] += crashes
        if crashes > MAX_PART_CRASHES:
            site.checks.violations.append(f"BUDGET a part of prompts crashed {crashes} endpoints")
        await _check_other_requests(site, caller, client, f"{SHARED_PROMPT},ffffff:20")


async def _check_other_requests(
    site: SoakSite, caller: Caller, client: aiohttp.ClientSession, prompt: str = ""
) -> None:
    for daemon in site.daemons:
        exchange = await caller.call(
            client, daemon, RequestKind.STREAM, site.valid_keys[0], prompt=prompt
        )
        if exchange.status == 429:
            site.checks.violations.append(f"HELD {exchange.id}, which crashed no endpoint")
