"""Load reports of daemons, and what they cost."""

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
from thorncleat_gateway.peers.load_table import MIN_REPORT_TTL_SECONDS
from thorncleat_gateway.peers.load_table import REPORT_TTL_INTERVALS
from thorncleat_gateway.peers.load_table import LoadTable
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings

counts = st.dictionaries(st.sampled_from("abc"), st.integers(1, 5))
reports = st.tuples(st.sampled_from(["e1", "e2", "e3"]), counts, st.floats(0.0, 0.7))


class _CountingMapping(dict):
    """A mapping that counts how often its items are read."""

    reads = 0

    def items(self):
        type(self).reads += 1
        return super().items()


@given(st.lists(reports, max_size=30))
def test_total_is_the_sum_of_the_latest_reports(sequence):
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    latest = {}
    for daemon, content, pause in sequence:
        now[0] += pause
        load_table.report(daemon, content)
        load_table.remove_expired()
        latest[daemon] = (now[0], content)
        expected = collections.Counter()
        for at, reported in latest.values():
            if at >= now[0] - MIN_REPORT_TTL_SECONDS:
                expected.update(reported)
        assert {name: load_table.request_count(name) for name in "abc"} == {
            name: expected[name] for name in "abc"
        }


def test_cost_of_a_report_does_not_depend_on_the_number_of_daemons():
    load_table = LoadTable(lambda: 100.0, lambda: MIN_REPORT_INTERVAL_SECONDS)
    for number in range(200):
        load_table.report(f"e{number}", _CountingMapping(a=1))
    reads_before = _CountingMapping.reads
    load_table.report("e7", _CountingMapping(a=2))
    assert load_table.request_count("a") == 201
    assert _CountingMapping.reads - reads_before <= 2


def test_report_expires_after_some_intervals():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: 2.0)
    load_table.report("e1", {"a": 3})
    now[0] += 2.0 * REPORT_TTL_INTERVALS - 0.1
    load_table.remove_expired()
    assert load_table.request_count("a") == 3
    now[0] += 0.2
    load_table.remove_expired()
    assert load_table.request_count("a") == 0


def _peer_channel(count, failure_domains=3):
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
def test_rate_of_received_reports_is_bounded(count, failure_domains):
    peers = _peer_channel(count, failure_domains)
    reporters = count - 1 if peers.is_full_mesh else len(peers.domain_peers)
    domain_reports_per_second = (
        0 if peers.is_full_mesh else (failure_domains - 1) * SUM_SENDERS / SUM_INTERVAL_SECONDS
    )
    received = reporters / peers.report_interval_seconds() + domain_reports_per_second
    assert received <= MAX_DAEMONS_AT_MIN_INTERVAL / MIN_REPORT_INTERVAL_SECONDS


def test_few_daemons_report_at_the_minimum_interval():
    assert _peer_channel(9).report_interval_seconds() == MIN_REPORT_INTERVAL_SECONDS


@pytest.mark.parametrize(
    ("daemons", "seconds"), [(1, 0.1), (16, 0.1), (17, 0.10625), (32, 0.2), (160, 1.0)]
)
def test_report_interval_grows_with_the_number_of_daemons(daemons, seconds):
    assert report_interval(daemons) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("count", "failure_domains", "seconds"),
    [(9, 3, 0.1), (22, 5, 0.1), (68, 3, 0.2875), (195, 5, 0.4875), (980, 13, 0.95)],
)
def test_report_interval_depends_on_the_size_of_the_failure_domain(count, failure_domains, seconds):
    assert _peer_channel(count, failure_domains).report_interval_seconds() == pytest.approx(
        seconds, abs=0.02
    )


def test_total_of_a_failure_domain_covers_its_daemons_only():
    load_table = LoadTable(lambda: 100.0, lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.local_counts["a"] = 2
    load_table.report("near", {"a": 1, "b": 3})
    load_table.report("far", {"a": 5})
    load_table.report_domain("other", {"c": 7})
    assert load_table.sum_with({"near"}) == {"a": 3, "b": 3}


def test_report_of_a_failure_domain_replaces_the_previous_one_and_expires():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.report_domain("other", {"a": 5})
    load_table.report_domain("other", {"a": 4, "b": 1})
    assert (load_table.request_count("a"), load_table.request_count("b")) == (4, 1)
    assert load_table.reporters_since(0.0) == set()
    now[0] += MIN_REPORT_TTL_SECONDS + 0.1
    load_table.remove_expired()
    assert (load_table.request_count("a"), load_table.request_count("b")) == (0, 0)


def test_daemons_that_have_reported_since_an_instant():
    now = [100.0]
    load_table = LoadTable(lambda: now[0], lambda: MIN_REPORT_INTERVAL_SECONDS)
    load_table.report("early", {})
    now[0] = 101.0
    load_table.report("late", {"e1": 1})
    assert load_table.reporters_since(100.5) == {"late"}
    assert load_table.reporters_since(100.0) == {"early", "late"}
