"""How late this daemon's own loop is.

A probe that runs out of time while the loop itself was late says nothing of the endpoint:
the answer may lie in the socket unread. Such a silence is no reason for doubt; the
confirmation only grows older, and ends by itself at the end of its window.

Owns: the worst lag, and until when the loop counts as late.
Relies on: a timer that fires late by as much as everything else does.
"""

import asyncio

import mode

from thorncleat_core.clock import Clock

# between timers
TIMER_INTERVAL_SECONDS = 0.02
# for which the loop counts as late afterwards
LATE_HOLD_SECONDS = 1.0
# by which a timer must be late to count
LATE_THRESHOLD_SECONDS = 0.1


class LoopLag(mode.Service):
    """Measures how much later than asked a timer fires."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._due: float | None = None
        self._late_until = 0.0
        self.worst = 0.0

    @property
    def is_late(self) -> bool:
        """Whether the loop is late, or was within the last second."""
        now = self._clock()
        overdue = self._due is not None and now - self._due > LATE_THRESHOLD_SECONDS
        return overdue or now < self._late_until

    def record(self, seconds: float) -> None:
        """Note by how many seconds a timer was late."""
        self.worst = max(self.worst, seconds)
        if seconds > LATE_THRESHOLD_SECONDS:
            self._late_until = self._clock() + LATE_HOLD_SECONDS

    @mode.Service.task
    async def _tick_task(self) -> None:
        while not self.should_stop:
            self._due = self._clock() + TIMER_INTERVAL_SECONDS
            await asyncio.sleep(TIMER_INTERVAL_SECONDS)
            self.record(self._clock() - self._due)
