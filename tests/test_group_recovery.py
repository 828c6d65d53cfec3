"""When a group with silent members is kept, as tables; test_paused_endpoints has the whole."""

import pytest

from thorncleat_gateway.groups.group_recovery import MAX_EXCUSED_SECONDS
from thorncleat_gateway.groups.group_recovery import MAX_PAUSE_SECONDS
from thorncleat_gateway.groups.group_recovery import MemberState
from thorncleat_gateway.groups.group_recovery import Silences
from thorncleat_gateway.groups.group_recovery import state_of
from thorncleat_gateway.groups.member_examination import silence_start
from thorncleat_gateway.ports import EngineReport
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

GROUP, OTHER = GroupId(3, "g3"), GroupId(4, "g4")


def _report(membership: Membership | None) -> EngineReport:
    return EngineReport(membership, (), (), 1)


@pytest.mark.parametrize(
    ("membership", "rank", "restarted", "expected"),
    [
        (Membership(GROUP, 0, GroupState.OPEN), 0, False, MemberState.SERVING),
        (Membership(GROUP, 1, GroupState.READY), 1, False, MemberState.SERVING),
        # A leader that isn't open answers no requests.
        (Membership(GROUP, 0, GroupState.READY), 0, False, MemberState.GONE),
        (Membership(GROUP, 0, GroupState.CLOSING), 0, False, MemberState.GONE),
        (Membership(GROUP, 0, GroupState.BROKEN), 0, False, MemberState.GONE),
        (Membership(GROUP, 1, GroupState.JOINING), 1, False, MemberState.GONE),
        # The report is of another member, at the same address.
        (Membership(GROUP, 2, GroupState.READY), 1, False, MemberState.GONE),
        (Membership(OTHER, 1, GroupState.READY), 1, False, MemberState.GONE),
        (Membership(GROUP, 1, GroupState.READY), 1, True, MemberState.GONE),
        (None, 1, False, MemberState.GONE),
    ],
)
def test_member_serves_only_as_before(membership, rank, restarted, expected):
    assert state_of(_report(membership), GROUP, rank, has_restarted=restarted) is expected


@pytest.mark.parametrize(
    ("last_contact_at", "has_requests", "expected"),
    [
        # The group's streams got their last event 0.2 s before the probe.
        (9.8, True, 9.8),
        (9.6, True, 9.7),
        # A member may have paused long after a contact without a request since.
        (2.0, True, 9.7),
        (float("-inf"), True, 9.7),
        (9.6, False, 10.0),
        # The leader, which isn't the one that is silent, has answered since.
        (10.1, True, 10.0),
    ],
)
def test_silence_of_a_group_with_requests_is_that_of_its_members(
    last_contact_at, has_requests, expected
):
    assert silence_start(10.0, last_contact_at, has_requests=has_requests) == expected


def test_silence_counts_from_the_first_unanswered_probe():
    silences = Silences({"a": 10.0})
    silences.record_silence("a", 10.4)
    silences.record_silence("b", 10.4)
    assert silences.over(1.0, 10.9) == []
    assert silences.over(1.0, 11.0) == ["a"]
    assert silences.over(1.0, 11.4) == ["a", "b"]


def test_answer_ends_a_silence():
    silences = Silences({"a": 10.0})
    silences.record_answer("a")
    assert silences.over(0.0, 20.0) == []
    silences.record_silence("a", 15.0)
    assert silences.over(1.0, 15.5) == []


def test_lateness_of_the_own_loop_is_no_silence():
    silences = Silences({"a": 10.0})
    silences.excuse(2.0)
    assert silences.over(MAX_PAUSE_SECONDS, 12.0 + MAX_PAUSE_SECONDS - 0.01) == []
    assert silences.over(MAX_PAUSE_SECONDS, 12.0 + MAX_PAUSE_SECONDS) == ["a"]


def test_permanent_lateness_excuses_no_more_than_a_bound():
    silences = Silences({"a": 10.0})
    for _ in range(100):
        silences.excuse(1.0)
    assert silences.over(0.0, 10.0 + MAX_EXCUSED_SECONDS) == ["a"]
