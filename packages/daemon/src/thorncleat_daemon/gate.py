"""Limiting how many requests start in one iteration of the event loop.

A burst of requests would otherwise block the loop so long that probes and permits expire.

Owns: the requests that wait to start.
Relies on: a short loop iteration if few requests start in it.
"""

import asyncio
import collections


class Gate:
    """Lets a bounded number of requests start in each iteration of the event loop.

    :param per_iteration: requests started in an iteration.
    :param limit: requests that may wait; more are refused.
    """

    def __init__(self, per_iteration: int = 2, limit: int = 5000) -> None:
        self._per_iteration = per_iteration
        self._limit = limit
        self._starts_left = per_iteration
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_scheduled = False

    async def enter(self) -> bool:
        """Wait until the request may start; return False if too many wait already."""
        if len(self._waiting) >= self._limit:
            return False
        self._schedule()
        if self._starts_left > 0 and not self._waiting:
            self._starts_left -= 1
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future
        return True

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_waiting)

    def _start_waiting(self) -> None:
        self._is_scheduled = False
        self._starts_left = self._per_iteration
        while self._waiting and self._starts_left > 0:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                self._starts_left -= 1
        if self._waiting:
            self._schedule()
