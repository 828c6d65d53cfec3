"""Keeps what a daemon has used of its retry budgets at other daemons, for the time after a restart.

Each daemon tells some others what it has used, and asks them for it when it starts. Without an
answer it goes on with the small budget of a process that knows nothing of its predecessor.

Owns: the latest report of each other daemon, and for how long it was heard of.
Relies on: the datagrams of :mod:`..peers.datagrams`; an earlier build rejects these.
"""

import asyncio
import dataclasses
import typing as t

import mode

from thorncleat_core import rendezvous

from .. import events
from ..peers.datagrams import PeerChannel
from ..peers.messages import Message
from ..peers.messages import RetryQuery
from ..peers.messages import RetryRecall
from ..peers.messages import RetryReport
from ..store.fleet_knowledge import MIN_REGISTERED_SECONDS
from .retry_budget import RetryBudgets

# Daemons that keep what one has used, so that one is left in most cases if nine in ten end at once.
KEEPERS = 8
# How long retries are collected before they are reported.
BATCH_SECONDS = 0.1
REPEAT_INTERVAL_SECONDS = 1.0
QUERY_INTERVAL_SECONDS = 0.2
# How long a daemon asks after its start. Reports of its own would replace those of its predecessor.
QUERY_SECONDS = 2.0
# Longest time without a message of a daemon that counts as heard of: that of a restart. A record in
# the store that was renewed in time doesn't expire within it.
MAX_GAP_SECONDS = 5.0


@dataclasses.dataclass
class _Peer:
    """What is known of another daemon. Times are seconds on the gateway's clock.

    :param heard_since: since when there was no gap between its messages.
    :param heard_at: time of its latest message.
    :param report: its latest report, or None.
    :param reported_at: time of that report.
    """

    heard_since: float
    heard_at: float
    report: RetryReport | None = None
    reported_at: float = 0.0


class RetryReporter(mode.Service):
    """Reports what this daemon has used, and remembers what others have reported.

    :param clock: monotonic, in seconds.
    """

    def __init__(
        self, budgets: RetryBudgets, peers: PeerChannel, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._budgets = budgets
        self._peers = peers
        self._clock = clock
        self._others: dict[str, _Peer] = {}
        self._recalls: list[RetryRecall] = []
        self._is_asking = True
        self._has_unreported = asyncio.Event()
        budgets.on_retry(self._has_unreported.set)
        peers.on_message(self._on_message)

    def _on_message(self, sender: str, message: Message) -> None:
        peer = self._record_contact(sender)
        match message:
            case RetryReport():
                peer.report, peer.reported_at = message, self._clock()
            case RetryQuery():
                self._peers.send(sender, self._recall(peer))
            case RetryRecall() if self._is_asking:
                self._recalls.append(message)

    def _record_contact(self, sender: str) -> _Peer:
        now = self._clock()
        peer = self._others.setdefault(sender, _Peer(now, now))
        if now - peer.heard_at > MAX_GAP_SECONDS:
            peer.heard_since = now
        peer.heard_at = now
        return peer

    def _recall(self, peer: _Peer) -> RetryRecall:
        """Return the answer to a query of a daemon."""
        now = self._clock()
        age = now - peer.reported_at
        report = peer.report if age <= self._budgets.window else None
        return RetryRecall(now - peer.heard_since, age if report is not None else 0.0, report)

    @mode.Service.task
    async def _query_task(self) -> None:
        asks_until = self._clock() + QUERY_SECONDS
        while not self.should_stop and self._clock() < asks_until and not self._budgets.is_complete:
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
        """Inherit what the answers since the last call say, if they are enough."""
        recalls, self._recalls = self._recalls, []
        reported = [recall for recall in recalls if recall.report is not None]
        if reported:
            latest = min(reported, key=lambda recall: recall.age)
            self._inherit(latest)
        elif any(recall.heard_for >= self._budgets.window for recall in recalls):
            # The predecessor has used nothing. Daemons hear only those that they list.
            heard_for = max(recall.heard_for for recall in recalls)
            had_share = heard_for >= self._budgets.window + MIN_REGISTERED_SECONDS
            self._budgets.inherit([], 0.0, had_share=had_share)

    def _inherit(self, recall: RetryRecall) -> None:
        report = recall.report
        if report is None or not report.is_complete:
            return
        had_share = report.has_share and recall.age <= MAX_GAP_SECONDS
        self._budgets.inherit(report.uses, recall.age, had_share=had_share)
        events.RETRIES_INHERITED.log(
            age=round(recall.age, 3),
            retries=sum(sum(use.retries) for use in report.uses),
            has_share=had_share,
        )

    @mode.Service.task
    async def _report_task(self) -> None:
        while not self.should_stop:
            await self._has_unreported.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self._has_unreported.clear()
            self.report()

    @mode.Service.task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            self._forget_ended()
            self.report()

    def report(self) -> None:
        """Tell the keepers what this daemon has used, if that is anything."""
        uses = self._budgets.uses()
        if uses and not self._is_asking:
            self._send_to_keepers(
                RetryReport(self._budgets.is_complete, self._budgets.has_share, uses)
            )

    def _forget_ended(self) -> None:
        begin = self._clock() - self._budgets.window
        self._others = {
            daemon: peer for daemon, peer in self._others.items() if peer.heard_at >= begin
        }

    def _send_to_keepers(self, message: Message) -> None:
        """Send a message to the daemons that keep what this one has used.

        They are of the same failure domain where only its daemons exchange load reports.
        """
        peers = self._peers
        others = peers.other_daemons if peers.is_full_mesh else peers.domain_peers
        for daemon in rendezvous.rank(f"retries {peers.id}", others)[:KEEPERS]:
            peers.send(daemon, message)
