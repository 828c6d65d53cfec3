"""What daemons tell each other of endpoints that take few requests."""

import asyncio
import types

import pytest

from thorncleat_gateway.peers import datagrams
from thorncleat_gateway.peers.datagrams import LimitReport
from thorncleat_gateway.peers.datagrams import LoadReport
from thorncleat_gateway.peers.datagrams import ReportedLimit
from thorncleat_gateway.ports import AnswerMeta
from thorncleat_gateway.requests import limit_reporter
from thorncleat_gateway.requests.endpoint_limits import NOTICE_TTL_SECONDS
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits
from thorncleat_gateway.requests.limit_reporter import LimitReporter
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Life

from . import virtual_time

ENDPOINT = Endpoint("i-1", "narrator", "10.0.0.1:1", "z0", born=5)


def named(limit):
    return AnswerMeta("r", True, False, False, rate_limit=limit, names_rate_limit=bool(limit))


class Peers:
    def __init__(self):
        self.others = {f"edge-{number}" for number in range(8)}
        self.told = []
        self.handlers = []

    def on_message(self, handler):
        self.handlers.append(handler)

    def tell_all(self, message):
        self.told.append(("all", message))

    def tell(self, other, message):
        self.told.append((other, message))


class Scene:
    def __init__(self):
        self.now = 100.0
        self.peers = Peers()
        self.limits = EndpointLimits(None, lambda: self.now)
        view = types.SimpleNamespace(roster=types.SimpleNamespace(endpoints={"i-1": ENDPOINT}))
        self.reporter = LimitReporter(self.limits, view, self.peers, lambda: self.now)

    def hears(self, limit, endpoint=ENDPOINT):
        self.limits.record_answer(endpoint, named(limit), self.now - 0.25)

    def is_told(self, *told):
        for handler in self.peers.handlers:
            handler("edge-1", LimitReport(told))


@pytest.fixture
def scene():
    return Scene()


def test_what_an_answer_changes_is_told_to_all_at_once(scene):
    scene.hears(2.0)
    scene.now += 1
    scene.hears(2.0)
    scene.hears(1.0)
    scene.now += 1
    scene.hears(None)
    told = [(to, message.limits[0].limit) for to, message in scene.peers.told]
    assert told == [("all", 2.0), ("all", 1.0), ("all", None)]
    first = scene.peers.told[0][1].limits[0]
    assert first == ReportedLimit("i-1", 5, 2.0, 0.25, 0.0)


def test_what_others_tell_is_taken_in_and_not_told_on_at_once(scene):
    scene.is_told(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    assert scene.limits.notices[Life("i-1", 5)] == (2.0, 99.0, 99.5)
    assert scene.peers.told == []
    scene.now += 1
    scene.is_told(ReportedLimit("i-1", 5, None, 0.9, 0.1))
    assert not scene.limits.is_limited(ENDPOINT)


def test_other_messages_and_old_words_say_nothing(scene):
    for handler in scene.peers.handlers:
        handler("edge-1", LoadReport({"i-1": 3}, ["i-1"]))
    scene.is_told(ReportedLimit("i-1", 5, 2.0, 70.0, limit_reporter.MAX_REPORTED_AGE_SECONDS + 1))
    assert not scene.limits.is_limited(ENDPOINT)


def test_an_end_is_remembered_for_longer_than_a_limit_is_told():
    """Else a daemon that was cut off would bring back what the others know to be over."""
    assert NOTICE_TTL_SECONDS > limit_reporter.MAX_REPORTED_AGE_SECONDS


def test_what_was_heard_lately_is_repeated_to_a_few(scene):
    scene.reporter.repeat()
    assert scene.peers.told == []
    scene.is_told(ReportedLimit("i-1", 5, 2.0, 1.0, 0.5))
    scene.reporter.repeat()
    receivers = {to for to, _ in scene.peers.told}
    assert len(receivers) == limit_reporter.REPEAT_FANOUT
    assert receivers <= scene.peers.others
    scene.peers.told.clear()
    scene.now += limit_reporter.MAX_REPORTED_AGE_SECONDS + 1
    scene.reporter.repeat()
    assert scene.peers.told == []


def test_report_of_many_endpoints_fits_into_a_datagram(scene):
    for number in range(200):
        scene.hears(0.1 + number / 7, Endpoint(f"i-{number:010x}", "s", "a:1", "z", born=10**12))
    scene.peers.told.clear()
    scene.reporter.repeat()
    _, report = scene.peers.told[0]
    assert len(report.limits) == limit_reporter.MAX_REPORT_ENTRIES
    assert len(datagrams.encode("edge-riga-a-1", report)) < 1400


def test_repetition_goes_on_by_itself_and_forgets_what_is_over(scene):
    async def play():
        await scene.reporter.start()
        scene.hears(2.0)
        scene.hears(3.0, Endpoint("i-2", "narrator", "10.0.0.2:1", "z0", born=5))
        scene.peers.told.clear()
        await asyncio.sleep(limit_reporter.REPEAT_INTERVAL_SECONDS + 0.1)
        repeated = len(scene.peers.told)
        scene.now += NOTICE_TTL_SECONDS + 1
        await asyncio.sleep(limit_reporter.REPEAT_INTERVAL_SECONDS)
        await scene.reporter.stop()
        return repeated

    assert virtual_time.run(play()) == limit_reporter.REPEAT_FANOUT
    # of an endpoint that nobody lists
    assert set(scene.limits.notices) == {ENDPOINT.life}
