"""The clock that leases, permits and deadlines are measured by.

Owns: nothing.
Relies on: CLOCK_BOOTTIME, which Linux has.
"""

import time
import typing as t

Clock = t.Callable[[], float]


def now() -> float:
    """Return seconds that go on while the instance is suspended and are never set.

    The ordinary monotonic clock stops with a suspended instance, on which a lease would then
    seem to last.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
