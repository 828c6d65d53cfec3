"""Operators' word that a request is to be let in again before its time.

An operator writes a record ``thorncleat/lifted/FINGERPRINT`` into the store, with any content; each
daemon forgets what it remembers of that request when the record comes or changes.

Owns: the positions of those records that were followed.
Relies on: the store's view for the records, and on the fingerprint as log lines show it.
"""

from .. import events
from ..ports import Position
from ..store.view import StoreView
from .fingerprint import Fingerprint
from .quarantine import Quarantine

LIFTED = "thorncleat/lifted/"


class LiftedHolds:
    """Follows the records by which operators lift holds."""

    def __init__(self, view: StoreView, quarantine: Quarantine) -> None:
        self._view = view
        self._quarantine = quarantine
        self._seen_version = -1
        # of each record that was followed
        self._followed: dict[str, Position] = {}
        view.on_change(self._look)

    def _look(self) -> None:
        if self._seen_version == self._view.records_version:
            return
        self._seen_version = self._view.records_version
        listed = {
            key: self._view.position_of(record)
            for key, record in self._view.records.items()
            if key.startswith(LIFTED)
        }
        for key, position in listed.items():
            if self._followed.get(key) != position:
                self._lift(key.removeprefix(LIFTED))
        self._followed = listed

    def _lift(self, name: str) -> None:
        try:
            fingerprint = Fingerprint(bytes.fromhex(name))
        except ValueError as error:
            events.BAD_DOCUMENT.log(key=LIFTED + name, reason=str(error))
            return
        self._quarantine.lift(fingerprint)
