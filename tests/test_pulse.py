"""Suspicions of silent groups: what a daemon hears itself counts more than what it is told."""

import pytest

from thorncleat_gateway.peers.datagrams import Ended
from thorncleat_gateway.peers.datagrams import Probe
from thorncleat_gateway.peers.datagrams import Suspicion
from thorncleat_gateway.peers.datagrams import decode
from thorncleat_gateway.peers.datagrams import encode
from thorncleat_gateway.peers.pulse import Pulse
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

GROUP = GroupId(7, "g7")
LEADER = Endpoint(
    "w0", "narrator", "", "a", models=("m",), membership=Membership(GROUP, 0, GroupState.OPEN)
)


class Peers:
    def __init__(self):
        self.sent = []

    def on_message(self, handler):
        self.receive = handler

    def tell_all(self, message):
        self.sent.append(message)


@pytest.fixture
def pulse():
    time = [100.0]
    made = Pulse(StreamSettings(), Peers(), lambda: time[0])
    made.time = time
    return made


def test_a_suspicion_is_told_and_ends_by_itself(pulse):
    pulse.suspect(LEADER, "silence")
    assert pulse._peers.sent == [Suspicion("w0", GROUP)]
    assert pulse.suspected("w0")
    assert pulse.suspected_here("w0")
    pulse.time[0] += 1.1
    assert not pulse.suspected("w0")
    assert not pulse.suspected_here("w0")


def test_an_answer_ends_it_at_once(pulse):
    pulse.suspect(LEADER, "silence")
    pulse.heard("w0", pulse.time[0])
    assert not pulse.suspected("w0")
    assert not pulse.suspected_here("w0")


def test_what_is_heard_here_counts_more_than_what_others_say(pulse):
    pulse.heard("w0", pulse.time[0] - 0.2)
    pulse._peers.receive("cut-off", Suspicion("w0", GROUP))
    assert not pulse.suspected("w0")


def test_what_others_say_counts_where_nothing_is_heard(pulse):
    pulse._peers.receive("another", Suspicion("w0", GROUP))
    assert pulse.suspected("w0")
    assert not pulse.suspected_here("w0")


@pytest.mark.parametrize("message", [Suspicion("w0", GROUP, "w1"), Probe("w0"), Ended(GROUP)])
def test_datagrams_are_read_as_they_were_written(message):
    assert decode(encode("edge-1", message)) == ("edge-1", message)


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x91\x01", b"x" * 100, encode("e", Probe("w"))[:-1]]
)
def test_broken_datagrams_are_dropped(data):
    assert decode(data) is None
