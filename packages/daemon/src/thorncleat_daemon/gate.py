"""Letting requests in a few at a turn of the loop.

Starting a request costs milliseconds of processor time. When hundreds come at once and all
start in the same turn, the loop gets to nothing else for a second: probes come late, permits
end, and the daemon closes its own groups. The gate keeps each turn short; the rush takes as
long as before, and the control work goes on in between.

Owns: the requests that wait for their turn.
Relies on: a turn of the loop being short once few requests start in it.
"""

import asyncio
import collections


class Gate:
    """Lets a bounded number of requests start in each turn of the loop.

    :param per_turn: how many.
    :param limit: how many may wait; more are refused.
    """

    def __init__(self, per_turn: int = 2, limit: int = 5000) -> None:
        self._per_turn = per_turn
        self._limit = limit
        self._left = per_turn
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._scheduled = False

    async def enter(self) -> bool:
        """Wait for this request's turn; False if too many wait already."""
        if len(self._waiting) >= self._limit:
            return False
        self._schedule()
        if self._left > 0 and not self._waiting:
            self._left -= 1
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future
        return True

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._scheduled = False
        self._left = self._per_turn
        while self._waiting and self._left > 0:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                self._left -= 1
        if self._waiting:
            self._schedule()
