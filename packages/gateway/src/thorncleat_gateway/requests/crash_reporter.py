"""Exchanges crashes with the other daemons.

Owns: the crashes that are still to be reported.
Relies on: the datagrams of :mod:`..peers.datagrams`; an earlier build rejects these.
"""

import asyncio
import random
import typing as t

from .. import events
from ..peers.datagrams import PeerChannel
from ..peers.messages import CrashReport
from ..peers.messages import CrashWithdrawal
from ..peers.messages import Message
from ..peers.messages import ReportedCrash
from ..peers.messages import ReportedRequest
from ..service import Service
from ..service import background_task
from ..store.roster import Incarnation
from .fingerprint import Fingerprint
from .quarantine import RAN_POINTS
from .quarantine import Crash
from .quarantine import Involvement
from .quarantine import Quarantine

# How long broken connections of an endpoint are collected before its crash is reported.
BATCH_SECONDS = 0.01
# With the fan-out below, a daemon that missed the broadcast is not told within 3 s in fewer than
# one of 5,000 cases, in fleets of 8 to 195 daemons.
REPEAT_INTERVAL_SECONDS = 1.0
# Daemons that receive each repetition.
REPEAT_FANOUT = 3
# Crashes and requests in one report, some 25 bytes each, so that its datagram isn't fragmented.
MAX_REPORT_ENTRIES = 40


class CrashReporter(Service):
    """Reports this daemon's crashes to the others and records those that they report.

    :param clock: monotonic, in seconds.
    """

    def __init__(
        self, quarantine: Quarantine, peers: PeerChannel, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._unreported: dict[Incarnation, Crash] = {}
        self._has_unreported = asyncio.Event()
        peers.on_message(self._on_message)

    def report_crash(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> None:
        """Report that requests were under way at an endpoint when it crashed.

        Recurring crashes of these requests are broadcast at once, since a caller may retry within
        milliseconds; the new crash follows in the next batch.
        """
        recurring = self._quarantine.recurring_crashes(requests)
        if recurring:
            # Earlier crashes are included, since the datagram with those may have been lost.
            self._broadcast(recurring)
        crash = self._unreported.setdefault(incarnation, Crash(incarnation, at))
        crash.requests.update(requests)
        self._has_unreported.set()

    def report_endpoint_alive(self, incarnation: Incarnation, at: float) -> None:
        """Report that an endpoint that seemed to have crashed was alive later."""
        age = self._clock() - at
        self._peers.broadcast(CrashWithdrawal(incarnation.endpoint_id, incarnation.born, b"", age))

    def report_request_served(self, fingerprint: Fingerprint, at: float) -> None:
        """Report that a request was served that had been under way at a crash."""
        self._peers.broadcast(CrashWithdrawal("", None, fingerprint, self._clock() - at))

    def _on_message(self, sender: str, message: Message) -> None:
        now = self._clock()
        match message:
            case CrashReport(crashes):
                for crash in crashes:
                    self._record_report(sender, crash, now)
            case CrashWithdrawal(endpoint_id, born, fingerprint, age):
                if endpoint_id:
                    self._quarantine.record_endpoint_alive(
                        Incarnation(endpoint_id, born), now - age
                    )
                if fingerprint:
                    self._quarantine.record_request_served(Fingerprint(fingerprint), now - age)

    def _record_report(self, sender: str, crash: ReportedCrash, now: float) -> None:
        requests = {
            # A daemon of another build may send more points than this one accepts.
            Fingerprint(request.fingerprint): Involvement(
                min(request.points, RAN_POINTS), request.ran
            )
            for request in crash.requests
        }
        incarnation = Incarnation(crash.endpoint_id, crash.born)
        is_recorded = self._quarantine.has_crashed(incarnation)
        new = self._quarantine.record_crash(incarnation, now - crash.age, requests)
        if new and not is_recorded:
            _log_crash(incarnation, sender, len(new))

    @background_task
    async def _report_task(self) -> None:
        while not self.should_stop:
            await self._has_unreported.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self._has_unreported.clear()
            unreported, self._unreported = self._unreported, {}
            for crash in unreported.values():
                _log_crash(crash.incarnation, None, len(crash.requests))
            self._broadcast(unreported.values())

    def _broadcast(self, crashes: t.Iterable[Crash]) -> None:
        for report in self._reports(crashes):
            self._peers.broadcast(report)

    @background_task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            if self._quarantine.is_empty:
                continue
            self._quarantine.expire()
            self._repeat()

    def _repeat(self) -> None:
        """Send recurring crashes to a few random daemons, which may have missed their reports."""
        recurring = self._quarantine.recurring_crashes()
        others = sorted(self._peers.other_daemons)
        if not recurring or not others:
            return
        # Each repetition sends another selection of what one datagram can't hold.
        random.shuffle(recurring)
        report = next(self._reports(recurring))
        for daemon in random.sample(others, min(REPEAT_FANOUT, len(others))):
            self._peers.send(daemon, report)

    def _reports(self, crashes: t.Iterable[Crash]) -> t.Iterator[CrashReport]:
        """Yield reports of the crashes, each small enough for a datagram."""
        now, size = self._clock(), 0
        report: list[ReportedCrash] = []
        for reported in (piece for crash in crashes for piece in _split(crash, now)):
            if report and size + 1 + len(reported.requests) > MAX_REPORT_ENTRIES:
                yield CrashReport(report)
                report, size = [], 0
            report.append(reported)
            size += 1 + len(reported.requests)
        if report:
            yield CrashReport(report)


def _split(crash: Crash, now: float) -> t.Iterator[ReportedCrash]:
    """Yield a crash in pieces, each small enough for a datagram."""
    requests = [
        ReportedRequest(fingerprint, involvement.points, involvement.run_seconds)
        for fingerprint, involvement in crash.requests.items()
    ]
    for begin in range(0, len(requests), MAX_REPORT_ENTRIES - 1):
        piece = requests[begin : begin + MAX_REPORT_ENTRIES - 1]
        yield ReportedCrash(
            crash.incarnation.endpoint_id, crash.incarnation.born, now - crash.at, piece
        )


def _log_crash(incarnation: Incarnation, reported_by: str | None, requests: int) -> None:
    events.CRASH_NOTED.log(
        endpoint=incarnation.endpoint_id,
        born=incarnation.born,
        told_by=reported_by,
        requests=requests,
    )
