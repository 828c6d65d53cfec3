"""What all daemons know of each other's work: a map of small versioned records.

Records are flooded over the overlay and compared with a neighbour now and then. The
directory decides nothing: a lease decides who holds a shard, a permit whether a group may
be used, the journal what is configured. A stale record costs a failed call at most.

Owns: this daemon's copy of the records.
Relies on: versions that only ever rise, each given by the one daemon that may.
"""

import dataclasses
import typing as t

import xxhash

from .. import codec

Version = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Record:
    """One fact.

    :param key: such as ``group/narrator-0``.
    :param version: compared as a tuple; the highest wins.
    :param body: plain values.
    """

    key: str
    version: Version
    body: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)


class Directory:
    """A daemon's copy of all records.

    :param limit: records that are kept; further keys are refused.
    """

    def __init__(self, limit: int = 20_000) -> None:
        self._records: dict[str, Record] = {}
        self._limit = limit
        self._sum = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def checksum(self) -> int:
        """A checksum of all keys and versions, the same for the same content."""
        return self._sum

    def get(self, key: str) -> Record | None:
        """Return a record."""
        return self._records.get(key)

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose keys begin with a prefix, sorted by key."""
        return sorted(
            (record for key, record in self._records.items() if key.startswith(prefix)),
            key=lambda record: record.key,
        )

    def put(self, record: Record) -> bool:
        """Put a record in; return whether it was news."""
        known = self._records.get(record.key)
        if known is not None and known.version >= record.version:
            return False
        if known is None and len(self._records) >= self._limit:
            return False
        if known is not None:
            self._sum ^= _checksum(known)
        self._records[record.key] = record
        self._sum ^= _checksum(record)
        return True

    def remove(self, key: str) -> None:
        """Drop a record."""
        known = self._records.pop(key, None)
        if known is not None:
            self._sum ^= _checksum(known)

    def versions(self) -> dict[str, Version]:
        """Return the version of each key, to compare with a neighbour."""
        return {key: record.version for key, record in self._records.items()}

    def newer_than(self, versions: t.Mapping[str, Version]) -> list[Record]:
        """Return the records that a neighbour with these versions lacks."""
        return [
            record
            for key, record in sorted(self._records.items())
            if tuple(versions.get(key, ())) < record.version
        ]


def _checksum(record: Record) -> int:
    text = f"{record.key}\0{record.version}"
    return xxhash.xxh3_64_intdigest(text.encode())


def decode(value: t.Any) -> Record:
    """Validate a record from a peer.

    :raises DecodeError: if it doesn't have a record's form.
    """
    return codec.validate(Record, value)
