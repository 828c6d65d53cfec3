"""How an endpoint's limit is divided among daemons, and who may use a share: tables of cases.

The sum is looked at for all daemons at once, each with a list of its own, since no daemon sees it.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from thorncleat_gateway.requests import rate_shares
from thorncleat_gateway.store.fleet_knowledge import LISTED_EVERYWHERE_SECONDS
from thorncleat_gateway.store.fleet_knowledge import RECENT_SECONDS
from thorncleat_gateway.store.fleet_knowledge import FleetKnowledge
from thorncleat_gateway.store.fleet_knowledge import fleet_knowledge
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint

ENDPOINT = Endpoint("i-1", "narrator", "10.0.0.1:1", "z1", born=5)
SIZES = [1, 8, 24, 40, 195]
LIMITS = [0.0, 0.0001, 0.1, 1.0, 1.3, 10.0, 100.0, 1e9]


def fleet(size):
    names = [f"edge-{number}" for number in range(size)]
    return {
        name: Daemon(name, "10.1.0.1", number, f"z{number % 3}")
        for number, name in enumerate(names)
    }


def share(limit, name, daemons, known=FleetKnowledge.RECENT):
    return rate_shares.share(limit, ENDPOINT, daemons[name], daemons, known)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_shares_add_up_to_what_is_given_out(size, limit):
    daemons = fleet(size)
    shares = [share(limit, name, daemons) for name in daemons]
    assert sum(shares) == pytest.approx(rate_shares.rate(limit))
    # what may reach the endpoint in 4 s: one request at once of each holder, and the rate
    holders = sum(one > 0 for one in shares)
    if limit >= 1:
        assert holders + 4 * sum(shares) <= 4 * limit + 1


@pytest.mark.parametrize("size", SIZES)
def test_daemons_near_the_endpoint_come_first(size):
    daemons = fleet(size)
    near = sum(one.failure_domain == "z1" for one in daemons.values())
    holders = [name for name in daemons if share(5.0, name, daemons)]
    assert len(holders) == min(5, size)
    assert sum(daemons[name].failure_domain == "z1" for name in holders) == min(near, len(holders))


def test_another_life_of_the_endpoint_has_other_holders():
    daemons = fleet(24)
    lives = [Endpoint("i-1", "narrator", "10.0.0.1:1", "z1", born=born) for born in range(40)]
    firsts = {
        name
        for life in lives
        for name, own in daemons.items()
        if rate_shares.share(1.0, life, own, daemons, FleetKnowledge.RECENT)
    }
    assert len(firsts) > 4


@hypothesis.settings(max_examples=400)
@hypothesis.given(st.integers(2, 24), st.sampled_from(LIMITS), st.data())
def test_lists_that_hold_all_who_use_a_share_never_add_up_to_more(size, limit, data):
    """Each daemon's list lacks some who use none, and names some who have gone."""
    daemons = fleet(size)
    users = data.draw(st.sets(st.sampled_from(sorted(daemons)), min_size=1))
    total = 0.0
    for name in sorted(users):
        others = data.draw(st.sets(st.sampled_from(sorted(daemons))))
        listed = {one: daemons[one] for one in users | others}
        total += share(limit, name, listed)
    assert total <= rate_shares.rate(limit) * (1 + 1e-9)


def test_daemon_whose_list_is_old_uses_a_part_and_an_unlisted_one_nothing():
    daemons = fleet(8)
    (holder,) = [name for name in daemons if share(1.0, name, daemons)]
    whole = share(1.0, holder, daemons)
    assert (
        share(1.0, holder, daemons, FleetKnowledge.OLD) == whole * rate_shares.STALE_LIST_FRACTION
    )
    assert share(1.0, holder, daemons, FleetKnowledge.NONE) == 0
    without = {name: one for name, one in daemons.items() if name != holder}
    alone = rate_shares.share(1.0, ENDPOINT, daemons[holder], without, FleetKnowledge.RECENT)
    assert alone == 0


@pytest.mark.parametrize(
    ("registered_for", "lease_left", "list_age", "knowledge"),
    [
        (None, 12.0, 0.1, FleetKnowledge.NONE),
        (0.0, 12.0, 0.1, FleetKnowledge.NONE),
        (LISTED_EVERYWHERE_SECONDS - 0.1, 12.0, 0.1, FleetKnowledge.NONE),
        (LISTED_EVERYWHERE_SECONDS, 9.0, 0.1, FleetKnowledge.RECENT),
        (60.0, 0.1, RECENT_SECONDS, FleetKnowledge.RECENT),
        (60.0, 9.0, RECENT_SECONDS + 0.1, FleetKnowledge.OLD),
        (60.0, 0.0, 0.1, FleetKnowledge.OLD),
        (60.0, -30.0, 60.0, FleetKnowledge.OLD),
    ],
)
def test_what_a_list_is_good_for(registered_for, lease_left, list_age, knowledge):
    assert fleet_knowledge(registered_for, lease_left, list_age) is knowledge


def test_daemon_that_shares_is_listed_before_any_recent_list_can_lack_it():
    assert LISTED_EVERYWHERE_SECONDS > RECENT_SECONDS
