"""Faults of the gateway's soak: workers that announce rate limits to all daemons.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: nothing; each limit ends by itself.
Relies on: :mod:`.gateway_limits` for the checks.
"""

import asyncio
import random

from .gateway_troubles import GatewaySoak
from .gateway_workers import SoakWorker

# Workers of a service that stay without a limit, so that most requests are served.
MIN_UNLIMITED_WORKERS = 1
# Values of the Server-Limit header; the last one is invalid.
LIMIT_VALUES = ("0.1", "0.5", "1", "1.3 ", "3", "0", "1,3")


async def inject_limits(soak: GatewaySoak, seed: int) -> None:
    """Make random workers announce limits until the end of the run."""
    rng = random.Random(f"limits {seed}")
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        candidates = [
            worker for worker in soak.site.workers.values() if _can_announce_limit(worker)
        ]
        chosen = rng.choice(candidates) if candidates else None
        same_service = [
            worker for worker in candidates if chosen and worker.service == chosen.service
        ]
        if chosen is None or len(same_service) <= MIN_UNLIMITED_WORKERS:
            continue
        soak.counts["trouble limit"] += 1
        limit = _announce_limit(soak, chosen, rng.choice(LIMIT_VALUES), rng.uniform(5.0, 10.0))
        tasks.append(asyncio.create_task(limit))
    await asyncio.gather(*tasks)


def _can_announce_limit(worker: SoakWorker) -> bool:
    return (
        worker.is_available
        and worker.limit is None
        and (worker.is_serving_leader or not worker.domain)
    )


async def _announce_limit(
    soak: GatewaySoak, worker: SoakWorker, limit: str, seconds: float
) -> None:
    """Make a worker announce a limit for some time, at most until the end of the run."""
    born, worker.limit = worker.born, limit
    soak.site.limits.set_limit(worker.id, limit)
    seconds_left = soak.ends_at - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(seconds, seconds_left)))
    if worker.born == born:
        worker.limit = None
        soak.site.limits.clear_limit(worker.id)
