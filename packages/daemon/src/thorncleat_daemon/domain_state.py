"""State and services shared by the components that manage one fabric domain.

Owns: a domain's assignments with their revision in the store, the lease under which they are
changed, and the domain's instances.
Relies on: one manager that reads and replaces them; no two managers share a state.
"""

import dataclasses
import typing as t

from thorncleat_core import clock
from thorncleat_core.clock import Clock
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.leases import MAX_DRIFT
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.daemon.leases import LeaseTerms
from thorncleat_core.daemon.settings import Control

from .exceptions import StoreUnavailableError
from .gossip import Gossip
from .keyspace import Keyspace
from .ports import Engines
from .ports import InstanceList
from .ports import Peers
from .ports import Store


@dataclasses.dataclass
class DomainServices:
    """The services and settings that a domain manager uses.

    :param config: returns the current configuration.
    :param group_tokens: tokens that a group can have in flight.
    :param poll: seconds between fetches of the platform's list.
    :param is_loop_late: returns whether this daemon's event loop is late, see :mod:`.lag`.
    """

    me: str
    store: Store
    keys: Keyspace
    engines: Engines
    instances: InstanceList
    peers: Peers
    gossip: Gossip
    config: t.Callable[[], State]
    control: Control
    lease_terms: LeaseTerms
    group_tokens: int
    poll: float
    clock: Clock = clock.now
    is_loop_late: t.Callable[[], bool] = lambda: False

    @property
    def takeover_wait_seconds(self) -> float:
        """Seconds after which all permits and orders of an earlier manager have expired."""
        return max(self.control.window, self.control.permit) * (1 + MAX_DRIFT)


@dataclasses.dataclass
class DomainState:
    """The state of one fabric domain.

    :param epoch: fencing token of the manager's orders.
    :param lease: None if it was lost or never held.
    :param is_loaded: whether the assignments are those last seen in the store.
    :param mod_revision: revision of the assignments in the store.
    :param listed: the domain's instances as the platform lists them, by id.
    """

    domain: str
    epoch: int
    lease: HeldLease | None
    assignments: Assignments
    is_loaded: bool = False
    mod_revision: int = 0
    listed: t.Mapping[str, Instance] = dataclasses.field(default_factory=dict)

    def address(self, instance: str) -> str | None:
        """Return the address of an instance, or None if it isn't listed."""
        listed = self.listed.get(instance)
        return listed.address if listed else None

    def group_of(self, instance: str) -> Group | None:
        """Return the group that an instance is assigned to, or None."""
        for group in self.assignments.groups.values():
            if instance in group.members:
                return group
        return None

    def checked_lease(self, now: float) -> HeldLease:
        """Return the lease; call this right before each action that needs it.

        :raises StoreUnavailableError: if there is no lease.
        :raises LeaseError: if it may have expired.
        """
        if self.lease is None:
            raise StoreUnavailableError("no lease")
        self.lease.check(now)
        return self.lease
