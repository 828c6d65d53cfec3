"""Rate limits that workers of the gateway's soak announce to all daemons, and their checks.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: the announced limits and the requests that reached limited workers.
Relies on: callers to record the daemon of each request.
"""

import asyncio
import collections
import dataclasses
import random
import typing as t

from .. import limit_rule
from .gateway_notices import is_reachable

if t.TYPE_CHECKING:
    from .gateway_daemons import Daemon
    from .gateway_troubles import GatewaySoak
    from .gateway_workers import SoakWorker

# Workers of a service that stay without a limit, so that most requests are served.
MIN_UNLIMITED_WORKERS = 1
# Values of the Server-Limit header; the last one is invalid.
LIMIT_VALUES = ("0.1", "0.5", "1", "1.3 ", "3", "0", "1,3")


@dataclasses.dataclass
class _Limit:
    """A limit that a worker announces. Times are on the loop's clock, in seconds.

    :param announced_at: time of the first announcement; infinite before.
    :param reported_at: time of the first announcement to each daemon since its latest
        interruption.
    :param arrivals: times of the checked requests.
    """

    requests_per_second: float
    announced_at: float = float("inf")
    reported_at: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals: list[float] = dataclasses.field(default_factory=list)


class LimitChecks:
    """Checks the rates at which requests reach workers against their limits.

    :param violations: receives descriptions of broken promises.
    :param counts: counters of the report.
    """

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        self._limits: dict[str, _Limit] = {}

    def set_limit(self, worker_id: str, limit: str) -> None:
        """Record that a worker announces a limit from now on; invalid limits are ignored."""
        if limit.strip().replace(".", "").isdigit():
            self._limits[worker_id] = _Limit(float(limit))

    def clear_limit(self, worker_id: str) -> None:
        """Record that a worker announces no limit any longer."""
        self._limits.pop(worker_id, None)

    def check_arrival(self, worker: "SoakWorker", daemon: "Daemon", request: str) -> None:
        """Check a request that reached a worker, whose answer announces its limit."""
        limit = self._limits.get(worker.id)
        if limit is None or not daemon.reads_limits:
            return
        now = asyncio.get_running_loop().time()
        reported_at = limit.reported_at.get(daemon.name, float("inf"))
        if (
            now > reported_at + limit_rule.NOTICE_GRACE_SECONDS
            and daemon.interrupted_at < reported_at
        ):
            self._count_arrival(worker, limit, request, now)
        if is_reachable(worker):
            limit.announced_at = min(limit.announced_at, now)
            if daemon.interrupted_at >= limit.reported_at.get(daemon.name, float("-inf")):
                limit.reported_at[daemon.name] = now

    def _count_arrival(self, worker: "SoakWorker", limit: _Limit, request: str, now: float) -> None:
        if now < limit.announced_at + limit_rule.FIRST_NOTICE_GRACE_SECONDS:
            return
        self._counts["requests at a limit"] += 1
        limit.arrivals.append(now)
        arrivals_in_span = sum(at > now - limit_rule.WINDOW_SECONDS for at in limit.arrivals)
        if arrivals_in_span > limit_rule.max_allowed_in_window(limit.requests_per_second):
            self._violations.append(
                f"LIMIT {request} reached {worker.id}, which takes "
                f"{limit.requests_per_second} a second, as number {arrivals_in_span} in "
                f"{limit_rule.WINDOW_SECONDS} s"
            )


async def inject_limits(soak: "GatewaySoak", seed: int) -> None:
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


def _can_announce_limit(worker: "SoakWorker") -> bool:
    return (
        worker.is_available
        and worker.limit is None
        and (worker.is_serving_leader or not worker.domain)
    )


async def _announce_limit(
    soak: "GatewaySoak", worker: "SoakWorker", limit: str, seconds: float
) -> None:
    """Make a worker announce a limit for some time, at most until the end of the run."""
    born, worker.limit = worker.born, limit
    soak.site.limits.set_limit(worker.id, limit)
    seconds_left = soak.ends_at - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(seconds, seconds_left)))
    if worker.born == born:
        worker.limit = None
        soak.site.limits.clear_limit(worker.id)
