"""Telling the other daemons of crashes, and taking in what they tell.

What is new is told to all; gathered for a moment, since an endpoint's connections break together,
but at once if a request was under way at another crash before, since its caller comes back in
milliseconds. What matters for long, the crashes of requests that were under way at several, is
repeated each second to a few daemons drawn at random: so one that has just started, was cut off, or
missed a datagram learns it. Each crash is told with its age, and is one however often it comes.

Nothing is sent while no endpoint crashes.

Owns: what is still to be told.
Relies on: the datagrams of :mod:`..peers.datagrams`; an earlier build rejects these.
"""

import asyncio
import random
import typing as t

import mode

from .. import events
from ..peers.datagrams import CrashReport
from ..peers.datagrams import CrashWithdrawal
from ..peers.datagrams import Message
from ..peers.datagrams import PeerChannel
from ..peers.datagrams import ReportedCrash
from ..peers.datagrams import ReportedRequest
from ..store.roster import Incarnation
from .fingerprint import Fingerprint
from .quarantine import RAN_POINTS
from .quarantine import Crash
from .quarantine import Involvement
from .quarantine import Quarantine

# in which breaks of connections gather before they are told
GATHER_SECONDS = 0.01
# between two repetitions: with REPEAT_TO, one daemon of 8 to 195 that doesn't know what the others
# do is missed for 3 s less often than once in 5,000 times
REPEAT_SECONDS = 1.0
# daemons that are told at each repetition
REPEAT_TO = 3
# crashes and requests in one datagram, of some 25 bytes each, so that it is not split on its way
MOST_TOLD = 40


class CrashReporter(mode.Service):
    """Tells other daemons what this one has seen, and remembers what they tell.

    :param clock: seconds that never go back.
    """

    def __init__(
        self, quarantine: Quarantine, peers: PeerChannel, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._untold: dict[Incarnation, Crash] = {}
        self._has_untold = asyncio.Event()
        peers.on_message(self._message)

    def endpoint_crashed(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> None:
        """Tell that requests were under way at an endpoint when it crashed."""
        repeated = self._quarantine.repeated(requests)
        if repeated:
            # with the crashes before, of which a datagram may have been lost
            self._tell(repeated)
        crash = self._untold.setdefault(incarnation, Crash(incarnation, at))
        crash.requests.update(requests)
        self._has_untold.set()

    def endpoint_lives(self, incarnation: Incarnation, at: float) -> None:
        """Tell that an endpoint that seemed to have crashed lived later."""
        age = self._clock() - at
        self._peers.broadcast(CrashWithdrawal(incarnation.endpoint_id, incarnation.born, b"", age))

    def request_served(self, fingerprint: Fingerprint, at: float) -> None:
        """Tell that a request was served that had been under way at a crash."""
        self._peers.broadcast(CrashWithdrawal("", None, fingerprint, self._clock() - at))

    def _message(self, sender: str, message: Message) -> None:
        now = self._clock()
        match message:
            case CrashReport(crashes):
                for told in crashes:
                    self._take(sender, told, now)
            case CrashWithdrawal(endpoint_id, born, fingerprint, age):
                if endpoint_id:
                    self._quarantine.endpoint_lives(Incarnation(endpoint_id, born), now - age)
                if fingerprint:
                    self._quarantine.request_served(Fingerprint(fingerprint), now - age)

    def _take(self, sender: str, told: ReportedCrash, now: float) -> None:
        requests = {
            # no crash counts more, whatever a daemon of another build says
            Fingerprint(one.fingerprint): Involvement(min(one.points, RAN_POINTS), one.ran)
            for one in told.requests
        }
        incarnation = Incarnation(told.endpoint_id, told.born)
        is_known = self._quarantine.knows(incarnation)
        new = self._quarantine.note(incarnation, now - told.age, requests)
        if new and not is_known:
            _log(incarnation, sender, len(new))

    @mode.Service.task
    async def _tell_task(self) -> None:
        while not self.should_stop:
            await self._has_untold.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._has_untold.clear()
            untold, self._untold = self._untold, {}
            for crash in untold.values():
                _log(crash.incarnation, None, len(crash.requests))
            self._tell(untold.values())

    def _tell(self, crashes: t.Iterable[Crash]) -> None:
        for report in self._reports(crashes):
            self._peers.broadcast(report)

    @mode.Service.task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_SECONDS)
            if self._quarantine.is_empty:
                continue
            self._quarantine.expire()
            self._repeat()

    def _repeat(self) -> None:
        repeated = self._quarantine.repeated()
        others = sorted(self._peers.other_daemons)
        if not repeated or not others:
            return
        # where there is more than a datagram holds, each repetition tells another part of it
        random.shuffle(repeated)
        report = next(self._reports(repeated))
        for daemon in random.sample(others, min(REPEAT_TO, len(others))):
            self._peers.send(daemon, report)

    def _reports(self, crashes: t.Iterable[Crash]) -> t.Iterator[CrashReport]:
        """Yield reports of some crashes, none of which is too large for a datagram."""
        now, size = self._clock(), 0
        report: list[ReportedCrash] = []
        for told in (part for crash in crashes for part in _reported(crash, now)):
            if report and size + 1 + len(told.requests) > MOST_TOLD:
                yield CrashReport(report)
                report, size = [], 0
            report.append(told)
            size += 1 + len(told.requests)
        if report:
            yield CrashReport(report)


def _reported(crash: Crash, now: float) -> t.Iterator[ReportedCrash]:
    """Yield a crash in parts, none of which is too large for a datagram."""
    requests = [
        ReportedRequest(fingerprint, part.points, part.ran)
        for fingerprint, part in crash.requests.items()
    ]
    for begin in range(0, len(requests), MOST_TOLD - 1):
        part = requests[begin : begin + MOST_TOLD - 1]
        yield ReportedCrash(
            crash.incarnation.endpoint_id, crash.incarnation.born, now - crash.at, part
        )


def _log(incarnation: Incarnation, told_by: str | None, requests: int) -> None:
    events.CRASH_NOTED.log(
        endpoint=incarnation.endpoint_id, born=incarnation.born, told_by=told_by, requests=requests
    )
