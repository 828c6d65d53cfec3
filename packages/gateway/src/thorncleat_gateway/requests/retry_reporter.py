"""Keeps what a daemon has used of its retry budgets at other daemons, for the time after a restart.

Each daemon tells some others what it has used, also if that is nothing, and asks them for it when
it starts. Without an answer it goes on with the small budget of a process that knows nothing of its
predecessor, which may have been of an earlier build that reports nothing.

Owns: the latest report of each other daemon.
Relies on: the datagrams of :mod:`..peers.datagrams`; an earlier build rejects these.
"""

import asyncio
import dataclasses
import typing as t

from thorncleat_core import rendezvous

from .. import events
from ..peers.datagrams import PeerChannel
from ..peers.messages import Message
from ..peers.messages import OwedRetries
from ..peers.messages import RetryQuery
from ..peers.messages import RetryRecall
from ..peers.messages import RetryReport
from ..service import Service
from ..service import background_task
from ..store.roster import Incarnation
from ..store.roster import Roster
from .retry_budget import RetryBudgets
from .unanswered_attempts import UnansweredAttempts

# Daemons that keep what one has used, so that one is left in most cases if nine in ten end at once.
KEEPERS = 8
# How long retries are collected before they are reported.
BATCH_SECONDS = 0.1
REPEAT_INTERVAL_SECONDS = 1.0
QUERY_INTERVAL_SECONDS = 0.2
# How long a daemon asks after its start. Reports of its own would replace those of its predecessor.
QUERY_SECONDS = 2.0
# Longest age of a report that tells what a daemon had used: the time of a restart. A record in the
# store that was renewed in time doesn't expire within it.
MAX_REPORT_AGE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class _KeptReport:
    """The latest report of another daemon.

    :param at: when it came, in seconds on the gateway's clock.
    """

    report: RetryReport
    at: float


class RetryReporter(Service):
    """Reports what this daemon has used, and remembers what others have reported.

    :param clock: monotonic, in seconds.
    :param unanswered: the attempts that may still arrive; None to report none.
    """

    def __init__(
        self,
        budgets: RetryBudgets,
        peers: PeerChannel,
        clock: t.Callable[[], float],
        unanswered: UnansweredAttempts | None = None,
    ) -> None:
        super().__init__()
        self._unanswered = unanswered or UnansweredAttempts(Roster, clock)
        self._budgets = budgets
        self._peers = peers
        self._clock = clock
        self._kept: dict[str, _KeptReport] = {}
        self._recalls: list[RetryRecall] = []
        self._is_asking = True
        # Until when it asks at most; None before the first question.
        self._asks_until: float | None = None
        self._has_unreported = asyncio.Event()
        budgets.on_retry(self._has_unreported.set)
        peers.on_message(self._on_message)

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case RetryReport():
                self._kept[sender] = _KeptReport(message, self._clock())
            case RetryQuery():
                self._answer(sender)
            case RetryRecall() if self._is_asking:
                self._recalls.append(message)

    def _answer(self, daemon: str) -> None:
        """Tell a daemon what its predecessor reported, unless that is too old."""
        kept = self._kept.get(daemon)
        if kept is None:
            return
        age = self._clock() - kept.at
        if age <= MAX_REPORT_AGE_SECONDS:
            self._peers.send(daemon, RetryRecall(age, kept.report))

    @background_task
    async def _query_task(self) -> None:
        if self._asks_until is None:
            self._asks_until = self._clock() + QUERY_SECONDS
        while (
            not self.should_stop
            and self._clock() < self._asks_until
            and not self._budgets.is_complete
        ):
            self.ask()
            await asyncio.sleep(QUERY_INTERVAL_SECONDS)
            self.take_best_recall()
        self.end_asking()

    def ask(self) -> None:
        """Ask the keepers what the predecessor had used."""
        self._send_to_keepers(RetryQuery())

    def end_asking(self) -> None:
        """Begin to report."""
        self._is_asking = False
        self._has_unreported.set()

    def take_best_recall(self) -> None:
        """Inherit what the latest report says, if it is among the answers since the last call."""
        recalls, self._recalls = self._recalls, []
        latest = min(recalls, key=lambda recall: recall.age, default=None)
        if latest is None or not latest.report.is_complete:
            return
        report = latest.report
        self._budgets.inherit(report.uses, latest.age, had_share=report.has_share)
        self._inherit_owed(report.owed)
        events.RETRIES_INHERITED.log(
            age=round(latest.age, 3),
            retries=sum(sum(use.retries) for use in report.uses),
            has_share=report.has_share,
        )

    def _inherit_owed(self, owed: t.Iterable[OwedRetries]) -> None:
        """Count what the predecessor had given up until it has arrived or can't any more."""
        now = self._clock()
        for retries in owed:
            incarnation = Incarnation(retries.endpoint_id, retries.born)
            for _ in range(retries.count):
                token = self._budgets.owe_token(retries.service)
                self._unanswered.add(retries.service, incarnation, now, token)

    @background_task
    async def _report_task(self) -> None:
        while not self.should_stop:
            await self._has_unreported.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self._has_unreported.clear()
            self.report()

    @background_task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            self._forget_old()
            self.report()

    def report(self) -> None:
        """Tell the keepers what this daemon has used."""
        if self._is_asking:
            return
        budgets = self._budgets
        report = RetryReport(
            budgets.is_complete, budgets.has_share, budgets.uses(), self._unanswered.owed()
        )
        if report.owed:
            # Keepers of an earlier build reject the report. What they know is out of date.
            self._send_to_keepers(dataclasses.replace(report, is_complete=False, owed=()))
        self._send_to_keepers(report)

    def _forget_old(self) -> None:
        begin = self._clock() - MAX_REPORT_AGE_SECONDS
        self._kept = {daemon: kept for daemon, kept in self._kept.items() if kept.at >= begin}

    def _send_to_keepers(self, message: Message) -> None:
        """Send a message to the daemons that keep what this one has used.

        They are of the same failure domain where only its daemons exchange load reports.
        """
        peers = self._peers
        others = peers.other_daemons if peers.is_full_mesh else peers.domain_peers
        for daemon in rendezvous.rank(f"retries {peers.id}", others)[:KEEPERS]:
            peers.send(daemon, message)
