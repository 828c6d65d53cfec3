"""How many retries a daemon may send, so that all daemons together stay within a budget.

Each daemon has its part of the fixed allowance and the ratio of its own requests. The parts
add up to the whole budget whatever the daemons know of each other's counts.

Owns: this daemon's requests and retries within the window, for each service.
Relies on: the number of daemons that are listed. The list may lack some that live, since they could
not renew their records; so the largest number of late counts.
"""

import collections
import dataclasses
import math
import typing as t

# part of the budget that is used; the rest covers requests and retries in different windows
SAFETY = 0.8

# for which a daemon counts that is listed no more: longer than records run out in an outage of the
# store and come back
LISTED_LATELY_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """The budget of all daemons for one service.

    :param ratio: retries for each request in a window.
    :param extra: retries in a window beside these.
    :param window: seconds.
    """

    ratio: float
    extra: float
    window: float


class RetryBudget:
    """Counts one daemon's requests and retries to one service in a sliding window."""

    def __init__(self, terms: RetryBudgetSettings) -> None:
        self._terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def left(self, now: float, daemons: int) -> int:
        """Return how many retries may be sent now.

        :param daemons: daemons that share the budget.
        """
        self._forget(now)
        own = self._terms.ratio * len(self._requests) + self._terms.extra / max(1, daemons)
        return math.floor(own * SAFETY) - len(self._retries)

    def take(self, now: float, daemons: int) -> bool:
        """Count a retry if one may be sent. Returns whether it may."""
        if self.left(now, daemons) < 1:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        begin = now - self._terms.window
        for times in (self._requests, self._retries):
            while times and times[0] < begin:
                times.popleft()


class _LargestOfLate:
    """The largest value that a number had of late."""

    def __init__(self) -> None:
        # values with the moments at which they were seen, each larger than those after it
        self._seen: collections.deque[tuple[float, int]] = collections.deque()

    def of(self, value: int, now: float) -> int:
        """Note a value and return the largest one."""
        while self._seen and self._seen[-1][1] <= value:
            self._seen.pop()
        self._seen.append((now, value))
        while self._seen[0][0] < now - LISTED_LATELY_SECONDS:
            self._seen.popleft()
        return self._seen[0][1]


class RetryBudgets:
    """The retry budget of each service, as far as it is this daemon's.

    :param daemons: returns how many daemons are listed.
    """

    def __init__(
        self, terms: RetryBudgetSettings, clock: t.Callable[[], float], daemons: t.Callable[[], int]
    ) -> None:
        self._clock = clock
        self._daemons = daemons
        self._sharers = _LargestOfLate()
        self._budgets: dict[str, RetryBudget] = collections.defaultdict(lambda: RetryBudget(terms))

    def request(self, service: str) -> None:
        """Count a caller's request to a service."""
        now = self._clock()
        self._sharers.of(self._daemons(), now)
        self._budgets[service].request(now)

    def take(self, service: str) -> bool:
        """Count a retry to a service if one may be sent. Returns whether it may."""
        now = self._clock()
        return self._budgets[service].take(now, self._sharers.of(self._daemons(), now))
