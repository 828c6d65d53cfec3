"""Records of this daemon's latest requests, for operators.

Owns: the records, in memory only.
Relies on: nothing.
"""

import collections
import dataclasses
import time
import typing as t

MAX_RECORDS = 5000


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """The outcome of a request.

    :param at: end of the request in seconds since the epoch.
    :param seconds: duration.
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
    """A bounded collection of records that drops the oldest first."""

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._records: collections.OrderedDict[str, RequestRecord] = collections.OrderedDict()

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None."""
        return self._records.get(request_id)

    def record_request(self, request_id: str, seconds: float, **fields: t.Any) -> None:
        """Add the record of a request.

        :param seconds: duration of the request.
        """
        record = RequestRecord(
            id=request_id, daemon=self._daemon, at=time.time(), seconds=seconds, **fields
        )
        self._records[request_id] = record
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
