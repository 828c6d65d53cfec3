"""A controller's term and its parts, which exist only as long as the term.

A daemon that becomes controller again gets new parts, so that a job of an earlier term that is
still being cancelled can't write into the new one.

Owns: the parts of one term.
Relies on: :class:`.Election` for the position at which the term began.
"""

import dataclasses
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..ports import Position
from ..settings import ControlSettings
from ..store.view import StoreView
from .domain_moves import DomainMoves
from .ended import EndedGroups
from .ending import GroupEnding
from .forming import GroupForming
from .forming_state import FormingState
from .group_recovery import GroupRecovery
from .group_steps import GroupSteps
from .jobs import Jobs
from .leader_liveness import LeaderLiveness
from .lost_endpoints import LostEndpoints
from .member_examination import MemberExamination
from .model_loader import ModelLoader
from .orders import Orders
from .placement_records import PlacementRecords
from .recent_members import RecentMembers
from .records import GroupRecords
from .separation import MemberSeparator
from .slow_endpoints import SlowEndpoints
from .spare_warming import SpareWarming
from .term_number import term_number
from .unlisted_endpoints import UnlistedEndpoints
from .witnesses import ConfirmsReach
from .witnesses import Witnesses


@dataclasses.dataclass(frozen=True)
class Term:
    """The parts of one term.

    :param position: store position at which the controller's record was created.
    """

    position: Position
    jobs: Jobs
    orders: Orders
    records: GroupRecords
    lost: LostEndpoints
    slow: SlowEndpoints
    examination: MemberExamination
    unlisted: UnlistedEndpoints
    separator: MemberSeparator
    recent_members: RecentMembers
    ending: GroupEnding
    forming_state: FormingState
    forming: GroupForming
    loader: ModelLoader
    warming: SpareWarming
    moves: DomainMoves


class TermFactory:
    """Builds and wires the parts of each term.

    :param confirms_reach: returns whether this daemon has reached a service since an instant.
    """

    def __init__(
        self,
        settings: ControlSettings,
        view: StoreView,
        orders: Orders,
        records: GroupRecords,
        placements: PlacementRecords,
        detector: FailureDetector,
        load_table: LoadTable,
        peers: PeerChannel,
        ended: EndedGroups,
        clock: t.Callable[[], float],
        confirms_reach: ConfirmsReach,
    ) -> None:
        self._settings = settings
        self._view = view
        self._orders = orders
        self._records = records
        self._placements = placements
        self._detector = detector
        self._load_table = load_table
        self._peers = peers
        self._ended = ended
        self._clock = clock
        self._witnesses = Witnesses(peers, detector, clock, confirms_reach)

    def begin(self, position: Position, wake: t.Callable[[], None]) -> Term:
        """Discard the state of earlier terms and build the parts of a new one.

        :param wake: makes the controller plan again.
        """
        view, orders, records, clock = self._view, self._orders, self._records, self._clock
        orders.begin_term()
        records.begin_term()
        jobs = Jobs(wake)
        lost = LostEndpoints(view, orders, jobs.start, wake, clock)
        slow = SlowEndpoints(view, orders, jobs.start, wake)
        separator = MemberSeparator(view, orders, self._settings.stall, clock)
        ending = self._create_ending(lost, separator, jobs)
        state = FormingState(self._term_number(position), clock)
        forming = self._create_forming(state, lost, ending, jobs)
        jobs.start(records.rewrite_lost_records())
        return Term(
            position=position,
            jobs=jobs,
            orders=orders,
            records=records,
            lost=lost,
            slow=slow,
            examination=self._create_examination(lost, slow),
            unlisted=UnlistedEndpoints(view, orders, self._witnesses, clock, jobs.start),
            separator=separator,
            recent_members=RecentMembers(view, records, self._settings.stall, clock),
            ending=ending,
            forming_state=state,
            forming=forming,
            loader=ModelLoader(self._settings, view, orders, lost, clock, jobs.start),
            warming=SpareWarming(view, orders, records, state, clock, jobs.start),
            moves=self._create_moves(ending, state, jobs),
        )

    def _create_ending(
        self, lost: LostEndpoints, separator: MemberSeparator, jobs: Jobs
    ) -> GroupEnding:
        """Return what ends groups, with what decides on their leaders and silent members."""
        liveness = LeaderLiveness(
            self._view, self._orders, self._detector, self._load_table, self._peers, self._clock
        )
        return GroupEnding(
            self._orders,
            self._records,
            self._ended,
            liveness,
            GroupRecovery(self._orders, lost, self._witnesses, self._clock),
            separator,
            lost,
            self._load_table,
            self._clock,
            jobs.start,
        )

    def _create_forming(
        self, state: FormingState, lost: LostEndpoints, ending: GroupEnding, jobs: Jobs
    ) -> GroupForming:
        """Return what forms groups."""
        steps = GroupSteps(
            self._settings,
            self._view,
            self._orders,
            self._records,
            lost,
            self._clock,
            state.skip_epochs,
        )
        return GroupForming(state, self._records, steps, ending, self._clock, jobs.start)

    def _create_examination(self, lost: LostEndpoints, slow: SlowEndpoints) -> MemberExamination:
        """Return what examines the members of suspected groups."""
        return MemberExamination(
            self._orders,
            lost,
            slow,
            self._witnesses,
            self._detector,
            self._load_table,
            self._clock,
        )

    def _create_moves(self, ending: GroupEnding, state: FormingState, jobs: Jobs) -> DomainMoves:
        """Return what moves fabric domains to other models."""
        return DomainMoves(
            self._view,
            self._load_table,
            self._placements,
            self._records,
            ending,
            state,
            self._clock,
            jobs.start,
        )

    def _term_number(self, position: Position) -> int:
        """Return the number of a new term."""
        roster = self._view.roster
        former = (removed.endpoint for removed in roster.removed.values())
        memberships = (endpoint.membership for endpoint in (*roster.endpoints.values(), *former))
        epochs = [member.group.epoch for member in memberships if member is not None]
        epochs += [group.epoch for group in self._records.groups]
        return term_number(
            position.revision, epochs, self._view.former_eras.revisions, position.era
        )
