"""The proven time of an answer, the age of a copy, and the removal of missing endpoints."""

import pytest

from thorncleat_gateway.ports import SettlingTimes
from thorncleat_gateway.ports import proven_wait_seconds
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS
from thorncleat_gateway.store.freshness import MIN_EXPIRING_OUTAGE_SECONDS
from thorncleat_gateway.store.freshness import Freshness


@pytest.mark.parametrize(
    ("wait", "took", "changed", "proven"),
    [
        (1.0, 1.0, False, 0.8),
        (1.0, 1.3, False, 0.8),
        (0.5, 0.5, False, 0.4),
        (1.0, 0.99, False, 0.0),
        (1.0, 0.0, False, 0.0),
        (1.0, 1.3, True, 0.0),
        (0.0, 0.01, False, 0.0),
    ],
    ids=[
        "waited in vain",
        "answered late",
        "a relay's shorter wait",
        "answered early without a change",
        "answered at once",
        "brought changes",
        "was not to wait",
    ],
)
def test_only_a_whole_wait_without_changes_proves_more_than_its_beginning(
    wait, took, changed, proven
):
    assert proven_wait_seconds(wait, took, changed=changed) == pytest.approx(proven)


# Whether an endpoint that isn't listed counts as removed.
REMOVED, MAY_RETURN = True, False
REWRITE, OUTAGE = ENTRY_REWRITE_SECONDS, MIN_EXPIRING_OUTAGE_SECONDS


def _after(*steps):
    """Return the freshness after answers ``(now, proven at)`` and failures ``(now,)``."""
    freshness = Freshness()
    for step in steps:
        freshness = (
            freshness.after_answer(*step) if len(step) == 2 else freshness.after_failure(*step)
        )
    return freshness


@pytest.mark.parametrize(
    ("steps", "now", "age"),
    [
        ([], 5.0, float("inf")),
        ([(10.0, 9.5)], 10.0, 0.5),
        ([(10.0, 9.5)], 12.0, 2.5),
        ([(10.0, 9.5), (11.0, 9.0)], 11.0, 1.5),
        ([(10.0, 9.5), (11.0,)], 11.0, 1.5),
    ],
    ids=[
        "nothing was read",
        "an answer proves a moment",
        "age grows until the next answer",
        "an answer that proves less changes nothing",
        "a failure proves nothing",
    ],
)
def test_age_starts_at_the_latest_proven_time(steps, now, age):
    assert _after(*steps).age(now) == age


@pytest.mark.parametrize(
    ("steps", "now", "is_settled", "removed_at"),
    [
        ([], 5.0, MAY_RETURN, None),
        ([(10.0, 10.0)], 10.0, MAY_RETURN, None),
        ([(10.0, 10.0)], 10.0 + REWRITE, REMOVED, None),
        ([(3.0,), (10.0, 10.0)], 11.0, MAY_RETURN, 10.0 + REWRITE),
        ([(10.0, 10.0), (11.0, 11.0)], 11.5, MAY_RETURN, None),
        ([(10.0, 10.0), (20.0,)], 30.0, REMOVED, None),
        (
            [(10.0, 10.0), (20.0,), (20.0 + OUTAGE, 20.0)],
            21.0,
            MAY_RETURN,
            20.0 + OUTAGE + REWRITE,
        ),
        ([(10.0, 10.0), (20.0,), (19.99 + OUTAGE, 20.0)], 21.0, REMOVED, None),
        ([(0.0, 0.0), (20.0,), (20.9,), (21.0, 21.0)], 21.0, MAY_RETURN, 21.0 + REWRITE),
        ([(0.0, 0.0), (20.0,), (25.0, 25.0), (26.0, 26.0)], 26.5, MAY_RETURN, 25.0 + REWRITE),
        ([(0.0, 0.0), (20.0,), (25.0, 25.0)], 25.0 + REWRITE, REMOVED, None),
    ],
    ids=[
        "nothing was read",
        "just after the first reading",
        "some time after the first reading",
        "failures before the first reading",
        "a second answer changes nothing",
        "while the store is silent",
        "after an outage",
        "after a short failure",
        "an outage runs from its first failure",
        "a second answer after an outage changes nothing",
        "some time after an outage",
    ],
)
def test_unlisted_endpoint_is_removed_unless_it_may_be_rewritten(
    steps, now, is_settled, removed_at
):
    freshness = _after(*steps)
    assert freshness.is_settled(now) is is_settled
    assert freshness.removal_time(now) == removed_at


SETTLED_TIMES, OPEN_TIMES = SettlingTimes(0.0, 0.0), SettlingTimes(1.5, 1.2)


def test_first_answer_does_not_end_an_outage():
    """An entry that vanishes right after the first read was deleted."""
    assert Freshness().after_answer(10.0, 10.0).removal_time(10.1) is None
    assert Freshness().after_answer(10.0, 9.8, SETTLED_TIMES).removal_time(10.1) is None


def test_starting_daemon_takes_over_the_reported_times():
    freshness = Freshness().after_answer(10.0, 9.8, OPEN_TIMES)
    assert freshness.settled_at == 11.5
    assert freshness.removal_time(10.0) == 11.2
    # A daemon that asks this one takes them over as well.
    reported = freshness.settling_times(11.0)
    assert Freshness().after_answer(11.0, 10.9, reported).removal_time(11.0) == pytest.approx(11.2)


def test_daemon_that_starts_from_a_settled_relay_is_settled():
    assert Freshness().after_answer(10.0, 9.8, SETTLED_TIMES).is_settled(10.0)


def test_outage_ends_at_the_proven_time_of_a_relays_answer():
    """The outage may have ended long before the answer."""
    freshness = _after((10.0, 10.0), (20.0,)).after_answer(25.0, 24.0, SETTLED_TIMES)
    assert freshness.removal_time(25.0) == 24.0 + REWRITE


def test_restore_counts_as_the_end_of_an_outage():
    freshness = _after((10.0, 10.0)).after_answer(20.0, 20.0, restored=True)
    assert freshness.removal_time(20.0) == 20.0 + REWRITE
    assert not freshness.is_settled(20.0)
