"""Detection of event loop lag.

A probe that times out while the loop is late doesn't count as missed, since its answer may be
unread.

Owns: the worst lag, and until when the loop counts as late.
Relies on: a timer that is delayed as much as the other callbacks.
"""

import asyncio

import mode

from thorncleat_core.clock import Clock

TIMER_INTERVAL_SECONDS = 0.02
# The loop still counts as late for this time after a late timer.
LATE_HOLD_SECONDS = 1.0
LATE_THRESHOLD_SECONDS = 0.1


class LoopLag(mode.Service):
    """Measures the delay of a periodic timer."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._due_at: float | None = None
        self._late_until = 0.0
        self.worst_seconds = 0.0

    @property
    def is_late(self) -> bool:
        """Whether the loop is late or was so recently."""
        now = self._clock()
        is_overdue = self._due_at is not None and now - self._due_at > LATE_THRESHOLD_SECONDS
        return is_overdue or now < self._late_until

    def record(self, seconds: float) -> None:
        """Record the delay of a timer in seconds."""
        self.worst_seconds = max(self.worst_seconds, seconds)
        if seconds > LATE_THRESHOLD_SECONDS:
            self._late_until = self._clock() + LATE_HOLD_SECONDS

    @mode.Service.task
    async def _tick_task(self) -> None:
        while not self.should_stop:
            self._due_at = self._clock() + TIMER_INTERVAL_SECONDS
            await asyncio.sleep(TIMER_INTERVAL_SECONDS)
            self.record(self._clock() - self._due_at)
