"""Sends orders to endpoints and holds their latest reports.

An order is sent only while this daemon's lease is valid, so that no two controllers give orders.

Owns: the latest report of each endpoint that was probed in this term, and when each group was last
ordered to open without an answer.
Relies on: the lease (:class:`.Election`), which expires here before it expires in the store, and
:mod:`.call_window` for when a call is sent.
"""

import typing as t

from thorncleat_core.exceptions import LeaseError

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..exceptions import EndpointTimeoutError
from ..ports import EngineReport
from ..ports import Engines
from ..ports import Join
from ..ports import Load
from ..ports import Open
from ..ports import Order
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Incarnation
from ..store.roster import Membership
from ..store.view import StoreView
from .call_window import BACKGROUND
from .call_window import IMMEDIATE
from .call_window import CallWindow
from .call_window import Urgency
from .call_window import forming_urgency

# Number of probes without an answer after which an endpoint counts as silent.
MAX_PROBES = 2
# Number of further probes while this daemon's own event loop is late.
MAX_PROBES_WHILE_LATE = 10
# Interval between two probes of the same endpoint.
PROBE_INTERVAL_SECONDS = 0.25
# Interval between two checks of local state.
POLL_INTERVAL_SECONDS = 0.02
# States in which a member has loaded the model.
READY_STATES = (GroupState.READY, GroupState.OPEN)
# Outcomes that mean that the endpoint carries out an order or has already done so.
ACCEPTED = (Outcome.DONE, Outcome.BEGUN)

# Records that an endpoint has answered.
RecordAnswer = t.Callable[[Endpoint], None]


def order_urgency(order: Order) -> Urgency:
    """Return the urgency of an order among the waiting calls."""
    match order:
        case Join(group):
            return forming_urgency(group)
        case Load():
            return BACKGROUND
    return IMMEDIATE


