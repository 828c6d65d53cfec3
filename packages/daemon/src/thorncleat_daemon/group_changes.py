"""Carrying out the changes that :mod:`thorncleat_core.daemon.repair` decides for a domain.

Owns: the pending changes.
Relies on: permits that have expired, or work that has finished, before members change; the lease,
which lets the store refuse assignments of an earlier holder.
"""

from thorncleat_core.daemon import repair
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.fleet import InstanceState
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.permits import PermitIssuer

from . import events
from .domain_state import DomainServices
from .domain_state import DomainState
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .instance_probes import InstanceProbes
from .open_groups import OpenGroups
from .order_giver import OrderSender
from .ports import Condition
from .ports import KeyNotRecreated
from .ports import Unchanged
from .ports import Write

# An unlisted instance counts as removed after this time without an answer.
REMOVED_AFTER_SECONDS = 30.0


class GroupChanges:
    """Decides on changes of one domain's groups and carries them out."""

    def __init__(
        self,
        state: DomainState,
        services: DomainServices,
        permit_issuer: PermitIssuer,
        probes: InstanceProbes,
        orders: OrderSender,
        open_groups: OpenGroups,
    ) -> None:
        self._state = state
        self._services = services
        self._permit_issuer = permit_issuer
        self._probes = probes
        self._orders = orders
        self._open_groups = open_groups
        self._pending: dict[str, repair.Change] = {}

    def decide(self) -> None:
        """Recompute the pending changes; a member that returned is no longer replaced."""
        changes = repair.decide_changes(
            self._state.assignments,
            self._desired_state(),
            self._observe(),
            self._services.clock(),
            self._services.control.repair,
        )
        decided = {repair.affected_group(change): change for change in changes}
        for group_id in set(self._pending) - set(decided):
            self._permit_issuer.resume(group_id)
        self._pending = decided

    async def carry_out(self) -> None:
        """Carry out the first change that is ready, and prepare replacements before it.

        :raises StoreUnavailableError: if there is no lease.
        :raises LeaseError: if the lease may have expired.
        """
        for subject, change in list(self._pending.items()):
            if isinstance(change, repair.Prepare):
                await self._orders.prepare(change)
                continue
            if not self._is_ready(change):
                continue
            if await self._write(_apply_change(self._state.assignments, change)):
                self._permit_issuer.resume(subject)
                self._pending.pop(subject, None)
                self._log(change)
            return

    def _observe(self) -> repair.ObservedDomain:
        state, reports = self._state, self._probes.reports
        leaving = {
            instance.id
            for instance in state.listed.values()
            if instance.state is InstanceState.LEAVING
        }
        removed = {
            name
            for name in state.assignments.occupied_instances()
            if name not in state.listed
            and self._probes.silence_seconds(name) > REMOVED_AFTER_SECONDS
        }
        idle = {name for name, report in reports.items() if not report.group}
        prepared = {
            name: repair.ModelPart(report.model, report.version, report.rank)
            for name, report in reports.items()
            if report.ready and not report.group and report.model
        }
        draining = self._services.config().configuration.draining | leaving
        return repair.ObservedDomain(
            frozenset(idle),
            frozenset(removed),
            dict(self._probes.missing_since),
            frozenset(draining),
            prepared,
        )

    def _desired_state(self) -> repair.DesiredState:
        state = self._services.config()
        placements = {
            name: placed
            for name, placed in state.placements.items()
            if placed.domain == self._state.domain
        }
        seconds = self._services.control.repair_after
        return repair.DesiredState(placements, state.configuration.intents, seconds)

    def _is_ready(self, change: repair.Change) -> bool:
        """Return whether a change may be written now; if not, drain or suspend its group."""
        now, lease = self._services.clock(), self._state.lease
        if lease is None or not lease.is_held(now):
            return False
        if isinstance(change, repair.Start | repair.Release | repair.Prepare):
            return True
        group_id = repair.affected_group(change)
        if now < self._orders.safe_at(group_id, lease.acquired_at):
            return False
        if change.graceful:
            self._permit_issuer.drain(group_id)
            return self._permit_issuer.is_unused(group_id, now)
        self._permit_issuer.suspend(group_id)
        return now > self._permit_issuer.latest_expiry(group_id)

    async def _write(self, changed: Assignments) -> bool:
        """Write assignments under the lease and return whether that succeeded.

        If the outcome is unknown or the assignments were changed, they are read again.
        """
        changed.check()
        state, services = self._state, self._services
        lease = state.checked_lease(services.clock())
        key = services.keys.domain(state.domain)
        conditions: list[Condition] = [
            Unchanged(key, state.mod_revision),
            KeyNotRecreated(services.keys.holder(lease.shard), lease.create_revision),
        ]
        try:
            write = [Write(key, changed.encode())]
            revision = await services.store.transact(conditions, write, Purpose.ASSIGN)
        except StoreOutcomeUnknownError:
            state.is_loaded = False
            return False
        except StoreError as error:
            events.TASK_FAILED.log(task="assign", reason=str(error), expected=True)
            return False
        if revision is None:
            state.is_loaded = False
            return False
        state.mod_revision = revision
        old, state.assignments = state.assignments, changed
        self._open_groups.on_assignments_replaced(old, changed)
        return True

    def _log(self, change: repair.Change) -> None:
        if isinstance(change, repair.Release):
            events.INSTANCE_RELEASED.log(
                domain=self._state.domain, instances=list(change.instances)
            )
            return
        group = self._state.assignments.groups.get(repair.affected_group(change))
        members = list(group.members) if group else []
        kind = type(change).__name__.lower()
        events.GROUP_CHANGED.log(group=repair.affected_group(change), change=kind, members=members)


def _apply_change(assignments: Assignments, change: repair.Change) -> Assignments:
    if isinstance(change, repair.Release):
        return assignments.with_released(change.instances)
    if isinstance(change, repair.Dissolve):
        return assignments.without_group(change.group_id)
    if isinstance(change, repair.Prepare):
        return assignments
    return assignments.with_group(change.group)
