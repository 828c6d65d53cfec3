"""Lateness of the event loop, as its ticks show it."""

import pytest

from thorncleat_gateway.peers.own_lateness import MAX_TICKS
from thorncleat_gateway.peers.own_lateness import OwnLateness

INTERVAL = 0.02


@pytest.fixture
def now():
    return [100.0]


@pytest.fixture
def lateness(now):
    return OwnLateness(lambda: now[0], INTERVAL)


def test_lateness_is_zero_before_the_first_tick(lateness, now):
    now[0] += 5.0
    assert lateness.max_lateness_since(0.0) == 0.0


def test_ticks_in_time_are_not_late(lateness, now):
    for _ in range(10):
        assert lateness.record_tick() == pytest.approx(0.0)
        now[0] += INTERVAL
    assert lateness.max_lateness_since(100.0) == pytest.approx(0.0)


def test_late_tick_counts_at_its_own_time_only(lateness, now):
    lateness.record_tick()
    now[0] += INTERVAL + 0.3
    assert lateness.record_tick() == pytest.approx(0.3)
    assert lateness.max_lateness_since(100.1) == pytest.approx(0.3)
    now[0] += INTERVAL
    lateness.record_tick()
    assert lateness.max_lateness_since(now[0] - 0.001) == pytest.approx(0.0)


def test_pending_tick_counts_as_late(lateness, now):
    lateness.record_tick()
    now[0] += INTERVAL + 0.5
    assert lateness.max_lateness_since(now[0]) == pytest.approx(0.5)


def test_only_the_last_ticks_are_remembered(lateness, now):
    lateness.record_tick()
    now[0] += 1.0
    lateness.record_tick()
    for _ in range(MAX_TICKS):
        now[0] += INTERVAL
        lateness.record_tick()
    assert lateness.max_lateness_since(0.0) == pytest.approx(0.0)
