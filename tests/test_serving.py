"""Routes, budgets and event streams: the gateway's pure decisions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.requests.event_stream import EventSplitter
from thorncleat_gateway.requests.retry_budget import RetryBudget
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.roster import Roster
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace


def route(name, prefix, host="Shop.example"):
    return Route(
        name, host, prefix, RouteKind.STREAMING, 1.0, 0.5, 0.3, 1, (Split("service", 1.0),)
    )


class TestRoutes:
    CONFIGURATION = ServingConfiguration(
        1,
        (route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", "other.example")),
        workspaces=(Workspace("growers", ("k1", "k2")), Workspace("chains", ("k3",))),
    )

    @pytest.mark.parametrize(
        ("host", "path", "wanted"),
        [
            ("shop.example", "/a/x", "short"),
            ("shop.example", "/a/b/x", "long"),
            ("SHOP.example", "/a/b/", "long"),
            ("shop.example", "/a/bx", "short"),
            ("other.example", "/a/b/x", "other"),
            ("shop.example", "/a", None),
            ("shop.example", "", None),
            ("nobody.example", "/a/x", None),
        ],
    )
    def test_longest_prefix_of_the_host_wins(self, host, path, wanted):
        found = self.CONFIGURATION.route_for(host, path)
        assert (found.name if found else None) == wanted

    def test_keys_lead_to_their_workspace(self):
        assert self.CONFIGURATION.workspace_for("k2").name == "growers"
        assert self.CONFIGURATION.workspace_for("k3").name == "chains"
        assert self.CONFIGURATION.workspace_for("k") is None


def endpoint(name, staged=(), models=(), **more):
    return Endpoint(name, "service", name, "zone", staged=staged, models=models, **more)


class TestRetryAllowance:
    @given(
        daemons=st.integers(1, 20),
        extra=st.integers(0, 200),
        steps=st.lists(st.tuples(st.integers(0, 19), st.booleans(), st.integers(0, 3))),
    )
    def test_all_daemons_together_keep_within_the_budget(self, daemons, extra, steps):
        terms = RetryBudgetSettings(0.2, extra, 10)
        parts = [RetryBudget(terms) for _ in range(daemons)]
        now, sent, asked = 0.0, [], []
        for who, repeat, pause in steps * 3:
            now += pause
            one = parts[who % daemons]
            if repeat and one.take(now, daemons):
                sent.append(now)
            elif not repeat:
                one.request(now)
                asked.append(now)
            window = [at for at in sent if at > now - 10]
            requests = [at for at in asked if at >= now - 20]
            assert len(window) <= 0.2 * len(requests) + extra

    def test_requests_of_long_ago_give_nothing(self):
        one = RetryBudget(RetryBudgetSettings(1.0, 0, 10))
        for _ in range(10):
            one.request(0.0)
        assert one.left(5.0, 1) == 8
        assert one.left(11.0, 1) == 0


class TestEventCutter:
    STREAM = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 9))

    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_however_it_is_cut_the_events_are_the_same(self, sizes):
        splitter, out, rest = EventSplitter(), b"", self.STREAM
        for size in [*sizes, len(self.STREAM)]:
            out += splitter.feed(rest[:size])
            rest = rest[size:]
        assert out == self.STREAM
        assert not splitter.mid_event

    def test_a_run_that_continues_repeats_nothing(self):
        splitter = EventSplitter()
        out = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        assert splitter.mid_event
        splitter.restart()
        out += splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        assert out == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        assert splitter.last_id == "2"

    def test_ids_rise_as_numbers(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n").count(b"data") == 2


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
