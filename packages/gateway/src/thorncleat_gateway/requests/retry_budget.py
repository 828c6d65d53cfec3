"""Limits the retries of a daemon, so that all daemons together stay within a budget.

Owns: this daemon's requests and retries within the window, for each service.
Relies on: the number of listed daemons.
"""

import collections
import dataclasses
import math
import typing as t

# Fraction of the budget that is used; the rest covers requests and retries in different windows.
USED_FRACTION = 0.8

# How long a daemon counts after it was last listed; longer than records take to expire in an outage
# of the store and to be written again.
UNLISTED_DAEMON_TTL_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """The budget of all daemons for one service.

    :param ratio: retries for each request in the window.
    :param extra: fixed number of retries in the window on top of these.
    :param window: length of the window in seconds.
    """

    ratio: float
    extra: float
    window: float


@dataclasses.dataclass(frozen=True)
class RetryAccount:
    """What a daemon may retry at a service, and what it has used of that, within the window.

    :param requests: callers' requests.
    :param retries: retries that took a token.
    :param allowed: retries that the daemon may send.
    :param daemons: daemons that share the fixed number of retries.
    :param uptime: seconds since the daemon's process started.
    """

    requests: int
    retries: int
    allowed: int
    daemons: int
    uptime: float


class RetryBudget:
    """Counts one daemon's requests and retries to one service in a sliding window."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    @property
    def requests(self) -> int:
        """Number of requests in the window, as of the latest call."""
        return len(self._requests)

    @property
    def retries(self) -> int:
        """Number of retries in the window, as of the latest call."""
        return len(self._retries)

    def allowed(self, now: float, daemons: int) -> int:
        """Return the number of retries that may be sent in the window that ends now.

        Each daemon gets a ratio of its own requests and an equal share of the fixed number.

        :param daemons: daemons that share the budget.
        """
        self._forget(now)
        own = self._settings.ratio * len(self._requests) + self._settings.extra / max(1, daemons)
        return math.floor(own * USED_FRACTION)

    def retries_left(self, now: float, daemons: int) -> int:
        """Return the number of retries that may be sent now.

        :param daemons: daemons that share the budget.
        """
        return self.allowed(now, daemons) - len(self._retries)

    def take_token(self, now: float, daemons: int) -> bool:
        """Count a retry if the budget allows one; return whether it does."""
        if self.retries_left(now, daemons) < 1:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        begin = now - self._settings.window
        for times in (self._requests, self._retries):
            while times and times[0] < begin:
                times.popleft()


class _RecentMaximum:
    """The largest value within the last :data:`UNLISTED_DAEMON_TTL_SECONDS`."""

    def __init__(self) -> None:
        # Times and values; each value is larger than those after it.
        self._seen: collections.deque[tuple[float, int]] = collections.deque()

    def update(self, value: int, now: float) -> int:
        """Record a value and return the largest recent one."""
        while self._seen and self._seen[-1][1] <= value:
            self._seen.pop()
        self._seen.append((now, value))
        while self._seen[0][0] < now - UNLISTED_DAEMON_TTL_SECONDS:
            self._seen.popleft()
        return self._seen[0][1]


class RetryBudgets:
    """This daemon's share of the retry budget of each service.

    The largest recent number of daemons counts, since running daemons are missing from the list
    while they can't renew their records.

    :param clock: monotonic, in seconds.
    :param count_daemons: returns the number of listed daemons.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        clock: t.Callable[[], float],
        count_daemons: t.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._started_at = clock()
        self._count_daemons = count_daemons
        self._max_daemon_count = _RecentMaximum()
        self._budgets: dict[str, RetryBudget] = collections.defaultdict(
            lambda: RetryBudget(settings)
        )
        self._taken = 0
        self._denied = 0

    @property
    def taken(self) -> int:
        """Number of tokens taken since the start."""
        return self._taken

    @property
    def denied(self) -> int:
        """Number of tokens denied since the start."""
        return self._denied

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        now = self._clock()
        self._daemons(now)
        self._budgets[service].record_request(now)

    def take_token(self, service: str) -> bool:
        """Count a retry to a service if the budget allows one; return whether it does."""
        now = self._clock()
        has_token = self._budgets[service].take_token(now, self._daemons(now))
        if has_token:
            self._taken += 1
        else:
            self._denied += 1
        return has_token

    def account(self, service: str) -> RetryAccount:
        """Return this daemon's account for a service."""
        now = self._clock()
        budget, daemons = self._budgets[service], self._daemons(now)
        allowed = budget.allowed(now, daemons)
        return RetryAccount(
            budget.requests, budget.retries, allowed, daemons, now - self._started_at
        )

    def _daemons(self, now: float) -> int:
        """Return the number of daemons that share the budget."""
        return self._max_daemon_count.update(self._count_daemons(), now)
