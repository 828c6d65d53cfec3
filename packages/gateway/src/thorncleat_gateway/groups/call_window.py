"""Limits how many calls to endpoints are under way, and decides which go first.

A call and its timeout begin only when it gets a slot, so that a controller that forms many groups
doesn't run into timeouts because its own processor is busy.

Owns: the limit, the number of calls under way, and the waiting calls.
Relies on: :class:`.OwnLateness`, and each call's own timeout, which bounds how long it holds its
slot.
"""

import asyncio
import contextlib
import heapq
import itertools
import typing as t

from ..peers.own_lateness import MAX_LATENESS_SECONDS
from ..peers.own_lateness import OwnLateness
from ..store.roster import GroupId

INITIAL_LIMIT = 16
# Always allowed, so that a daemon whose event loop is late still makes progress.
MIN_LIMIT = 4
# Each call needs a connection, and a process may open only so many.
MAX_LIMIT = 128
# Factor by which the limit shrinks when this daemon's event loop is late.
SHRINK_FACTOR = 0.7


class Urgency(t.NamedTuple):
    """Priority of a waiting call; the smallest goes first.

    :param rank: rank of the call's kind.
    :param sequence: position among calls of the same kind.
    """

    rank: int
    sequence: int = 0


# Calls for groups that serve or must end.
IMMEDIATE = Urgency(0)
# Calls that nobody waits for: loads, and probes of silent or slow endpoints.
BACKGROUND = Urgency(2)


def forming_urgency(group: GroupId) -> Urgency:
    """Return the urgency of calls that form a group.

    Groups that were begun earlier go first, so that they serve while later ones still wait.
    """
    return Urgency(1, group.epoch)


class _WaitingCall(t.NamedTuple):
    """A call that waits for a slot."""

    urgency: Urgency
    number: int
    slot: asyncio.Future[None]


class CallWindow:
    """Limits the calls under way and orders the waiting ones by urgency.

    The limit follows the lateness of this daemon's event loop.
    """

    def __init__(self, lateness: OwnLateness, clock: t.Callable[[], float]) -> None:
        self._lateness = lateness
        self._clock = clock
        self._limit = float(INITIAL_LIMIT)
        self._shrunk_at = float("-inf")
        self._under_way = 0
        self._waiting: list[_WaitingCall] = []
        self._numbers = itertools.count()

    @property
    def limit(self) -> int:
        """The number of calls that may be under way now."""
        return int(self._limit)

    @property
    def waiting(self) -> int:
        """The number of calls that wait for a slot."""
        return sum(not waiting.slot.done() for waiting in self._waiting)

    def was_late_since(self, since: float) -> bool:
        """Return whether the event loop was late since a time, so that silence proves nothing."""
        return self._lateness.max_lateness_since(since) > MAX_LATENESS_SECONDS

    @contextlib.asynccontextmanager
    async def slot(self, urgency: Urgency) -> t.AsyncIterator[None]:
        """Wait for a slot and hold it until the block ends."""
        await self._acquire(urgency)
        began_at = self._clock()
        try:
            yield
        finally:
            self._under_way -= 1
            self._adapt_limit(began_at)
            self._start_waiting()

    async def _acquire(self, urgency: Urgency) -> None:
        if self._under_way < self.limit and not self._waiting:
            self._under_way += 1
            return
        slot = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, _WaitingCall(urgency, next(self._numbers), slot))
        try:
            await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                # The slot was already granted, so the next call gets it.
                self._under_way -= 1
                self._start_waiting()
            raise

    def _start_waiting(self) -> None:
        while self._waiting and self._under_way < self.limit:
            slot = heapq.heappop(self._waiting).slot
            if not slot.done():
                self._under_way += 1
                slot.set_result(None)

    def _adapt_limit(self, began_at: float) -> None:
        """Adjust the limit by the event loop's lateness during a call.

        :param began_at: when the call began. The limit shrinks only for calls that began after it
            last shrank.
        """
        if not self.was_late_since(began_at):
            self._limit = min(MAX_LIMIT, self._limit + 1 / self._limit)
        elif began_at >= self._shrunk_at:
            self._limit = max(MIN_LIMIT, self._limit * SHRINK_FACTOR)
            self._shrunk_at = self._clock()
