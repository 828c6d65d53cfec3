"""What the gateway's soak checks: the promises of the users' pages.

Nothing of the gateway itself is looked at, only what callers and endpoints see.

Owns: what ran where, what callers were answered, and each promise found broken.
Relies on: the site telling it of each run and each answer, both on the loop's clock.
"""

import collections
import dataclasses
import enum

from thorncleat_standins.platform_worker import Run

# statuses that promise that the request did not run
REFUSAL_STATUSES = (408, 421, 429, 503)


class RequestKind(enum.Enum):
    """How often a request may run."""

    STREAM = "stream"
    NON_REPEATABLE = "once"
    REPEATABLE = "repeatable"


@dataclasses.dataclass
class Exchange:
    """What one caller sent and was answered.

    :param status: of the answer; 0 if there was none.
    :param body: as much as came.
    :param whole: whether the answer ended in order.
    :param echoed: the id that the answer names.
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
    """Collects what is seen, and says what must not be.

    :ivar faults: a line for each promise that was broken.
    """

    def __init__(self, events_per_stream: int) -> None:
        self._events_per_stream = events_per_stream
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._refused: set[str] = set()
        self._invalid_from: dict[str, float] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def runs(self, request_id: str) -> list[Run]:
        """Return the runs of a request so far."""
        return list(self._runs[request_id])

    def record_revocation(self, key: str, invalid_from: float) -> None:
        """Note from when on a key must not work.

        :param fails_from: on the loop's clock.
        """
        self._invalid_from[key] = invalid_from

    def check_run(self, run: Run, kind: RequestKind, sent_at: float, key: str) -> None:
        """Check a run that begins."""
        self._runs[run.id].append(run)
        if kind is RequestKind.NON_REPEATABLE and len(self._runs[run.id]) > 1:
            workers = [recorded.worker for recorded in self._runs[run.id]]
            self.violations.append(f"TWICE {run.id} ran at {workers}")
        if run.id in self._refused and kind is RequestKind.NON_REPEATABLE:
            self.violations.append(f"REFUSED {run.id} ran at {run.worker} after its refusal")
        if sent_at > self._invalid_from.get(key, float("inf")):
            self.violations.append(f"CONFIG {run.id} ran with a key taken away before")

    def check_answer(self, exchange: Exchange) -> None:
        """Check what a caller was answered."""
        self.counts[f"{exchange.kind.value} {exchange.status or 'cut'}"] += 1
        if exchange.status in REFUSAL_STATUSES:
            self._refused.add(exchange.id)
            if exchange.kind is RequestKind.NON_REPEATABLE and self._runs[exchange.id]:
                self.violations.append(f"REFUSED {exchange.id} got {exchange.status} and had run")
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
    """Return the whole answer to a request."""
    if exchange.kind is not RequestKind.STREAM:
        return b"answer to " + exchange.request_body
    name = exchange.id.encode()
    return b"".join(
        b"id: %d\ndata: %s %d\n\n" % (number, name, number)
        for number in range(1, events_per_stream + 1)
    )
