"""How late the own event loop runs, from the wake-ups that come too late."""

import pytest

from thorncleat_gateway.peers.own_lateness import TICKS
from thorncleat_gateway.peers.own_lateness import OwnLateness

INTERVAL = 0.02


@pytest.fixture
def now():
    return [100.0]


@pytest.fixture
def lateness(now):
    return OwnLateness(lambda: now[0], INTERVAL)


def test_nothing_is_known_before_the_first_tick(lateness, now):
    now[0] += 5.0
    assert lateness.max_lateness_since(0.0) == 0.0


def test_ticks_in_time_are_not_late(lateness, now):
    for _ in range(10):
        assert lateness.record_tick() == pytest.approx(0.0)
        now[0] += INTERVAL
    assert lateness.max_lateness_since(100.0) == pytest.approx(0.0)


def test_late_tick_counts_for_the_time_it_fell_into(lateness, now):
    lateness.record_tick()
    now[0] += INTERVAL + 0.3
    assert lateness.record_tick() == pytest.approx(0.3)
    assert lateness.max_lateness_since(100.1) == pytest.approx(0.3)
    now[0] += INTERVAL
    lateness.record_tick()
    assert lateness.max_lateness_since(now[0] - 0.001) == pytest.approx(0.0)


def test_tick_that_has_yet_to_come_counts_as_late(lateness, now):
    lateness.record_tick()
    now[0] += INTERVAL + 0.5
    assert lateness.max_lateness_since(now[0]) == pytest.approx(0.5)


def test_only_the_last_ticks_are_kept(lateness, now):
    lateness.record_tick()
    now[0] += 1.0
    lateness.record_tick()
    for _ in range(TICKS):
        now[0] += INTERVAL
        lateness.record_tick()
    assert lateness.max_lateness_since(0.0) == pytest.approx(0.0)
