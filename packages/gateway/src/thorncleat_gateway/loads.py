"""How many requests each endpoint has, from this daemon and, as far as heard, from others."""

import collections
import contextlib
import typing as t

# a report of another daemon counts no longer than this, in seconds
REPORT_SECONDS = 1.0


class Loads:
    """Requests under way by endpoint."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._others: dict[str, tuple[float, t.Mapping[str, int]]] = {}
        self._sum: collections.Counter[str] = collections.Counter()
        self.own: collections.Counter[str] = collections.Counter()

    def of(self, endpoint_id: str) -> int:
        """Return the requests that an endpoint has."""
        return self.own[endpoint_id] + self._sum[endpoint_id]

    def report(self, daemon: str, counts: t.Mapping[str, int]) -> None:
        """Take in what another daemon has under way."""
        self._others[daemon] = (self._clock(), counts)
        self.refresh()

    def refresh(self) -> None:
        """Add the reports up anew, without the old ones."""
        begin = self._clock() - REPORT_SECONDS
        self._others = {key: one for key, one in self._others.items() if one[0] >= begin}
        self._sum = collections.Counter()
        for _, counts in self._others.values():
            self._sum.update(counts)

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
