"""The steps by which a group is formed: its members join, get ready, and its leader opens it.

Each step waits for one thing, and says only whether it came. What follows stands in
:mod:`.forming_urgency`.

Owns: no state.
Relies on: reports of the endpoints themselves; the list lags behind them.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointGoneError
from ..exceptions import EndpointRefusedError
from ..ports import EngineReport
from ..ports import Join
from ..ports import Open
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.view import StoreView
from . import join_rules
from .call_window import forming_urgency
from .formation import GroupPlan
from .join_rules import Availability
from .join_rules import JoinResult
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import ACCEPTED
from .orders import POLL_INTERVAL_SECONDS
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders
from .records import GroupRecords

# orders to join that one endpoint is given
MAX_JOIN_ATTEMPTS = 6
# for which an endpoint's report may be behind its state, in seconds: twice what today's engines
# say of themselves
MAX_REPORT_LAG_SECONDS = 0.4
# orders to open that one leader is given
MAX_OPEN_ATTEMPTS = 5
# between two rounds of questions to members that are not ready, in seconds
MEMBER_POLL_INTERVAL_SECONDS = 2 * PROBE_INTERVAL_SECONDS
# part of a load from the weight store after which members that load are asked again: the list
# shows earlier that they are ready
COLD_POLL_LOAD_SHARE = 0.125
# without a change of the list, for which a wait for the members rests, in seconds
CHANGE_WAIT_SECONDS = 0.25
# times its usual duration that a load from the host may take
WARM_TIMEOUT_FACTOR = 2
# times its usual duration that a load from the weight store may take
COLD_TIMEOUT_FACTOR = 3
# for the list to show that a group answers, in seconds
LISTING_TIMEOUT_SECONDS = 2.0
# logged for a former group that had no record when this term began
NO_RECORD_IN_TERM = "no record in this term"


def ready_timeout(plan: GroupPlan, form_timeout: float) -> float:
    """Return for how many seconds the members of a group may take to get ready.

    :param form_timeout: seconds beside what loading the model takes.
    """
    limit = form_timeout + WARM_TIMEOUT_FACTOR * plan.model.warm
    return limit + COLD_TIMEOUT_FACTOR * plan.model.load if plan.cold_members else limit


def member_poll_interval(plan: GroupPlan) -> float:
    """Return the seconds between two rounds of questions to members that are not ready."""
    loading = COLD_POLL_LOAD_SHARE * plan.model.load if plan.cold_members else 0.0
    return max(MEMBER_POLL_INTERVAL_SECONDS, loading)


class GroupSteps:
    """Takes a group's members through the steps.

    :param refused_as_stale: called when an endpoint has seen a higher epoch than a group's.
    """

    def __init__(
        self,
        settings: ControlSettings,
        view: StoreView,
        orders: Orders,
        records: GroupRecords,
        lost: LostEndpoints,
        clock: t.Callable[[], float],
        on_stale_epoch: t.Callable[[], None],
    ) -> None:
        self._on_stale_epoch = on_stale_epoch
        self._settings = settings
        self._view = view
        self._orders = orders
        self._records = records
        self._lost = lost
        self._clock = clock

    async def join(self, endpoint: Endpoint, order: Join) -> bool:
        """Order one endpoint into a group, unless its former group may still answer.

        :returns: whether it is in the group.
        """
        refused: EngineReport | None = None
        for _ in range(MAX_JOIN_ATTEMPTS):
            try:
                report = await self._newer_report(endpoint, order.group, refused)
                if report is None:
                    return False
                answer = await self._try_join(endpoint, order, report)
            except EndpointGoneError:
                self._lost.mark_lost(endpoint, LostCause.PROCESS_ENDED)
                return False
            except EndpointRefusedError:
                self._lost.mark_lost(endpoint, LostCause.REFUSED)
                return False
            except EndpointError:
                # the order or the question before it got no answer; another try tells which
                if not await self._orders.is_responding(endpoint, forming_urgency(order.group)):
                    self._lost.mark_lost(endpoint, LostCause.SILENT)
                    return False
                continue
            if answer is not JoinResult.STATE_CHANGED:
                return answer is JoinResult.JOINED
            refused = report
        return False

    async def _newer_report(
        self, endpoint: Endpoint, group: GroupId, refused: EngineReport | None
    ) -> EngineReport | None:
        """Return a report that shows other orders than the one by which an order was refused.

        Reports lag behind: a leader that has just left its group was refused for its leaving until
        its report shows that. None if it doesn't within :data:`MAX_REPORT_LAG_SECONDS`: then it was
        refused for something else.
        """
        until = self._clock() + MAX_REPORT_LAG_SECONDS
        while True:
            report = await self._orders.fetch_report(endpoint, forming_urgency(group))
            if refused is None or not report.counts_as(refused):
                return report
            if self._clock() >= until:
                return None
            await asyncio.sleep(2 * POLL_INTERVAL_SECONDS)

    async def _try_join(self, endpoint: Endpoint, order: Join, report: EngineReport) -> JoinResult:
        place = join_rules.availability(report.membership, order.group, self._records.is_over)
        if place is Availability.TAKEN:
            return JoinResult.REFUSED
        self._log_reuse(endpoint, order, report)
        # holds only for the state that the report showed
        outcome = await self._orders.send(endpoint, order, report.order_count)
        if outcome is Outcome.STALE:
            self._on_stale_epoch()
        return join_rules.join_result(outcome)

    def _log_reuse(self, endpoint: Endpoint, order: Join, report: EngineReport) -> None:
        """Log why an endpoint that says it is in a group may be ordered into another."""
        if report.membership is None or report.membership.group == order.group:
            return
        former = report.membership.group
        how = self._records.how_ended(former)
        events.MEMBER_REUSED.log(
            endpoint=endpoint.id,
            group=order.group.name,
            former=former.name,
            how=how.value if how else NO_RECORD_IN_TERM,
            records_age=round(self._view.age(), 3),
        )

    async def wait_ready(self, group: GroupId, plan: GroupPlan) -> bool:
        """Wait until each member was seen ready under the group's name and epoch.

        :returns: whether all were in time.
        """
        begun = asked_at = self._clock()
        limit = ready_timeout(plan, self._settings.form_timeout)
        ask_again = member_poll_interval(plan)
        while self._clock() - begun < limit:
            missing = self._members_not_ready(group, plan.members)
            if not missing:
                return True
            if any(member in self._lost for member in plan.members):
                return False
            if self._clock() - asked_at > ask_again:
                asked_at = self._clock()
                if not await self._are_all_joining(missing, group, plan):
                    return False
            await self._view.wait_change(CHANGE_WAIT_SECONDS)
        return False

    def _members_not_ready(self, group: GroupId, members: t.Sequence[Endpoint]) -> list[Endpoint]:
        return [
            member
            for rank, member in enumerate(members)
            if not self._orders.was_seen_ready(member, group, rank)
        ]

    async def _are_all_joining(
        self, members: t.Sequence[Endpoint], group: GroupId, plan: GroupPlan
    ) -> bool:
        for member in members:
            report = await self._orders.probe(member, forming_urgency(group))
            if report is None:
                self._lost.mark_lost(member, LostCause.SILENT_WHILE_JOINING)
                return False
            place = report.membership
            if place is None or not place.is_at(group, plan.members.index(member)):
                return False
        return True

    async def open(self, leader: Endpoint, group: GroupId) -> bool:
        """Order a leader to answer requests.

        :returns: whether it took the order.
        """
        for _ in range(MAX_OPEN_ATTEMPTS):
            try:
                if await self._orders.send(leader, Open(group)) in ACCEPTED:
                    return True
                if not await self._orders.is_member(leader, group):
                    return False
            except (EndpointGoneError, EndpointRefusedError):
                return False
            except EndpointError:
                # no answer; the order is repeated, and means the same if it was carried out
                pass
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def wait_listed(self, leader: Endpoint, group: GroupId) -> None:
        """Wait until the list shows that a leader answers for a group, or that it is gone.

        A list that is behind shows neither, however long that lasts: it may name the group that
        the leader led before.
        """
        until = self._clock() + LISTING_TIMEOUT_SECONDS
        while self._view.fresh_at < until:
            listed = self._view.roster.endpoints.get(leader.id)
            if listed is None or _is_leader_of(listed, group):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _is_leader_of(endpoint: Endpoint, group: GroupId) -> bool:
    member = endpoint.membership
    return endpoint.leads and member is not None and member.group == group
