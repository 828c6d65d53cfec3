"""Limits the retries of a daemon, so that all daemons together stay within a budget.

The budget holds for a window of time, and a process may live for less than that: what its
predecessor sent counts against the budget of all. So a process begins with what no predecessor
uses: no part of the fixed number, and a small part of the ratio. It has the whole after a window,
or once other daemons have told what its predecessor had used (:mod:`.retry_reporter`).

A retry counts for as long as anything of it may arrive, and for a window from then on: while it
waits for an endpoint, until the endpoint answers, and if it never does until nothing can arrive any
more (:mod:`.unanswered_attempts`). So endpoints that stand still take up the account; a part of it
is kept for retries that leave nothing behind.

Owns: this daemon's requests and retries within the window, for each service.
Relies on: the number of listed daemons, and on :mod:`..store.fleet_knowledge` for whether the
others count this one.
"""

import collections
import dataclasses
import math
import typing as t

from ..callbacks import Callbacks
from ..peers.messages import RetryUse

# Fraction of the budget that is used; the rest covers requests and retries in different windows.
USED_FRACTION = 0.8
# Fraction of the ratio that a process uses in its first window. Together with what its predecessor
# may have used just before its end, this is the whole.
FIRST_WINDOW_FRACTION = 1.0 - USED_FRACTION

