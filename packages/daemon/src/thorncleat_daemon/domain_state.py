"""What the keeper of a fabric domain knows of it, shared by the keeper's parts.

Owns: a domain's assignments with their revision in the store, the lease under which they are
changed, and the domain's rows of the platform's list.
Relies on: the one keeper that reads and replaces them; no two keepers share a state.
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
    """What a keeper uses.

    :param config: returns the current configuration.
    :param group_tokens: tokens that a group can have in flight.
    :param poll: seconds between fetches of the platform's list.
    :param late: whether this daemon's own loop is late, see :mod:`.lag`.
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
    terms: LeaseTerms
    group_tokens: int
    poll: float
    clock: Clock = clock.now
    is_loop_late: t.Callable[[], bool] = lambda: False

    @property
    def takeover_wait_seconds(self) -> float:
        """Seconds after which nothing counts any more that an earlier keeper has given."""
        return max(self.control.window, self.control.permit) * (1 + MAX_DRIFT)


@dataclasses.dataclass
class DomainState:
    """One fabric domain as its keeper knows it.

    :param epoch: of the keeper; it fences the keeper's orders.
    :param lease: None once it is lost, or for a keeper that stands in.
    :param loaded: whether the assignments are what the store has, as far as is known.
    :param mod_revision: of the assignments in the store.
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
        """Return the address of an instance, if it is listed."""
        listed = self.listed.get(instance)
        return listed.address if listed else None

    def group_of(self, instance: str) -> Group | None:
        """Return the group that an instance is assigned to."""
        for group in self.assignments.groups.values():
            if instance in group.members:
                return group
        return None

    def checked_lease(self, now: float) -> HeldLease:
        """Return the lease; called right before each act that needs it.

        :raises StoreUnavailableError: if there is none.
        :raises LeaseError: if it may have lapsed.
        """
        if self.lease is None:
            raise StoreUnavailableError("no lease")
        self.lease.check(now)
        return self.lease
