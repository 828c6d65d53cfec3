"""The latest requests of this daemon, for operators who ask what became of one.

Owns: the latest requests, in memory alone.
Relies on: nothing; a daemon that restarts has none.
"""

import collections
import dataclasses
import time
import typing as t

# requests
MAX_RECORDS = 5000


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """What became of a request.

    :param at: wall clock seconds at its end.
    :param seconds: how long it took.
    """

    id: str
    daemon: str
    workspace: str
    target: str
    status: int
    cause: str
    executed: str
    detail: str
    at: float
    seconds: float


class RecentRequests:
    """A bounded record of requests, the oldest dropped first."""

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._records: collections.OrderedDict[str, RequestRecord] = collections.OrderedDict()

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request."""
        return self._records.get(request_id)

    def record_request(self, request_id: str, seconds: float, **fields: t.Any) -> None:
        """Record a request."""
        record = RequestRecord(
            id=request_id, daemon=self._daemon, at=time.time(), seconds=seconds, **fields
        )
        self._records[request_id] = record
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
