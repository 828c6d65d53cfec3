"""Whether a request may be sent again, and which endpoints are left out for a while.

Owns: the retries left, and each endpoint's failures in a row.
Relies on: callers that note each success and failure.
"""

import dataclasses
import typing as t


class RetryThrottle:
    """Allows retries as a part of successes, so that a failing fleet isn't loaded further.

    :param ratio: retries for each success.
    :param reserve: retries that may be saved up.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._level = reserve

    def record_success(self) -> None:
        """Count a success."""
        self._level = min(self._reserve, self._level + self._ratio)

    def try_acquire(self) -> bool:
        """Take a retry if there is one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


def can_retry(
    executed: str, *, repeatable: bool, attempt: int, max_attempts: int, seconds_left: float
) -> bool:
    """Return whether another attempt may follow one that failed; the throttle is asked after.

    :param executed: whether the request ran: ``no``, ``yes`` or ``unknown``.
    :param repeatable: whether it may run more than once.
    :param attempt: the failed one's number, from 1.
    :param max_attempts: attempts that a request may have.
    :param seconds_left: to the request's deadline.
    """
    safe = repeatable or executed == "no"
    return safe and attempt < max_attempts and seconds_left > 0


@dataclasses.dataclass
class _Record:
    failures: int = 0
    until: float = 0.0
    ejections: int = 0


class Ejection:
    """Leaves out endpoints that fail in a row, but never more than a part of them.

    :param threshold: failures in a row.
    :param seconds: first time out; it doubles while the endpoint goes on failing.
    :param most: part of the endpoints that may be out at once.
    """

    # of the time out, so 32 times the first
    MAX_DOUBLINGS = 5

    def __init__(self, threshold: int = 3, seconds: float = 1.0, most: float = 0.5) -> None:
        self._threshold = threshold
        self._seconds = seconds
        self._most = most
        self._records: dict[str, _Record] = {}

    def record_failure(self, endpoint: str, now: float) -> None:
        """Count a failure."""
        record = self._records.setdefault(endpoint, _Record())
        record.failures += 1
        if record.failures >= self._threshold:
            doublings = min(record.ejections, self.MAX_DOUBLINGS)
            record.until = now + self._seconds * 2.0**doublings
            record.ejections += 1
            record.failures = 0

    def record_success(self, endpoint: str) -> None:
        """Count a success, which ends the row of failures."""
        self._records.pop(endpoint, None)

    def usable_endpoints(self, endpoints: t.Sequence[str], now: float) -> list[str]:
        """Return the endpoints that are not out; never fewer than the cap allows."""
        out = [endpoint for endpoint in endpoints if self._until(endpoint) > now]
        allowed = int(len(endpoints) * self._most)
        # those that come back soonest are let in first when too many are out
        barred = set(sorted(out, key=self._until, reverse=True)[:allowed])
        return [endpoint for endpoint in endpoints if endpoint not in barred]

    def _until(self, endpoint: str) -> float:
        record = self._records.get(endpoint)
        return record.until if record else 0.0
