"""Reports of rate limits between daemons."""

import asyncio
import types

import pytest

from thorncleat_gateway.peers import message_codec
from thorncleat_gateway.peers.messages import LimitReport
from thorncleat_gateway.peers.messages import LoadReport
from thorncleat_gateway.peers.messages import ReportedLimit
from thorncleat_gateway.ports import AnswerMeta
from thorncleat_gateway.requests import limit_reporter
from thorncleat_gateway.requests.endpoint_limits import NOTICE_TTL_SECONDS
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits
from thorncleat_gateway.requests.limit_reporter import LimitReporter
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Incarnation

from . import virtual_time

ENDPOINT = Endpoint("i-1", "narrator", "10.0.0.1:1", "z0", born=5)


def named(limit):
    return AnswerMeta("r", True, False, False, rate_limit=limit, names_rate_limit=bool(limit))


class Peers:
    def __init__(self):
        self.other_daemons = {f"edge-{number}" for number in range(8)}
        self.sent = []
        self.handlers = []

    def on_message(self, handler):
        self.handlers.append(handler)

    def broadcast(self, message):
        self.sent.append(("all", message))

    def send(self, other, message):
        self.sent.append((other, message))


class Scene:
    def __init__(self):
        self.now = 100.0
        self.peers = Peers()
        self.limits = EndpointLimits(None, lambda: self.now)
        view = types.SimpleNamespace(roster=types.SimpleNamespace(endpoints={"i-1": ENDPOINT}))
        self.has_just_paused = False
        self.reporter = LimitReporter(
            self.limits, view, self.peers, lambda: self.now, lambda: self.has_just_paused
        )

    def receive_answer(self, limit, endpoint=ENDPOINT):
        self.limits.record_answer(endpoint, named(limit), self.now - 0.25)

    def receive_report(self, *limits):
        for handler in self.peers.handlers:
            handler("edge-1", LimitReport(limits))


@pytest.fixture
def scene():
    return Scene()


def test_change_by_an_answer_is_broadcast(scene):
    scene.receive_answer(2.0)
    scene.now += 1
    scene.receive_answer(2.0)
    scene.receive_answer(1.0)
    scene.now += 1
    scene.receive_answer(None)
    sent = [(to, message.limits[0].limit) for to, message in scene.peers.sent]
    assert sent == [("all", 2.0), ("all", 1.0), ("all", None)]
    first = scene.peers.sent[0][1].limits[0]
    assert first == ReportedLimit("i-1", 5, 2.0, 0.25, 0.0)


