"""Whether an endpoint may be ordered into a group, and what its answer means."""

import pytest

from thorncleat_gateway.groups import join_rules
from thorncleat_gateway.groups.join_rules import Availability
from thorncleat_gateway.groups.join_rules import JoinResult
from thorncleat_gateway.ports import Outcome
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

NEW, FORMER = GroupId(2, "g2"), GroupId(1, "g1")


@pytest.mark.parametrize(
    ("group", "over", "availability"),
    [
        pytest.param(None, set(), Availability.FREE, id="in no group"),
        pytest.param(
            NEW, set(), Availability.FREE, id="already in this group: the order is idempotent"
        ),
        pytest.param(FORMER, set(), Availability.TAKEN, id="in a group that may answer"),
        pytest.param(FORMER, {FORMER}, Availability.FREE, id="in a group that is over"),
    ],
)
@pytest.mark.parametrize("state", list(GroupState))
def test_availability(group, over, availability, state):
    member = Membership(group, 1, state) if group else None
    assert join_rules.availability(member, NEW, over.__contains__) is availability


@pytest.mark.parametrize(
    ("outcome", "result"),
    [
        (Outcome.BEGUN, JoinResult.JOINED),
        (Outcome.DONE, JoinResult.JOINED),
        (Outcome.CONFLICT, JoinResult.STATE_CHANGED),
        (Outcome.STALE, JoinResult.REFUSED),
        (Outcome.INVALID, JoinResult.REFUSED),
    ],
    ids=lambda value: value.name.lower(),
)
def test_result(outcome, result):
    assert join_rules.join_result(outcome) is result


def test_every_outcome_has_a_meaning():
    for outcome in Outcome:
        assert join_rules.join_result(outcome) in JoinResult
