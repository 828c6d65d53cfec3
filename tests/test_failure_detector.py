"""Local and remote suspicions of silent groups."""

import dataclasses

import pytest

from thorncleat_gateway.peers import silence
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.failure_detector import StreamAttempt
from thorncleat_gateway.peers.message_codec import decode
from thorncleat_gateway.peers.message_codec import encode
from thorncleat_gateway.peers.messages import GroupEnded
from thorncleat_gateway.peers.messages import GroupKept
from thorncleat_gateway.peers.messages import Probe
from thorncleat_gateway.peers.messages import Suspicion
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

GROUP = GroupId(7, "g7")
LEADER = Endpoint(
    "w0", "narrator", "", "a", models=("m",), membership=Membership(GROUP, 0, GroupState.OPEN)
)


class PeerChannel:
    def __init__(self):
        self.sent = []

    def on_message(self, handler):
        self.receive = handler

    def broadcast(self, message):
        self.sent.append(message)


@pytest.fixture
def detector():
    time = [100.0]
    detector = FailureDetector(StreamSettings(), PeerChannel(), lambda: time[0])
    detector.time = time
    return detector


def test_suspicion_is_broadcast_and_expires(detector):
    detector.suspect(LEADER, "silence")
    assert detector._peers.sent == [Suspicion("w0", GROUP)]
    assert detector.is_suspected(LEADER)
    assert detector.is_suspected_locally(LEADER)
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


def test_group_that_fails_its_probation_is_suspected_for_longer(detector):
    durations = []
    for _ in range(5):
        detector.suspect(LEADER, "silence")
        started_at = detector.time[0]
        while detector.is_suspected(LEADER):
            assert not detector.is_on_probation(LEADER)
            detector.time[0] += 0.1
        durations.append(round(detector.time[0] - started_at))
        assert detector.is_on_probation(LEADER)
    assert durations == [1, 2, 4, 8, 8]
    detector.record_contact("w0", detector.time[0])
    assert not detector.is_on_probation(LEADER)
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)


def test_local_suspicion_stays_local_until_it_expires(detector):
    """Where all groups are suspected, only those suspected by other daemons are used."""
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.1
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.5
    assert detector.is_suspected(LEADER)
    assert detector.is_suspected_locally(LEADER)


def test_reports_of_several_daemons_count_as_one_suspicion(detector):
    for _ in range(5):
        detector._peers.receive("another", Suspicion("w0", GROUP))
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)


def test_next_group_of_the_same_leader_is_not_suspected(detector):
    detector.suspect(LEADER, "silence")
    membership = Membership(GroupId(8, "g8"), 0, GroupState.OPEN)
    leader = dataclasses.replace(LEADER, membership=membership)
    assert not detector.is_suspected(leader)
    detector.time[0] += 1.1
    assert not detector.is_on_probation(leader)


def test_answer_ends_a_suspicion(detector):
    detector.suspect(LEADER, "silence")
    detector.record_contact("w0", detector.time[0])
    assert not detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


def test_local_contact_overrides_a_remote_suspicion(detector):
    detector.record_contact("w0", detector.time[0] - 0.2)
    detector._peers.receive("cut-off", Suspicion("w0", GROUP))
    assert not detector.is_suspected(LEADER)


def test_remote_suspicion_counts_without_local_contact(detector):
    detector._peers.receive("another", Suspicion("w0", GROUP))
    assert detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


def test_group_that_the_controller_keeps_is_no_longer_suspected(detector):
    detector.suspect(LEADER, "silence")
    detector._peers.receive("controller", GroupKept(GROUP, "w0"))
    assert not detector.is_suspected(LEADER)
    assert not detector.is_on_probation(LEADER)


@pytest.mark.parametrize("message", [Suspicion("w0", GROUP, "w1"), Probe("w0"), GroupEnded(GROUP)])
def test_datagrams_round_trip(message):
    assert decode(encode("edge-1", message)) == ("edge-1", message)


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x91\x01", b"x" * 100, encode("e", Probe("w"))[:-1]]
)
def test_broken_datagrams_are_dropped(data):
    assert decode(data) is None


def _started_attempt(detector, aborted):
    """Return a watched attempt that has an event and can migrate."""
    attempt = StreamAttempt(LEADER, detector.time[0], lambda: True, lambda: aborted.append(attempt))
    attempt.record_event(detector.time[0])
    detector.watch(attempt)
    return attempt


def test_stalled_stream_leaves_a_group_that_is_alive(detector):
    aborted = []
    silent, other = _started_attempt(detector, aborted), _started_attempt(detector, aborted)
    for _ in range(30):
        detector.time[0] += 0.05
        other.record_event(detector.time[0])
        detector.record_contact("w0", detector.time[0])
        detector._check_leader("w0", detector.time[0])
    assert aborted == [silent]
    assert silent.abort_cause == silence.STREAM_SILENT_CAUSE
    assert not detector.is_suspected(LEADER)
    assert detector._peers.sent == []


@pytest.mark.parametrize("others", [0, 1], ids=["alone", "beside another"])
def test_stream_with_a_slow_caller_does_not_make_its_group_suspected(detector, others):
    """No events are read from the leader while the caller has not read the previous ones."""
    aborted = []
    blocked = _started_attempt(detector, aborted)
    blocked.is_blocked_by_caller = True
    beside = [_started_attempt(detector, aborted) for _ in range(others)]
    for _ in range(30):
        detector.time[0] += 0.05
        for attempt in beside:
            attempt.record_event(detector.time[0])
        detector._check_leader("w0", detector.time[0])
    assert aborted == []
    assert not detector.is_suspected(LEADER)
