"""Checks that all daemons together stay within the retry budget of each service.

Owns: the requests for each service, and those that have arrived there.
Relies on: callers to record each request, and workers to record each arrival.
"""

import asyncio
import collections

from ..retry_rule import RetryRule

# The budget in the daemons' settings: repeats for each request, further ones, and the window.
RETRY_RATIO = 0.2
RETRY_EXTRA = 60
RETRY_WINDOW_SECONDS = 10.0


class RetryChecks:
    """Counts the arrivals of each request beyond the first, for each service.

    :param violations: receives descriptions of broken promises.
    :param counts: counters of the report.
    """

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        self._rules: dict[str, RetryRule] = collections.defaultdict(
            lambda: RetryRule(RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_SECONDS)
        )
        self._arrived: set[str] = set()
        self._has_older_build = False

    def ignore_older_builds(self) -> None:
        """Count repeats without a check, since daemons of an older build exceed the budget."""
        self._has_older_build = True

    def record_request(self, service: str) -> None:
        """Record that a caller sends a request to a service."""
        self._rules[service].record_request(asyncio.get_running_loop().time())

    def check_arrival(self, service: str, request: str) -> None:
        """Record that a request reached a worker of a service, and check the budget."""
        if request not in self._arrived:
            self._arrived.add(request)
            return
        now, rule = asyncio.get_running_loop().time(), self._rules[service]
        rule.record_repeat(now)
        repeats, allowed = rule.repeats(now), rule.allowed(now)
        name = f"most repeats in a window, {service}"
        self._counts[name] = max(self._counts[name], repeats)
        if repeats > allowed and not self._has_older_build:
            self._violations.append(
                f"BUDGET {request} reached {service} as repeat {repeats} in "
                f"{RETRY_WINDOW_SECONDS} s, allowed {allowed:.0f}"
            )
