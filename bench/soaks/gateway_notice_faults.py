"""Faults of the gateway's soak: workers that ask for a pause or announce that they leave.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: nothing; a pause ends by itself, and a worker that leaves is replaced.
Relies on: :mod:`.gateway_notices` for the checks.
"""

import asyncio
import random

from .gateway_notices import DRAIN_SECONDS
from .gateway_site import SoakSite
from .gateway_troubles import GatewaySoak
from .gateway_workers import SoakWorker

# Values of the Retry-After header; the last two are invalid.
RETRY_AFTER_VALUES = ("0.4", "1", "2.5", "3", "", "soon")
# Share of the faults that make a worker refuse requests; the others make it leave.
TURN_AWAY_SHARE = 0.6
# Workers of a service that stay unaffected.
MIN_ACCEPTING_WORKERS = 1


async def inject_notices(soak: GatewaySoak, seed: int) -> None:
    """Make random workers refuse requests or leave until the end of the run."""
    rng = random.Random(f"notices {seed}")
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.2))
        accepting = [worker for worker in soak.site.workers.values() if worker.is_accepting]
        chosen = rng.choice(accepting)
        if sum(worker.service == chosen.service for worker in accepting) <= MIN_ACCEPTING_WORKERS:
            continue
        inject_fault = _turn_away if rng.random() < TURN_AWAY_SHARE else _leave
        soak.counts[f"trouble {inject_fault.__name__.strip('_')}"] += 1
        seconds = rng.uniform(0.3, 2.5)
        tasks.append(asyncio.create_task(inject_fault(soak.site, chosen, rng, seconds)))
    await asyncio.gather(*tasks)


async def _turn_away(
    _site: SoakSite, worker: SoakWorker, rng: random.Random, seconds: float
) -> None:
    """Make a worker refuse all requests for some time."""
    born, worker.refusal_retry_after = worker.born, rng.choice(RETRY_AFTER_VALUES)
    await asyncio.sleep(seconds)
    if worker.born == born:
        worker.refusal_retry_after = None


async def _leave(site: SoakSite, worker: SoakWorker, _rng: random.Random, seconds: float) -> None:
    """Make a worker leave that announces it in its answers, and only later in its entry."""
    born, worker.leaving = worker.born, True
    await site.add_worker(worker.service, worker.domain)
    await asyncio.sleep(seconds)
    if worker.is_alive and worker.born == born:
        worker.draining = True
        worker.publish()
    await asyncio.sleep(DRAIN_SECONDS)
    if worker.is_alive and worker.born == born:
        await worker.crash()
