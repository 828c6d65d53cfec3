"""The steps by which a group is formed: its members join, get ready, and its leader opens it.

Each step waits for one thing, and says only whether it came. What follows stands in
:mod:`.forming`.

Owns: no state.
Relies on: reports of the endpoints themselves; the list lags behind them.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..ports import EngineReport
from ..ports import Join
from ..ports import Open
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.view import StoreView
from . import join_rules
from .call_window import forming
from .formation import GroupPlan
from .join_rules import JoinAnswer
from .join_rules import Place
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import ACCEPTED
from .orders import ASK_SECONDS
from .orders import LOOK_SECONDS
from .orders import Orders
from .records import GroupRecords

# orders to join that one endpoint is given
JOIN_TRIES = 6
# for which an endpoint's report may be behind its state, in seconds: twice what today's engines
# say of themselves
REPORT_LAG_SECONDS = 0.4
# orders to open that one leader is given
OPEN_TRIES = 5
# between two rounds of questions to members that are not ready, in seconds
ASK_MEMBERS_SECONDS = 2 * ASK_SECONDS
# part of a load from the weight store after which members that load are asked again: the list
# shows earlier that they are ready
ASK_COLD_PART = 0.125
# without a change of the list, for which a wait for the members rests, in seconds
REST_SECONDS = 0.25
# times its usual duration that a load from the host may take
WARM_PATIENCE = 2
# times its usual duration that a load from the weight store may take
COLD_PATIENCE = 3
# for the list to show that a group answers, in seconds
LISTED_SECONDS = 2.0
# logged for a former group that had no record when this term began
ENDED_EARLIER = "no record in this term"


def ready_limit(plan: GroupPlan, form_timeout: float) -> float:
    """Return for how many seconds the members of a group may take to get ready.

    :param form_timeout: seconds beside what loading the model takes.
    """
    limit = form_timeout + WARM_PATIENCE * plan.model.warm
    return limit + COLD_PATIENCE * plan.model.load if plan.cold else limit


def ask_again_seconds(plan: GroupPlan) -> float:
    """Return the seconds between two rounds of questions to members that are not ready."""
    loading = ASK_COLD_PART * plan.model.load if plan.cold else 0.0
    return max(ASK_MEMBERS_SECONDS, loading)


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
        refused_as_stale: t.Callable[[], None],
    ) -> None:
        self._refused_as_stale = refused_as_stale
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
        for _ in range(JOIN_TRIES):
            try:
                report = await self._newer_report(endpoint, order.group, refused)
                if report is None:
                    return False
                answer = await self._try_join(endpoint, order, report)
            except EndpointReplacedError:
                self._lost.lose(endpoint, LostCause.PROCESS_ENDED)
                return False
            except EndpointRefusedError:
                self._lost.lose(endpoint, LostCause.REFUSED)
                return False
            except EndpointError:
                # the order or the question before it got no answer; another try tells which
                if not await self._orders.answers(endpoint, forming(order.group)):
                    self._lost.lose(endpoint, LostCause.SILENT)
                    return False
                continue
            if answer is not JoinAnswer.STATE_CHANGED:
                return answer is JoinAnswer.JOINED
            refused = report
        return False

    async def _newer_report(
        self, endpoint: Endpoint, group: GroupId, refused: EngineReport | None
    ) -> EngineReport | None:
        """Return a report that shows other orders than the one by which an order was refused.

        Reports lag behind: a leader that has just left its group was refused for its leaving until
        its report shows that. None if it doesn't within :data:`REPORT_LAG_SECONDS`: then it was
        refused for something else.
        """
        until = self._clock() + REPORT_LAG_SECONDS
        while True:
            report = await self._orders.ask(endpoint, forming(group))
            if refused is None or not report.counts_as(refused):
                return report
            if self._clock() >= until:
                return None
            await asyncio.sleep(2 * LOOK_SECONDS)

    async def _try_join(self, endpoint: Endpoint, order: Join, report: EngineReport) -> JoinAnswer:
        place = join_rules.place(report.membership, order.group, self._records.is_over)
        if place is Place.TAKEN:
            return JoinAnswer.REFUSED
        self._log_former(endpoint, order, report)
        # holds only for the state that the report showed
        outcome = await self._orders.give(endpoint, order, report.order_count)
        if outcome is Outcome.STALE:
            self._refused_as_stale()
        return join_rules.join_answer(outcome)

    def _log_former(self, endpoint: Endpoint, order: Join, report: EngineReport) -> None:
        """Log why an endpoint that says it is in a group may be ordered into another."""
        if report.membership is None or report.membership.group == order.group:
            return
        former = report.membership.group
        how = self._records.how_ended(former)
        events.MEMBER_REUSED.log(
            endpoint=endpoint.id,
            group=order.group.name,
            former=former.name,
            how=how.value if how else ENDED_EARLIER,
            records_age=round(self._view.age(), 3),
        )

    async def wait_ready(self, group: GroupId, plan: GroupPlan) -> bool:
        """Wait until each member was seen ready under the group's name and epoch.

        :returns: whether all were in time.
        """
        begun = asked_at = self._clock()
        limit = ready_limit(plan, self._settings.form_timeout)
        ask_again = ask_again_seconds(plan)
        while self._clock() - begun < limit:
            missing = self._missing(group, plan.members)
            if not missing:
                return True
            if any(member in self._lost for member in plan.members):
                return False
            if self._clock() - asked_at > ask_again:
                asked_at = self._clock()
                if not await self._all_joining(missing, group, plan):
                    return False
            await self._view.wait_change(REST_SECONDS)
        return False

    def _missing(self, group: GroupId, members: t.Sequence[Endpoint]) -> list[Endpoint]:
        return [
            member
            for rank, member in enumerate(members)
            if not self._orders.seen_ready(member, group, rank)
        ]

    async def _all_joining(
        self, members: t.Sequence[Endpoint], group: GroupId, plan: GroupPlan
    ) -> bool:
        for member in members:
            report = await self._orders.report(member, forming(group))
            if report is None:
                self._lost.lose(member, LostCause.SILENT_WHILE_JOINING)
                return False
            place = report.membership
            if place is None or not place.is_at(group, plan.members.index(member)):
                return False
        return True

    async def open(self, leader: Endpoint, group: GroupId) -> bool:
        """Order a leader to answer requests.

        :returns: whether it took the order.
        """
        for _ in range(OPEN_TRIES):
            try:
                if await self._orders.give(leader, Open(group)) in ACCEPTED:
                    return True
                if not await self._orders.is_in(leader, group):
                    return False
            except (EndpointReplacedError, EndpointRefusedError):
                return False
            except EndpointError:
                # no answer; the order is repeated, and means the same if it was carried out
                pass
            await asyncio.sleep(LOOK_SECONDS)
        return False

    async def wait_listed(self, leader: Endpoint, group: GroupId) -> None:
        """Wait until the list shows that a leader answers for a group, or that it is gone.

        A list that is behind shows neither, however long that lasts: it may name the group that
        the leader led before.
        """
        until = self._clock() + LISTED_SECONDS
        while self._view.fresh_at < until:
            listed = self._view.roster.endpoints.get(leader.id)
            if listed is None or _leads(listed, group):
                return
            await asyncio.sleep(LOOK_SECONDS)


def _leads(endpoint: Endpoint, group: GroupId) -> bool:
    member = endpoint.membership
    return endpoint.leads and member is not None and member.group == group
