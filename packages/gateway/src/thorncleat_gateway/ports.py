"""The ports: what the gateway needs from the platform, for adapters and stand-ins to provide."""

import dataclasses
import enum
import typing as t

from .store.roster import Endpoint
from .store.roster import GroupId
from .store.roster import Membership
from .store.serving import ServingConfiguration

Headers = t.Sequence[tuple[str, str]]
# part of a wait without a change that had passed at the other side when it answered, however
# quick its clock is; chosen, not measured (4d4bdb4)
WAITED_PART = 0.8


def proven_part(wait: float, took: float, *, changed: bool) -> float:
    """Return the seconds after a call for changes was sent that its answer proves.

    An answer that came before the end of the wait, or that brings changes, proves no more than
    the moment at which the call was sent.

    :param wait: seconds that the other side was asked to wait for a change.
    :param took: seconds from sending the call to its answer.
    :param changed: whether the answer brought changes.
    """
    return WAITED_PART * wait if took >= wait and not changed else 0.0


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A configuration is the newest one."""

    configuration: ServingConfiguration


@dataclasses.dataclass(frozen=True)
class EndpointListed:
    """An endpoint's entry is new or has changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class EndpointGone:
    """An endpoint is no longer listed."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class RecordChanged:
    """One of the gateway's own records.

    :param value: None if it is gone.
    :param created: the store's revision at which its present life began.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


Change = ConfigurationChanged | EndpointListed | EndpointGone | RecordChanged


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in the store's order.

    :param revision: where to continue.
    :param proven: seconds after the call was sent, before it if negative, up to which there
        surely was no other change.
    """

    revision: int
    changes: t.Sequence[Change]
    proven: float = 0.0


class ChangeFeed(t.Protocol):
    """What the platform's store says of configuration, endpoints and the gateway's records.

    Every method raises :class:`StoreUnavailableError` if there is no answer.
    """

    async def snapshot(self) -> Changes:
        """Return everything there is."""
        ...

    async def changes(self, since: int, wait: float) -> Changes:
        """Return what has changed since a revision, as soon as something has.

        :param wait: seconds after which it returns without a change.
        :raises HistoryGoneError: if all has to be read again.
        """
        ...


class RecordStore(t.Protocol):
    """The gateway's own records in the platform's store, under leases.

    Every method raises :class:`StoreUnavailableError` if the call was surely not carried
    out and :class:`StoreOutcomeUnknownError` if that is not known.
    """

    async def create(self, key: str, value: bytes, lease: int) -> int | None:
        """Write a record that must not be there; return its revision, or None if it is."""
        ...

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a record, whether it is there or not."""
        ...

    async def commit(
        self,
        puts: t.Mapping[str, bytes],
        removals: t.Sequence[str],
        unchanged: t.Mapping[str, int],
    ) -> bool:
        """Write and remove records without a lease; False if a condition does not hold.

        :param unchanged: the revision of the newest write of records that must not change.
        """
        ...

    async def find(self, key: str) -> RecordChanged | None:
        """Return a record."""
        ...

    async def grant(self, ttl: float) -> int:
        """Return a new lease; ``ttl`` in seconds."""
        ...

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseGoneError: if it is over.
        """
        ...

    async def end(self, lease: int) -> None:
        """End a lease."""
        ...


@dataclasses.dataclass(frozen=True)
class Join:
    """Become a member of a group.

    :param members: endpoint ids, the leader first.
    """

    group: GroupId
    model: str
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Open:
    """Let a group's leader answer requests."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Close:
    """Let a group's leader take no new requests, and finish those that it has."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Leave:
    """Leave a group at once."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Load:
    """Load a model onto the host."""

    model: str


Order = Join | Open | Close | Leave | Load


class Outcome(enum.Enum):
    """How an endpoint answered an order."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    STALE = "stale"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself when asked."""

    membership: Membership | None
    models: tuple[str, ...]
    staged: tuple[str, ...]
    order_count: int


class Engines(t.Protocol):
    """Reports from engines and orders to them.

    Every method raises :class:`EndpointSilentError` and :class:`EndpointGoneError`.
    """

    async def report(self, endpoint: Endpoint, timeout: float) -> EngineReport:
        """Ask an engine how it stands."""
        ...

    async def order(
        self, endpoint: Endpoint, order: Order, expected: int | None, timeout: float
    ) -> Outcome:
        """Give an order.

        :param expected: orders that the engine must have begun before; None for any number.
        """
        ...


@dataclasses.dataclass(frozen=True)
class RequestMeta:
    """What a caller's headers say.

    :param deadline: seconds that the caller waits, or None.
    """

    id: str
    key: str | None
    deadline: float | None
    model: str
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class ForwardMeta:
    """What the gateway says to an endpoint beside the caller's own headers.

    :param remaining: seconds left of the caller's deadline.
    """

    remaining: float
    endpoint_id: str
    workspace: str | None
    priority: int
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerMeta:
    """What an endpoint's headers say.

    :param signed: whether the answer carries the endpoint's signature.
    :param not_run: whether the endpoint says that it did not run the request.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool


class HeaderCodec(t.Protocol):
    """The names that callers and endpoints use in their headers."""

    def request_head(self, headers: t.Mapping[str, str]) -> RequestMeta:
        """Read a caller's headers."""
        ...

    def forwarded(self, headers: Headers, terms: ForwardMeta) -> Headers:
        """Return the headers to be sent to an endpoint."""
        ...

    def answer_head(self, status: int, headers: t.Mapping[str, str]) -> AnswerMeta:
        """Read an endpoint's headers."""
        ...

    def returned(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's answer that the caller gets."""
        ...

    def is_readiness(self, method: str, path: str) -> bool:
        """Tell whether a request asks whether this daemon is ready."""
        ...
