"""The bounds of all listeners that others than daemons connect to.

Owns: the bounds of each listener; what is shared between them.
Relies on: the settings for the limits of the process.
"""

import typing as t

from ..metrics import Metrics
from ..settings import GatewaySettings
from ..store.serving import Limits
from .bounded_log import BoundedLog
from .expiry import ConnectionExpiry
from .limits import process_limits
from .listener_bounds import ListenerBounds
from .loop_turns import LoopTurns


class CallerBounds:
    """What callers, the load balancer and readers of metrics may take.

    Each has connections of its own, so that none keeps the others out.

    :param limits: returns the limits on requests in force.
    :ivar memory: bytes that this process may use.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        limits: t.Callable[[], Limits],
        clock: t.Callable[[], float],
    ) -> None:
        process = process_limits(settings.memory, settings.descriptors)
        self.memory = process.memory
        self._log = BoundedLog(clock)
        self._turns = LoopTurns(clock)

        def bounds(name: str, connections: int) -> ListenerBounds:
            return ListenerBounds(
                name, connections, process.pending_bytes, limits, self._turns, self._log, clock
            )

        self.callers = bounds("callers", process.caller_connections)
        self.readiness = bounds("readiness", process.service_connections)
        self.metrics = bounds("metrics", process.service_connections)
        self.expiry = ConnectionExpiry((self.callers, self.readiness, self.metrics))

    def add_metrics(self, metrics: Metrics) -> None:
        """Add the metrics of the bounds."""
        metrics.gauge("caller_connections", "Open", lambda: len(self.callers.table))
        metrics.gauge(
            "caller_bytes_pending", "Heads and what waits", lambda: self.callers.pending.held
        )
        metrics.gauge(
            "caller_turns_deferred", "Since the start", lambda: float(self._turns.deferred)
        )
        metrics.add_bounded(self._log.totals)
