"""Managing the groups of one fabric domain: probes, orders, changes and permits.

Owns: one domain's state (:mod:`.domain_state`) and the permits issued for its groups.
Relies on: its holder for running it and for withdrawing the lease; :mod:`.instance_probes`,
:mod:`.open_groups`, :mod:`.order_giver` and :mod:`.group_changes` for the single steps.
"""

import typing as t

from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.daemon.permits import Permit
from thorncleat_core.daemon.permits import PermitIssuer
from thorncleat_core.daemon.permits import PermitRequest

from .domain_state import DomainServices
from .domain_state import DomainState
from .downtime import Downtime
from .group_changes import GroupChanges
from .instance_probes import InstanceProbes
from .open_groups import OpenGroups
from .order_giver import OrderSender


class DomainManager:
    """Manages one fabric domain, with a lease or without.

    Without a lease it only probes members and issues permits for the known assignments, which is
    safe because a permit depends on the members' own reports. It is superseded when a member
    reports a later epoch.
    """

    def __init__(
        self, domain: str, services: DomainServices, epoch: int, lease: HeldLease | None
    ) -> None:
        self.is_superseded = False
        self.last_request_at = services.clock()
        self.downtime = Downtime(services.clock)
        self._has_probed = False
        self._services = services
        self._clock = services.clock
        self._state = state = DomainState(domain, epoch, lease, Assignments(domain))
        self._permit_issuer = PermitIssuer(services.control.permit, services.group_tokens)
        self._probes = InstanceProbes(
            services.engines,
            services.clock,
            services.control.window,
            state.group_of,
            services.is_loop_late,
        )
        self._open_groups = OpenGroups(state, services, self._permit_issuer, self._probes)
        self._orders = OrderSender(state, services, self._probes)
        self._changes = GroupChanges(
            state, services, self._permit_issuer, self._probes, self._orders, self._open_groups
        )

    @property
    def domain(self) -> str:
        """The fabric domain's name."""
        return self._state.domain

    @property
    def epoch(self) -> int:
        """The epoch of the manager's orders."""
        return self._state.epoch

    @property
    def lease(self) -> HeldLease | None:
        """The lease on the domain's shard; None if it was lost or never held."""
        return self._state.lease

    @property
    def assignments(self) -> Assignments:
        """The groups as last read or written."""
        return self._state.assignments

    @property
    def listed(self) -> t.Mapping[str, Instance]:
        """The domain's instances as the platform lists them."""
        return self._state.listed

    @property
    def reports(self) -> t.Mapping[str, InstanceReport]:
        """The newest report of each instance."""
        return self._probes.reports

    def adopt(self, assignments: Assignments) -> None:
        """Start without a lease, from assignments taken from the directory."""
        self._state.assignments = assignments
        self._state.is_loaded = True

    def drop_lease(self) -> None:
        """Continue without a lease, issuing permits for the present assignments only."""
        self._state.lease = None

    async def load(self) -> None:
        """Read the assignments from the store.

        :raises StoreUnavailableError: if it can't be read.
        """
        state = self._state
        stored = await self._services.store.read(
            self._services.keys.domain(state.domain), Purpose.ASSIGN
        )
        state.mod_revision = stored.mod_revision if stored else 0
        state.assignments = (
            Assignments.decode(stored.value) if stored else Assignments(state.domain)
        )
        state.is_loaded = True
        self._open_groups.publish_all()

    async def refresh(self) -> None:
        """Fetch the domain's part of the platform's list.

        :raises PlatformError: if that fails; the list fetched last stays in use.
        """
        rows = await self._services.instances.domain(self.domain)
        self._state.listed = {instance.id: instance for instance in rows}

    async def watch(self) -> None:
        """Probe the instances once, and open or close groups by their reports."""
        if not self._state.is_loaded or not self.listed:
            return
        await self._probe_all()
        if self.is_superseded:
            # Issued permits expire by themselves; the next holder waits for that.
            return
        self._has_probed = True
        self._open_groups.update()
        self.downtime.add(self.assignments.groups.values(), self._open_groups.ids, self.listed)

    async def repair(self) -> None:
        """Send due orders and carry out due changes of the assignments once.

        It runs concurrently with :meth:`watch`, so that a slow store or engine delays no probe.
        """
        if self.lease is None or self.is_superseded:
            return
        if not self._state.is_loaded:
            await self.load()
            return
        await self._orders.send_due_orders()
        self._changes.decide()
        await self._changes.carry_out()

    def permit(
        self, daemon: str, request: PermitRequest, weights: t.Mapping[str, float]
    ) -> Permit | None:
        """Return a permit for a daemon to use a group; None if this manager can't decide.

        :param weights: share of each workspace.
        """
        if self.is_superseded or not self._has_probed:
            return None
        group = self.assignments.groups.get(request.group)
        leader = self._state.address(group.leader) if group else None
        if group is None or leader is None:
            return Permit(request.group, self.epoch, 0, 0.0, True, "")
        now = self.last_request_at = self._clock()
        seconds = self._permit_issuer.issue(daemon, request, group, self._probes.confirmations, now)
        grant = self._permit_issuer.grant(group.id, daemon, weights, now)
        return Permit(
            group.id,
            self.epoch,
            group.generation,
            seconds,
            group.id in self._permit_issuer.draining,
            leader,
            grant.credits,
            grant.spare,
        )

    async def _probe_all(self) -> None:
        targets = {instance.id: instance.address for instance in self.listed.values()}
        members = self.assignments.occupied_instances()
        if self.lease is None:
            targets = {name: address for name, address in targets.items() if name in members}
        await self._probes.probe(targets)
        for name in members - set(targets):
            self._probes.record_missed(name)
        reports = self._probes.reports
        if any(reports[name].epoch > self.epoch for name in members if name in reports):
            self.is_superseded = True
