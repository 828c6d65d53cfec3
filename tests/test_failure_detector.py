"""Suspicions of silent groups: what a daemon hears itself counts more than what it is told."""

import dataclasses

import pytest

from thorncleat_gateway.peers import silence
from thorncleat_gateway.peers.datagrams import GroupEnded
from thorncleat_gateway.peers.datagrams import Probe
from thorncleat_gateway.peers.datagrams import Suspicion
from thorncleat_gateway.peers.datagrams import decode
from thorncleat_gateway.peers.datagrams import encode
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.failure_detector import StreamAttempt
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
    made = FailureDetector(StreamSettings(), PeerChannel(), lambda: time[0])
    made.time = time
    return made


def test_a_suspicion_is_told_and_ends_by_itself(detector):
    detector.suspect(LEADER, "silence")
    assert detector._peers.sent == [Suspicion("w0", GROUP)]
    assert detector.is_suspected(LEADER)
    assert detector.is_suspected_locally(LEADER)
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


def test_group_that_fails_its_trial_is_suspected_for_longer(detector):
    lasted = []
    for _ in range(5):
        detector.suspect(LEADER, "silence")
        begun = detector.time[0]
        while detector.is_suspected(LEADER):
            assert not detector.is_on_probation(LEADER)
            detector.time[0] += 0.1
        lasted.append(round(detector.time[0] - begun))
        assert detector.is_on_probation(LEADER)
    assert lasted == [1, 2, 4, 8, 8]
    detector.record_contact("w0", detector.time[0])
    assert not detector.is_on_probation(LEADER)
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)


def test_own_suspicion_is_an_own_one_for_as_long_as_it_lasts(detector):
    """Where all groups are suspected, those that only others suspect are used."""
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.1
    detector.suspect(LEADER, "silence")
    detector.time[0] += 1.5
    assert detector.is_suspected(LEADER)
    assert detector.is_suspected_locally(LEADER)


def test_words_of_several_daemons_on_one_silence_are_one_suspicion(detector):
    for _ in range(5):
        detector._peers.receive("another", Suspicion("w0", GROUP))
    detector.time[0] += 1.1
    assert not detector.is_suspected(LEADER)


def test_next_group_of_the_same_leader_is_trusted(detector):
    detector.suspect(LEADER, "silence")
    place = Membership(GroupId(8, "g8"), 0, GroupState.OPEN)
    leader = dataclasses.replace(LEADER, membership=place)
    assert not detector.is_suspected(leader)
    detector.time[0] += 1.1
    assert not detector.is_on_probation(leader)


def test_an_answer_ends_it_at_once(detector):
    detector.suspect(LEADER, "silence")
    detector.record_contact("w0", detector.time[0])
    assert not detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


def test_what_is_heard_here_counts_more_than_what_others_say(detector):
    detector.record_contact("w0", detector.time[0] - 0.2)
    detector._peers.receive("cut-off", Suspicion("w0", GROUP))
    assert not detector.is_suspected(LEADER)


def test_what_others_say_counts_where_nothing_is_heard(detector):
    detector._peers.receive("another", Suspicion("w0", GROUP))
    assert detector.is_suspected(LEADER)
    assert not detector.is_suspected_locally(LEADER)


@pytest.mark.parametrize("message", [Suspicion("w0", GROUP, "w1"), Probe("w0"), GroupEnded(GROUP)])
def test_datagrams_are_read_as_they_were_written(message):
    assert decode(encode("edge-1", message)) == ("edge-1", message)


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x91\x01", b"x" * 100, encode("e", Probe("w"))[:-1]]
)
def test_broken_datagrams_are_dropped(data):
    assert decode(data) is None


def _attempt(detector, left):
    """Return a stream that has an event, and can go on elsewhere."""
    attempt = StreamAttempt(LEADER, detector.time[0], lambda: True, lambda: left.append(attempt))
    attempt.record_event(detector.time[0])
    detector.watch(attempt)
    return attempt


def test_stream_whose_connection_falls_silent_leaves_a_group_that_is_not(detector):
    left = []
    silent, other = _attempt(detector, left), _attempt(detector, left)
    for _ in range(30):
        detector.time[0] += 0.05
        other.record_event(detector.time[0])
        detector.record_contact("w0", detector.time[0])
        detector._look("w0", detector.time[0])
    assert left == [silent]
    assert silent.abort_cause == silence.STREAM_SILENT
    assert not detector.is_suspected(LEADER)
    assert detector._peers.sent == []


@pytest.mark.parametrize("others", [0, 1], ids=["alone", "beside another"])
def test_stream_whose_caller_reads_slowly_says_nothing_of_its_group(detector, others):
    """Its events aren't read while the caller has not taken the ones before."""
    left = []
    held = _attempt(detector, left)
    held.is_blocked_by_caller = True
    beside = [_attempt(detector, left) for _ in range(others)]
    for _ in range(30):
        detector.time[0] += 0.05
        for attempt in beside:
            attempt.record_event(detector.time[0])
        detector._look("w0", detector.time[0])
    assert left == []
    assert not detector.is_suspected(LEADER)
