"""Splitting a stream of server-sent events into whole events, and keeping their order.

Owns: the part of an event that has come so far, and the last event's id, of one request.
Relies on: endpoints that end each event with an empty line and raise the ids.
"""

BOUNDARY = b"\n\n"
ID_FIELD = b"id:"


def event_id(event: bytes) -> str | None:
    """Return the id that an event names, or None."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None


class EventSplitter:
    """Passes on only whole events whose ids go on rising.

    An attempt that continues at another endpoint may repeat the last events; those are dropped.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None
        self.events = 0

    @property
    def mid_event(self) -> bool:
        """Whether a part of an event has come that isn't whole yet."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Add bytes. Returns the whole events that may be passed on."""
        *whole, self._rest = (self._rest + data).split(BOUNDARY)
        return b"".join(event + BOUNDARY for event in whole if self._is_next(event))

    def restart(self) -> None:
        """Drop a part of an event, before another attempt continues."""
        self._rest = b""

    def _is_next(self, event: bytes) -> bool:
        found = event_id(event)
        if found is not None:
            if self.last_id is not None and not _rises(self.last_id, found):
                return False
            self.last_id = found
        self.events += 1
        return True


def _rises(before: str, after: str) -> bool:
    if before.isdigit() and after.isdigit():
        return int(after) > int(before)
    return after != before
