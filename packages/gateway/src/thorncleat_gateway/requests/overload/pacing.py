"""How many requests one daemon may admit while nearly all slots are taken.

Load reports are some tenths of a second old. If all daemons admitted whatever the same old reports
seem to allow, they would fill the queues beyond the target before the next reports, then all shed
until the queues are empty, and so on. So each daemon admits its share of the slots that come free
meanwhile. It needs no messages: the shares of all daemons add up to what the groups can start.

Owns: the balance of each model's share, by level.
Relies on: nothing.
"""

import dataclasses
import typing as t

from ...model_key import ModelKey
from ..capacity_estimate import CapacityEstimate

# How long unused shares are kept, and overdrawn ones are held back: the age that load reports
# reach. This evens out that callers reach daemons at random.
BALANCE_SECONDS = 0.5
# Time in which queues that late reports have let grow are worked off: twice the age of the reports,
# so that the next ones show the effect before the queues are empty.
DRAIN_SECONDS = 1.0
# Requests in the greatest balance of a daemon whose share is small.
MIN_BALANCE = 1.0


@dataclasses.dataclass
class _Balances:
    """Requests that a daemon may admit to a model, by level.

    What a level admits is taken from its own balance, and what it asks for from those of all less
    urgent levels, which so get only what it leaves. A more urgent level never has less than a less
    urgent one.

    :param requests: balance of each level; negative if more than the share was admitted.
    :param at: time of the latest update.
    """

    requests: list[float]
    at: float


class Pacing:
    """This daemon's share of the slots that come free.

    :param clock: monotonic, in seconds.
    :param daemon_count: returns the number of registered daemons.
    """

    def __init__(self, clock: t.Callable[[], float], daemon_count: t.Callable[[], int]) -> None:
        self._clock = clock
        self._daemon_count = daemon_count
        self._balances: dict[ModelKey, _Balances] = {}

    def has_share(self, key: ModelKey, capacity: CapacityEstimate, level: int) -> bool:
        """Return whether a request of a level is within the share of this daemon.

        There are no shares without a known rate at which slots come free, and none for a single
        daemon, which knows all requests at once.
        """
        if not capacity.freed_per_second or self._daemon_count() <= 1:
            return True
        return self._update(key, capacity, level)[level] >= 1

    def record(
        self, key: ModelKey, capacity: CapacityEstimate, level: int, *, admitted: bool
    ) -> None:
        """Record a request, whether or not its admission depended on the share."""
        balances = self._update(key, capacity, level)
        limit = _max_balance(self._rate(capacity))
        for index in range(level if admitted else level + 1, len(balances)):
            balances[index] = max(balances[index] - 1, -limit)

    def _rate(self, capacity: CapacityEstimate) -> float:
        """Return the requests that this daemon may admit in a second.

        They take the slots that come free, less those for requests that wait already.
        """
        waiting = max(0, capacity.running - capacity.slots)
        started = max(0.0, capacity.freed_per_second - waiting / DRAIN_SECONDS)
        return started / max(1, self._daemon_count())

    def _update(self, key: ModelKey, capacity: CapacityEstimate, level: int) -> list[float]:
        """Return the current balances, with one for each level up to a given one."""
        now, rate = self._clock(), self._rate(capacity)
        limit = _max_balance(rate)
        balances = self._balances.setdefault(key, _Balances([limit], now))
        added = rate * (now - balances.at)
        balances.requests = [min(requests + added, limit) for requests in balances.requests]
        balances.at = now
        while len(balances.requests) <= level:
            # All that was admitted so far was at least as urgent.
            balances.requests.append(balances.requests[-1])
        return balances.requests


def _max_balance(rate: float) -> float:
    return max(MIN_BALANCE, rate * BALANCE_SECONDS)
