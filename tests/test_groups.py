"""No instance is in two groups, whatever the order of failures and repairs."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from thorncleat_core.daemon import repair
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Confirmations
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.daemon.journal import Placement
from thorncleat_core.exceptions import AssignmentError
from thorncleat_core.exceptions import DecodeError

from .makers import change

INSTANCES = [f"i{number}" for number in range(14)]
SIZE = 4


def _group(name: str = "g-0", members=("i0", "i1", "i2", "i3"), generation: int = 1) -> Group:
    return Group(name, "narrator", "m", "v1", generation, tuple(members))


def _report(name: str, member_of: Group, **more) -> InstanceReport:
    fields = {
        "boot": "b",
        "ready": True,
        "epoch": 1,
        "group": member_of.id,
        "generation": member_of.generation,
        "rank": member_of.members.index(name) if name in member_of.members else -1,
    }
    return InstanceReport(instance=name, **{**fields, **more})


class TestAssignments:
    def test_no_instance_in_two_groups(self):
        assignments = Assignments("d").with_group(_group())
        with pytest.raises(AssignmentError, match="'i3' would be in 'g-0' and 'g-1'"):
            assignments.with_group(_group("g-1", ("i3", "i4", "i5", "i6")))

    def test_leaving_instance_is_not_free(self):
        assignments = Assignments("d").with_group(_group()).without_group("g-0")
        with pytest.raises(AssignmentError):
            assignments.with_group(_group("g-1"))
        assert assignments.with_released(["i0", "i1", "i2", "i3"]).with_group(_group("g-1")).groups

    def test_stored_value_with_an_instance_in_two_groups_is_rejected(self):
        invalid = Assignments("d", {"a": _group("a"), "b": _group("b")})
        with pytest.raises(AssignmentError):
            Assignments.decode(invalid.encode())

    def test_generation_increases_with_each_change(self):
        before = Assignments("d").with_group(_group())
        after = before.with_group(_group(members=("i0", "i1", "i2", "i4")))
        assert after.groups["g-0"].generation > before.groups["g-0"].generation
        assert after.leaving == {"i3": "g-0"}

    @given(st.binary(max_size=60))
    def test_garbage_is_refused(self, data):
        with pytest.raises(DecodeError):
            Assignments.decode(data)

    def test_truncated_value_is_rejected(self):
        data = Assignments("d").with_group(_group()).encode()
        for end in range(len(data)):
            with pytest.raises(DecodeError):
                Assignments.decode(data[:end])


class TestConfirmations:
    def _confirmed(self, group: Group, at: float) -> Confirmations:
        confirmations = Confirmations(window=2.0)
        for name in group.members:
            assert confirmations.record_report(group, _report(name, group), at)
        return confirmations

    def test_group_is_open_while_all_members_are_confirmed(self):
        confirmations = self._confirmed(_group(), 10.0)
        assert confirmations.is_open(_group(), 11.9)
        assert not confirmations.is_open(_group(), 12.0)

    def test_revoked_confirmation_closes_the_group(self):
        confirmations = self._confirmed(_group(), 10.0)
        confirmations.revoke("i2")
        assert not confirmations.is_open(_group(), 10.0)
        assert confirmations.unconfirmed_members(_group(), 10.0) == ["i2"]

    @pytest.mark.parametrize(
        "wrong", [{"ready": False}, {"group": ""}, {"generation": 2}, {"rank": 0}]
    )
    def test_report_of_another_assignment_closes_the_group(self, wrong):
        confirmations = self._confirmed(_group(), 10.0)
        assert not confirmations.record_report(_group(), _report("i1", _group(), **wrong), 10.5)
        assert not confirmations.is_open(_group(), 10.5)

    def test_confirmation_of_an_old_generation_does_not_open_the_group(self):
        confirmations = self._confirmed(_group(), 10.0)
        assert not confirmations.is_open(_group(generation=2), 10.0)


def _desired(count: int = 3, repair_after: float = 3.0) -> repair.DesiredState:
    configuration = Configuration().with_change(change(size=SIZE))
    placements = {
        f"narrator-{n}": Placement(
            f"narrator-{n}", "narrator", "d", tuple(INSTANCES[n * SIZE : (n + 1) * SIZE])
        )
        for n in range(count)
    }
    return repair.DesiredState(placements, configuration.intents, repair_after)


class TestRepair:
    def _started(self) -> Assignments:
        assignments = Assignments("d")
        view = repair.ObservedDomain(frozenset(INSTANCES))
        for start in repair.decide_changes(assignments, _desired(), view, 0.0):
            assignments = assignments.with_group(start.group)
        return assignments

    def _view(
        self, assignments: Assignments, lost=(), since: float = 0.0, **more
    ) -> repair.ObservedDomain:
        alive = frozenset(INSTANCES) - set(lost)
        missing = dict.fromkeys(lost, since)
        idle = alive - assignments.occupied_instances()
        return repair.ObservedDomain(idle, missing_since=missing, **more)

    def test_placed_groups_are_started(self):
        assert sorted(self._started().groups) == ["narrator-0", "narrator-1", "narrator-2"]

    def test_missing_member_is_not_replaced_at_once(self):
        assignments = self._started()
        view = self._view(assignments, lost=["i0"], since=0.0)
        assert repair.decide_changes(assignments, _desired(), view, 2.9) == []

    def test_spare_gets_the_rank_of_the_lost_member(self):
        assignments = self._started()
        (found,) = repair.decide_changes(
            assignments, _desired(), self._view(assignments, lost=["i1"]), 3.0
        )
        assert found.group.members == ("i0", "i12", "i2", "i3")
        assert not found.graceful

    def test_one_of_two_groups_without_spares_is_ended_for_the_other(self):
        assignments = self._started()
        lost = ["i0", "i4", "i12", "i13"]
        view = self._view(assignments, lost=lost)
        assert repair.decide_changes(assignments, _desired(), view, 9.0) == [
            repair.Dissolve("narrator-1", graceful=False)
        ]
        assert repair.decide_changes(assignments, _desired(), view, 9.0, "spares") == []

    def test_draining_member_is_replaced_gracefully(self):
        assignments = self._started()
        draining = frozenset(["i5"])
        view = self._view(assignments, draining=draining)
        part = repair.ModelPart("m", "v1", rank=1)
        # The spare loads its part while the group keeps serving.
        assert repair.decide_changes(assignments, _desired(), view, 0.0) == [
            repair.Prepare("i12", "narrator-1", part)
        ]
        view = self._view(assignments, draining=draining, prepared={"i12": part})
        (found,) = repair.decide_changes(assignments, _desired(), view, 0.0)
        assert found.graceful
        assert "i5" not in found.group.members

    def test_new_version_is_loaded_by_one_group_at_a_time(self):
        assignments = self._started()
        desired = _desired()
        newer = desired.intents["narrator"].model_copy(update={"version": "v2"})
        desired = repair.DesiredState(desired.placements, {"narrator": newer}, 3.0)
        (found,) = repair.decide_changes(assignments, desired, self._view(assignments), 0.0)
        assert (found.group.id, found.group.version) == ("narrator-0", "v2")
        assert found.graceful


class RepairMachine(RuleBasedStateMachine):
    """Instances fail, return and drain while the holder repairs the groups.

    The model records which group each engine follows.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.assignments = Assignments("d")
        self.follows: dict[str, str] = dict.fromkeys(INSTANCES, "")
        self.dead: dict[str, float] = {}
        self.draining: set[str] = set()
        self.prepared: dict[str, repair.ModelPart] = {}

    @rule(name=st.sampled_from(INSTANCES))
    def die(self, name):
        self.dead.setdefault(name, self.now)

    @rule(name=st.sampled_from(INSTANCES))
    def come_back(self, name):
        if self.dead.pop(name, None) is not None:
            self.follows[name] = ""
            self.prepared.pop(name, None)

    @rule(name=st.sampled_from(INSTANCES))
    def drain(self, name):
        self.draining ^= {name}

    @rule(name=st.sampled_from(INSTANCES))
    def order_arrives(self, name):
        if name not in self.dead:
            self.follows[name] = self._assigned().get(name, "")

    @rule(seconds=st.floats(0.1, 5))
    def wait(self, seconds):
        self.now += seconds

    @rule(strategy=st.sampled_from(["spares", "donate"]))
    def mend(self, strategy):
        alive = frozenset(INSTANCES) - set(self.dead)
        idle = frozenset(name for name in alive if not self.follows[name])
        view = repair.ObservedDomain(
            idle,
            missing_since=dict(self.dead),
            draining=frozenset(self.draining),
            prepared={name: part for name, part in self.prepared.items() if name in idle},
        )
        for found in repair.decide_changes(self.assignments, _desired(), view, self.now, strategy):
            if isinstance(found, repair.Prepare):
                assert not self.follows[found.instance]
                self.prepared[found.instance] = found.part
            elif isinstance(found, repair.Release):
                self.assignments = self.assignments.with_released(found.instances)
            elif isinstance(found, repair.Dissolve):
                self.assignments = self.assignments.without_group(found.group_id)
            else:
                self._check_new_members(found.group)
                self.assignments = self.assignments.with_group(found.group)

    def _check_new_members(self, group: Group):
        old = self.assignments.groups.get(group.id)
        for name in set(group.members) - set(old.members if old else ()):
            assert not self.follows[name], f"{name} still follows {self.follows[name]}"

    def _assigned(self) -> dict[str, str]:
        return {m: g.id for g in self.assignments.groups.values() for m in g.members}

    @invariant()
    def no_instance_in_two_groups(self):
        self.assignments.check()
        for group in self.assignments.groups.values():
            assert len(set(group.members)) == SIZE

    @invariant()
    def nobody_follows_a_group_that_may_have_others(self):
        assigned = self._assigned()
        for name, group in self.follows.items():
            if group and assigned.get(name) != group:
                assert name in self.assignments.leaving


TestRepairMachine = RepairMachine.TestCase
TestRepairMachine.settings = settings(max_examples=60, stateful_step_count=40)
