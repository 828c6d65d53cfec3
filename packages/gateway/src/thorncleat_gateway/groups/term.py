"""A controller's term and its parts, which live no longer than it.

A daemon that becomes controller again begins anew, so that a job of an earlier term that is
still being cancelled can't write into the next one.

Owns: the parts of one term.
Relies on: :class:`.Election` for the term's number.
"""

import dataclasses
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..ports import Position
from ..settings import ControlSettings
from ..store.view import StoreView
from .ended import EndedGroups
from .ending import GroupEnding
from .forming import GroupForming
from .forming_state import FormingState
from .group_steps import GroupSteps
from .jobs import Jobs
from .leader_liveness import LeaderLiveness
from .lost_endpoints import LostEndpoints
from .member_examination import MemberExamination
from .model_loader import ModelLoader
from .orders import Orders
from .records import GroupRecords
from .slow_endpoints import SlowEndpoints
from .spare_warming import SpareWarming
from .term_number import term_number
from .unlisted_endpoints import UnlistedEndpoints


@dataclasses.dataclass(frozen=True)
class Term:
    """The parts of one term.

    :param begun: the store's position at which the controller's record was created.
    """

    begun: Position
    jobs: Jobs
    orders: Orders
    records: GroupRecords
    lost: LostEndpoints
    slow: SlowEndpoints
    examination: MemberExamination
    unlisted: UnlistedEndpoints
    ending: GroupEnding
    forming_state: FormingState
    forming: GroupForming
    loader: ModelLoader
    warming: SpareWarming


class TermFactory:
    """Builds and wires the parts of each term; the one place that does."""

    def __init__(
        self,
        settings: ControlSettings,
        view: StoreView,
        orders: Orders,
        records: GroupRecords,
        detector: FailureDetector,
        load_table: LoadTable,
        peers: PeerChannel,
        ended: EndedGroups,
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._view = view
        self._orders = orders
        self._records = records
        self._detector = detector
        self._load_table = load_table
        self._peers = peers
        self._ended = ended
        self._clock = clock

    def begin(self, begun: Position, wake: t.Callable[[], None]) -> Term:
        """Forget what earlier terms reported, and build the parts of a new one.

        :param wake: has the controller plan anew.
        """
        view, orders, records, clock = self._view, self._orders, self._records, self._clock
        orders.forget()
        records.begin_term()
        jobs = Jobs(wake)
        lost = LostEndpoints(view, orders, jobs.start, wake)
        slow = SlowEndpoints(view, orders, jobs.start, wake)
        liveness = LeaderLiveness(
            view, orders, self._detector, self._load_table, self._peers, clock
        )
        ending = GroupEnding(orders, records, self._ended, liveness, clock, jobs.start)
        state = FormingState(self._term_number(begun), clock)
        steps = GroupSteps(self._settings, view, orders, records, lost, clock, state.skip_epochs)
        jobs.start(records.rewrite_lost_records())
        return Term(
            begun=begun,
            jobs=jobs,
            orders=orders,
            records=records,
            lost=lost,
            slow=slow,
            examination=MemberExamination(orders, lost, slow),
            unlisted=UnlistedEndpoints(view, orders, clock, jobs.start),
            ending=ending,
            forming_state=state,
            forming=GroupForming(state, records, steps, ending, clock, jobs.start),
            loader=ModelLoader(self._settings, view, orders, lost, clock, jobs.start),
            warming=SpareWarming(view, orders, records, state, clock, jobs.start),
        )

    def _term_number(self, begun: Position) -> int:
        """Return the number of a term that has just begun."""
        roster = self._view.roster
        gone = (removed.endpoint for removed in roster.gone.values())
        places = (removed.membership for removed in (*roster.endpoints.values(), *gone))
        epochs = [place.group.epoch for place in places if place is not None]
        epochs += [group.epoch for group in self._records.groups]
        return term_number(begun.revision, epochs, self._view.former_eras.revisions)
