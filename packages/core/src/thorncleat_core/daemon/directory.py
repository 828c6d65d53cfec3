"""A replicated map of small versioned records that the daemons gossip.

The records are hints. Leases, permits and the journal are authoritative, so a stale record causes
at most a failed call.

Owns: this daemon's copy of the records.
Relies on: versions of a key that only increase and are set by one daemon at a time.
"""

import dataclasses
import typing as t

import xxhash

from .. import codec

Version = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Record:
    """A versioned record.

    :param key: key of the record, such as ``group/narrator-0``.
    :param version: version, compared as a tuple. The highest one wins.
    :param body: content as plain values.
    """

    key: str
    version: Version
    body: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)


class Directory:
    """A daemon's copy of all records.

    :param limit: maximum number of records. Further keys are rejected.
    """

    def __init__(self, limit: int = 20_000) -> None:
        self._records: dict[str, Record] = {}
        self._limit = limit
        self._checksum = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def checksum(self) -> int:
        """A checksum of all keys and versions, independent of their order."""
        return self._checksum

    def get(self, key: str) -> Record | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with a prefix, sorted by key."""
        return sorted(
            (record for key, record in self._records.items() if key.startswith(prefix)),
            key=lambda record: record.key,
        )

    def put(self, record: Record) -> bool:
        """Add or replace a record and return whether it was newer."""
        existing = self._records.get(record.key)
        if existing is not None and existing.version >= record.version:
            return False
        if existing is None and len(self._records) >= self._limit:
            return False
        if existing is not None:
            self._checksum ^= _checksum(existing)
        self._records[record.key] = record
        self._checksum ^= _checksum(record)
        return True

    def remove(self, key: str) -> None:
        """Remove the record of a key, if there is one."""
        removed = self._records.pop(key, None)
        if removed is not None:
            self._checksum ^= _checksum(removed)

    def versions(self) -> dict[str, Version]:
        """Return the version of each key, for the comparison with another daemon."""
        return {key: record.version for key, record in self._records.items()}

    def newer_than(self, versions: t.Mapping[str, Version]) -> list[Record]:
        """Return the records that are newer than the given versions or not among them."""
        return [
            record
            for key, record in sorted(self._records.items())
            if tuple(versions.get(key, ())) < record.version
        ]


def _checksum(record: Record) -> int:
    text = f"{record.key}\0{record.version}"
    return xxhash.xxh3_64_intdigest(text.encode())


def decode(value: t.Any) -> Record:
    """Return a record, validated from a plain value that a peer sent.

    :raises DecodeError: if the value is not a valid record.
    """
    return codec.validate(Record, value)
