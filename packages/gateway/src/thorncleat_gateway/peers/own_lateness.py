"""How late this daemon's own event loop runs.

A daemon that is late misses answers that came in time: then the silence of others says something of
this daemon, and nothing of them.

Owns: the lateness of the last ticks.
Relies on: whoever wakes up at a steady interval (:class:`.FailureDetector`) to note each tick.
"""

import collections
import typing as t

# ticks that are remembered, 1.3 s at the detector's interval: longer than any call to an endpoint
# may take
TICKS = 64
# lateness from which on a silence proves nothing, in seconds: a fourth of the shortest time-out of
# a call
MAX_LATENESS_SECONDS = 0.04


class _Tick(t.NamedTuple):
    """A wake-up.

    :param at: when it came, in seconds on the gateway's clock.
    :param late: seconds after it was due.
    """

    at: float
    late: float


class OwnLateness:
    """Remembers how late the loop's last ticks were.

    :param interval: seconds between two ticks that come in time.
    """

    def __init__(self, clock: t.Callable[[], float], interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._ticks: collections.deque[_Tick] = collections.deque(maxlen=TICKS)

    def record_tick(self) -> float:
        """Note a wake-up; return by how many seconds it was late."""
        late = self._overdue()
        self._ticks.append(_Tick(self._clock(), late))
        return late

    def max_lateness_since(self, moment: float) -> float:
        """Return by how many seconds the loop was late at most since a moment, or is now."""
        return max([self._overdue(), *(tick.late for tick in self._ticks if tick.at >= moment)])

    def _overdue(self) -> float:
        """Return for how many seconds the next tick has been due; 0 before the first."""
        if not self._ticks:
            return 0.0
        return max(0.0, self._clock() - self._ticks[-1].at - self._interval)
