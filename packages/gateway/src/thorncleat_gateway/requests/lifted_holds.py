"""Releases quarantined requests on behalf of operators.

An operator writes a record ``thorncleat/lifted/FINGERPRINT`` with any content into the store. Each
daemon then forgets the crashes of that request, and does so again whenever the record changes.

Owns: the positions of the records that were applied.
Relies on: the store's view for the records, and the fingerprint as log lines show it.
"""

from .. import events
from ..ports import Position
from ..store.view import StoreView
from .fingerprint import Fingerprint
from .quarantine import Quarantine

RELEASES_PREFIX = "thorncleat/lifted/"


class ReleasedRequests:
    """Applies the records by which operators release requests."""

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
