"""The clock for leases, permits, deadlines and ages, and an event loop that runs on it.

Owns: nothing.
Relies on: ``CLOCK_BOOTTIME``, which is specific to Linux.
"""

import asyncio
import time
import typing as t

Clock = t.Callable[[], float]


def now() -> float:
    """Return the seconds since boot, including the time for which the instance was suspended.

    The ordinary monotonic clock stops during a suspension, so an expired lease would look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time for which the instance is suspended.

    With the default clock, a suspension would delay deadlines and lease renewals.
    """

    def time(self) -> float:
        """Return the time of :func:`now`."""
        return now()
