"""Interfaces to external systems, implemented by adapters and test fakes.

Owns: nothing.
Relies on: adapters that raise only the documented errors.
"""

import dataclasses
import typing as t

from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.groups import InstanceReport


@dataclasses.dataclass(frozen=True)
class Stored:
    """A value in the store.

    :param create_revision: revision at which the key was last created.
    :param mod_revision: revision of its newest write.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """Condition that a key's newest write has this revision; 0 for an absent key."""

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class KeyNotRecreated:
    """Condition that a key has existed since its creation at this revision."""

    key: str
    create_revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key.

    :param lease: the lease whose end deletes the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Erase:
    """A deletion of one key, or of all keys that begin with it."""

    key: str
    prefix: bool = False


Condition = Unchanged | KeyNotRecreated
Operation = Write | Erase


class Store(t.Protocol):
    """The platform's key-value service.

    Every method raises :class:`StoreUnavailableError` if the call was not carried
    out, and writes raise :class:`StoreOutcomeUnknownError` if that is unknown.
    """

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        """Return the value of a key, or None."""
        ...

    async def read_under(self, prefix: str, purpose: Purpose) -> list[Stored]:
        """Return all values whose keys begin with a prefix, sorted by key."""
        ...

    async def transact(
        self, conditions: t.Sequence[Condition], operations: t.Sequence[Operation], purpose: Purpose
    ) -> int | None:
        """Apply all operations if all conditions hold; return the revision, else None."""
        ...

    async def grant(self, ttl: float) -> int:
        """Create a lease and return its id.

        :param ttl: in seconds.
        """
        ...

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        ...

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        ...

    def watch(self, key: str) -> t.AsyncIterator[Stored | None]:
        """Yield None when the watch is established, then each new value of a key."""
        ...


class InstanceList(t.Protocol):
    """The platform's eventually consistent list of instances.

    Every method raises :class:`PlatformError` if the list can't be fetched.
    """

    async def entries(self) -> list[Instance]:
        """Return the instances that run daemons."""
        ...

    async def domain(self, name: str) -> list[Instance]:
        """Return the endpoint instances of a fabric domain."""
        ...

    async def everything(self) -> list[Instance]:
        """Return all instances; the answer is large, so use it for plans only."""
        ...


@dataclasses.dataclass(frozen=True)
class Order:
    """A fenced order to an engine.

    :param epoch: fencing token of the lease under which it is sent.
    :param group: empty to serve in no group.
    """

    epoch: int
    group: str
    generation: int
    rank: int
    model: str
    version: str


class Engines(t.Protocol):
    """The control interface of the model engines."""

    async def probe(self, address: str) -> InstanceReport:
        """Return an engine's report of itself.

        :raises EndpointError: if it doesn't answer.
        """
        ...

    async def order(self, address: str, order: Order) -> None:
        """Send an engine an order.

        :raises StaleOrderError: if the engine follows a later epoch.
        :raises EndpointError: if the engine doesn't answer.
        """
        ...


Handler = t.Callable[[str, t.Any], t.Awaitable[t.Any]]


class Peers(t.Protocol):
    """The other daemons."""

    def handle(self, kind: str, handler: Handler) -> None:
        """Register a coroutine that answers messages of a kind, given the sender and the body."""
        ...

    async def ask(self, peer: str, kind: str, body: t.Any, timeout: float = 1.0) -> t.Any:
        """Send a message and return its answer.

        :param timeout: in seconds.
        :raises PeerError: if there is no answer in time.
        """
        ...

    async def send(self, peer: str, kind: str, body: t.Any) -> None:
        """Send a message without an answer; it may be lost."""
        ...
