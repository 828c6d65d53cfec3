"""Splits a stream of server-sent events into whole events and drops repeated ones.

Owns: the incomplete event and the latest id of one request's stream.
Relies on: endpoints that end each event with an empty line and use rising ids.
"""

import re

# Without control characters.
_USABLE_ID = re.compile(r"[^\x00-\x1f\x7f-\x9f]{0,1000}")
_NUMBER = re.compile(r"[0-9]{1,1000}")
BOUNDARY = b"\n\n"
ID_FIELD = b"id:"


def event_id(event: bytes) -> str | None:
    """Return the id of an event, or None if it has none that a header can hold."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            found = line[len(ID_FIELD) :].strip().decode("latin-1")
            return found if _USABLE_ID.fullmatch(found) else None
    return None


class EventSplitter:
    """Extracts the whole events with rising ids.

    An attempt that resumes at another endpoint may repeat the last events; those are dropped.

    :ivar whole_count: number of whole events, with the repeated ones.
    :ivar event_count: number of events with rising ids.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self.last_id: str | None = None
        self.whole_count = 0
        self.event_count = 0

    @property
    def is_mid_event(self) -> bool:
        """Whether an incomplete event has been received."""
        return bool(self._incomplete)

    @property
    def incomplete_size(self) -> int:
        """Bytes of the incomplete event."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events that may be passed on."""
        # What was searched before isn't searched again, but for the first byte of a boundary.
        searched = max(0, len(self._incomplete) - len(BOUNDARY) + 1)
        self._incomplete += data
        end = self._incomplete.rfind(BOUNDARY, searched)
        if end < 0:
            return b""
        whole = bytes(self._incomplete[:end])
        del self._incomplete[: end + len(BOUNDARY)]
        events = whole.split(BOUNDARY)
        self.whole_count += len(events)
        return b"".join(event + BOUNDARY for event in events if self._is_next(event))

    def restart(self) -> None:
        """Drop an incomplete event before another attempt resumes."""
        self._incomplete.clear()

    def _is_next(self, event: bytes) -> bool:
        new_id = event_id(event)
        if new_id is not None:
            if self.last_id is not None and not _is_rising(self.last_id, new_id):
                return False
            self.last_id = new_id
        self.event_count += 1
        return True


def _is_rising(before: str, after: str) -> bool:
    if _NUMBER.fullmatch(before) and _NUMBER.fullmatch(after):
        return int(after) > int(before)
    return after != before
