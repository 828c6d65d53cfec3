"""Exchanges endpoints' rate limits with the other daemons.

Owns: nothing.
Relies on: :mod:`.endpoint_limits` for the notices, and the datagrams of :mod:`..peers.datagrams`;
an earlier build rejects these.
"""

import asyncio
import random
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.messages import LimitReport
from ..peers.messages import Message
from ..peers.messages import ReportedLimit
from ..service import Service
from ..service import background_task
from ..store.roster import Incarnation
from ..store.view import StoreView
from .endpoint_limits import EndpointLimits
from .rate_notice import RateNotice

REPEAT_INTERVAL_SECONDS = 1.0
# Daemons that receive each repetition.
REPEAT_FANOUT = 3
# How long a notice is reported after its answer. Daemons remember the end of a limit for longer, so
# that a daemon that was partitioned can't restore the limit.
MAX_REPORTED_AGE_SECONDS = 60.0
# Endpoints in one report, some 40 bytes each, so that its datagram isn't fragmented.
MAX_REPORT_ENTRIES = 25


class LimitReporter(Service):
    """Reports limits to the other daemons and records those that they report.

    A daemon that has just started, or has no share of a limit, gets no answers that state it.

    :param clock: monotonic, in seconds.
    :param has_just_paused: returns whether this daemon paused, and may still meet datagrams that
        waited meanwhile.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        view: StoreView,
        peers: PeerChannel,
        clock: t.Callable[[], float],
        has_just_paused: t.Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._limits = limits
        self._view = view
        self._peers = peers
        self._clock = clock
        self._has_just_paused = has_just_paused
        limits.on_change(self._on_change)
        peers.on_message(self._on_message)

    def _on_change(self, incarnation: Incarnation, notice: RateNotice) -> None:
        self._peers.broadcast(LimitReport([self._to_report(incarnation, notice)]))

    def _to_report(self, incarnation: Incarnation, notice: RateNotice) -> ReportedLimit:
        now = self._clock()
        sent_age, answer_age = now - notice.sent_at, now - notice.answered_at
        return ReportedLimit(
            incarnation.endpoint_id, incarnation.born, notice.limit, sent_age, answer_age
        )

    def _on_message(self, sender: str, message: Message) -> None:
        if not isinstance(message, LimitReport):
            return
        if self._has_just_paused():
            # The ages in a report that waited in the socket are too low: a limit would replace its
            # later end, here and at the daemons to which it is repeated. What still holds is
            # repeated by the others.
            return
        now = self._clock()
        for reported in message.limits:
            if reported.heard_age > MAX_REPORTED_AGE_SECONDS:
                continue
            notice = RateNotice(reported.limit, now - reported.sent_age, now - reported.heard_age)
            self._limits.record_notice(Incarnation(reported.endpoint_id, reported.born), notice)

    @background_task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            self._limits.expire(self._view.roster.endpoints)
            self.repeat()

    def repeat(self) -> None:
        """Send recent notices to a few random daemons, which may have missed the broadcast."""
        begin = self._clock() - MAX_REPORTED_AGE_SECONDS
        recent = [
            self._to_report(incarnation, notice)
            for incarnation, notice in self._limits.notices.items()
            if notice.answered_at >= begin
        ]
        others = sorted(self._peers.other_daemons)
        if not recent or not others:
            return
        # Each repetition sends another selection of what one datagram can't hold.
        report = LimitReport(random.sample(recent, min(MAX_REPORT_ENTRIES, len(recent))))
        for daemon in random.sample(others, min(REPEAT_FANOUT, len(others))):
            self._peers.send(daemon, report)
