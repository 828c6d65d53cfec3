"""Giving an endpoint orders, and keeping what it reported last.

An order is safe to give only while nobody else can have become controller. Three conditions
together see to that: this daemon's lease still runs (checked here, right before each order); a
join names the number of orders that the engine had begun when it was seen free
(:mod:`.join_rules`); and a group is recorded before its first order, under the condition that the
controller's record is unchanged (:mod:`.records`).

Owns: the last report of each endpoint that was asked in this term.
Relies on: the lease (:class:`.Election`), which ends here before it ends in the store, and on
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
from ..ports import Order
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Life
from ..store.roster import Membership
from ..store.view import StoreView
from .call_window import AT_ONCE
from .call_window import LAST
from .call_window import CallWindow
from .call_window import Urgency
from .call_window import forming

# how often a silent endpoint is asked before it counts as not answering
PROBES = 2
# how often it is asked beside these while this daemon is late itself
PROBES_WHILE_LATE = 10
# between two questions to an endpoint that is waited for, in seconds
ASK_SECONDS = 0.25
# between two looks at what is already known here, in seconds
LOOK_SECONDS = 0.02
# states in which a member has loaded the model
READY_STATES = (GroupState.READY, GroupState.OPEN)
# outcomes by which the endpoint carries an order out, or had done so before
ACCEPTED = (Outcome.DONE, Outcome.BEGUN)


def order_urgency(order: Order) -> Urgency:
    """Return the place of an order among the calls that wait."""
    match order:
        case Join(group):
            return forming(group)
        case Load():
            return LAST
    return AT_ONCE


class Orders:
    """Sends orders only while this daemon is the controller.

    :param leads: returns whether it is, asked right before each order.
    :param heard: called with the id of each endpoint that answers.
    :param calls: through which all calls go.
    """

    def __init__(
        self,
        settings: ControlSettings,
        engines: Engines,
        view: StoreView,
        leads: t.Callable[[], bool],
        heard: t.Callable[[str], None],
        calls: CallWindow,
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._view = view
        self._leads = leads
        self._heard = heard
        self._calls = calls
        self._clock = clock
        self._reports: dict[str, EngineReport] = {}

    def forget(self) -> None:
        """Forget all reports; the list is newer."""
        self._reports.clear()

    def listed(self, endpoint: Endpoint) -> Membership | None:
        """Return an endpoint's place in a group, as listed."""
        return self._view.roster.endpoints.get(endpoint.id, endpoint).membership

    def seen_ready(self, endpoint: Endpoint, group: GroupId, rank: int) -> bool:
        """Return whether an endpoint was listed or reported ready in its place in a group.

        The rank tells its report from that of another member that has its address by now.
        """
        report = self._reports.get(endpoint.id)
        if report is not None and self.has_restarted(endpoint, report):
            # one of both is about a life that is over, and lags behind
            return False
        places = (self.listed(endpoint), report.membership if report else None)
        return any(
            place is not None and place.is_at(group, rank) and place.state in READY_STATES
            for place in places
        )

    def has_restarted(self, endpoint: Endpoint, report: EngineReport) -> bool:
        """Return whether an endpoint's report and its entry come from two of its lives."""
        listed = self._view.roster.endpoints.get(endpoint.id, endpoint)
        return listed.life.is_over(Life(endpoint.id, report.born))

    async def give(self, endpoint: Endpoint, order: Order, expected: int | None = None) -> Outcome:
        """Give an order once.

        :param expected: orders that the engine must have begun before; None for any number.
        :raises LeaseError: if this daemon may no longer be the controller.
        :raises EndpointError: if there is no answer; the order may be carried out all the same.
        """
        async with self._calls.turn(order_urgency(order)):
            if not self._leads():
                raise LeaseError(f"{type(order).__name__} for {endpoint.id!r}: the lease is over")
            try:
                outcome = await self._engines.order(
                    endpoint, order, expected, self._settings.order_timeout
                )
            except EndpointTimeoutError:
                events.ORDER_UNANSWERED.log(endpoint=endpoint.id, order=type(order).__name__)
                raise
        self._heard(endpoint.id)
        events.ORDER_GIVEN.log(
            endpoint=endpoint.id,
            order=type(order).__name__,
            outcome=outcome.value,
            expected=expected,
        )
        return outcome

    async def ask(self, endpoint: Endpoint, urgency: Urgency = AT_ONCE) -> EngineReport:
        """Ask an endpoint for its report.

        :raises EndpointError: if there is no answer.
        """
        async with self._calls.turn(urgency):
            report = await self._engines.report(endpoint, self._settings.probe_timeout)
        self._heard(endpoint.id)
        self._reports[endpoint.id] = report
        return report

    async def is_in(self, endpoint: Endpoint, group: GroupId) -> bool:
        """Ask an endpoint whether it is in a group.

        :raises EndpointError: if there is no answer.
        """
        member = (await self.ask(endpoint)).membership
        return member is not None and member.group == group

    async def report(self, endpoint: Endpoint, urgency: Urgency = AT_ONCE) -> EngineReport | None:
        """Return an endpoint's report; None if it is silent.

        It is asked :data:`PROBES` times at most, and more often while this daemon is late itself:
        then it may have missed the answer.
        """
        silent = silent_while_late = 0
        while silent < PROBES and silent_while_late < PROBES_WHILE_LATE:
            asked_at = self._clock()
            try:
                return await self.ask(endpoint, urgency)
            except (EndpointReplacedError, EndpointRefusedError):
                return None
            except EndpointError:
                # no answer in time; it is asked again
                if self._calls.was_late_since(asked_at):
                    silent_while_late += 1
                else:
                    silent += 1
        return None

    async def answers(self, endpoint: Endpoint, urgency: Urgency = AT_ONCE) -> bool:
        """Return whether an endpoint answers, asked as :meth:`report` says."""
        return await self.report(endpoint, urgency) is not None
