"""How an endpoint's rate limit is divided among the daemons, and which daemons may use a share.

The shares of all daemons are summed, since no daemon sees the sum.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from thorncleat_gateway.requests import rate_shares
from thorncleat_gateway.store.fleet_knowledge import MIN_REGISTERED_SECONDS
from thorncleat_gateway.store.fleet_knowledge import RECENT_LIST_MAX_AGE_SECONDS
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


def share(limit, name, daemons, knowledge=FleetKnowledge.RECENT):
    return rate_shares.share(limit, ENDPOINT, daemons[name], daemons, knowledge)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_shares_add_up_to_the_allocated_rate(size, limit):
    daemons = fleet(size)
    shares = [share(limit, name, daemons) for name in daemons]
    assert sum(shares) == pytest.approx(rate_shares.fleet_rate(limit))
    # Bound for a span of 4 s: one request at once from each holder, and the rate.
    holders = sum(rate > 0 for rate in shares)
    if limit >= 1:
        assert holders + 4 * sum(shares) <= 4 * limit + 1


@pytest.mark.parametrize("size", SIZES)
def test_daemons_in_the_endpoints_domain_are_preferred(size):
    daemons = fleet(size)
    local = sum(daemon.failure_domain == "z1" for daemon in daemons.values())
    holders = [name for name in daemons if share(5.0, name, daemons)]
    assert len(holders) == min(5, size)
    assert sum(daemons[name].failure_domain == "z1" for name in holders) == min(local, len(holders))


def test_incarnations_of_an_endpoint_have_different_holders():
    daemons = fleet(24)
    incarnations = [
        Endpoint("i-1", "narrator", "10.0.0.1:1", "z1", born=born) for born in range(40)
    ]
    holders = {
        name
        for incarnation in incarnations
        for name, own in daemons.items()
        if rate_shares.share(1.0, incarnation, own, daemons, FleetKnowledge.RECENT)
    }
    assert len(holders) > 4


@hypothesis.settings(max_examples=400)
@hypothesis.given(st.integers(2, 24), st.sampled_from(LIMITS), st.data())
def test_shares_do_not_exceed_the_rate_if_each_list_has_all_users(size, limit, data):
    """The lists differ in daemons that use no share."""
    daemons = fleet(size)
    users = data.draw(st.sets(st.sampled_from(sorted(daemons)), min_size=1))
    total = 0.0
    for name in sorted(users):
        others = data.draw(st.sets(st.sampled_from(sorted(daemons))))
        listed = {member: daemons[member] for member in users | others}
        total += share(limit, name, listed)
    assert total <= rate_shares.fleet_rate(limit) * (1 + 1e-9)


def test_daemon_with_an_old_list_uses_a_fraction_and_an_unlisted_one_nothing():
    daemons = fleet(8)
    (holder,) = [name for name in daemons if share(1.0, name, daemons)]
    whole = share(1.0, holder, daemons)
    assert (
        share(1.0, holder, daemons, FleetKnowledge.OLD) == whole * rate_shares.STALE_LIST_FRACTION
    )
    assert share(1.0, holder, daemons, FleetKnowledge.NONE) == 0
    without = {name: daemon for name, daemon in daemons.items() if name != holder}
    alone = rate_shares.share(1.0, ENDPOINT, daemons[holder], without, FleetKnowledge.RECENT)
    assert alone == 0


@pytest.mark.parametrize(
    ("registered_for", "lease_left", "list_age", "knowledge"),
    [
        (None, 12.0, 0.1, FleetKnowledge.NONE),
        (0.0, 12.0, 0.1, FleetKnowledge.NONE),
        (MIN_REGISTERED_SECONDS - 0.1, 12.0, 0.1, FleetKnowledge.NONE),
        (MIN_REGISTERED_SECONDS, 9.0, 0.1, FleetKnowledge.RECENT),
        (60.0, 0.1, RECENT_LIST_MAX_AGE_SECONDS, FleetKnowledge.RECENT),
        (60.0, 9.0, RECENT_LIST_MAX_AGE_SECONDS + 0.1, FleetKnowledge.OLD),
        (60.0, 0.0, 0.1, FleetKnowledge.OLD),
        (60.0, -30.0, 60.0, FleetKnowledge.OLD),
    ],
)
def test_knowledge_of_the_fleet(registered_for, lease_left, list_age, knowledge):
    assert fleet_knowledge(registered_for, lease_left, list_age) is knowledge


def test_daemon_that_shares_is_listed_before_any_recent_list_can_lack_it():
    assert MIN_REGISTERED_SECONDS > RECENT_LIST_MAX_AGE_SECONDS
