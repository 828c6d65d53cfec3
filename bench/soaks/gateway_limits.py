"""Checks that daemons respect the rate limits that workers announce to all of them.

Owns: the announced limits and the requests that reached limited workers.
Relies on: callers to record the daemon of each request.
"""

import asyncio
import collections
import dataclasses

from .. import limit_rule
from .gateway_checks import ObservedWorker
from .gateway_daemons import Daemon
from .gateway_notices import is_reachable


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

    def check_arrival(self, worker: ObservedWorker, daemon: Daemon, request: str) -> None:
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

    def _count_arrival(
        self, worker: ObservedWorker, limit: _Limit, request: str, now: float
    ) -> None:
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