# How long after it was sent a retry may arrive: twice the time within which a connection is up.
ARRIVAL_SECONDS = 0.5
# Fraction of the allowed retries that may leave attempts which can still arrive; the rest is for
# requests that were declined or whose connections broke.
MAX_OWED_FRACTION = 0.5

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
    :param retries: retries that took a token, with those that may still arrive.
    :param owed: those of them that were given up, or left an attempt that was.
    :param allowed: retries that the daemon may send.
    :param daemons: daemons that share the fixed number of retries; None without a share of it.
    :param uptime: seconds since the daemon's process started.
    """

    requests: int
    retries: int
    owed: int
    allowed: int
    daemons: int | None
    uptime: float


class RetryBudget:
    """Counts one daemon's requests and retries to one service in a sliding window.

    :param counted_since: from when on all requests and retries of the daemon are counted, in
        seconds; those of an earlier process may be missing before.
    """

    def __init__(self, settings: RetryBudgetSettings, counted_since: float = -math.inf) -> None:
        self._settings = settings
        self._counted_since = counted_since
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        # Retries that may still arrive, and those of them that were given up.
        self._held = 0
        self._owed = 0

    @property
    def requests(self) -> int:
        """Number of requests in the window, as of the latest call."""
        return len(self._requests)

    @property
    def retries(self) -> int:
        """Number of retries in the window, as of the latest call, and of those that may arrive."""
        return len(self._retries) + self._held

    @property
    def owed(self) -> int:
        """Number of retries that may arrive though they, or attempts before, were given up."""
        return self._owed

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def allowed(self, now: float, daemons: int | None) -> int:
        """Return the number of retries that may be sent in the window that ends now.

        Each daemon gets a ratio of its own requests and an equal share of the fixed number.

        :param daemons: daemons that share the fixed number; None if this one has no share of it.
        """
        self._forget(now)
        by_ratio = self._settings.ratio * len(self._requests)
        if now - self._counted_since < self._settings.window:
            return math.floor(by_ratio * FIRST_WINDOW_FRACTION)
        share = self._settings.extra / max(1, daemons) if daemons is not None else 0.0
        return math.floor((by_ratio + share) * USED_FRACTION)

    def retries_left(self, now: float, daemons: int | None) -> int:
        """Return the number of retries that may be sent now.

        :param daemons: as for :meth:`allowed`.
        """
        return self.allowed(now, daemons) - self.retries

    def take_token(self, now: float, daemons: int | None) -> bool:
        """Count a retry if the budget allows one; return whether it does."""
        if self.retries_left(now, daemons) < 1:
            return False
        self._retries.append(now)
        return True

    def hold(self) -> None:
        """Count a retry until :meth:`release`."""
        self._held += 1

    def release(self, now: float, *, is_sent: bool) -> None:
        """Count a retry that was held from now on if it was sent, and no more if it was not."""
        self._held -= 1
        if is_sent:
            self._retries.append(now)

    def record_owed(self, change: int) -> None:
        """Change the number of retries that are owed."""
        self._owed += change

    def can_leave_unanswered(self, now: float, daemons: int | None) -> bool:
        """Return whether a retry may leave an attempt that can still arrive."""
        return self._owed < MAX_OWED_FRACTION * self.allowed(now, daemons)

    def use(self, service: str, now: float) -> RetryUse:
        """Return what was used within the window."""
        self._forget(now)
        # Retries that are held may arrive at any moment; those that are owed are told apart.
        retries = [*self._retries, *[now] * (self._held - self._owed)]
        return RetryUse(service, self._ages(self._requests, now), self._ages(retries, now))

    def inherit(self, use: RetryUse | None, now: float) -> None:
        """Count also what an earlier process had used.

        :param use: by the ages at a given time; None if it had used nothing.
        :param now: that time.
        """
        self._counted_since = -math.inf
        if use is None:
            return
        # Requests count as long as they certainly may, retries as long as they possibly must.
        requests = _times(use.requests, now - 1.0)
        retries = _times(use.retries, now)
        self._requests = collections.deque(sorted([*requests, *self._requests]))
        self._retries = collections.deque(sorted([*retries, *self._retries]))

    def _ages(self, times: t.Iterable[float], now: float) -> list[int]:
        """Return how many times lie back each number of whole seconds."""
        counts = [0] * math.ceil(self._settings.window)
        for at in times:
            counts[min(max(0, int(now - at)), len(counts) - 1)] += 1
        return counts

    def _forget(self, now: float) -> None:
        begin = now - self._settings.window
        _drop_before(self._requests, begin)
        _drop_before(self._retries, begin - ARRIVAL_SECONDS)


def _drop_before(times: collections.deque[float], begin: float) -> None:
    while times and times[0] < begin:
        times.popleft()


def _times(counts: t.Sequence[int], newest: float) -> t.Iterator[float]:
    """Yield the time of each item of a number of items by age in whole seconds."""
    for age, count in enumerate(counts):
        yield from [newest - age] * count


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


class RetryToken:
    """The place of one retry in the account of a service.

    It counts while something holds it, and for a window from then on.
    """

    def __init__(
        self,
        budget: RetryBudget,
        clock: t.Callable[[], float],
        on_change: t.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._on_change = on_change
        self._holders = 1
        self._owed = 0

    def release(self) -> None:
        """End one hold, since what it was for has arrived or can't any more."""
        self._end_hold(is_sent=True)

    def cancel(self) -> None:
        """End the only hold of a retry of which nothing was sent."""
        self._end_hold(is_sent=False)

    def hold_owed(self) -> None:
        """Hold it also for an attempt that was given up and may still arrive."""
        self._holders += 1
        self._owed += 1
        if self._owed == 1:
            self._budget.record_owed(1)

    def release_owed(self) -> None:
        """End a hold by :meth:`hold_owed`."""
        self._owed -= 1
        if not self._owed:
            self._budget.record_owed(-1)
        self.release()

    def _end_hold(self, *, is_sent: bool) -> None:
        self._holders -= 1
        if not self._holders:
            self._budget.release(self._clock(), is_sent=is_sent)
            self._on_change()


