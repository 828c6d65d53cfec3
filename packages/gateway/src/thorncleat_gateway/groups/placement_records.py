"""The records of the placement: which model each fabric domain carries once a domain has moved.

A record of the store may be older than what this daemon has seen, after the store was restored from
a copy. Hosts hold the models of the newer record then, so each daemon remembers the newest one; the
order of two records is that of the eras in which they were written, then of their versions.

Owns: the newest record of each service that this daemon has seen or written.
Relies on: :class:`.StoreView` for the records, and on the store's conditional writes.
"""

import dataclasses
import typing as t

import msgpack

from .. import events
from ..ports import RecordChanged
from ..ports import RecordStore
from ..store.view import StoreView
from .election import CONTROLLER_KEY
from .election import Election
from .placement import Move

PLACEMENT_PREFIX = "thorncleat/placement/"
_FORMAT = 1
# Higher versions follow, and fit into 64 bits too.
MAX_VERSION = 2**62


@dataclasses.dataclass(frozen=True)
class Placement:
    """The models of a service's domains.

    :param era: era of the store in which the record was written.
    :param version: rises with each record of a service.
    :param domains: model by domain.
    :param move: the move under way, or None.
    """

    era: int
    version: int
    domains: t.Mapping[str, str]
    move: Move | None = None

    def encode(self) -> bytes:
        """Return the record's value."""
        move = None if self.move is None else list(dataclasses.astuple(self.move))
        fields = [_FORMAT, self.era, self.version, dict(self.domains), move]
        packed: bytes = msgpack.packb(fields)
        return packed

    @classmethod
    def decode(cls, data: bytes) -> "Placement | None":
        """Return the placement that :meth:`encode` wrote; None if the data is malformed."""
        try:
            fields = msgpack.unpackb(data)
        except (ValueError, msgpack.exceptions.UnpackException):
            return None
        match fields:
            case [1, int(era), int(version), dict(domains), encoded] if (
                max(abs(era), abs(version)) <= MAX_VERSION
            ):
                names = [*domains, *domains.values()]
                is_valid = all(isinstance(name, str) for name in names)
                move = _decode_move(encoded)
                if is_valid and (move is not None or encoded is None):
                    return cls(era, version, domains, move)
        return None


def _decode_move(fields: t.Any) -> Move | None:
    match fields:
        case [str(domain), str(giving), str(receiving), bool(is_closing)]:
            return Move(domain, giving, receiving, is_closing)
    return None


@dataclasses.dataclass(frozen=True)
class _Seen:
    """The newest record of a service.

    :param era: era of the view in which it was read or written; without a record in the same era an
        operator has deleted it.
    :param is_listed: whether the view has shown it.
    """

    placement: Placement
    era: int
    is_listed: bool


class PlacementRecords:
    """Reads the records on each daemon, and writes them for the controller."""

    def __init__(self, records: RecordStore, view: StoreView, election: Election) -> None:
        self._records = records
        self._view = view
        self._election = election
        self._newest: dict[str, _Seen] = {}
        # Revisions of the records that could not be read and were logged.
        self._unreadable: dict[str, int] = {}
        self._observed_version = -1

    def observe(self) -> None:
        """Compare the records of the view with the newest ones that were seen."""
        if self._observed_version == self._view.records_version:
            return
        self._observed_version = self._view.records_version
        listed = {
            key.removeprefix(PLACEMENT_PREFIX): record
            for key, record in self._view.records.items()
            if key.startswith(PLACEMENT_PREFIX)
        }
        for service, record in listed.items():
            self._observe_record(service, record)
        for service in [*self._newest]:
            self._discard_deleted(service, listed)

    def _observe_record(self, service: str, record: RecordChanged) -> None:
        placement = Placement.decode(record.value) if record.value is not None else None
        era = self._view.position_of(record).era
        seen = self._newest.get(service)
        if placement is None:
            if self._unreadable.get(service) != record.revision:
                self._unreadable[service] = record.revision
                events.PLACEMENT_IGNORED.log(service=service, cause="unreadable", names=[])
            # Whoever overwrote the record in this era has replaced what was remembered.
            if seen is not None and seen.era == era and seen.is_listed:
                del self._newest[service]
        elif seen is None or _order(placement) >= _order(seen.placement):
            self._newest[service] = _Seen(placement, era, is_listed=True)

    def _discard_deleted(self, service: str, listed: t.Container[str]) -> None:
        """Discard a record that an operator has deleted; keep one that a restore has lost."""
        seen = self._newest[service]
        is_lost = self._view.era.is_over(seen.era)
        if service not in listed and seen.is_listed and not is_lost:
            del self._newest[service]

    def current(self, service: str) -> Placement | None:
        """Return the newest placement of a service, or None."""
        seen = self._newest.get(service)
        return seen.placement if seen is not None else None

    def is_lost(self, service: str) -> bool:
        """Return whether the store lacks the newest placement, as it was restored from a copy."""
        seen = self._newest.get(service)
        return seen is not None and self._view.era.is_over(seen.era)

    async def write(self, service: str, domains: t.Mapping[str, str], move: Move | None) -> bool:
        """Write the next placement of a service while this daemon is the controller.

        :returns: whether it was written.
        :raises StoreError: if the outcome is unknown; the same placement may be written again.
        """
        term = self._election.term
        if term is None or not self._election.is_controller:
            return False
        before = self.current(service)
        version = before.version + 1 if before is not None else 1
        placement = Placement(term.era, version, dict(domains), move)
        key = PLACEMENT_PREFIX + service
        written = await self._records.commit({key: placement.encode()}, [], {CONTROLLER_KEY: term})
        if written:
            self._newest[service] = _Seen(placement, term.era, is_listed=False)
        return written


def _order(placement: Placement) -> tuple[int, int]:
    return placement.era, placement.version
