"""Releases quarantined requests whose fingerprints operators write into the store.

Owns: the positions of the records that were applied.
Relies on: the store's view for the records.
"""

from .. import events
from ..ports import Position
from ..store.view import StoreView
from .fingerprint import Fingerprint
from .quarantine import Quarantine

# Prefix of the keys; the fingerprint in hexadecimal follows, and the content is ignored.
RELEASES_PREFIX = "thorncleat/lifted/"


class ReleasedRequests:
    """Releases a request whenever an operator creates or changes its record."""

    def __init__(self, view: StoreView, quarantine: Quarantine) -> None:
        self._view = view
        self._quarantine = quarantine
        self._seen_version = -1
        self._applied: dict[str, Position] = {}
        view.on_change(self._apply_records)

    def _apply_records(self) -> None:
        if self._seen_version == self._view.records_version:
            return
        self._seen_version = self._view.records_version
        listed = {
            key: self._view.position_of(record)
            for key, record in self._view.records.items()
            if key.startswith(RELEASES_PREFIX)
        }
        for key, position in listed.items():
            if self._applied.get(key) != position:
                self._release(key.removeprefix(RELEASES_PREFIX))
        self._applied = listed

    def _release(self, name: str) -> None:
        try:
            fingerprint = Fingerprint(bytes.fromhex(name))
        except ValueError as error:
            events.BAD_DOCUMENT.log(key=RELEASES_PREFIX + name, reason=str(error))
            return
        self._quarantine.release(fingerprint)
