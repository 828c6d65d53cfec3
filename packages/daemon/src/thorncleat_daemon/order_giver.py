"""Orders to the engines of a domain: which group to serve in, and which part to preload.

Owns: the time from which each group may be changed, after permits of earlier epochs have expired.
Relies on: a held lease, checked before each order; the epoch, which lets engines refuse the
orders of earlier managers.
"""

import asyncio

from thorncleat_core.daemon import repair
from thorncleat_core.daemon.groups import Group

from . import events
from .domain_state import DomainServices
from .domain_state import DomainState
from .exceptions import EndpointError
from .instance_probes import InstanceProbes
from .ports import Order


class OrderSender:
    """Sends the engines of one domain the orders that their reports don't show yet."""

    def __init__(
        self, state: DomainState, services: DomainServices, probes: InstanceProbes
    ) -> None:
        self._state = state
        self._services = services
        self._probes = probes
        self._safe_at: dict[str, float] = {}

    def safe_at(self, group_id: str, acquired_at: float) -> float:
        """Return the time from which a group may be changed.

        :param acquired_at: when the lease was acquired; used until a member has followed an order.
        """
        return self._safe_at.get(group_id, acquired_at + self._services.takeover_wait_seconds)

    async def send_due_orders(self) -> None:
        """Send all due orders.

        :raises StoreUnavailableError: if there is no lease.
        :raises LeaseError: if the lease may have expired.
        """
        state = self._state
        orders = [
            self._send_order(name, self._order_for(group, rank))
            for group in state.assignments.groups.values()
            for rank, name in enumerate(group.members)
            if self._needs_order(name, group)
        ]
        generation = state.assignments.generation
        orders += [
            self._send_order(name, Order(state.epoch, "", generation, -1, "", ""))
            for name, report in self._probes.reports.items()
            if report.group and state.group_of(name) is None
        ]
        await asyncio.gather(*orders)

    async def prepare(self, change: repair.Prepare) -> None:
        """Order an instance to preload a model part, unless it already does."""
        report = self._probes.reports.get(change.instance)
        part = change.part
        is_loading = report and (report.model, report.version, report.rank) == (
            part.model,
            part.version,
            part.rank,
        )
        if not is_loading:
            generation = self._state.assignments.generation
            order = Order(self._state.epoch, "", generation, part.rank, part.model, part.version)
            await self._send_order(change.instance, order)

    def _order_for(self, group: Group, rank: int) -> Order:
        epoch = self._state.epoch
        return Order(epoch, group.id, group.generation, rank, group.model, group.version)

    def _needs_order(self, name: str, group: Group) -> bool:
        report = self._probes.reports.get(name)
        if report is None:
            return False
        reported = (report.group, report.generation, report.epoch)
        return reported != (group.id, group.generation, self._state.epoch)

    async def _send_order(self, name: str, order: Order) -> None:
        address = self._state.address(name)
        if address is None:
            return
        self._state.checked_lease(self._services.clock())
        try:
            await self._services.engines.order(address, order)
        except EndpointError as error:
            events.ORDER_REFUSED.log(instance=name, reason=str(error))
            return
        if order.group:
            # An earlier manager of the group sees the new epoch from now on.
            safe_at = self._services.clock() + self._services.takeover_wait_seconds
            self._safe_at.setdefault(order.group, safe_at)
