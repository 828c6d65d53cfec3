"""The state of the stand-in store: a revisioned map with leases, conditions and watch events.

Owns: records, leases and the whole history; nothing is compacted.
Relies on: an injected clock, which tests steer.
"""

import asyncio
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True)
class Record:
    """A key's value at one revision."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Event:
    """A change of one key; ``record`` is None for a deletion."""

    key: bytes
    revision: int
    record: Record | None


@dataclasses.dataclass
class Lease:
    """A lease that takes its keys along when it lapses.

    :param deadline: in the store's clock, seconds.
    """

    id: int
    ttl: float
    deadline: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Put:
    """Write one key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """Delete a key, or the half-open range up to ``end``."""

    key: bytes
    end: bytes = b""


@dataclasses.dataclass(frozen=True)
class Compare:
    """A condition on one key; ``field`` is mod_revision, create_revision, version or value."""

    key: bytes
    field: str
    wanted: int | bytes


Operation = Put | Delete


class LeaseNotFoundError(Exception):
    """A write or renewal names a lease that has lapsed."""


class Store:
    """A small revisioned store.

    :param clock: seconds, monotonic; injected so that tests steer it.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self.revision = 1
        self._clock = clock
        self._records: dict[bytes, Record] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1000
        self._history: list[Event] = []
        self._watchers: set[asyncio.Event] = set()

    def get(self, key: bytes, end: bytes = b"") -> list[Record]:
        """Return the records of a key, or of the range up to ``end``, sorted."""
        self.expire()
        return self._find(key, end)

    def transact(self, compares: t.Iterable[Compare], operations: t.Iterable[Operation]) -> bool:
        """Apply all operations at one revision if every condition holds.

        :returns: whether they hold.
        :raises LeaseNotFoundError: if a write names a lease that has lapsed; nothing is applied.
        """
        self.expire()
        if not all(self._holds(compare) for compare in compares):
            return False
        todo = list(operations)
        for operation in todo:
            if isinstance(operation, Put) and operation.lease not in {0, *self._leases}:
                raise LeaseNotFoundError(operation.lease)
        self._apply(todo)
        return True

    def grant(self, ttl: float) -> Lease:
        """Grant a lease."""
        self._next_lease += 1
        lease = Lease(self._next_lease, ttl, self._clock() + ttl)
        self._leases[lease.id] = lease
        return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Renew a lease; None if it has lapsed."""
        self.expire()
        lease = self._leases.get(lease_id)
        if lease:
            lease.deadline = self._clock() + lease.ttl
        return lease

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease and lease.keys:
            self._apply([Delete(key) for key in sorted(lease.keys)])

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = self._clock()
        for lease in [lease for lease in self._leases.values() if lease.deadline <= now]:
            self.revoke(lease.id)

    def events_since(self, revision: int, key: bytes, end: bytes) -> list[Event]:
        """Return the events of a range from a revision on."""
        return [
            event
            for event in self._history
            if event.revision >= revision
            and (event.key == key if not end else key <= event.key < end)
        ]

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set on each change, until unsubscribed."""
        event = asyncio.Event()
        self._watchers.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """End a subscription."""
        self._watchers.discard(event)

    def wake_watchers(self) -> None:
        """Let every watcher look again."""
        for watcher in self._watchers:
            watcher.set()

    def _holds(self, compare: Compare) -> bool:
        record = self._records.get(compare.key)
        empty: int | bytes = b"" if compare.field == "value" else 0
        found = getattr(record, compare.field) if record else empty
        return bool(found == compare.wanted)

    def _apply(self, operations: list[Operation]) -> None:
        self.revision += 1
        for operation in operations:
            if isinstance(operation, Put):
                self._put(operation)
            else:
                self._delete(operation)
        self.wake_watchers()

    def _put(self, put: Put) -> None:
        old = self._records.get(put.key)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(put.key)
        if put.lease:
            self._leases[put.lease].keys.add(put.key)
        record = Record(
            put.key,
            put.value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            put.lease,
        )
        self._records[put.key] = record
        self._history.append(Event(put.key, self.revision, record))

    def _delete(self, delete: Delete) -> None:
        for record in self._find(delete.key, delete.end):
            del self._records[record.key]
            if record.lease in self._leases:
                self._leases[record.lease].keys.discard(record.key)
            self._history.append(Event(record.key, self.revision, None))

    def _find(self, key: bytes, end: bytes) -> list[Record]:
        if not end:
            return [self._records[key]] if key in self._records else []
        return [self._records[found] for found in sorted(self._records) if key <= found < end]
