"""The store's budget: one limiter in each daemon, sharing the fleet's rates.

Owns: how many calls this daemon may make now.
Relies on: the number of daemons, which views of the membership give about alike.
"""

import collections
import dataclasses
import enum


class Purpose(enum.StrEnum):
    """What a call to the store is for, in the order of their importance."""

    LEASE = "lease"
    CLAIM = "claim"
    ASSIGN = "assign"
    CONFIG = "config"
    READ = "read"


# part of a bucket that must stay in it for calls of greater importance
RESERVES = {
    Purpose.LEASE: 0.0,
    Purpose.CLAIM: 0.2,
    Purpose.ASSIGN: 0.3,
    Purpose.CONFIG: 0.4,
    Purpose.READ: 0.5,
}


@dataclasses.dataclass(frozen=True)
class FleetRates:
    """What the whole fleet may ask of the store a second."""

    writes: float = 100.0
    reads: float = 2000.0


class _Bucket:
    def __init__(self) -> None:
        self.level: float | None = None
        self.at = 0.0

    def refill(self, rate: float, depth: float, now: float) -> None:
        if self.level is None:
            self.level = depth
        else:
            self.level = min(depth, self.level + (now - self.at) * rate)
        self.at = now


class StoreBudget:
    """Decides when a daemon may call the store.

    A daemon gets an equal part of four fifths of the fleet's rates, so that views of the
    membership that differ a little do not overrun the store. A bucket holds ten seconds of
    that part and at least :attr:`MIN_DEPTH` calls, so that a start or a takeover need not
    wait.

    :param rates: of the whole fleet.
    """

    # calls, part of the fleet's rates, and seconds
    MIN_DEPTH = 8.0
    USED_PART = 0.8
    DEPTH_SECONDS = 10.0

    def __init__(self, rates: FleetRates) -> None:
        self._rates = rates
        self._members = 1
        self._writes = _Bucket()
        self._reads = _Bucket()
        self.calls: collections.Counter[str] = collections.Counter()
        self.deferred: collections.Counter[str] = collections.Counter()

    def set_daemon_count(self, count: int) -> None:
        """Set how many daemons share the rates."""
        self._members = max(1, count)

    def calls_per_second(self, write: bool) -> float:
        """Return the calls a second that this daemon may make."""
        rate = self._rates.writes if write else self._rates.reads
        return rate * self.USED_PART / self._members

    def reserve(self, write: bool, purpose: Purpose, now: float) -> float:
        """Take a call if there is room, and return 0; else return seconds to wait."""
        bucket = self._writes if write else self._reads
        rate = self.calls_per_second(write)
        depth = max(self.MIN_DEPTH, rate * self.DEPTH_SECONDS)
        bucket.refill(rate, depth, now)
        level = bucket.level or 0.0
        missing = 1 + RESERVES[purpose] * depth - level
        if missing > 0:
            self.deferred[purpose] += 1
            return missing / rate
        bucket.level = level - 1
        self.calls[purpose] += 1
        return 0.0


class Backoff:
    """Growing, jittered waits after failures.

    :param first: seconds of the first wait.
    :param longest: seconds of the longest.
    """

    def __init__(self, first: float = 0.1, max_delay: float = 5.0) -> None:
        self._first = first
        self._longest = max_delay
        self._failures = 0

    def next_delay(self, draw: float) -> float:
        """Return the next wait.

        :param draw: a random number in [0, 1), which spreads the callers.
        """
        ceiling = min(self._longest, self._first * 2.0 ** min(self._failures, 20))
        self._failures += 1
        return ceiling * (0.5 + draw / 2)

    def reset(self) -> None:
        """Begin anew."""
        self._failures = 0
