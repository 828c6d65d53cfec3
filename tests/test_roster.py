"""The listed endpoints and the groups that they name."""

from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
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

    def test_a_whole_list_replaces_what_was_known(self):
        roster = Roster()
        roster.put(endpoint("a"))
        roster.replace([endpoint("b")], 2.0)
        assert list(roster.endpoints) == ["b"]
        assert list(roster.gone) == ["a"]
