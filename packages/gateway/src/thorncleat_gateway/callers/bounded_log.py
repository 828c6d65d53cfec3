"""Counts and logs the connections and requests of callers that were bounded.

A crowd must not fill the log, so each cause has a line at once and then one in an interval.

Owns: the counts by cause, since the start and since the latest line.
Relies on: nothing.
"""

import collections
import dataclasses
import enum
import typing as t

from .. import events

# Least time between two lines of one cause and listener.
LOG_INTERVAL_SECONDS = 10.0


class Cause(enum.Enum):
    """What a caller took too much of; logged as ``cause`` of event 7326."""

    TOO_MANY_CONNECTIONS = "too many connections"
    IDLE = "idle for too long"
    LARGE_HEAD = "head over the limit"
    SLOW_HEAD = "head too slow"
    MALFORMED = "malformed request"
    PENDING_MEMORY = "no memory for what is pending"
    SLOW_BODY = "body too slow"
    BODY_MEMORY = "no memory for the body"
    LONG_TRAILERS = "trailers over the limit"
    UNREAD_ANSWER = "answer not read"
    # It is read later, after the others.
    MANY_TURNS = "too many turns of the loop"


@dataclasses.dataclass
class _Kind:
    """The count of one cause at one listener.

    :ivar unlogged: those since the latest line.
    """

    total: int = 0
    unlogged: int = 0
    logged_at: float = float("-inf")


class BoundedLog:
    """Counts and logs by cause and listener.

    :param clock: a clock that never goes back, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._kinds: dict[tuple[str, Cause], _Kind] = collections.defaultdict(_Kind)

    def record(self, listener: str, cause: Cause) -> None:
        """Count a caller that was bounded, and log it unless a line has just been written.

        :param listener: the name of the listener that it had connected to.
        """
        kind = self._kinds[listener, cause]
        kind.total += 1
        kind.unlogged += 1
        now = self._clock()
        if now - kind.logged_at < LOG_INTERVAL_SECONDS:
            return
        events.CALLER_BOUNDED.log(
            listener=listener, cause=cause.value, count=kind.unlogged, total=kind.total
        )
        kind.unlogged, kind.logged_at = 0, now

    def totals(self) -> dict[tuple[str, str], float]:
        """Return the counts since the start, by listener and cause."""
        return {
            (listener, cause.value): float(kind.total)
            for (listener, cause), kind in self._kinds.items()
        }
