"""How many calls to endpoints may be under way at once, and which go first.

The load pattern: a controller that forms all groups at once has to call each endpoint several
times. Sent side by side, the calls wait for the processor longer than for the endpoints, and all of
them run into their time-outs. So a call begins, and with it its time-out, only when it is its turn,
and the number under way follows how late the own event loop runs: on a small instance few calls
fill the processor, on a large one many.

Owns: the limit, the calls under way and those that wait.
Relies on: :class:`.OwnLateness`; each call's own time-out, which bounds how long it is under way.
"""

import asyncio
import contextlib
import heapq
import itertools
import typing as t

from ..peers.own_lateness import MAX_LATENESS_SECONDS
from ..peers.own_lateness import OwnLateness
from ..store.roster import GroupId

# calls under way at first
FIRST_LIMIT = 16
# which are always allowed, so that a daemon that is late goes on
LEAST_LIMIT = 4
# which are never exceeded: a connection each, of the thousands that a process may have open
MOST_LIMIT = 128
# by which the limit shrinks when the own loop is late
SHRINK = 0.7


class Urgency(t.NamedTuple):
    """The place of a call among those that wait; the least goes first.

    :param rank: of its kind.
    :param order: among calls of the same kind.
    """

    rank: int
    order: int = 0


# what a group that serves, or should no longer, waits for
AT_ONCE = Urgency(0)
# what nobody waits for: hosts that load, endpoints that were silent before
LAST = Urgency(2)


def forming(group: GroupId) -> Urgency:
    """Return the urgency of calls that form a group.

    The group that was begun first is whole first: it serves while later ones still wait.
    """
    return Urgency(1, group.epoch)


class _Waiting(t.NamedTuple):
    """A call that waits for its turn."""

    urgency: Urgency
    number: int
    turn: asyncio.Future[None]


class CallWindow:
    """Lets calls go when it is their turn."""

    def __init__(self, lateness: OwnLateness, clock: t.Callable[[], float]) -> None:
        self._lateness = lateness
        self._clock = clock
        self._limit = float(FIRST_LIMIT)
        self._shrunk_at = float("-inf")
        self._under_way = 0
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()

    @property
    def limit(self) -> int:
        """The number of calls that may be under way now."""
        return int(self._limit)

    @property
    def waiting(self) -> int:
        """The number of calls that wait for their turn."""
        return sum(not waiting.turn.done() for waiting in self._waiting)

    def was_late_since(self, moment: float) -> bool:
        """Return whether the own loop was late since a moment, so that silence proves nothing."""
        return self._lateness.max_lateness_since(moment) > MAX_LATENESS_SECONDS

    @contextlib.asynccontextmanager
    async def turn(self, urgency: Urgency) -> t.AsyncIterator[None]:
        """Wait until a call may be sent, and count it until the block ends."""
        await self._wait(urgency)
        begun = self._clock()
        try:
            yield
        finally:
            self._under_way -= 1
            self._adapt(begun)
            self._wake()

    async def _wait(self, urgency: Urgency) -> None:
        if self._under_way < self.limit and not self._waiting:
            self._under_way += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, _Waiting(urgency, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # the turn had come: the next one gets it
                self._under_way -= 1
                self._wake()
            raise

    def _wake(self) -> None:
        while self._waiting and self._under_way < self.limit:
            turn = heapq.heappop(self._waiting).turn
            if not turn.done():
                self._under_way += 1
                turn.set_result(None)

    def _adapt(self, begun: float) -> None:
        """Change the limit by how late the own loop was during a call.

        :param begun: when the call began; one that began before the limit shrank says nothing new.
        """
        if not self.was_late_since(begun):
            self._limit = min(MOST_LIMIT, self._limit + 1 / self._limit)
        elif begun >= self._shrunk_at:
            self._limit = max(LEAST_LIMIT, self._limit * SHRINK)
            self._shrunk_at = self._clock()
