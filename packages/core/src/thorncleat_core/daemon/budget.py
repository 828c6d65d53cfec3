"""A rate limit on calls to the store that the daemons share.

Owns: the token buckets of this daemon.
Relies on: all daemons knowing about the same number of daemons.
"""

import collections
import dataclasses
import enum


class Purpose(enum.StrEnum):
    """The purposes of calls to the store, in descending order of priority."""

    LEASE = "lease"
    CLAIM = "claim"
    ASSIGN = "assign"
    CONFIG = "config"
    READ = "read"


# Fraction of a bucket that is reserved for calls of a higher priority.
RESERVED_FRACTIONS = {
    Purpose.LEASE: 0.0,
    Purpose.CLAIM: 0.2,
    Purpose.ASSIGN: 0.3,
    Purpose.CONFIG: 0.4,
    Purpose.READ: 0.5,
}


@dataclasses.dataclass(frozen=True)
class FleetRates:
    """The maximum calls per second of the whole fleet."""

    writes: float = 100.0
    reads: float = 2000.0


class _Bucket:
    """A token bucket that is full when it is first refilled."""

    def __init__(self) -> None:
        self.level: float | None = None
        self.refilled_at = 0.0

    def refill(self, rate: float, depth: float, now: float) -> None:
        if self.level is None:
            self.level = depth
        else:
            self.level = min(depth, self.level + (now - self.refilled_at) * rate)
        self.refilled_at = now


class StoreBudget:
    """Limits the rate at which a daemon calls the store.

    Each daemon gets an equal share of the fleet's rates. Part of the rates stays unused, so that
    daemons that know of fewer members don't overload the store.

    :param rates: rates of the whole fleet.
    """

    # The minimum burst lets a daemon start or take over shards without waiting.
    MIN_BURST_CALLS = 8.0
    USED_FRACTION = 0.8
    BURST_SECONDS = 10.0

    def __init__(self, rates: FleetRates) -> None:
        self._rates = rates
        self._daemon_count = 1
        self._writes = _Bucket()
        self._reads = _Bucket()
        self.calls: collections.Counter[str] = collections.Counter()
        self.deferred: collections.Counter[str] = collections.Counter()

    def set_daemon_count(self, count: int) -> None:
        """Set the number of daemons that share the rates."""
        self._daemon_count = max(1, count)

    def calls_per_second(self, write: bool) -> float:
        """Return the calls per second that this daemon may make."""
        rate = self._rates.writes if write else self._rates.reads
        return rate * self.USED_FRACTION / self._daemon_count

    def reserve(self, write: bool, purpose: Purpose, now: float) -> float:
        """Reserve a call and return 0, or return the seconds to wait until the next try."""
        bucket = self._writes if write else self._reads
        rate = self.calls_per_second(write)
        depth = max(self.MIN_BURST_CALLS, rate * self.BURST_SECONDS)
        bucket.refill(rate, depth, now)
        level = bucket.level or 0.0
        missing = 1 + RESERVED_FRACTIONS[purpose] * depth - level
        if missing > 0:
            self.deferred[purpose] += 1
            return missing / rate
        bucket.level = level - 1
        self.calls[purpose] += 1
        return 0.0


class Backoff:
    """Exponential backoff with jitter.

    :param initial_delay: upper bound of the first delay in seconds.
    :param max_delay: upper bound of all delays in seconds.
    """

    def __init__(self, initial_delay: float = 0.1, max_delay: float = 5.0) -> None:
        self._initial_delay = initial_delay
        self._max_delay = max_delay
        self._failures = 0

    def next_delay(self, draw: float) -> float:
        """Return the delay in seconds after another failure.

        :param draw: random number in [0, 1) for the jitter.
        """
        ceiling = min(self._max_delay, self._initial_delay * 2.0 ** min(self._failures, 20))
        self._failures += 1
        return ceiling * (0.5 + draw / 2)

    def reset(self) -> None:
        """Reset the delay after a success."""
        self._failures = 0
