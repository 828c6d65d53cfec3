"""Measures what an endpoint whose answers have no end costs real gateways and their callers.

``bin/bench endless_answers [--kind=repeatable] [--older=CHECKOUT]`` prints a row for each form.

Owns: the site of each measurement.
Relies on: the site of the gateway's soak, without its faults.
"""

import asyncio
import collections
import logging
import pathlib
import random
import tempfile

import aiohttp
import fire

from thorncleat_standins import endless

from .soaks import gateway_upgrade
from .soaks.gateway import wait_until_serving
from .soaks.gateway_callers import Caller
from .soaks.gateway_checks import RequestKind
from .soaks.gateway_endless_faults import peak_memory_bytes
from .soaks.gateway_retries import RETRY_WINDOW_SECONDS
from .soaks.gateway_site import PATHS
from .soaks.gateway_site import SERVICES
from .soaks.gateway_site import SoakSite
from .soaks.gateway_workers import SoakWorker

DAEMONS = 2
CALLERS = 8
MEASURED_SECONDS = 8.0
# Until then a daemon that has just started has no share of the fixed number of retries.
WARM_UP_SECONDS = RETRY_WINDOW_SECONDS + 3.0
SMALL_PIECE_INTERVAL_SECONDS = 0.05


def _endless_worker(site: SoakSite, kind: RequestKind) -> SoakWorker:
    """Return a worker that gets requests of a kind: a leader or a plain endpoint."""
    workers = (worker for worker in site.workers.values() if worker.service == SERVICES[kind])
    return next(worker for worker in workers if not worker.domain or worker.is_serving_leader)


def _peaks_mb(site: SoakSite) -> list[int]:
    processes = [daemon.process for daemon in site.daemons if daemon.process is not None]
    return [peak_memory_bytes(process.process.pid) >> 20 for process in processes]


async def _call_until(
    site: SoakSite, caller: Caller, kind: RequestKind, ends_at: float
) -> collections.Counter[str]:
    """Send requests of one kind one after the other; return how they ended."""
    ends: collections.Counter[str] = collections.Counter()
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while asyncio.get_running_loop().time() < ends_at:
            daemon = caller.rng.choice(site.daemons)
            exchange = await caller.call(client, daemon, kind, site.valid_keys[0])
            whole = "whole" if exchange.is_complete else "not whole"
            ends[f"{exchange.status or 'no answer'} {whole}"] += 1
    return ends


async def _measure(kind: RequestKind, form: str, older: str) -> str:
    """Return a row: the growth of the gateways, and how the requests ended."""
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as directory:
        site = SoakSite(pathlib.Path(directory), DAEMONS, gateway_upgrade.program_of(older))
        try:
            await site.start()
            await wait_until_serving(site)
            await asyncio.sleep(WARM_UP_SECONDS)
            for sound in site.workers.values():
                sound.connection_faults.is_active = False
            before = _peaks_mb(site)
            worker = _endless_worker(site, kind)
            worker.paths, worker.form = (PATHS[kind],), form
            worker.interval = SMALL_PIECE_INTERVAL_SECONDS if "small" in form else 0.0
            callers = [
                Caller(site, f"c{number}", random.Random(number)) for number in range(CALLERS)
            ]
            ends_at = asyncio.get_running_loop().time() + MEASURED_SECONDS
            ends = await asyncio.gather(
                *(_call_until(site, caller, kind, ends_at) for caller in callers)
            )
            after = _peaks_mb(site)
        finally:
            await site.stop()
    growth = ", ".join(f"+{new - old}" for old, new in zip(before, after, strict=True))
    total = sum(ends, collections.Counter[str]())
    shown = ", ".join(f"{count} {end}" for end, count in sorted(total.items()))
    return f"{form} | {growth} MB | {worker.answers} at the endpoint | {shown}"


def main(kind: str = RequestKind.REPEATABLE.value, form: str = "", older: str = "") -> None:
    """Print a row for each form.

    :param kind: of the requests.
    :param form: one form; all if empty.
    :param older: checkout of another build to measure; empty for this one.
    """
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    for name in [form] if form else sorted(endless.FORMS):
        print(asyncio.run(_measure(RequestKind(kind), name, older)), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
