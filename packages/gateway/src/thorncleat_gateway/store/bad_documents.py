"""Logs documents of the store that can't be read, once for each change of what is wrong with them.

A writer may repeat a document at each heartbeat.

Owns: what was last wrong with each document, for a bounded number of them.
Relies on: nothing.
"""

from .. import events

# Documents that are remembered; the one that is remembered for longest is forgotten first.
MAX_DOCUMENTS = 1_000


class BadDocumentLog:
    """Logs invalid documents by their keys."""

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def record(self, key: str, reason: str) -> None:
        """Log a document unless the same is known of it already."""
        if self._reasons.pop(key, None) != reason:
            events.BAD_DOCUMENT.log(key=key, reason=reason)
        self._reasons[key] = reason
        if len(self._reasons) > MAX_DOCUMENTS:
            del self._reasons[next(iter(self._reasons))]

    def forget(self, key: str) -> None:
        """Forget a document that can be read, or was deleted."""
        self._reasons.pop(key, None)
