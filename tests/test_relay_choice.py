"""The choice of relays, the daemons that each daemon asks, and the coalescing times."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.store.relays import DAEMONS_PER_LOCAL_RELAY
from thorncleat_gateway.store.relays import RELAY_COALESCING_SECONDS
from thorncleat_gateway.store.relays import SMALL_FLEET
from thorncleat_gateway.store.relays import STORE_COALESCING_SECONDS
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.relays import coalescing_seconds
from thorncleat_gateway.store.relays import relay_count
from thorncleat_gateway.store.relays import relays
from thorncleat_gateway.store.relays import sources


def fleet(count, capacity=lambda number: 1.0):
    return [
        Daemon(f"e{number}", "127.0.0.1", number, "abc"[number % 3], capacity(number))
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("daemons", "failure_domains", "count"),
    [
        pytest.param(0, 0, 0, id="nobody is registered"),
        pytest.param(1, 1, 1, id="one alone"),
        pytest.param(9, 3, 1, id="a small site"),
        pytest.param(22, 5, 1, id="too few for one in each failure domain"),
        pytest.param(68, 3, 3, id="one in each failure domain"),
        pytest.param(195, 5, 5, id="one in each failure domain, of more daemons"),
        pytest.param(980, 13, 25, id="as many as they can carry"),
        pytest.param(100, 1, 3, id="one failure domain"),
    ],
)
def test_number_of_relays(daemons, failure_domains, count):
    assert relay_count(daemons, failure_domains) == count


@given(st.integers(0, 2000), st.integers(0, 20))
def test_relays_are_a_small_part_of_the_daemons(daemons, failure_domains):
    assert relay_count(daemons, failure_domains) <= -(-daemons // DAEMONS_PER_LOCAL_RELAY)


def test_daemons_of_the_highest_capacity_become_relays():
    daemons = fleet(48, lambda number: 10.0 if number in (7, 8, 9) else 1.0)
    assert {relay.id for relay in relays(daemons)} == {"e7", "e8", "e9"}


def test_each_failure_domain_has_a_relay_despite_higher_capacities_elsewhere():
    daemons = fleet(48, lambda number: 10.0 if number % 3 == 0 else 1.0)
    assert {relay.failure_domain for relay in relays(daemons)} == {"a", "b", "c"}


def test_relay_asks_no_daemon():
    daemons = fleet(48)
    assert [sources(daemons, relay) for relay in relays(daemons)] == [()] * 3


def test_own_failure_domain_comes_first():
    daemons = fleet(48, lambda number: 10.0 if number in (0, 1, 2) else 1.0)
    for daemon in daemons[3:]:
        assert sources(daemons, daemon)[0].failure_domain == daemon.failure_domain


def test_daemon_that_is_not_registered_yet_asks_a_relay():
    daemons = fleet(3)
    found = sources(daemons, Daemon("new", "127.0.0.1", 99, "a"))
    assert len(found) == 1


def test_controller_asks_no_daemon():
    daemons = fleet(40)
    for daemon in daemons:
        assert sources(daemons, daemon, is_controller=True) == ()


def test_daemon_without_others_asks_no_daemon():
    assert sources([], fleet(1)[0]) == ()


@given(st.integers(1, 200), st.integers(1, 5))
def test_daemons_do_not_ask_each_other_in_a_cycle(count, failure_domains):
    daemons = [
        Daemon(f"e{number}", "127.0.0.1", number, f"d{number % failure_domains}")
        for number in range(count)
    ]
    remaining = {own.id: {source.id for source in sources(daemons, own)} for own in daemons}
    while remaining:
        ask_no_remaining = [
            name for name, asked in remaining.items() if not asked & remaining.keys()
        ]
        assert ask_no_remaining
        for name in ask_no_remaining:
            del remaining[name]


@given(st.integers(1, SMALL_FLEET))
def test_daemons_of_a_small_fleet_ask_relays_only(count):
    daemons = fleet(count)
    asked = {source.id for own in daemons for source in sources(daemons, own)}
    assert asked <= {daemon.id for daemon in daemons if not sources(daemons, daemon)}


def test_without_the_relays_only_one_fallback_asks_the_store():
    daemons = fleet(48)
    failed = {relay.id for relay in relays(daemons)}
    running = [own for own in daemons if own.id not in failed]
    at_store = [
        own.id for own in running if all(source.id in failed for source in sources(daemons, own))
    ]
    assert len(at_store) == 1
    assert all(
        any(source.id not in failed for source in sources(daemons, own))
        for own in running
        if own.id not in at_store
    )


@pytest.mark.parametrize(
    ("daemons", "asks_store", "seconds"),
    [
        (1, True, 0.05),
        (9, True, 0.05),
        (16, False, 0.05),
        (17, True, STORE_COALESCING_SECONDS),
        (17, False, RELAY_COALESCING_SECONDS),
        (980, True, STORE_COALESCING_SECONDS),
        (980, False, RELAY_COALESCING_SECONDS),
    ],
)
def test_larger_fleets_coalesce_changes_for_longer(daemons, asks_store, seconds):
    assert coalescing_seconds(0.05, daemons, asks_store=asks_store) == pytest.approx(seconds)
