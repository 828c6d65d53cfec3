"""Giving one engine orders, and keeping what it said last."""

import asyncio
import typing as t

from thorncleat_core.exceptions import LeaseError

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointGoneError
from ..exceptions import EndpointSilentError
from ..ports import EngineReport
from ..ports import Engines
from ..ports import Order
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Membership
from ..store.view import StoreView

PROBES = 2
STANDING = (GroupState.READY, GroupState.OPEN)


class Orders:
    """Sends orders only while this daemon is the controller.

    :param leads: whether it surely is, asked right before each order.
    :param heard: told of each endpoint that answers.
    """

    def __init__(
        self,
        settings: ControlSettings,
        engines: Engines,
        view: StoreView,
        leads: t.Callable[[], bool],
        heard: t.Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._view = view
        self._leads = leads
        self._heard = heard
        self._reports: dict[str, EngineReport] = {}

    def forget(self) -> None:
        """Forget all reports; the list is newer."""
        self._reports.clear()

    def listed(self, endpoint: Endpoint) -> Membership | None:
        """Return an engine's place in a group, as listed."""
        return self._view.roster.endpoints.get(endpoint.id, endpoint).membership

    def seen_ready(self, endpoint: Endpoint, group: GroupId) -> bool:
        """Tell whether an engine was listed or reported ready in a group."""
        report = self._reports.get(endpoint.id)
        places = (self.listed(endpoint), report.membership if report else None)
        return any(
            one is not None and one.group == group and one.state in STANDING for one in places
        )

    async def give(self, endpoint: Endpoint, order: Order, expected: int | None = None) -> Outcome:
        """Give an order once.

        :raises LeaseError: if this daemon may no longer be the controller.
        """
        if not self._leads():
            raise LeaseError(f"{type(order).__name__} for {endpoint.id!r}: the lease is over")
        try:
            outcome = await self._engines.order(
                endpoint, order, expected, self._settings.order_timeout
            )
        except EndpointSilentError:
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

    async def ask(self, endpoint: Endpoint) -> EngineReport:
        """Ask an engine how it stands."""
        report = await self._engines.report(endpoint, self._settings.probe_timeout)
        self._heard(endpoint.id)
        self._reports[endpoint.id] = report
        return report

    async def is_in(self, endpoint: Endpoint, group: GroupId) -> bool:
        """Ask an engine whether it is in a group."""
        member = (await self.ask(endpoint)).membership
        return member is not None and member.group == group

    async def answers(self, endpoint: Endpoint) -> bool:
        """Tell whether an engine answers, asked more than once."""
        for _ in range(PROBES):
            try:
                await self.ask(endpoint)
            except EndpointGoneError:
                return False
            except EndpointError:
                await asyncio.sleep(0)
                continue
            return True
        return False
