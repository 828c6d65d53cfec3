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
from .gateway_notices import is_heard

if t.TYPE_CHECKING:
    from .gateway_daemons import Daemon
    from .gateway_troubles import GatewaySoak
    from .gateway_workers import SoakWorker

# workers of a service that name none, so that most requests are still served
LEAST_FREE = 1
# as workers write them; the last one can't be read
LIMITS = ("0.1", "0.5", "1", "1.3 ", "3", "0", "1,3")


@dataclasses.dataclass
class _Limit:
    """A limit that a worker names.

    :param named_at: when it first did, on the loop's clock; infinite before.
    :ivar told_at: when each daemon was told first, or first since it was disturbed.
    """

    figure: float
    named_at: float = float("inf")
    told_at: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals: list[float] = dataclasses.field(default_factory=list)


class LimitChecks:
    """Checks what reaches workers against the limits that they name."""

    def __init__(self, faults: list[str], counts: collections.Counter[str]) -> None:
        self._faults = faults
        self._counts = counts
        self._limits: dict[str, _Limit] = {}

    def begin(self, worker_id: str, limit: str) -> None:
        """Note that a worker names a limit from now on; one that can't be read binds nobody."""
        if limit.strip().replace(".", "").isdigit():
            self._limits[worker_id] = _Limit(float(limit))

    def end(self, worker_id: str) -> None:
        """Note that a worker names none any more, or starts anew."""
        self._limits.pop(worker_id, None)

    def arrived(self, worker: "SoakWorker", daemon: "Daemon", request: str) -> None:
        """Check a request that reached a worker, whose answer names its limit at once."""
        limit = self._limits.get(worker.id)
        if limit is None or not daemon.reads_limits:
            return
        now = asyncio.get_running_loop().time()
        told_at = limit.told_at.get(daemon.name, float("inf"))
        if now > told_at + limit_rule.NOTICE_GRACE_SECONDS and daemon.interrupted_at < told_at:
            self._count(worker, limit, request, now)
        if is_heard(worker):
            limit.named_at = min(limit.named_at, now)
            if daemon.interrupted_at >= limit.told_at.get(daemon.name, float("-inf")):
                limit.told_at[daemon.name] = now

    def _count(self, worker: "SoakWorker", limit: _Limit, request: str, now: float) -> None:
        if now < limit.named_at + limit_rule.FIRST_NOTICE_GRACE_SECONDS:
            return
        self._counts["requests at a limit"] += 1
        limit.arrivals.append(now)
        got = sum(at > now - limit_rule.WINDOW_SECONDS for at in limit.arrivals)
        if got > limit_rule.max_allowed_in_window(limit.figure):
            self._faults.append(
                f"LIMIT {request} reached {worker.id}, which takes {limit.figure} a second, as "
                f"number {got} in {limit_rule.WINDOW_SECONDS} s"
            )


async def play(soak: "GatewaySoak", seed: int) -> None:
    """Let workers name limits, some at once, until the time is up."""
    draw = random.Random(f"limits {seed}")
    under_way: list[asyncio.Task[None]] = []
    while not soak.over:
        await asyncio.sleep(draw.uniform(0.2, 1.5))
        free = [worker for worker in soak.site.workers.values() if _may_name_a_limit(worker)]
        chosen = draw.choice(free) if free else None
        others = [worker for worker in free if chosen and worker.service == chosen.service]
        if chosen is None or len(others) <= LEAST_FREE:
            continue
        soak.counts["trouble limit"] += 1
        limit = _name_limit(soak, chosen, draw.choice(LIMITS), draw.uniform(5.0, 10.0))
        under_way.append(asyncio.create_task(limit))
    await asyncio.gather(*under_way)


def _may_name_a_limit(worker: "SoakWorker") -> bool:
    return worker.takes_work and worker.limit is None and (worker.leads or not worker.domain)


async def _name_limit(
    soak: "GatewaySoak", worker: "SoakWorker", limit: str, seconds: float
) -> None:
    """Let a worker name a limit for some time, for the time that is left at most."""
    born, worker.limit = worker.born, limit
    soak.site.limits.begin(worker.id, limit)
    left = soak.end - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(seconds, left)))
    if worker.born == born:
        worker.limit = None
        soak.site.limits.end(worker.id)
