"""Workers of the gateway's soak that take few requests from all daemons together.

A trouble of its own, as in :mod:`.gateway_notices`, so that kept seeds draw what they drew.

Owns: what reached each worker while it named a limit, and whom it had told.
Relies on: callers noting at which daemon each request was sent.
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

# workers of a service that name none, so that most requests are still served
MIN_UNLIMITED_WORKERS = 1
# as workers write them; the last one can't be read
LIMIT_VALUES = ("0.1", "0.5", "1", "1.3 ", "3", "0", "1,3")


@dataclasses.dataclass
class _Limit:
    """A limit that a worker names.

    :param named_at: when it first did, on the loop's clock; infinite before.
    :ivar told_at: when each daemon was told first, or first since it was disturbed.
    """

    requests_per_second: float
    announced_at: float = float("inf")
    reported_at: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals: list[float] = dataclasses.field(default_factory=list)


class LimitChecks:
    """Checks what reaches workers against the limits that they name."""

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        self._limits: dict[str, _Limit] = {}

    def set_limit(self, worker_id: str, limit: str) -> None:
        """Note that a worker names a limit from now on; one that can't be read binds nobody."""
        if limit.strip().replace(".", "").isdigit():
            self._limits[worker_id] = _Limit(float(limit))

    def clear_limit(self, worker_id: str) -> None:
        """Note that a worker names none any more, or starts anew."""
        self._limits.pop(worker_id, None)

    def check_arrival(self, worker: "SoakWorker", daemon: "Daemon", request: str) -> None:
        """Check a request that reached a worker, whose answer names its limit at once."""
        limit = self._limits.get(worker.id)
        if limit is None or not daemon.reads_limits:
            return
        now = asyncio.get_running_loop().time()
        reported_at = limit.reported_at.get(daemon.name, float("inf"))
        if now > reported_at + limit_rule.TOLD_SECONDS and daemon.interrupted_at < reported_at:
            self._count_arrival(worker, limit, request, now)
        if is_reachable(worker):
            limit.announced_at = min(limit.announced_at, now)
            if daemon.interrupted_at >= limit.reported_at.get(daemon.name, float("-inf")):
                limit.reported_at[daemon.name] = now

    def _count_arrival(self, worker: "SoakWorker", limit: _Limit, request: str, now: float) -> None:
        if now < limit.announced_at + limit_rule.KNOWN_SECONDS:
            return
        self._counts["requests at a limit"] += 1
        limit.arrivals.append(now)
        arrivals_in_span = sum(at > now - limit_rule.SPAN_SECONDS for at in limit.arrivals)
        if arrivals_in_span > limit_rule.allowed(limit.requests_per_second):
            self._violations.append(
                f"LIMIT {request} reached {worker.id}, which takes {limit.requests_per_second} a second, as "
                f"number {arrivals_in_span} in {limit_rule.SPAN_SECONDS} s"
            )


async def inject_limits(soak: "GatewaySoak", seed: int) -> None:
    """Let workers name limits, some at once, until the time is up."""
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
    return worker.is_available and worker.limit is None and (worker.leads or not worker.domain)


async def _announce_limit(
    soak: "GatewaySoak", worker: "SoakWorker", limit: str, seconds: float
) -> None:
    """Let a worker name a limit for some time, for the time that is left at most."""
    born, worker.limit = worker.born, limit
    soak.site.limits.set_limit(worker.id, limit)
    seconds_left = soak.ends_at - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(seconds, seconds_left)))
    if worker.born == born:
        worker.limit = None
        soak.site.limits.clear_limit(worker.id)