class RetryBudgets:
    """This daemon's share of the retry budget of each service.

    The largest recent number of daemons counts, since running daemons are missing from the list
    while they can't renew their records.

    It is created when the process starts, and may inherit what its predecessor had used.

    :param clock: monotonic, in seconds.
    :param count_daemons: returns the number of listed daemons.
    :param has_share: returns whether this daemon has a share of the fixed number within the window,
        given whether its predecessor had one until now; None for always.
    :param has_predecessor: whether this daemon may have run before.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        clock: t.Callable[[], float],
        count_daemons: t.Callable[[], int],
        has_share: t.Callable[[bool], bool] | None = None,
        *,
        has_predecessor: bool = True,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._started_at = clock()
        self._counted_since = self._started_at if has_predecessor else -math.inf
        self._count_daemons = count_daemons
        self._has_share = has_share
        self._had_share = False
        self._max_daemon_count = _RecentMaximum()
        self._budgets: dict[str, RetryBudget] = collections.defaultdict(
            lambda: RetryBudget(settings, self._counted_since)
        )
        self._listeners = Callbacks[[]]("retry")
        self._taken = 0
        self._denied = 0

    @property
    def window(self) -> float:
        """Length of the window in seconds."""
        return self._settings.window

    @property
    def is_complete(self) -> bool:
        """Whether all that this daemon used within the window is known."""
        return self._clock() - self._counted_since >= self._settings.window

    @property
    def has_share(self) -> bool:
        """Whether this daemon has a share of the fixed number."""
        return self._has_share is None or self._has_share(self._had_share)

    @property
    def taken(self) -> int:
        """Number of tokens taken since the start."""
        return self._taken

    @property
    def denied(self) -> int:
        """Number of tokens denied since the start."""
        return self._denied

    def on_retry(self, listener: t.Callable[[], None]) -> None:
        """Call a function after each token that is taken."""
        self._listeners.add(listener)

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        now = self._clock()
        self._sharing_daemons(now)
        self._budgets[service].record_request(now)

    def take_token(self, service: str) -> bool:
        """Count a retry that arrives at once, if the budget allows one; return whether it does."""
        now = self._clock()
        if not self._budgets[service].take_token(now, self._sharing_daemons(now)):
            self._denied += 1
            return False
        self._taken += 1
        self._listeners.call()
        return True

    def can_hold_token(self, service: str, *, leaves_unanswered: bool) -> bool:
        """Return whether :meth:`hold_token` returns one now."""
        now = self._clock()
        daemons, budget = self._sharing_daemons(now), self._budgets[service]
        if leaves_unanswered and not budget.can_leave_unanswered(now, daemons):
            return False
        return budget.retries_left(now, daemons) >= 1

    def hold_token(self, service: str, *, leaves_unanswered: bool = False) -> "RetryToken | None":
        """Count a retry to a service until its token is released; None if there is no token.

        :param leaves_unanswered: whether it leaves an attempt that may still arrive.
        """
        if not self.can_hold_token(service, leaves_unanswered=leaves_unanswered):
            self._denied += 1
            return None
        budget = self._budgets[service]
        budget.hold()
        self._taken += 1
        self._listeners.call()
        return RetryToken(budget, self._clock, self._listeners.call)

    def owe_token(self, service: str) -> "RetryToken":
        """Count a retry that an earlier process had given up, until it is released."""
        budget = self._budgets[service]
        budget.hold()
        token = RetryToken(budget, self._clock, self._listeners.call)
        token.hold_owed()
        token.release()
        return token

    def account(self, service: str) -> RetryAccount:
        """Return this daemon's account for a service."""
        now = self._clock()
        budget, daemons = self._budgets[service], self._sharing_daemons(now)
        allowed = budget.allowed(now, daemons)
        return RetryAccount(
            budget.requests, budget.retries, budget.owed, allowed, daemons, now - self._started_at
        )

    def uses(self) -> list[RetryUse]:
        """Return what was used within the window, for the services with retries."""
        now = self._clock()
        uses = [budget.use(service, now) for service, budget in self._budgets.items()]
        return [use for use in uses if any(use.retries) or self._budgets[use.service].owed]

    def begin_complete(self) -> None:
        """Record that no earlier process has used anything."""
        self.inherit((), 0.0, had_share=False)

    def inherit(self, uses: t.Iterable[RetryUse], age: float, *, had_share: bool) -> None:
        """Count also what the predecessor of this process had used; all of it is known then.

        :param uses: as of some seconds ago; a service without one had no retries.
        :param age: these seconds.
        :param had_share: whether the predecessor had a share of the fixed number until now.
        """
        by_service = {use.service: use for use in uses}
        self._counted_since, self._had_share = -math.inf, had_share
        for service in by_service.keys() | self._budgets.keys():
            self._budgets[service].inherit(by_service.get(service), self._clock() - age)

    def _sharing_daemons(self, now: float) -> int | None:
        """Return the number of daemons that share the fixed number; None without a share."""
        daemons = self._max_daemon_count.update(self._count_daemons(), now)
        return daemons if self.has_share else None
