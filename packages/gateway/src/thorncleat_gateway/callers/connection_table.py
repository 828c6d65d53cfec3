"""Which connections a listener has, and which one is closed when another one needs its place.

A connection that has nothing to serve is closed for one that may have: first those that have never
sent a request, then those that rest between two, then those whose request is longest on its way.
While all of them are being served, a few more are accepted, and closed after their requests.

Owns: the stage of each connection, and since when it is in it.
Relies on: :mod:`.connection` to report each change.
"""

import enum
import typing as t

from .bounded_log import Cause

# Connections beyond the limit that are accepted while all others are being served, as its share.
SURPLUS_SHARE = 0.25
# Turns of the event loop until a new connection is read, with one to spare.
TURNS_UNTIL_READ = 4
MAX_ACCEPTS_PER_TURN = 64
# How long a connection that is being closed may take to read the rest.
LINGER_SECONDS = 2.0
# Interval between two searches for connections that have taken too long.
EXPIRY_INTERVAL_SECONDS = 0.25
# A search that comes this much late may precede the reading of what has arrived meanwhile.
MAX_LATENESS_SECONDS = 0.25


class Stage(enum.Enum):
    """What a connection is used for at present."""

    # It has sent nothing yet.
    NEW = enum.auto()
    # A part of a request's head has arrived.
    HEAD = enum.auto()
    # A part of a request's body has arrived, or none of it.
    BODY = enum.auto()
    # A complete request is being answered.
    RUNNING = enum.auto()
    # It may send another request.
    RESTING = enum.auto()
    # It is being closed; what still arrives is dropped.
    CLOSING = enum.auto()


# In which order connections are closed for others.
REPLACED_STAGES = (Stage.NEW, Stage.RESTING, Stage.HEAD, Stage.BODY)
# Stages in which the caller waits for nothing.
IDLE_STAGES = (Stage.NEW, Stage.RESTING)


class Connection(t.Protocol):
    """A connection of the table."""

    def drop(self, cause: Cause | None, *, is_idle: bool = False) -> None:
        """Close it, and refuse its unfinished request if that is possible.

        :param is_idle: whether its caller waits for nothing.
        """
        ...

    def abort(self) -> None:
        """End it at once."""
        ...


class ConnectionTable:
    """The connections of one listener.

    :param limit: how many may be open at once.
    :param clock: a clock that never goes back, in seconds.
    """

    def __init__(self, limit: int, clock: t.Callable[[], float]) -> None:
        self._limit = limit
        self._clock = clock
        # Since when each connection is in a stage, the one that is longest in it first.
        self._stages: dict[Stage, dict[Connection, float]] = {stage: {} for stage in Stage}
        self._stage_of: dict[Connection, Stage] = {}
        # Since when a caller doesn't read.
        self._blocked: dict[Connection, float] = {}
        self._expires_at = float("inf")

    def __len__(self) -> int:
        return len(self._stage_of)

    @property
    def accepts_per_turn(self) -> int:
        """How many connections may be accepted in one turn of the event loop.

        What was sent on a connection is read a few turns later, and until then the next ones must
        not take its place.
        """
        return max(1, min(MAX_ACCEPTS_PER_TURN, self._limit // TURNS_UNTIL_READ))

    def add(self, connection: Connection) -> bool:
        """Add a new connection, for which another one may be closed.

        :returns: False if there is no place for it.
        """
        if len(self._stage_of) >= self._limit * (1 + SURPLUS_SHARE):
            closing = next(iter(self._stages[Stage.CLOSING]), None)
            if closing is None:
                return False
            closing.abort()
        elif len(self._stage_of) >= self._limit:
            replaced = self._replaceable()
            if replaced is not None:
                self.drop(replaced, Cause.TOO_MANY_CONNECTIONS)
        self.move(connection, Stage.NEW)
        return True

    def _replaceable(self) -> Connection | None:
        """Return the connection that is to be closed for another one; None if there is none."""
        for stage in REPLACED_STAGES:
            longest = next(iter(self._stages[stage]), None)
            if longest is not None:
                return longest
        return next(iter(self._blocked), None)

    def drop(self, connection: Connection, cause: Cause | None) -> None:
        """Close a connection, which keeps its place until it has ended."""
        is_idle = self._stage_of.get(connection) in IDLE_STAGES
        self._blocked.pop(connection, None)
        self.move(connection, Stage.CLOSING)
        connection.drop(cause, is_idle=is_idle)

    def move(self, connection: Connection, stage: Stage) -> None:
        """Record that a connection has entered a stage; nothing changes if it is in it.

        One that is being closed enters no other.
        """
        before = self._stage_of.get(connection)
        if before in (stage, Stage.CLOSING):
            return
        if before is not None:
            del self._stages[before][connection]
        self._stage_of[connection] = stage
        self._stages[stage][connection] = self._clock()
        if stage is Stage.RESTING and len(self._stage_of) > self._limit:
            self.drop(connection, Cause.TOO_MANY_CONNECTIONS)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        stage = self._stage_of.pop(connection, None)
        if stage is not None:
            del self._stages[stage][connection]
        self._blocked.pop(connection, None)

    def block(self, connection: Connection) -> None:
        """Record that a caller doesn't read."""
        if connection in self._stage_of:
            self._blocked.setdefault(connection, self._clock())

    def unblock(self, connection: Connection) -> None:
        """Record that a caller reads again."""
        self._blocked.pop(connection, None)

    def is_replaceable(self, connection: Connection) -> bool:
        """Return whether a connection may be closed for another one.

        One whose complete request is being answered is not, unless its caller doesn't read.
        """
        is_running = self._stage_of.get(connection) is Stage.RUNNING
        return not is_running or connection in self._blocked

    def expire(self, *, header_timeout: float, idle_timeout: float) -> None:
        """Close the connections that have taken too long.

        A caller that doesn't read gets as much time as one that sends nothing.

        :param header_timeout: seconds that the head of a request may take.
        :param idle_timeout: seconds for which a connection may rest.
        """
        now = self._clock()
        is_late = now > self._expires_at + MAX_LATENESS_SECONDS
        self._expires_at = now + EXPIRY_INTERVAL_SECONDS
        if is_late:
            return
        for connection in _entered_before(self._stages[Stage.CLOSING], now - LINGER_SECONDS):
            connection.abort()
        bounds = (
            (self._stages[Stage.NEW], idle_timeout, Cause.IDLE),
            (self._stages[Stage.RESTING], idle_timeout, Cause.IDLE),
            (self._stages[Stage.HEAD], header_timeout, Cause.SLOW_HEAD),
            (self._blocked, idle_timeout, Cause.UNREAD_ANSWER),
        )
        for connections, seconds, cause in bounds:
            for connection in _entered_before(connections, now - seconds):
                self.drop(connection, cause)


def _entered_before(connections: t.Mapping[Connection, float], at: float) -> list[Connection]:
    """Return the connections of a stage that entered it before a time."""
    found = []
    for connection, since in connections.items():
        if since > at:
            break
        found.append(connection)
    return found
