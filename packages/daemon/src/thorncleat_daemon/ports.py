"""The ports: what the daemon needs from outside, for adapters and fakes to provide.

Owns: nothing.
Relies on: adapters to keep what each method promises, errors too.
"""

import dataclasses
import typing as t

from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.groups import InstanceReport


@dataclasses.dataclass(frozen=True)
class Stored:
    """A value in the store.

    :param create_revision: of the key's present life.
    :param mod_revision: of its newest write.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """A condition: a key's newest write is the one known; 0 for a key that isn't there."""

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class KeyNotRecreated:
    """A condition: a key has been there ever since it was created at this revision."""

    key: str
    create_revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key.

    :param lease: lease that takes the key along; 0 for none.
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
    out, and writes raise :class:`StoreOutcomeUnknownError` if that isn't known.
    """

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        """Return a value, or None."""
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
        """Return a new lease; ``ttl`` in seconds."""
        ...

    async def renew(self, lease: int) -> bool:
        """Renew a lease; False if it has lapsed."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        ...

    def watch(self, key: str) -> t.AsyncIterator[Stored | None]:
        """Yield each new value of a key, None once when the watch begins."""
        ...


class InstanceList(t.Protocol):
    """The platform's lagging list of instances.

    Every method raises :class:`PlatformError` if the list can't be had.
    """

    async def entries(self) -> list[Instance]:
        """Return the instances that run daemons."""
        ...

    async def domain(self, name: str) -> list[Instance]:
        """Return the endpoint instances of a fabric domain."""
        ...

    async def everything(self) -> list[Instance]:
        """Return all instances; large, for plans only."""
        ...


@dataclasses.dataclass(frozen=True)
class Order:
    """A fenced order to an engine.

    :param epoch: of the lease under which it is given.
    :param group: empty to follow no group.
    """

    epoch: int
    group: str
    generation: int
    rank: int
    model: str
    version: str


class Engines(t.Protocol):
    """The control side of the model engines."""

    async def probe(self, address: str) -> InstanceReport:
        """Ask an engine what it is.

        :raises EndpointError: if it doesn't answer.
        """
        ...

    async def order(self, address: str, order: Order) -> None:
        """Give an engine an order.

        :raises StaleOrderError: if it follows a later epoch.
        :raises EndpointError: if it doesn't answer.
        """
        ...


Handler = t.Callable[[str, t.Any], t.Awaitable[t.Any]]


class Peers(t.Protocol):
    """The other daemons."""

    def handle(self, kind: str, handler: Handler) -> None:
        """Let a coroutine answer messages of a kind; it gets the sender and the body."""
        ...

    async def ask(self, peer: str, kind: str, body: t.Any, timeout: float = 1.0) -> t.Any:
        """Send a message and return its answer.

        :raises PeerError: if there is none in time.
        """
        ...

    async def send(self, peer: str, kind: str, body: t.Any) -> None:
        """Send a message that needs no answer; it may be lost."""
        ...
