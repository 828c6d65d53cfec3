"""Checks of the soak with pauses: nothing that sound workers run may be ended.

Owns: the runs, the orders to leave, the deaths and the planned stops of one seed.
Relies on: :class:`~bench.soaks.gateway_checks.Exchange` for what callers observe.
"""

import collections
import dataclasses
import typing as t

from .gateway_checks import Exchange
from .gateway_daemons import GRACE_PERIOD_SECONDS
from .worker_processes import Leave
from .worker_processes import RunStart

# A death excuses the requests that its group runs from this time before they are sent.
CONTACT_SECONDS = 3.0
# An unanswered request that no worker ran isn't lost if its connection ends this soon: the
# daemon's end of the connection can have crossed it.
LOSS_SLACK_SECONDS = 0.2
# Share of its route's timeout from which a request may end without an answer.
SPENT_SHARE = 0.7
# A planned stop may cut a request in the last sixth of the grace period, if it was sent no later
# than this time after the order.
LATE_REQUEST_SECONDS = 3.0
LATE_IN_GRACE_SECONDS = GRACE_PERIOD_SECONDS * 5 / 6


@dataclasses.dataclass(frozen=True)
class Death:
    """The death of a worker.

    :param epoch: epoch of its group; 0 for none.
    :param at: on the loop's clock, in seconds.
    """

    worker: str
    epoch: int
    at: float


class PauseChecks:
    """Judges the exchanges and the orders to leave of one seed.

    :param route_timeout_seconds: the shortest timeout that the route ever has.
    :ivar leaves: the orders to leave that workers followed.
    """

    def __init__(self, route_timeout_seconds: float) -> None:
        self._spent_seconds = SPENT_SHARE * route_timeout_seconds
        self._runs: dict[str, list[RunStart]] = collections.defaultdict(list)
        self._deaths: list[Death] = []
        # By the daemon's name.
        self._stops: dict[str, list[float]] = collections.defaultdict(list)
        self.leaves: list[Leave] = []

    def record_run(self, run: RunStart) -> None:
        """Record the start of a run."""
        self._runs[run.id].append(run)

    def record_leave(self, leave: Leave) -> None:
        """Record that a worker followed an order to leave."""
        self.leaves.append(leave)

    def record_death(self, death: Death) -> None:
        """Record that a worker died."""
        self._deaths.append(death)

    def record_stop(self, daemon: str, at: float) -> None:
        """Record that a daemon was told to stop."""
        self._stops[daemon].append(at)

    def is_lost(self, exchange: Exchange) -> bool:
        """Return whether a request ended without a whole answer and nothing excuses that."""
        return not exchange.is_complete and not self.find_excuse(exchange)

    def find_excuse(self, exchange: Exchange) -> str:
        """Return what excuses an answer without its end; empty for nothing.

        :param exchange: one whose answer has no end.
        """
        if exchange.ended_at - exchange.sent_at >= self._spent_seconds:
            return "out of time"
        if not self._runs[exchange.id] and self._crossed_a_close(exchange):
            return "never taken"
        if self._was_struck(exchange):
            return "death in its group"
        return "end of a grace period" if self._outlasted_a_stop(exchange) else ""

    def ended_groups(self) -> list[list[Leave]]:
        """Return the orders to leave of each group none of whose members died before them."""
        by_group: dict[tuple[str, int], list[Leave]] = collections.defaultdict(list)
        for leave in self.leaves:
            by_group[leave.group, leave.epoch].append(leave)
        return [leaves for leaves in by_group.values() if not self._has_died(leaves)]

    def find_lost(self, exchanges: t.Iterable[Exchange]) -> list[str]:
        """Return a description of each lost request."""
        return [self._describe_loss(item) for item in exchanges if self.is_lost(item)]

    def find_ended(self) -> list[str]:
        """Return a description of each ended group of sound workers."""
        return [self._describe_end(leaves) for leaves in self.ended_groups()]

    def _crossed_a_close(self, exchange: Exchange) -> bool:
        """Return whether a connection ended so soon that its close can have been under way."""
        return exchange.ended_at - exchange.sent_at <= LOSS_SLACK_SECONDS

    def _was_struck(self, exchange: Exchange) -> bool:
        """Return whether a worker died in a group that ran a request."""
        epochs = {run.epoch for run in self._runs[exchange.id]}
        return any(
            death.epoch in epochs
            and exchange.sent_at - CONTACT_SECONDS <= death.at <= exchange.ended_at
            for death in self._deaths
        )

    def _outlasted_a_stop(self, exchange: Exchange) -> bool:
        """Return whether a request still ran when the grace period of its daemon was ending."""
        return any(
            exchange.sent_at <= at + LATE_REQUEST_SECONDS
            and at + LATE_IN_GRACE_SECONDS <= exchange.ended_at <= at + GRACE_PERIOD_SECONDS + 1.0
            for at in self._stops[exchange.daemon]
        )

    def _has_died(self, leaves: list[Leave]) -> bool:
        members = {member for leave in leaves for member in leave.members}
        last = max(leave.at for leave in leaves)
        return any(death.worker in members and death.at <= last for death in self._deaths)

    def _describe_loss(self, exchange: Exchange) -> str:
        runs = [f"{run.worker} in {run.epoch}" for run in self._runs[exchange.id]]
        epochs = {run.epoch for run in self._runs[exchange.id]}
        orders = [
            f"{leave.worker} left {leave.group} at {leave.at:.3f}"
            for leave in self.leaves
            if leave.epoch in epochs and exchange.sent_at <= leave.at <= exchange.ended_at
        ]
        return (
            f"LOST {exchange.id} at {exchange.daemon}: status {exchange.status}, sent at "
            f"{exchange.sent_at:.3f}, cut at {exchange.ended_at:.3f} after "
            f"{exchange.body.count(b'data:')} events; ran at {runs}; orders {orders}"
        )

    def _describe_end(self, leaves: list[Leave]) -> str:
        first = min(leaves, key=lambda leave: leave.at)
        return (
            f"ENDED group {first.group} of sound workers {', '.join(first.members)} was told to "
            f"leave at {first.at:.3f} in state {first.state}; "
            f"{sum(leave.streams for leave in leaves)} streams broken"
        )
