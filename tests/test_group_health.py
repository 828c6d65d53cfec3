"""Whether a group is ended, and why."""

import pytest

from thorncleat_gateway.groups.group_health import LEFT_OVER_TIMEOUT_SECONDS
from thorncleat_gateway.groups.group_health import MISSING_MEMBER_GRACE_SECONDS
from thorncleat_gateway.groups.group_health import EndReason
from thorncleat_gateway.groups.group_health import GroupHealth
from thorncleat_gateway.groups.group_health import end_reason
from thorncleat_gateway.groups.group_health import end_reason_unlisted
from thorncleat_gateway.store.roster import GroupState

YOUNG = MISSING_MEMBER_GRACE_SECONDS
OLDER = MISSING_MEMBER_GRACE_SECONDS + 0.01
OLD = LEFT_OVER_TIMEOUT_SECONDS + 0.01


def health(age=OLD, state=GroupState.OPEN, **more):
    return GroupHealth(age, state, **more)


@pytest.mark.parametrize(
    ("group", "reason"),
    [
        pytest.param(health(), None, id="open with all members"),
        pytest.param(health(has_lost_member=True), EndReason.MEMBER_UNREACHABLE, id="member lost"),
        pytest.param(
            health(has_missing_member=True, age=OLDER),
            EndReason.MEMBER_NOT_LISTED,
            id="member missing",
        ),
        pytest.param(
            health(has_missing_member=True, age=YOUNG), None, id="member missing, group just seen"
        ),
        pytest.param(
            health(has_missing_member=True, is_list_settled=False),
            None,
            id="member missing, may be listed again after an outage",
        ),
        pytest.param(health(state=None), EndReason.LEADER_NOT_LISTED, id="leader not listed"),
        pytest.param(
            health(state=None, is_list_settled=False),
            None,
            id="leader not listed, may be again after an outage",
        ),
        pytest.param(
            health(state=GroupState.BROKEN, age=0.0), EndReason.LEADER_BROKEN, id="leader broken"
        ),
        pytest.param(
            health(state=GroupState.CLOSING, age=0.0), EndReason.LEADER_CLOSING, id="leader closing"
        ),
        pytest.param(
            health(state=GroupState.JOINING), EndReason.LEFT_OVER, id="still joining, left over"
        ),
        pytest.param(
            health(state=GroupState.READY), EndReason.LEFT_OVER, id="never opened, left over"
        ),
        pytest.param(
            health(state=GroupState.READY, age=LEFT_OVER_TIMEOUT_SECONDS),
            None,
            id="may yet be opened",
        ),
        pytest.param(
            health(is_leader_draining=True), EndReason.LEADER_DRAINING, id="leader draining"
        ),
    ],
)
def test_reason(group, reason):
    assert end_reason(group) is reason


@pytest.mark.parametrize(
    ("group", "reason"),
    [
        pytest.param(
            health(has_lost_member=True, has_missing_member=True, state=None),
            EndReason.MEMBER_UNREACHABLE,
            id="lost before missing",
        ),
        pytest.param(
            health(has_missing_member=True, state=GroupState.BROKEN),
            EndReason.MEMBER_NOT_LISTED,
            id="missing before broken",
        ),
        pytest.param(
            health(has_missing_member=True, age=YOUNG, state=GroupState.BROKEN),
            None,
            id="a broken leader waits for the list",
        ),
        pytest.param(
            health(has_missing_member=True, age=YOUNG, is_leader_draining=True),
            EndReason.LEADER_DRAINING,
            id="a draining leader does not",
        ),
        pytest.param(
            health(state=GroupState.BROKEN, is_leader_draining=True),
            EndReason.LEADER_BROKEN,
            id="broken before draining",
        ),
    ],
)
def test_first_of_several_reasons(group, reason):
    assert end_reason(group) is reason


@pytest.mark.parametrize(
    ("age", "reason"),
    [
        pytest.param(LEFT_OVER_TIMEOUT_SECONDS, None, id="just seen"),
        pytest.param(OLD, EndReason.NO_MEMBER_LISTED, id="old"),
    ],
)
def test_group_without_listed_members(age, reason):
    assert end_reason_unlisted(age) is reason


def test_only_a_group_that_may_work_may_finish_its_requests():
    """A leader that is closing finishes what it runs."""
    assert [reason for reason in EndReason if reason.is_graceful] == [
        EndReason.LEADER_NOT_LISTED,
        EndReason.LEADER_CLOSING,
        EndReason.LEADER_DRAINING,
        EndReason.NO_MEMBER_LISTED,
        EndReason.DOMAIN_MOVES,
    ]


def test_reasons_are_logged_in_these_words():
    assert {reason.value for reason in EndReason} == {
        "member unreachable",
        "member not listed",
        "leader not listed",
        "leader broken",
        "leader closing",
        "leader draining",
        "left over",
        "no member listed",
        "leader is back",
        "member slow",
        "domain moves",
        "not formed",
        "not opened",
    }
