"""Leases, hashing, membership, the store's budget, routing, retries, burn rates and plans."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from thorncleat_core import rendezvous
from thorncleat_core.daemon import budget
from thorncleat_core.daemon import directory
from thorncleat_core.daemon import leases
from thorncleat_core.daemon import overlay
from thorncleat_core.daemon import plans
from thorncleat_core.daemon import routing
from thorncleat_core.daemon.burn import GOOD
from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.directory import Directory
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.members import Members
from thorncleat_core.daemon.retries import Ejection
from thorncleat_core.daemon.retries import RetryThrottle
from thorncleat_core.daemon.retries import can_retry
from thorncleat_core.exceptions import ConflictError
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import LeaseError
from thorncleat_core.exceptions import UnknownNameError

from . import makers

names = st.lists(st.text("abcdef", min_size=1, max_size=4), unique=True, max_size=30)


class TestLeases:
    terms = leases.LeaseTerms(ttl=6.0, margin=1.0)

    def test_deadline_counts_from_before_the_call(self):
        assert leases.deadline_of(100.0, self.terms) < 105.0

    def test_check_after_the_deadline_is_an_error(self):
        lease = leases.HeldLease(3, 7, 1, 0.0, 5.0)
        lease.check(4.9)
        with pytest.raises(LeaseError, match=r"shard 3 ended 0\.500 s ago"):
            lease.check(5.5)


class TestRendezvous:
    @given(names, st.text("xyz"))
    def test_departure_moves_only_what_it_had(self, candidates, key):
        if len(candidates) < 2:
            return
        first, *rest = rendezvous.rank(key, candidates)
        assert rendezvous.rank(key, rest) == rest
        assert first not in rest


class TestOverlay:
    @pytest.mark.parametrize("count", [1, 2, 3, 9, 100, 980])
    def test_flood_reaches_all_in_few_hops(self, count):
        members = [f"d{number}" for number in range(count)]
        reached, edge, hops = {members[0]}, {members[0]}, 0
        while edge:
            edge = {n for member in edge for n in overlay.neighbours(member, members)} - reached
            reached |= edge
            hops += bool(edge)
        assert len(reached) == count
        assert hops <= max(1, (count - 1).bit_length())
        assert len(overlay.neighbours("d0", members)) <= max(1, (count - 1).bit_length())


class TestDirectory:
    def test_older_record_is_ignored(self):
        records = Directory()
        assert records.put(Record("k", (2, 0)))
        assert not records.put(Record("k", (1, 9)))
        assert not records.put(Record("k", (2, 0)))

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5)), max_size=20), st.data())
    def test_any_order_ends_the_same(self, rows, data):
        records = [Record(key, (version,)) for key, version in rows]
        one, two = Directory(), Directory()
        for record in records:
            one.put(record)
        for record in data.draw(st.permutations(records)):
            two.put(record)
        assert one.versions() == two.versions()
        assert one.checksum == two.checksum
        assert not one.newer_than(two.versions())

    def test_records_over_the_limit_are_rejected(self):
        records = Directory(limit=2)
        assert [records.put(Record(key, (1,))) for key in "abc"] == [True, True, False]
        assert records.put(Record("a", (2,)))

    @pytest.mark.parametrize("raw", [None, 5, {"key": "k"}, {"key": 1, "version": ["x"]}])
    def test_invalid_record_is_rejected(self, raw):
        with pytest.raises(DecodeError):
            directory.decode(raw)


class TestMembers:
    def _members(self, own_id: str = "a") -> Members:
        members = Members(own_id, Directory())
        members.update_list({"a": "1", "b": "2", "c": "3"})
        return members

    def test_suspicion_after_three_missed_probes(self):
        members = self._members()
        assert [members.record_missed_probe("b") for _ in range(2)] == [None, None]
        suspicion = members.record_missed_probe("b")
        assert suspicion is not None
        assert members.record_missed_probe("b") is not None
        members.record_answer("b")
        assert members.record_missed_probe("b") is None

    def test_suspect_refutes_with_a_higher_incarnation(self):
        shared = Directory()
        shared.put(Record("member/a", (4, 1)))
        members = Members("a", shared)
        refutation = members.create_refutation()
        assert refutation.version == (5, 0)
        shared.put(refutation)
        assert members.create_refutation() is None

    def test_suspected_daemon_counts_itself_alive(self):
        shared = Directory()
        shared.put(Record("member/a", (0, 1)))
        members = Members("a", shared)
        members.update_list({"a": "1", "b": "2"})
        assert members.alive == ("a", "b")


class TestBudget:
    def test_fleet_stays_within_its_rate(self):
        fleet = [budget.StoreBudget(budget.FleetRates(writes=100)) for _ in range(9)]
        for limiter in fleet:
            limiter.set_daemon_count(9)
        done = 0
        for tick in range(60 * 50):
            for limiter in fleet:
                done += limiter.reserve(True, budget.Purpose.LEASE, tick / 50) == 0
        burst = 9 * fleet[0].calls_per_second(True) * 10
        assert done <= 60 * 100 * 0.8 + burst + 9 * 8

    def test_leases_have_priority_over_all_other_calls(self):
        limiter = budget.StoreBudget(budget.FleetRates(writes=100))
        limiter.set_daemon_count(980)
        while not limiter.reserve(True, budget.Purpose.READ, 0.0):
            pass
        assert limiter.reserve(True, budget.Purpose.READ, 0.0) > 0
        assert limiter.reserve(True, budget.Purpose.LEASE, 0.0) == 0
        assert limiter.calls[budget.Purpose.LEASE] == 1
        assert limiter.deferred[budget.Purpose.READ] == 2

    def test_backoff_grows_with_jitter(self):
        backoff = budget.Backoff(1.0, max_delay=8.0)
        assert [backoff.next_delay(0.0) for _ in range(5)] == [0.5, 1, 2, 4, 4]
        backoff.reset()
        assert backoff.next_delay(0.999) < 1.0


class TestRouting:
    def test_same_prefix_goes_to_the_same_group(self):
        candidates = [routing.Candidate(f"g{n}", 0) for n in range(5)]
        first = routing.bounded_affinity("p", 10, candidates)
        assert first == routing.bounded_affinity("p", 10, candidates[::-1])

    def test_loaded_group_loses_its_affinity(self):
        idle = [routing.Candidate(f"g{n}", 10) for n in range(4)]
        first = routing.bounded_affinity("p", 1, idle)
        loaded = [
            routing.Candidate(group.group, 1000 if group.group == first else 10) for group in idle
        ]
        assert routing.bounded_affinity("p", 1, loaded) != first

    def test_attachment_is_even_and_bounded(self):
        groups = {f"g{n}": n % 12 for n in range(50)}
        used = collections.Counter(
            group for d in range(200) for group in routing.attached_groups(f"d{d}", groups, 8)
        )
        assert len(used) == 50
        assert max(used.values()) < 2 * 200 * 8 / 50

    def test_error_for_an_unknown_policy_lists_the_registered_ones(self):
        with pytest.raises(UnknownNameError, match="'none', one of bounded_affinity"):
            routing.routing_policies.get("none")


class TestRetries:
    def test_failing_fleet_gets_few_retries(self):
        retries = RetryThrottle(ratio=0.1, reserve=10)
        taken = sum(retries.try_acquire() for _ in range(1000))
        assert taken == 10
        for _ in range(100):
            retries.record_success()
        assert sum(retries.try_acquire() for _ in range(1000)) in (9, 10)

    @pytest.mark.parametrize(
        ("executed", "repeatable", "attempt", "left", "expected"),
        [
            ("no", False, 1, 5.0, True),
            ("no", True, 1, 5.0, True),
            ("unknown", True, 1, 5.0, True),
            ("yes", True, 1, 5.0, True),
            ("unknown", False, 1, 5.0, False),  # It may have run and must not run twice.
            ("yes", False, 1, 5.0, False),
            ("no", True, 2, 5.0, True),
            ("no", True, 3, 5.0, False),  # The last of three attempts.
            ("no", True, 1, 0.0, False),  # No time left.
        ],
    )
    def test_conditions_of_a_retry(self, executed, repeatable, attempt, left, expected):
        found = can_retry(
            executed, repeatable=repeatable, attempt=attempt, max_attempts=3, seconds_left=left
        )
        assert found is expected

    def test_at_most_half_of_the_endpoints_are_ejected(self):
        ejection = Ejection(threshold=1)
        for name in "abcd":
            ejection.record_failure(name, 0.0)
        assert len(ejection.usable_endpoints("abcd", 0.1)) == 2

    def test_ejected_endpoint_returns_after_a_time(self):
        ejection = Ejection(threshold=2, seconds=1.0)
        ejection.record_failure("a", 0.0)
        assert ejection.usable_endpoints("ab", 0.0) == ["a", "b"]
        ejection.record_failure("a", 0.0)
        assert ejection.usable_endpoints("ab", 0.5) == ["b"]
        assert ejection.usable_endpoints("ab", 1.5) == ["a", "b"]


class TestBurn:
    def test_burn_rate_triggers_an_alert(self):
        counts = BurnCounts()
        subject = Subject("w", "m")
        for number in range(1000):
            counts.record(subject, "group_closed" if number % 20 == 0 else GOOD, 100_000.0)
        (row,) = counts.rows(lambda _: 0.999, 100_001.0)
        assert row.rates["5m"] == pytest.approx(50)
        assert row.alert == "page"
        assert row.causes == {"group_closed": 50}

    def test_requests_leave_the_windows(self):
        counts = BurnCounts()
        counts.record(Subject("w", "m"), "late", 0.0)
        (row,) = counts.rows(lambda _: 0.99, 4000.0)
        assert row.rates["1h"] == 0
        assert row.rates["6h"] > 0

    def test_merge_of_daemons_is_the_sum(self):
        first, second = BurnCounts(), BurnCounts()
        for counts in (first, second):
            counts.record(Subject("w", "m"), GOOD, 60.0)
        first.merge(second.export())
        assert first.rows(lambda _: 0.9, 61.0)[0].total == 2


class TestPlans:
    def _plan(self, change: Change, state: State | None = None, fleet=None) -> plans.Plan:
        state = state or State()
        taken = {member for p in state.placements.values() for member in p.members}
        made = plans.make_plan(change, state, fleet or makers.fleet(), taken)
        return made.unwrap()

    def test_groups_are_spread_over_failure_domains(self):
        plan = self._plan(makers.change(replicas=2))
        assert [step.domain for step in plan.steps] == ["fabric-0", "fabric-1"]

    def test_same_input_gives_the_same_digest(self):
        change = makers.change(replicas=2)
        assert self._plan(change).digest == self._plan(change).digest

    def test_spares_are_left_free(self):
        fleet = makers.fleet(domains=1, size=6)
        assert self._plan(makers.change(spares=2), fleet=fleet).steps
        made = plans.make_plan(makers.change(spares=3), State(), fleet, set())
        assert isinstance(made, Failure)
        assert "needs 4 free instances and 3 spares" in str(made.failure())

    def test_group_larger_than_any_domain_is_an_error(self):
        made = plans.make_plan(makers.change(size=32), State(), makers.fleet(), set())
        assert "'narrator-0' needs 32 free instances" in str(made.failure())

    def test_fewer_replicas_stop_the_last_group(self):
        state = State().with_entry(self._plan(makers.change(replicas=2)).to_entry("op"))
        plan = self._plan(makers.change(replicas=1), state)
        assert [(step.action, step.group) for step in plan.steps] == [("stop", "narrator-1")]

    def test_new_version_reloads_with_downtime(self):
        state = State().with_entry(self._plan(makers.change()).to_entry("op"))
        newer = makers.change().model_copy(deep=True)
        intent = newer.intents[0].model_copy(update={"version": "v2"})
        plan = self._plan(newer.model_copy(update={"intents": [intent]}), state)
        assert [step.action for step in plan.steps] == ["reload"]
        assert plan.downtime_seconds == 120
        assert plan.idle_accelerator_seconds == 4 * 8 * 120

    def test_draining_instance_moves_its_group(self):
        state = State().with_entry(self._plan(makers.change()).to_entry("op"))
        plan = self._plan(Change(draining=["d0-i1"]), state)
        assert [(step.action, step.group) for step in plan.steps] == [("move", "narrator-0")]

    def test_changed_fleet_is_a_conflict(self):
        change = makers.change()
        plan = self._plan(change)
        with pytest.raises(ConflictError, match="fleet changed"):
            plans.verify(plan, self._plan(change, fleet=makers.fleet(size=7)))

    def test_changed_revision_is_a_conflict(self):
        change = makers.change()
        plan = self._plan(change)
        state = State().with_entry(self._plan(change).to_entry("op"))
        with pytest.raises(ConflictError, match="made from revision 0, now 1"):
            plans.verify(plan, self._plan(change, state))

    def test_tampered_plan_is_a_conflict(self):
        plan = self._plan(makers.change())
        tampered = plans.Plan(plan.base_revision, plan.base_digest, plan.fleet, plan.change, ())
        with pytest.raises(ConflictError, match="is not what its change leads to"):
            plans.verify(tampered, plan)


class TestRankOf:
    @given(names, st.text("xyz"), st.integers(1, 4))
    def test_is_the_index_in_the_ranking(self, candidates, key, limit):
        for index, name in enumerate(rendezvous.rank(key, candidates)):
            expected = index if index < limit else None
            assert rendezvous.rank_of(key, name, candidates, limit) == expected
