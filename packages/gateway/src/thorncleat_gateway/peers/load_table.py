"""How many requests each endpoint has, from this daemon and, as far as heard, from others."""

import collections
import contextlib
import typing as t

from .datagrams import SHORTEST_INTERVAL_SECONDS

# a report of another daemon counts no longer than this, in seconds, or than so many intervals
REPORT_SECONDS = 1.0
REPORT_INTERVALS = 3.0


class LoadTable:
    """Requests under way by endpoint.

    :param interval: returns the seconds between two reports of a daemon.
    """

    def __init__(self, clock: t.Callable[[], float], interval: t.Callable[[], float]) -> None:
        self._clock = clock
        self._interval = interval
        self._others: dict[str, tuple[float, t.Mapping[str, int]]] = {}
        self._sum: collections.Counter[str] = collections.Counter()
        self.own: collections.Counter[str] = collections.Counter()

    def of(self, endpoint_id: str) -> int:
        """Return the requests that an endpoint has."""
        return self.own[endpoint_id] + self._sum[endpoint_id]

    def report(self, daemon: str, counts: t.Mapping[str, int]) -> None:
        """Take in what another daemon has under way."""
        # only what one daemon reports is added up, so that a report's cost does not grow with
        # the number of daemons
        self._take_back(daemon)
        self._others[daemon] = (self._clock(), counts)
        self._sum.update(counts)

    def refresh(self) -> None:
        """Forget the reports that are too old."""
        begin = self._clock() - self._lasting()
        for daemon in [key for key, (at, _) in self._others.items() if at < begin]:
            self._take_back(daemon)

    def _take_back(self, daemon: str) -> None:
        _, counts = self._others.pop(daemon, (0.0, {}))
        for endpoint_id, count in counts.items():
            self._sum[endpoint_id] -= count
            if not self._sum[endpoint_id]:
                del self._sum[endpoint_id]

    def _lasting(self) -> float:
        return max(REPORT_SECONDS, REPORT_INTERVALS * self._interval())

    @property
    def uncertainty(self) -> float:
        """How much less than at the shortest interval is known of what others have under way."""
        return self._interval() / SHORTEST_INTERVAL_SECONDS

    @contextlib.contextmanager
    def running(self, endpoint_id: str) -> t.Iterator[None]:
        """Count a request while it is under way."""
        self.own[endpoint_id] += 1
        try:
            yield
        finally:
            self.own[endpoint_id] -= 1
            if not self.own[endpoint_id]:
                del self.own[endpoint_id]