def test_report_is_recorded_and_not_forwarded_at_once(scene):
    scene.receive_report(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    assert scene.limits.notices[Incarnation("i-1", 5)] == (2.0, 99.0, 99.5)
    assert scene.peers.sent == []
    scene.now += 1
    scene.receive_report(ReportedLimit("i-1", 5, None, 0.9, 0.1))
    assert not scene.limits.is_limited(ENDPOINT)


def test_other_messages_and_old_reports_are_ignored(scene):
    for handler in scene.peers.handlers:
        handler("edge-1", LoadReport({"i-1": 3}, ["i-1"]))
    scene.receive_report(
        ReportedLimit("i-1", 5, 2.0, 70.0, limit_reporter.MAX_REPORTED_AGE_SECONDS + 1)
    )
    assert not scene.limits.is_limited(ENDPOINT)


def test_end_of_a_limit_is_remembered_for_longer_than_a_limit_is_reported():
    """Guards against a partitioned daemon that restores a limit which has ended."""
    assert NOTICE_TTL_SECONDS > limit_reporter.MAX_REPORTED_AGE_SECONDS


def test_recent_notices_are_repeated_to_a_few_daemons(scene):
    scene.reporter.repeat()
    assert scene.peers.sent == []
    scene.receive_report(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    scene.reporter.repeat()
    receivers = {to for to, _ in scene.peers.sent}
    assert len(receivers) == limit_reporter.REPEAT_FANOUT
    assert receivers <= scene.peers.other_daemons
    scene.peers.sent.clear()
    scene.now += limit_reporter.MAX_REPORTED_AGE_SECONDS + 1
    scene.reporter.repeat()
    assert scene.peers.sent == []


def test_daemon_that_never_knew_a_limit_reports_its_end_to_those_that_know_it(scene):
    """Guards against daemons without a share that are never told of the end of a limit.

    The daemon with the share starts, or misses the broadcast, and gets answers without a limit.
    """
    scene.receive_answer(None)
    scene.receive_report(ReportedLimit("i-1", 5, 0.5, 9.0, 8.0))
    assert not scene.limits.is_limited(ENDPOINT)
    scene.now += 1
    scene.receive_answer(None)
    scene.reporter.repeat()
    reports = [message.limits for _, message in scene.peers.sent]
    assert reports == [[ReportedLimit("i-1", 5, None, 0.25, 0.0)]] * limit_reporter.REPEAT_FANOUT


def test_endpoints_of_which_no_daemon_knows_a_limit_are_not_reported(scene):
    scene.receive_answer(None)
    scene.receive_report(ReportedLimit("i-1", 5, None, 9.0, 8.0))
    scene.reporter.repeat()
    assert scene.peers.sent == []


def test_daemon_that_stood_still_does_not_restore_a_limit_that_has_ended(scene):
    """Guards against reports that wait in the socket of a stopped process.

    When the process goes on, their ages are too low by the time for which it stood still.
    """
    stopped = Scene()
    scene.receive_answer(0.5)
    scene.now += 1
    scene.receive_answer(None)
    waiting = [message for _, message in scene.peers.sent]
    assert [message.limits[0].limit for message in waiting] == [0.5, None]
    scene.now = stopped.now = scene.now + 5
    stopped.has_just_paused = True
    for message in waiting:
        stopped.receive_report(*message.limits)
    stopped.has_just_paused = False
    stopped.reporter.repeat()
    for _, message in stopped.peers.sent:
        scene.receive_report(*message.limits)
    assert not scene.limits.is_limited(ENDPOINT)
    assert not stopped.limits.is_limited(ENDPOINT)


def test_limit_that_was_reported_during_a_pause_is_recorded_from_its_repetition(scene):
    scene.has_just_paused = True
    scene.receive_report(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    assert not scene.limits.is_limited(ENDPOINT)
    scene.has_just_paused = False
    scene.receive_report(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    assert scene.limits.is_limited(ENDPOINT)


def test_report_of_many_endpoints_fits_into_a_datagram(scene):
    for number in range(200):
        scene.receive_answer(
            0.1 + number / 7, Endpoint(f"i-{number:010x}", "s", "a:1", "z", born=10**12)
        )
    scene.peers.sent.clear()
    scene.reporter.repeat()
    _, report = scene.peers.sent[0]
    assert len(report.limits) == limit_reporter.MAX_REPORT_ENTRIES
    assert len(message_codec.encode("edge-riga-a-1", report)) < 1400


def test_repetition_runs_by_itself_and_expires_old_notices(scene):
    async def play():
        await scene.reporter.start()
        scene.receive_answer(2.0)
        scene.receive_answer(3.0, Endpoint("i-2", "narrator", "10.0.0.2:1", "z0", born=5))
        scene.peers.sent.clear()
        await asyncio.sleep(limit_reporter.REPEAT_INTERVAL_SECONDS + 0.1)
        repeated = len(scene.peers.sent)
        scene.now += NOTICE_TTL_SECONDS + 1
        await asyncio.sleep(limit_reporter.REPEAT_INTERVAL_SECONDS)
        await scene.reporter.stop()
        return repeated

    assert virtual_time.run(play()) == limit_reporter.REPEAT_FANOUT
    # The limit of the unlisted endpoint has expired.
    assert set(scene.limits.notices) == {ENDPOINT.incarnation}
