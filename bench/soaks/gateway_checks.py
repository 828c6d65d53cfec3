"""Checks of the gateway's soak, based only on what callers and endpoints observe.

Owns: the runs of each request, the refused requests, the revoked keys and the violations.
Relies on: workers to report each run, and callers to report each answer.
"""

import collections
import dataclasses
import enum
import typing as t

from thorncleat_standins.platform_worker import Run

from .proxy import Proxy

# Statuses that promise that the request did not run.
REFUSAL_STATUSES = (408, 421, 429, 503)


# What an answer may have in HTTP.
FINAL_STATUSES = range(200, 600)


class RequestKind(enum.Enum):
    """Whether a request may run more than once; streams and repeatable requests may."""

    STREAM = "stream"
    NON_REPEATABLE = "once"
    REPEATABLE = "repeatable"


class ObservedWorker(t.Protocol):
    """What the checks need to know of a worker.

    :ivar zone: its failure domain.
    :ivar proxy: the proxy between it and the daemons; None before its start.
    """

    id: str
    zone: str
    proxy: Proxy | None


@dataclasses.dataclass
class Exchange:
    """A request and its answer.

    :param sent_at: time of sending, on the loop's clock in seconds.
    :param key: the API key.
    :param status: HTTP status of the answer; 0 for none.
    :param body: the received part of the answer's body.
    :param is_complete: whether the whole answer was received.
    :param signed: whether the answer has an endpoint's stamp.
    :param echoed: the request id in the answer.
    :param ended_at: time of the end, on the loop's clock in seconds.
    :param daemon: name of the daemon that the request was sent to.
    """

    id: str
    kind: RequestKind
    sent_at: float
    key: str
    request_body: bytes
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    signed: bool = False
    echoed: str = ""
    ended_at: float = 0.0
    daemon: str = ""


class Checks:
    """Detects broken promises.

    :param events_per_stream: number of events in a complete stream.
    :ivar violations: descriptions of broken promises.
    :ivar counts: counters of the report.
    """

    def __init__(self, events_per_stream: int) -> None:
        self._events_per_stream = events_per_stream
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        # Ids of requests that were answered with one of REFUSAL_STATUSES.
        self._refused: set[str] = set()
        self._invalid_from: dict[str, float] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def runs(self, request_id: str) -> list[Run]:
        """Return the recorded runs of a request."""
        return list(self._runs[request_id])

    def record_revocation(self, key: str, invalid_from: float) -> None:
        """Record the time from which requests with a key must be rejected.

        :param invalid_from: on the loop's clock, in seconds.
        """
        self._invalid_from[key] = invalid_from

    def check_run(self, run: Run, kind: RequestKind, sent_at: float, key: str) -> None:
        """Record the start of a run and check that it is allowed.

        :param sent_at: when the caller sent the request, on the loop's clock in seconds.
        """
        self._runs[run.id].append(run)
        if kind is RequestKind.NON_REPEATABLE and len(self._runs[run.id]) > 1:
            workers = [recorded.worker for recorded in self._runs[run.id]]
            self.violations.append(f"TWICE {run.id} ran at {workers}")
        if run.id in self._refused and kind is RequestKind.NON_REPEATABLE:
            self.violations.append(f"REFUSED {run.id} ran at {run.worker} after its refusal")
        if sent_at > self._invalid_from.get(key, float("inf")):
            self.violations.append(f"CONFIG {run.id} ran with a key taken away before")

    def check_answer(self, exchange: Exchange) -> None:
        """Check the answer of an ended exchange."""
        self.counts[f"{exchange.kind.value} {exchange.status or 'cut'}"] += 1
        if exchange.status in REFUSAL_STATUSES:
            self._refused.add(exchange.id)
            if exchange.kind is RequestKind.NON_REPEATABLE and self._runs[exchange.id]:
                self.violations.append(f"REFUSED {exchange.id} got {exchange.status} and had run")
        if exchange.is_complete and exchange.status not in FINAL_STATUSES:
            self.violations.append(f"MIXED {exchange.id}: status {exchange.status}")
        if exchange.status == 200 and exchange.is_complete:
            self._check_complete_answer(exchange)

    def _check_complete_answer(self, exchange: Exchange) -> None:
        if not exchange.signed or exchange.echoed != exchange.id:
            self.violations.append(f"MIXED {exchange.id}: an answer that no endpoint signed for it")
        if exchange.body != expected_body(exchange, self._events_per_stream):
            self.violations.append(
                f"MIXED {exchange.id}: not the endpoint's whole body: {exchange.body!r:.200}"
            )


def expected_body(exchange: Exchange, events_per_stream: int) -> bytes:
    """Return the body of the correct answer to a request."""
    if exchange.kind is not RequestKind.STREAM:
        return b"answer to " + exchange.request_body
    name = exchange.id.encode()
    return b"".join(
        b"id: %d\ndata: %s %d\n\n" % (number, name, number)
        for number in range(1, events_per_stream + 1)
    )
