"""The steps of forming a group: its members join and get ready, and its leader opens it.

Each step returns only whether it succeeded; :mod:`.forming` decides what follows.

Owns: no state.
Relies on: the endpoints' own reports, since the list lags behind them.
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

MAX_JOIN_ATTEMPTS = 6
# How far an endpoint's report may lag behind its state.
MAX_REPORT_LAG_SECONDS = 0.4
MAX_OPEN_ATTEMPTS = 5
# Interval between two rounds of probes to members that aren't ready.
MEMBER_POLL_INTERVAL_SECONDS = 2 * PROBE_INTERVAL_SECONDS
# Interval between two rounds of probes while members load from the weight store, as a share of the
# load's duration.
COLD_POLL_LOAD_SHARE = 0.125
# Longest wait for a change of the list.
CHANGE_WAIT_SECONDS = 0.25
# Timeout of a load from the host, as a multiple of its usual duration.
WARM_TIMEOUT_FACTOR = 2
# Timeout of a load from the weight store, as a multiple of its usual duration.
COLD_TIMEOUT_FACTOR = 3
# How long the list may take to show an opened group.
LISTING_TIMEOUT_SECONDS = 2.0
# Logged as ``how`` for a former group that had no record when this term began.
NO_RECORD_IN_TERM = "no record in this term"


def ready_timeout(plan: GroupPlan, form_timeout: float) -> float:
    """Return how many seconds the members of a group may take to get ready.

    The model's usual loading time from the host, and from the weight store if a host must load it
    from there, is multiplied by a safety factor.

    :param form_timeout: seconds allowed in addition to those for loading the model.
    """
    timeout = form_timeout + WARM_TIMEOUT_FACTOR * plan.model.warm
    return timeout + COLD_TIMEOUT_FACTOR * plan.model.load if plan.cold_members else timeout


def member_poll_interval(plan: GroupPlan) -> float:
    """Return the seconds between two rounds of probes to members that aren't ready."""
    loading = COLD_POLL_LOAD_SHARE * plan.model.load if plan.cold_members else 0.0
    return max(MEMBER_POLL_INTERVAL_SECONDS, loading)


class GroupSteps:
    """Runs the steps of forming a group.

    :param on_stale_epoch: called when an endpoint has seen a higher epoch than the group's.
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
        """Order one endpoint into a group unless its former group may still answer.

        :returns: whether the endpoint has joined.
        """
        refused: EngineReport | None = None
        for _ in range(MAX_JOIN_ATTEMPTS):
            try:
                report = await self._newer_report(endpoint, order.group, refused)
                if report is None:
                    return False
                result = await self._try_join(endpoint, order, report)
            except EndpointReplacedError:
                self._lost.mark_lost(endpoint, LostCause.PROCESS_ENDED)
                return False
            except EndpointRefusedError:
                self._lost.mark_lost(endpoint, LostCause.REFUSED)
                return False
            except EndpointError:
                # Either the order or the probe before it got no answer; both are tried again.
                if not await self._orders.is_responding(endpoint, forming_urgency(order.group)):
                    self._lost.mark_lost(endpoint, LostCause.SILENT)
                    return False
                continue
            if result is not JoinResult.STATE_CHANGED:
                return result is JoinResult.JOINED
            refused = report
        return False

    async def _newer_report(
        self, endpoint: Endpoint, group: GroupId, refused: EngineReport | None
    ) -> EngineReport | None:
        """Return a report whose order count differs from that of the refused order.

        Reports lag behind the engine's state, so the order count in a report may already be
        outdated when the order arrives.

        :param refused: the report that the refused order was based on; None to take any report.
        :returns: None if no newer report appears within :data:`MAX_REPORT_LAG_SECONDS`; then the
            order was refused for another reason.
        """
        deadline = self._clock() + MAX_REPORT_LAG_SECONDS
        while True:
            report = await self._orders.fetch_report(endpoint, forming_urgency(group))
            if refused is None or not report.has_same_order_count(refused):
                return report
            if self._clock() >= deadline:
                return None
            await asyncio.sleep(2 * POLL_INTERVAL_SECONDS)

    async def _try_join(self, endpoint: Endpoint, order: Join, report: EngineReport) -> JoinResult:
        availability = join_rules.availability(
            report.membership, order.group, self._records.is_over
        )
        if availability is Availability.TAKEN:
            return JoinResult.REFUSED
        self._log_reuse(endpoint, order, report)
        # The engine refuses the order if its state has changed since the report.
        outcome = await self._orders.send(endpoint, order, report.order_count)
        if outcome is Outcome.STALE:
            self._on_stale_epoch()
        return join_rules.join_result(outcome)

    def _log_reuse(self, endpoint: Endpoint, order: Join, report: EngineReport) -> None:
        """Log why an endpoint that reports a group may be ordered into another one."""
        if report.membership is None or report.membership.group == order.group:
            return
        former = report.membership.group
        how = self._records.how_ended(former)
        events.MEMBER_REUSED.log(
            endpoint=endpoint.id,
            group=order.group.name,
            former=former.name,
            how=how.value if how else NO_RECORD_IN_TERM,
            records_age=round(self._view.copy_age(), 3),
        )

    async def wait_ready(self, group: GroupId, plan: GroupPlan) -> bool:
        """Wait until each member was seen ready under the group's name and epoch.

        :returns: whether all members were ready in time.
        """
        started_at = probed_at = self._clock()
        timeout = ready_timeout(plan, self._settings.form_timeout)
        interval = member_poll_interval(plan)
        while self._clock() - started_at < timeout:
            missing = self._members_not_ready(group, plan.members)
            if not missing:
                return True
            if any(member in self._lost for member in plan.members):
                return False
            if self._clock() - probed_at > interval:
                probed_at = self._clock()
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
            membership = report.membership
            if membership is None or not membership.is_at(group, plan.members.index(member)):
                return False
        return True

    async def open(self, leader: Endpoint, group: GroupId) -> bool:
        """Order a leader to answer requests.

        :returns: whether the leader accepted the order.
        """
        for _ in range(MAX_OPEN_ATTEMPTS):
            try:
                if await self._orders.send(leader, Open(group)) in ACCEPTED:
                    return True
                if not await self._orders.is_member(leader, group):
                    return False
            except (EndpointReplacedError, EndpointRefusedError):
                return False
            except EndpointError:
                # No answer; the order is idempotent and is sent again.
                pass
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def wait_listed(self, leader: Endpoint, group: GroupId) -> None:
        """Wait until the list shows that a leader serves a group, or that it is no longer listed.

        The timeout counts only while the list is current, since an outdated list may still name
        the leader's former group.
        """
        deadline = self._clock() + LISTING_TIMEOUT_SECONDS
        while self._view.current_as_of < deadline:
            listed = self._view.roster.endpoints.get(leader.id)
            if listed is None or _is_leader_of(listed, group):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _is_leader_of(endpoint: Endpoint, group: GroupId) -> bool:
    member = endpoint.membership
    return endpoint.is_serving_leader and member is not None and member.group == group
