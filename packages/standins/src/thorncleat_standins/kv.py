"""State of the stand-in store: a revisioned map with leases, conditions and watch events.

Owns: records, leases and the whole history, which is never compacted.
Relies on: an injected clock that tests control.
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
    """A lease whose keys are deleted when it expires.

    :param ttl: seconds.
    :param deadline: time of expiry in seconds of the store's clock.
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
    expected: int | bytes


Operation = Put | Delete


class LeaseNotFoundError(Exception):
    """A write names a lease that does not exist or has expired."""


class Store:
    """A revisioned map.

    :param clock: returns monotonic seconds.
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
        """Return the record of a key, or the sorted records of the range up to ``end``."""
        self.expire()
        return self._find(key, end)

    def transact(self, compares: t.Iterable[Compare], operations: t.Iterable[Operation]) -> bool:
        """Apply all operations at one revision if every condition holds.

        :returns: whether all conditions hold.
        :raises LeaseNotFoundError: if a write names an expired lease; nothing is applied.
        """
        self.expire()
        if not all(self._holds(compare) for compare in compares):
            return False
        operation_list = list(operations)
        for operation in operation_list:
            if isinstance(operation, Put) and operation.lease not in {0, *self._leases}:
                raise LeaseNotFoundError(operation.lease)
        self._apply(operation_list)
        return True

    def grant(self, ttl: float) -> Lease:
        """Grant a lease.

        :param ttl: seconds.
        """
        self._next_lease += 1
        lease = Lease(self._next_lease, ttl, self._clock() + ttl)
        self._leases[lease.id] = lease
        return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Renew a lease and return it, or None if it has expired."""
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
        """Revoke the expired leases."""
        now = self._clock()
        for lease in [lease for lease in self._leases.values() if lease.deadline <= now]:
            self.revoke(lease.id)

    def events_since(self, revision: int, key: bytes, end: bytes) -> list[Event]:
        """Return the events of a key or range, starting at a revision."""
        return [
            event
            for event in self._history
            if event.revision >= revision
            and (event.key == key if not end else key <= event.key < end)
        ]

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set on each change until it is unsubscribed."""
        event = asyncio.Event()
        self._watchers.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """End a subscription."""
        self._watchers.discard(event)

    def wake_watchers(self) -> None:
        """Set the events of all subscribers."""
        for watcher in self._watchers:
            watcher.set()

    def _holds(self, compare: Compare) -> bool:
        record = self._records.get(compare.key)
        default: int | bytes = b"" if compare.field == "value" else 0
        actual = getattr(record, compare.field) if record else default
        return bool(actual == compare.expected)

    def _apply(self, operations: list[Operation]) -> None:
        self.revision += 1
        for operation in operations:
            if isinstance(operation, Put):
                self._put(operation)
            else:
                self._delete(operation)
        self.wake_watchers()

    def _put(self, put: Put) -> None:
        previous = self._records.get(put.key)
        if previous and previous.lease in self._leases:
            self._leases[previous.lease].keys.discard(put.key)
        if put.lease:
            self._leases[put.lease].keys.add(put.key)
        record = Record(
            put.key,
            put.value,
            previous.create_revision if previous else self.revision,
            self.revision,
            previous.version + 1 if previous else 1,
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
        return [
            self._records[candidate]
            for candidate in sorted(self._records)
            if key <= candidate < end
        ]
