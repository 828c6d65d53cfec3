"""Telling the other daemons of endpoints that take few requests, and taking in what they tell.

A daemon without a share of a limit gets no answers of the endpoint, and one that has just started
got none yet. So what an answer changes is told to all at once, and what was heard lately is
repeated each second to a few daemons drawn at random.

Nothing is sent while no endpoint names a limit.

Owns: nothing.
Relies on: :mod:`.endpoint_limits`, which keeps what is known, and the datagrams of
:mod:`..peers.datagrams`; an earlier build rejects these.
"""

import asyncio
import random
import typing as t

import mode

from ..peers.datagrams import LimitReport
from ..peers.datagrams import Message
from ..peers.datagrams import PeerChannel
from ..peers.datagrams import ReportedLimit
from ..store.roster import Life
from ..store.view import StoreView
from .endpoint_limits import EndpointLimits
from .rate_notice import RateNotice

# between two repetitions
REPEAT_INTERVAL_SECONDS = 1.0
# daemons that are told at each repetition
REPEAT_FANOUT = 3
# after an answer for which what it says is told: less than the others remember that a limit has
# ended, so that a daemon that was cut off doesn't bring one back
MAX_REPORTED_AGE_SECONDS = 60.0
# endpoints in one datagram, of some 40 bytes each, so that it is not split on its way
MAX_REPORT_ENTRIES = 25


class LimitReporter(mode.Service):
    """Tells other daemons what this one has heard of limits, and passes on what they tell.

    :param clock: seconds that never go back.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        view: StoreView,
        peers: PeerChannel,
        clock: t.Callable[[], float],
    ) -> None:
        super().__init__()
        self._limits = limits
        self._view = view
        self._peers = peers
        self._clock = clock
        limits.on_change(self._news)
        peers.on_message(self._message)

    def _news(self, life: Life, notice: RateNotice) -> None:
        self._peers.tell_all(LimitReport([self._reported(life, notice)]))

    def _reported(self, life: Life, notice: RateNotice) -> ReportedLimit:
        now = self._clock()
        sent_age, heard_age = now - notice.sent_at, now - notice.answered_at
        return ReportedLimit(life.endpoint_id, life.born, notice.limit, sent_age, heard_age)

    def _message(self, sender: str, message: Message) -> None:
        if not isinstance(message, LimitReport):
            return
        now = self._clock()
        for told in message.limits:
            if told.heard_age > MAX_REPORTED_AGE_SECONDS:
                continue
            notice = RateNotice(told.limit, now - told.sent_age, now - told.heard_age)
            self._limits.record_notice(Life(told.endpoint_id, told.born), notice)

    @mode.Service.task
    async def _repeat_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            self._limits.expire(self._view.roster.endpoints)
            self.repeat()

    def repeat(self) -> None:
        """Tell a few daemons what was heard lately."""
        begin = self._clock() - MAX_REPORTED_AGE_SECONDS
        lately = [
            self._reported(life, notice)
            for life, notice in self._limits.notices.items()
            if notice.answered_at >= begin
        ]
        others = sorted(self._peers.others)
        if not lately or not others:
            return
        # where there is more than a datagram holds, each repetition tells another part of it
        report = LimitReport(random.sample(lately, min(MAX_REPORT_ENTRIES, len(lately))))
        for daemon in random.sample(others, min(REPEAT_FANOUT, len(others))):
            self._peers.tell(daemon, report)
