"""When callers whose requests were shed are asked to come back.

A caller who comes back while there is still no capacity is refused twice, which is the worst
outcome. So each daemon calls back no more than its share of a part of the slots that come free,
which leaves most of them to new callers, and it draws each time at random, so that callers do not
come back together.

Owns: the intervals that are promised to callers.
Relies on: callers that wait for the time they are told, up to a third of their time left.
"""

import math
import random
import typing as t

from ...model_key import ModelKey
from ..capacity_estimate import CapacityEstimate
from ..retry_after import MAX_PAUSE_WAIT_SECONDS

# Share of the slots that come free which is promised to callers who come back. New callers get the
# rest: their targets have not begun to run out.
CALLBACK_FRACTION = 0.1
# Slots seen as taken may be seen as free after the next load reports at the earliest.
MIN_SECONDS = 0.2
# Callers for whom no interval is left come back near the end of the longest wait, the more urgent
# ones first. The first event of their first try is late by then in any case, and the longer they
# wait, the more likely the burst is over.
LATE_BEGIN_SECONDS = 0.7 * MAX_PAUSE_WAIT_SECONDS
# Length of the part in which callers of one level come back.
LATE_SPREAD_SECONDS = 0.15 * MAX_PAUSE_WAIT_SECONDS


def callback_interval(capacity: CapacityEstimate, daemons: int) -> float:
    """Return the seconds between two callers whom one daemon calls back; infinity if unknown."""
    if not capacity.freed_per_second:
        return math.inf
    return max(1, daemons) / (CALLBACK_FRACTION * capacity.freed_per_second)


def late_range(level: int, level_count: int) -> tuple[float, float]:
    """Return the least and the greatest wait of a caller for whom no interval is left.

    :param level: of the request, 0 the most urgent.
    :param level_count: levels of the service.
    """
    fraction = min(1.0, level / max(1, level_count - 1))
    begin = LATE_BEGIN_SECONDS + fraction * LATE_SPREAD_SECONDS
    return begin, begin + LATE_SPREAD_SECONDS


class ReturnTimes:
    """The intervals in which this daemon calls callers back, by service and model.

    A caller gets the first interval that is free. A less urgent one leaves the earlier part of the
    time to more urgent ones.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Begin and end of each promised interval, in order.
        self._promised: dict[ModelKey, list[tuple[float, float]]] = {}

    def seconds(
        self,
        key: ModelKey,
        now: float,
        interval: float,
        level: int,
        level_count: int,
    ) -> float:
        """Return the seconds after which a caller should come back, and promise the interval.

        :param key: service and model.
        :param interval: see :func:`callback_interval`.
        :param level: of the request, 0 the most urgent.
        :param level_count: levels of the service.
        """
        promised = [(begin, end) for begin, end in self._promised.get(key, ()) if end > now]
        self._promised[key] = promised
        earliest, late_end = late_range(level, level_count)
        begin = _first_free(promised, now + MIN_SECONDS + earliest - LATE_BEGIN_SECONDS, interval)
        if begin - now < late_end and interval < math.inf:
            promised.append((begin, begin + interval))
            promised.sort()
            drawn = self._rng.uniform(begin, begin + interval) - now
            if drawn <= late_end:
                return drawn
        return self._rng.uniform(earliest, late_end)


def _first_free(
    promised: t.Sequence[tuple[float, float]], earliest: float, interval: float
) -> float:
    """Return the begin of the first interval that overlaps no promised one."""
    begin = earliest
    for taken_begin, taken_end in promised:
        if taken_begin >= begin + interval:
            break
        begin = max(begin, taken_end)
    return begin