class Orders:
    """Sends orders to endpoints while this daemon is the controller, and probes them.

    :param is_controller: returns whether this daemon is the controller; called right before each
        order.
    :param record_contact: called with each endpoint that answers.
    :param calls: window that limits all calls.
    :param record_failure: called with each endpoint that does not answer.
    :param record_success: called with each endpoint whose answer is no contact, as it says nothing
        of its group.
    """

    def __init__(
        self,
        settings: ControlSettings,
        engines: Engines,
        view: StoreView,
        is_controller: t.Callable[[], bool],
        record_contact: RecordAnswer,
        calls: CallWindow,
        clock: t.Callable[[], float],
        record_failure: t.Callable[[Endpoint], None] = lambda _: None,
        record_success: RecordAnswer = lambda _: None,
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._view = view
        self._is_controller = is_controller
        self._record_contact = record_contact
        self._calls = calls
        self._clock = clock
        self._record_failure = record_failure
        self._record_success = record_success
        self._reports: dict[str, EngineReport] = {}
        self._unanswered_opens: dict[GroupId, float] = {}

    def begin_term(self) -> None:
        """Discard what is known from an earlier term."""
        self._reports.clear()
        self._unanswered_opens.clear()

    def unanswered_open_at(self, group: GroupId) -> float:
        """Return when a group was last ordered to open without an answer; -inf if never."""
        return self._unanswered_opens.get(group, float("-inf"))

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is listed."""
        return endpoint.id in self._view.roster.endpoints

    def listed_membership(self, endpoint: Endpoint) -> Membership | None:
        """Return an endpoint's listed membership; the given one if it isn't listed."""
        return self._view.roster.endpoints.get(endpoint.id, endpoint).membership

    def was_seen_ready(self, endpoint: Endpoint, group: GroupId, rank: int) -> bool:
        """Return whether an endpoint was listed or reported as ready in a group.

        The rank distinguishes its report from that of another member at the same address.
        """
        report = self._reports.get(endpoint.id)
        if report is not None and self.has_restarted(endpoint, report):
            # Either the report or the entry is from an earlier incarnation.
            return False
        memberships = (self.listed_membership(endpoint), report.membership if report else None)
        return any(
            membership is not None
            and membership.is_at(group, rank)
            and membership.state in READY_STATES
            for membership in memberships
        )

    def has_restarted(self, endpoint: Endpoint, report: EngineReport) -> bool:
        """Return whether an endpoint's report and entry come from different incarnations."""
        listed = self._view.roster.endpoints.get(endpoint.id, endpoint)
        return listed.incarnation.is_superseded_by(Incarnation(endpoint.id, report.born))

    def check_lease(self) -> None:
        """Check that this daemon is the controller.

        :raises LeaseError: if it may no longer be.
        """
        if not self._is_controller():
            raise LeaseError("the lease of the controller is over")

    async def send(self, endpoint: Endpoint, order: Order, expected: int | None = None) -> Outcome:
        """Send an order once.

        :param expected: order count that the engine must have, or it refuses the order; None to
            accept any.
        :raises LeaseError: if this daemon may no longer be the controller.
        :raises EndpointError: if there is no answer; the order may still be carried out.
        """
        async with self._calls.slot(order_urgency(order)):
            self.check_lease()
            try:
                outcome = await self._engines.order(
                    endpoint, order, expected, self._settings.order_timeout
                )
            except EndpointTimeoutError:
                if isinstance(order, Open):
                    self._unanswered_opens[order.group] = self._clock()
                self._record_failure(endpoint)
                events.ORDER_UNANSWERED.log(endpoint=endpoint.id, order=type(order).__name__)
                raise
        self._record_contact(endpoint)
        events.ORDER_GIVEN.log(
            endpoint=endpoint.id,
            order=type(order).__name__,
            outcome=outcome.value,
            expected=expected,
        )
        return outcome

    async def fetch_report(self, endpoint: Endpoint, urgency: Urgency = IMMEDIATE) -> EngineReport:
        """Return an endpoint's report.

        :raises EndpointError: if there is no answer.
        """
        report = await self._call_report(endpoint, urgency)
        self._record_contact(endpoint)
        return report

    async def fetch_member_report(self, member: Endpoint) -> EngineReport:
        """Return the report of a member of a group that may not move, and record a failure.

        The report shows that the member lives, but not that its group does, so it is no contact
        that ends a suspicion or that streams of this daemon could take for a sign of life.

        :raises EndpointError: if there is no answer.
        """
        return await self._probe_once(member, IMMEDIATE, self._record_success)

    async def _call_report(self, endpoint: Endpoint, urgency: Urgency) -> EngineReport:
        async with self._calls.slot(urgency):
            report = await self._engines.report(endpoint, self._settings.probe_timeout)
        self._reports[endpoint.id] = report
        return report

    async def is_member(self, endpoint: Endpoint, group: GroupId) -> bool:
        """Return whether an endpoint reports that it is in a group.

        :raises EndpointError: if there is no answer.
        """
        membership = (await self.fetch_report(endpoint)).membership
        return membership is not None and membership.group == group

    async def probe(self, endpoint: Endpoint, urgency: Urgency = IMMEDIATE) -> EngineReport | None:
        """Return an endpoint's report; None if it is silent."""
        return await self._probe(endpoint, urgency, self._record_contact)

    async def probe_member(self, member: Endpoint) -> EngineReport | None:
        """Return the report of a member of a group that may not move; None if it is silent.

        Like that of :meth:`fetch_member_report` it is no contact.
        """
        return await self._probe(member, IMMEDIATE, self._record_success)

    async def _probe(
        self, endpoint: Endpoint, urgency: Urgency, record_answer: RecordAnswer
    ) -> EngineReport | None:
        """Try :data:`MAX_PROBES` times, and more often while this daemon's own loop is late.

        It may then have missed the answer.
        """
        silent = silent_while_late = 0
        while silent < MAX_PROBES and silent_while_late < MAX_PROBES_WHILE_LATE:
            sent_at = self._clock()
            try:
                return await self._probe_once(endpoint, urgency, record_answer)
            except (EndpointReplacedError, EndpointRefusedError):
                return None
            except EndpointError:
                # No answer in time; the probe is repeated.
                if self.was_late_since(sent_at):
                    silent_while_late += 1
                else:
                    silent += 1
        return None

    async def _probe_once(
        self, endpoint: Endpoint, urgency: Urgency, record_answer: RecordAnswer
    ) -> EngineReport:
        """Return an endpoint's report, and record the answer or the failure.

        :raises EndpointError: if there is no answer.
        """
        sent_at = self._clock()
        try:
            report = await self._call_report(endpoint, urgency)
        except EndpointReplacedError:
            raise
        except EndpointRefusedError:
            self._record_failure(endpoint)
            raise
        except EndpointError:
            # This daemon may only have missed the answer.
            if not self.was_late_since(sent_at):
                self._record_failure(endpoint)
            raise
        record_answer(endpoint)
        return report

    def was_late_since(self, since: float) -> bool:
        """Return whether this daemon's event loop was late since a time, and may miss answers."""
        return self._calls.was_late_since(since)

    async def is_responding(self, endpoint: Endpoint, urgency: Urgency = IMMEDIATE) -> bool:
        """Return whether an endpoint answers a :meth:`probe`."""
        return await self.probe(endpoint, urgency) is not None
