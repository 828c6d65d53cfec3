"""The listed endpoints and the groups that they name."""

import pytest

from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Life
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
        assert roster.gone["a"].at == 1.0
        roster.remove("b", 100.0)
        assert "a" not in roster.gone

    @pytest.mark.parametrize("listed", [{}, {"staged": ("m",)}, {"draining": True}])
    def test_what_an_endpoint_says_of_draining_holds_beside_later_entries(self, listed):
        roster = Roster()
        roster.put(endpoint("a", born=5))
        assert roster.said_draining(Life("a", 5))
        assert not roster.said_draining(Life("a", 5))
        roster.put(endpoint("a", born=5, **listed))
        assert roster.endpoints["a"].draining
        assert list(roster.as_listed) == [endpoint("a", born=5, **listed)]

    def test_what_an_endpoint_says_of_draining_outlives_its_entry(self):
        roster = Roster()
        roster.put(endpoint("a", born=5))
        roster.said_draining(Life("a", 5))
        roster.remove("a", 1.0)
        roster.replace([endpoint("a", born=5)], 2.0)
        assert roster.endpoints["a"].draining

    @pytest.mark.parametrize("late", [False, True], ids=["another life", "said in a life before"])
    def test_another_life_does_not_drain(self, late):
        roster = Roster()
        roster.put(endpoint("a", born=6 if late else 5))
        roster.said_draining(Life("a", 5))
        roster.put(endpoint("a", born=6))
        assert not roster.endpoints["a"].draining
        assert list(roster.as_listed) == [endpoint("a", born=6)]

    def test_endpoints_that_drained_are_forgotten(self):
        roster = Roster()
        for name in "ab":
            roster.put(endpoint(name))
            roster.said_draining(Life(name, None))
        roster.remove("a", 1.0)
        roster.remove("b", 100.0)
        assert list(roster._said_draining) == ["b"]

    def test_endpoint_that_is_not_listed_says_nothing(self):
        assert not Roster().said_draining(Life("a", None))

    def test_a_whole_list_replaces_what_was_known(self):
        roster = Roster()
        roster.put(endpoint("a"))
        roster.replace([endpoint("b")], 2.0)
        assert list(roster.endpoints) == ["b"]
        assert list(roster.gone) == ["a"]
