"""Measures how late the event loop of this daemon runs.

While the loop is late, answers that arrived in time may be unread, so a missing answer proves
nothing about the endpoint.

Owns: the lateness of the last ticks.
Relies on: :class:`.FailureDetector`, which records a tick at a steady interval.
"""

import collections
import typing as t

# Number of ticks to remember; together they span 1.3 s, more than any call to an endpoint takes.
MAX_TICKS = 64
# A missing answer proves nothing about an endpoint if the loop was later than this, a fourth of the
# shortest timeout of a call.
MAX_LATENESS_SECONDS = 0.04


class _Tick(t.NamedTuple):
    """A wake-up of the event loop.

    :param at: time of the wake-up, in seconds on the gateway's clock.
    :param late_seconds: how long after the due time it came.
    """

    at: float
    late_seconds: float


class OwnLateness:
    """Remembers how late the last ticks of the event loop were.

    :param interval: seconds between two ticks that are on time.
    """

    def __init__(self, clock: t.Callable[[], float], interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._ticks: collections.deque[_Tick] = collections.deque(maxlen=MAX_TICKS)

    def record_tick(self) -> float:
        """Record a wake-up and return by how many seconds it was late."""
        late_seconds = self._overdue_seconds()
        self._ticks.append(_Tick(self._clock(), late_seconds))
        return late_seconds

    def max_lateness_since(self, since: float) -> float:
        """Return the maximum lateness since an instant in seconds, including the pending tick's."""
        return max(
            [
                self._overdue_seconds(),
                *(tick.late_seconds for tick in self._ticks if tick.at >= since),
            ]
        )

    def _overdue_seconds(self) -> float:
        """Return for how many seconds the next tick has been due; 0 before the first one."""
        if not self._ticks:
            return 0.0
        return max(0.0, self._clock() - self._ticks[-1].at - self._interval)
