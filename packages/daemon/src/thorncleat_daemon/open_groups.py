"""Opening and closing the groups of a domain, and notifying daemons of it.

Owns: the set of open groups.
Relies on: the confirmations collected by :mod:`.instance_probes`; the expiry of permits, which
limits the effect of a lost notification.
"""

import asyncio
import typing as t

from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.permits import PermitIssuer

from . import events
from .domain_state import DomainServices
from .domain_state import DomainState
from .group_publisher import GroupPublisher
from .instance_probes import InstanceProbes


class OpenGroups:
    """Opens and closes the groups of one domain by the reports of their members."""

    def __init__(
        self,
        state: DomainState,
        services: DomainServices,
        permit_issuer: PermitIssuer,
        probes: InstanceProbes,
    ) -> None:
        self._state = state
        self._services = services
        self._permit_issuer = permit_issuer
        self._probes = probes
        self._publisher = GroupPublisher(
            state.domain, state.epoch, services.gossip, services.config
        )
        self._open_ids: set[str] = set()
        self._notifications: set[asyncio.Task[None]] = set()

    @property
    def ids(self) -> t.AbstractSet[str]:
        """The ids of the groups that may answer."""
        return self._open_ids

    def update(self) -> None:
        """Open or close each group by its members' confirmations."""
        now = self._services.clock()
        for group in self._state.assignments.groups.values():
            is_open = self._probes.confirmations.is_open(group, now)
            if is_open and group.id not in self._open_ids:
                self._open_ids.add(group.id)
                events.GROUP_OPENED.log(group=group.id, generation=group.generation)
                self._publish(group)
            elif not is_open and group.id in self._open_ids:
                self._close(group, self._probes.confirmations.unconfirmed_members(group, now))

    def on_assignments_replaced(self, old: Assignments, new: Assignments) -> None:
        """Close and publish the groups that differ between two assignments."""
        for group_id, group in old.groups.items():
            if new.groups.get(group_id) == group:
                continue
            if group_id in self._open_ids:
                self._close(group, [])
            if group_id not in new.groups:
                self._publisher.publish_removed(group)
        for group in new.groups.values():
            if old.groups.get(group.id) != group:
                self._publish(group)

    def publish_all(self) -> None:
        """Publish the present state of every group."""
        for group in self._state.assignments.groups.values():
            self._publish(group)

    def _publish(self, group: Group) -> None:
        self._publisher.publish(group, is_open=group.id in self._open_ids)

    def _close(self, group: Group, missing: list[str]) -> None:
        self._open_ids.discard(group.id)
        events.GROUP_CLOSED.log(group=group.id, generation=group.generation, missing=missing)
        self._publish(group)
        body = {"group": group.id, "generation": group.generation}
        for daemon in self._permit_issuer.daemons_with_permit(group.id, self._services.clock()):
            task = asyncio.create_task(self._notify(daemon, body))
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)

    async def _notify(self, daemon: str, body: dict[str, t.Any]) -> None:
        # The notification only takes effect sooner than the permit's expiry.
        try:
            await self._services.peers.send(daemon, "closed", body)
        except Exception as error:
            events.TASK_FAILED.log(task="closed", reason=repr(error), expected=True)
