"""A suspicion that this daemon has from another one ends once a third one has heard the group."""

import pytest

from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.load_reporter import MIN_CONTACT_TTL_SECONDS
from thorncleat_gateway.peers.load_reporter import LoadReporter
from thorncleat_gateway.peers.load_table import LoadTable
from thorncleat_gateway.peers.messages import LoadReport
from thorncleat_gateway.peers.messages import Suspicion
from thorncleat_gateway.settings import StreamSettings

from .test_failure_detector import GROUP
from .test_failure_detector import LEADER
from .virtual_time import SetClock

REPORT_INTERVAL_SECONDS = 0.1
LATER = MIN_CONTACT_TTL_SECONDS + 0.01


class Peers:
    def __init__(self):
        self._handlers = []

    def on_message(self, handler):
        self._handlers.append(handler)

    def broadcast(self, message):
        pass

    def report_interval_seconds(self):
        return REPORT_INTERVAL_SECONDS

    def receive(self, sender, message):
        for handler in self._handlers:
            handler(sender, message)


class Daemon:
    def __init__(self):
        self.clock = SetClock()
        self.peers = Peers()
        self.detector = FailureDetector(StreamSettings(), self.peers, self.clock)
        table = LoadTable(self.clock, self.peers.report_interval_seconds)
        self.reporter = LoadReporter(self.peers, table, self.detector, "a")


@pytest.fixture
def daemon():
    return Daemon()


def test_adopted_suspicion_ends_when_another_daemon_hears_the_group(daemon):
    """The group was well again, and stayed unused for up to a second."""
    daemon.peers.receive("e1", Suspicion("w0", GROUP))
    assert daemon.detector.is_suspected(LEADER)
    daemon.clock.now += LATER
    daemon.peers.receive("e2", LoadReport({}, ["w0"]))
    assert not daemon.detector.is_suspected(LEADER)
    assert not daemon.detector.is_on_probation(LEADER)


def test_probation_after_an_adopted_suspicion_ends_likewise(daemon):
    daemon.peers.receive("e1", Suspicion("w0", GROUP))
    daemon.clock.now += 1.1
    assert daemon.detector.is_on_probation(LEADER)
    daemon.peers.receive("e2", LoadReport({}, ["w0"]))
    assert not daemon.detector.is_on_probation(LEADER)


def test_contact_that_may_be_earlier_does_not_end_a_suspicion(daemon):
    """A report names what answered within some time, so perhaps before the silence."""
    daemon.peers.receive("e1", Suspicion("w0", GROUP))
    daemon.clock.now += MIN_CONTACT_TTL_SECONDS - 0.01
    daemon.peers.receive("e2", LoadReport({}, ["w0"]))
    assert daemon.detector.is_suspected(LEADER)


def test_suspicion_that_is_repeated_counts_from_its_latest_report(daemon):
    for _ in range(4):
        daemon.peers.receive("e1", Suspicion("w0", GROUP))
        daemon.clock.now += 0.2
        daemon.peers.receive("e2", LoadReport({}, ["w0"]))
        assert daemon.detector.is_suspected(LEADER)


def test_own_suspicion_stays(daemon):
    """The group may be cut off from this daemon alone."""
    daemon.detector.suspect(LEADER, "silence")
    daemon.clock.now += LATER
    daemon.peers.receive("e2", LoadReport({}, ["w0"]))
    assert daemon.detector.is_suspected_locally(LEADER)


def test_report_that_does_not_name_the_leader_ends_nothing(daemon):
    daemon.peers.receive("e1", Suspicion("w0", GROUP))
    daemon.clock.now += LATER
    daemon.peers.receive("e2", LoadReport({"w0": 1}, ["w1"]))
    assert daemon.detector.is_suspected(LEADER)
