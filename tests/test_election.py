"""Which daemon is the controller, and until when."""

import pytest

from thorncleat_gateway.groups import election
from thorncleat_gateway.groups.election import CANDIDATE_DELAY_SECONDS

DAEMONS = [f"edge-{number}" for number in range(8)]


@pytest.mark.parametrize(
    ("sent_at", "lease", "margin", "deadline"),
    [
        pytest.param(0.0, 2.0, 0.0, 1.98, id="a faster clock at the store shortens it by 1 %"),
        pytest.param(0.0, 2.0, 0.3, 1.683, id="the margin is subtracted first"),
        pytest.param(50.0, 2.0, 0.3, 51.683, id="it counts from when the call was sent"),
    ],
)
def test_deadline(sent_at, lease, margin, deadline):
    assert election.lease_deadline(sent_at, lease, margin) == pytest.approx(deadline)


@pytest.mark.parametrize(
    ("absent_seconds", "rank", "may"),
    [
        pytest.param(0.0, 0, True, id="the first tries at once"),
        pytest.param(0.0, 1, False, id="the second waits"),
        pytest.param(CANDIDATE_DELAY_SECONDS, 1, True, id="for one delay"),
        pytest.param(CANDIDATE_DELAY_SECONDS, 2, False, id="the third waits longer"),
        pytest.param(2 * CANDIDATE_DELAY_SECONDS, 2, True, id="for two delays"),
    ],
)
def test_candidates_take_turns(absent_seconds, rank, may):
    assert election.can_campaign(absent_seconds, rank) is may


CAPACITIES = dict.fromkeys(DAEMONS, 1.0)


def test_each_candidate_has_its_own_rank():
    ranks = [election.candidate_rank(name, CAPACITIES, 7) for name in DAEMONS]
    assert sorted(ranks) == list(range(len(DAEMONS)))


def test_candidate_with_much_capacity_comes_before_all_small_ones():
    capacities = CAPACITIES | {"edge-2": 9.0, "edge-5": 6.0}
    for version in range(20):
        first = {election.candidate_rank(name, capacities, version) for name in capacities}
        strong = {
            election.candidate_rank(name, capacities, version) for name in ("edge-2", "edge-5")
        }
        assert strong == {0, 1}
        assert first == set(range(len(DAEMONS)))


def test_first_candidate_changes_with_the_version():
    first_candidates = {
        name
        for version in range(20)
        for name in DAEMONS
        if election.candidate_rank(name, CAPACITIES, version) == 0
    }
    assert len(first_candidates) > 1
