"""Shares the turns of the event loop between callers' connections.

What arrives on a connection is parsed at once, as long as a turn of the loop has time for it. What
has to wait is parsed in the next turns, that of the connections with the least use first. So one
that sends bytes which take much work, such as a body in chunks of one byte, costs the others
little, and still gets all the time that nobody else needs.

Owns: how long each connection has lately used the loop, and which ones wait.
Relies on: the event loop to run the turns one after the other.
"""

import asyncio
import heapq
import itertools
import typing as t

# Time for parsing in one turn of the loop, and the part of it for what has waited.
TURN_SECONDS = 0.005
WAITING_SECONDS = 0.0025
# Time after which a turn certainly has ended, if nothing waits for the next one.
LONGEST_TURN_SECONDS = 0.01
# Use of a connection above which it waits while a turn's time for the waiting is used up.
HEAVY_SECONDS = 0.01
# Use that a connection regains in a second.
REGAINED_PER_SECOND = 0.05


class Use:
    """How long a connection has lately used the loop.

    :ivar seconds: without what it has regained since :attr:`at`.
    """

    def __init__(self, now: float) -> None:
        self.seconds = 0.0
        self.at = now

    def add(self, seconds: float, now: float) -> None:
        """Add a use."""
        self.seconds = self.current(now) + seconds
        self.at = now

    def current(self, now: float) -> float:
        """Return the use without what has been regained."""
        return max(0.0, self.seconds - (now - self.at) * REGAINED_PER_SECOND)


class LoopTurns:
    """The turns of the loop that callers' connections use.

    :param clock: a clock that never goes back, in seconds.
    :ivar deferred: how often something had to wait.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._began_at = float("-inf")
        self._spent = 0.0
        self._is_scheduled = False
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, Use, t.Callable[[], None]]] = []
        self.deferred = 0

    def new_use(self) -> Use:
        """Return the use of a new connection."""
        return Use(self._clock())

    def run(self, use: Use, parse: t.Callable[[], None]) -> bool:
        """Parse now, or in one of the next turns.

        :param parse: parses what has arrived on a connection; called once.
        :returns: whether it was called.
        """
        now = self._clock()
        if now - self._began_at >= LONGEST_TURN_SECONDS:
            self._begin(now)
        seconds = use.current(now)
        bound = WAITING_SECONDS if seconds > HEAVY_SECONDS else TURN_SECONDS
        if self._spent < bound:
            self._measure(use, now, parse)
            return True
        self.deferred += 1
        heapq.heappush(self._waiting, (seconds, next(self._order), use, parse))
        self._schedule()
        return False

    def _begin(self, now: float) -> None:
        self._began_at, self._spent = now, 0.0

    def _measure(self, use: Use, began_at: float, parse: t.Callable[[], None]) -> None:
        try:
            parse()
        finally:
            now = self._clock()
            self._spent += now - began_at
            use.add(now - began_at, now)

    def _schedule(self) -> None:
        """Have the next turn begin with what waits."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        self._is_scheduled = False
        now = self._clock()
        self._begin(now)
        try:
            while self._waiting and self._spent < WAITING_SECONDS:
                _, _, use, parse = heapq.heappop(self._waiting)
                self._measure(use, now, parse)
                now = self._clock()
        finally:
            if self._waiting:
                self._schedule()
