"""The listed endpoints and the groups that they name."""

import dataclasses

import pytest

from thorncleat_gateway.store.roster import ENTRY_TTL_SECONDS
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Incarnation
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.roster import Roster


def endpoint(name, staged=(), models=(), **more):
    return Endpoint(name, "service", name, "zone", staged=staged, models=models, **more)


class TestRoster:
    @staticmethod
    def member(name, rank):
        place = Membership(GroupId(5, "g5"), rank, GroupState.READY)
        return endpoint(name, models=("large",), membership=place)

    def test_groups_are_read_from_their_members(self):
        roster = Roster()
        for rank, name in enumerate("abcd"):
            roster.put(self.member(name, rank))
        (group,) = roster.groups.values()
        assert group.leader.id == "a"
        assert group.model == "large"
        assert sorted(group.members) == [0, 1, 2, 3]
        roster.remove("c", 1.0)
        assert sorted(roster.groups[group.id].members) == [0, 1, 3]

    def test_those_that_have_gone_are_remembered_for_a_while(self):
        roster = Roster()
        roster.put(endpoint("a"))
        roster.put(endpoint("b"))
        roster.remove("a", 1.0)
        assert roster.removed["a"].at == 1.0
        roster.remove("b", 100.0)
        assert "a" not in roster.removed

    @pytest.mark.parametrize("listed", [{}, {"staged": ("m",)}, {"draining": True}])
    def test_what_an_endpoint_says_of_draining_holds_beside_later_entries(self, listed):
        roster = Roster()
        roster.put(endpoint("a", born=5))
        assert roster.mark_draining(Incarnation("a", 5))
        assert not roster.mark_draining(Incarnation("a", 5))
        roster.put(endpoint("a", born=5, **listed))
        assert roster.endpoints["a"].draining
        assert list(roster.stored_entries) == [endpoint("a", born=5, **listed)]

    def test_what_an_endpoint_says_of_draining_outlives_its_entry(self):
        roster = Roster()
        roster.put(endpoint("a", born=5))
        roster.mark_draining(Incarnation("a", 5))
        roster.remove("a", 1.0)
        roster.replace([endpoint("a", born=5)], 2.0)
        assert roster.endpoints["a"].draining

    @pytest.mark.parametrize("late", [False, True], ids=["another life", "said in a life before"])
    def test_another_life_does_not_drain(self, late):
        roster = Roster()
        roster.put(endpoint("a", born=6 if late else 5))
        roster.mark_draining(Incarnation("a", 5))
        roster.put(endpoint("a", born=6))
        assert not roster.endpoints["a"].draining
        assert list(roster.stored_entries) == [endpoint("a", born=6)]

    def test_endpoints_that_drained_are_forgotten(self):
        roster = Roster()
        for name in "ab":
            roster.put(endpoint(name))
            roster.mark_draining(Incarnation(name, None))
        roster.remove("a", 1.0)
        roster.remove("b", 100.0)
        assert list(roster._reported_draining) == ["b"]

    def test_endpoint_that_is_not_listed_says_nothing(self):
        assert not Roster().mark_draining(Incarnation("a", None))

    def test_a_whole_list_replaces_what_was_known(self):
        roster = Roster()
        roster.put(endpoint("a"))
        roster.replace([endpoint("b")], 2.0)
        assert list(roster.endpoints) == ["b"]
        assert list(roster.removed) == ["a"]


class TestCopies:
    """What a store that came back from a copy lists again."""

    READY = Endpoint("i-9", "desk", "a:9", "z", order_count=4)

    def _gone(self):
        roster = Roster()
        roster.put(self.READY)
        roster.remove("i-9", 10.0)
        return roster

    def test_entry_that_drained_drains_on_in_an_older_copy(self):
        roster = Roster()
        roster.put(dataclasses.replace(self.READY, draining=True))
        roster.put(self.READY)
        assert roster.endpoints["i-9"].draining
        assert [one.draining for one in roster.stored_entries] == [True]

    def test_next_life_does_not_drain_on(self):
        roster = Roster()
        roster.put(dataclasses.replace(self.READY, draining=True, born=1))
        roster.put(dataclasses.replace(self.READY, born=2))
        assert not roster.endpoints["i-9"].draining

    def test_entry_that_had_gone_is_not_used_on_a_copys_word(self):
        roster = self._gone()
        roster.replace([self.READY], 11.0, restored=True)
        assert not roster.endpoints
        # whoever learns from here hears of no change when it is believed
        assert list(roster.stored_entries) == [self.READY]

    def test_it_is_used_once_its_entry_changes(self):
        roster = self._gone()
        roster.replace([self.READY], 11.0, restored=True)
        roster.put(dataclasses.replace(self.READY, order_count=5))
        assert "i-9" in roster.endpoints

    def test_it_is_used_once_it_would_have_run_out(self):
        roster = self._gone()
        roster.replace([self.READY], 11.0, restored=True)
        roster.replace([self.READY], 12.0)
        assert roster.next_due == 11.0 + ENTRY_TTL_SECONDS
        assert not roster.expire(11.0 + ENTRY_TTL_SECONDS - 0.1)
        assert roster.expire(11.0 + ENTRY_TTL_SECONDS)
        assert "i-9" in roster.endpoints

    def test_it_is_forgotten_once_it_runs_out(self):
        roster = self._gone()
        roster.replace([self.READY], 11.0, restored=True)
        roster.unlist("i-9", 12.0, None)
        assert roster.next_due == float("inf")
        assert not list(roster.stored_entries)

    def test_another_life_is_used_at_once(self):
        roster = Roster()
        roster.put(dataclasses.replace(self.READY, born=1))
        roster.remove("i-9", 10.0)
        roster.replace([dataclasses.replace(self.READY, born=2)], 11.0, restored=True)
        assert "i-9" in roster.endpoints

    def test_without_a_copy_an_entry_that_is_listed_again_is_used_at_once(self):
        roster = self._gone()
        roster.replace([self.READY], 11.0)
        assert "i-9" in roster.endpoints
