"""The clock by which leases, permits, deadlines and ages are measured, and an event loop on it.

Owns: nothing.
Relies on: CLOCK_BOOTTIME, which Linux has.
"""

import asyncio
import time
import typing as t

Clock = t.Callable[[], float]


def now() -> float:
    """Return seconds that go on while the instance is suspended and are never set.

    The ordinary monotonic clock stops with a suspended instance, on which a lease would then
    seem to last.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers go on while the instance is suspended.

    On the loop's usual clock a timer that was due within a suspension of 10 s runs 10 s late: then
    a request is held for so much longer than its deadline, and a lease is renewed too late.
    """

    def time(self) -> float:
        """Return the time of :func:`now`."""
        return now()
