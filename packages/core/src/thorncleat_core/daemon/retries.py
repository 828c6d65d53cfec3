"""Limits on retries, and the temporary ejection of failing endpoints.

Owns: the retry budget and the consecutive failures of each endpoint.
Relies on: callers to record each success and failure.
"""

import dataclasses
import typing as t


class RetryThrottle:
    """A retry budget in proportion to successes, so that retries don't overload a failing fleet.

    :param ratio: number of retries earned by each success.
    :param reserve: maximum number of retries that can be accumulated.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._available_retries = reserve

    def record_success(self) -> None:
        """Record a success."""
        self._available_retries = min(self._reserve, self._available_retries + self._ratio)

    def try_acquire(self) -> bool:
        """Consume a retry and return True, or return False if none is left."""
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True


def can_retry(
    executed: str, *, repeatable: bool, attempt: int, max_attempts: int, seconds_left: float
) -> bool:
    """Return whether a failed request can be retried, regardless of the :class:`RetryThrottle`.

    :param executed: whether the request ran: ``no``, ``yes`` or ``unknown``.
    :param repeatable: whether the request may run more than once.
    :param attempt: number of the failed attempt, starting at 1.
    :param max_attempts: maximum number of attempts.
    :param seconds_left: seconds until the request's deadline.
    """
    safe = repeatable or executed == "no"
    return safe and attempt < max_attempts and seconds_left > 0


@dataclasses.dataclass
class _EndpointRecord:
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0


class Ejection:
    """Temporarily ejects endpoints that fail repeatedly, up to a fraction of all endpoints.

    :param threshold: number of consecutive failures after which an endpoint is ejected.
    :param seconds: duration of the first ejection, which doubles with each further one.
    :param max_fraction: maximum fraction of the endpoints that can be ejected at the same time.
    """

    # Limit on the exponential growth of the ejection time.
    MAX_DOUBLINGS = 5

    def __init__(self, threshold: int = 3, seconds: float = 1.0, max_fraction: float = 0.5) -> None:
        self._threshold = threshold
        self._seconds = seconds
        self._max_fraction = max_fraction
        self._records: dict[str, _EndpointRecord] = {}

    def record_failure(self, endpoint: str, now: float) -> None:
        """Record a failure, which may eject the endpoint."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.failures += 1
        if record.failures >= self._threshold:
            doublings = min(record.ejections, self.MAX_DOUBLINGS)
            record.ejected_until = now + self._seconds * 2.0**doublings
            record.ejections += 1
            record.failures = 0

    def record_success(self, endpoint: str) -> None:
        """Record a success, which resets the failures and ejections of the endpoint."""
        self._records.pop(endpoint, None)

    def usable_endpoints(self, endpoints: t.Sequence[str], now: float) -> list[str]:
        """Return the endpoints that are not ejected."""
        failing = [endpoint for endpoint in endpoints if self._ejected_until(endpoint) > now]
        max_ejected = int(len(endpoints) * self._max_fraction)
        # If there are too many, those whose ejection ends first are not ejected.
        ejected = set(sorted(failing, key=self._ejected_until, reverse=True)[:max_ejected])
        return [endpoint for endpoint in endpoints if endpoint not in ejected]

    def _ejected_until(self, endpoint: str) -> float:
        record = self._records.get(endpoint)
        return record.ejected_until if record else 0.0
