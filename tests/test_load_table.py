"""What daemons tell each other of their requests, and what that costs."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.peers.datagrams import MAX_DAEMONS_AT_MIN_INTERVAL
from thorncleat_gateway.peers.datagrams import MIN_REPORT_INTERVAL_SECONDS
from thorncleat_gateway.peers.datagrams import PeerChannel
from thorncleat_gateway.peers.datagrams import report_interval
from thorncleat_gateway.peers.domain_loads import SUM_INTERVAL_SECONDS
from thorncleat_gateway.peers.domain_loads import SUM_SENDERS
from thorncleat_gateway.peers.load_table import REPORT_INTERVALS
from thorncleat_gateway.peers.load_table import REPORT_SECONDS
from thorncleat_gateway.peers.load_table import LoadTable
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings

counts = st.dictionaries(st.sampled_from("abc"), st.integers(1, 5))
reports = st.tuples(st.sampled_from(["e1", "e2", "e3"]), counts, st.floats(0.0, 0.7))


class _Counted(dict):
    """A report that counts how often it is read."""

    reads = 0

    def items(self):
        type(self).reads += 1
        return super().items()


@given(st.lists(reports, max_size=30))
def test_sum_is_that_of_each_daemons_newest_report(given_reports):
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    newest = {}
    for daemon, content, pause in given_reports:
        now[0] += pause
        load_table.report(daemon, content)
        load_table.remove_expired()
        newest[daemon] = (now[0], content)
        expected = collections.Counter()
        for at, reported in newest.values():
            if at >= now[0] - REPORT_SECONDS:
                expected.update(reported)
        assert {name: load_table.request_count(name) for name in "abc"} == {
            name: expected[name] for name in "abc"
        }


def test_cost_of_a_report_does_not_grow_with_the_daemons():
    load_table = LoadTable(lambda: 100.0, lambda: MIN_REPORT_INTERVAL_SECONDS)
    for number in range(200):
        load_table.report(f"e{number}", _Counted(a=1))
    before = _Counted.reads
    load_table.report("e7", _Counted(a=2))
    assert load_table.request_count("a") == 201
    assert _Counted.reads - before <= 2


def test_reports_count_for_some_intervals():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: 2.0)
    load_table.report("e1", {"a": 3})
    now[0] += 2.0 * REPORT_INTERVALS - 0.1
    load_table.remove_expired()
    assert load_table.request_count("a") == 3
    now[0] += 0.2
    load_table.remove_expired()
    assert load_table.request_count("a") == 0


def _peers(count, failure_domains=3):
    settings = GatewaySettings(
        "e0", "a", ("", 0), ("", 0), ("", 0), RetryBudgetSettings(0.2, 10, 10)
    )
    return PeerChannel(
        settings,
        lambda: {f"e{number}": ("127.0.0.1", number) for number in range(count)},
        lambda: frozenset(
            f"e{number}" for number in range(failure_domains, count, failure_domains)
        ),
    )


@pytest.mark.parametrize("count", [1, 8, MAX_DAEMONS_AT_MIN_INTERVAL, 79, 980])
@pytest.mark.parametrize("failure_domains", [1, 3, 13])
def test_each_daemon_takes_in_as_many_reports_however_many_there_are(count, failure_domains):
    peers = _peers(count, failure_domains)
    reporting = count - 1 if peers.is_full_mesh else len(peers.domain_peers)
    sums = 0 if peers.is_full_mesh else (failure_domains - 1) * SUM_SENDERS / SUM_INTERVAL_SECONDS
    received = reporting / peers.report_interval_seconds() + sums
    assert received <= MAX_DAEMONS_AT_MIN_INTERVAL / MIN_REPORT_INTERVAL_SECONDS


def test_few_daemons_report_at_the_shortest_interval():
    assert _peers(9).report_interval_seconds() == MIN_REPORT_INTERVAL_SECONDS


@pytest.mark.parametrize(
    ("daemons", "seconds"), [(1, 0.1), (16, 0.1), (17, 0.10625), (32, 0.2), (160, 1.0)]
)
def test_reports_of_more_daemons_come_less_often(daemons, seconds):
    assert report_interval(daemons) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("count", "failure_domains", "seconds"),
    [(9, 3, 0.1), (22, 5, 0.1), (68, 3, 0.2875), (195, 5, 0.4875), (980, 13, 0.95)],
)
def test_reports_to_neighbours_come_more_often_than_to_all(count, failure_domains, seconds):
    assert _peers(count, failure_domains).report_interval_seconds() == pytest.approx(
        seconds, abs=0.02
    )


def test_sum_of_a_failure_domain_is_that_of_its_daemons_alone():
    load_table = LoadTable(lambda: 100.0, lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.local_counts["a"] = 2
    load_table.report("near", {"a": 1, "b": 3})
    load_table.report("far", {"a": 5})
    load_table.report_domain("other", {"c": 7})
    assert load_table.sum_with({"near"}) == {"a": 3, "b": 3}


def test_sum_of_another_failure_domain_replaces_the_one_before_and_is_forgotten():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.report_domain("other", {"a": 5})
    load_table.report_domain("other", {"a": 4, "b": 1})
    assert (load_table.request_count("a"), load_table.request_count("b")) == (4, 1)
    assert load_table.reporters_since(0.0) == set()
    now[0] += REPORT_SECONDS + 0.1
    load_table.remove_expired()
    assert (load_table.request_count("a"), load_table.request_count("b")) == (0, 0)


def test_daemons_that_have_reported_since_a_moment():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.report("early", {})
    now[0] = 101.0
    load_table.report("late", {"e1": 1})
    assert load_table.reporters_since(100.5) == {"late"}
    assert load_table.reporters_since(100.0) == {"early", "late"}
