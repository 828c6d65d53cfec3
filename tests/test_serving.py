"""Routes, layouts, budgets and event streams: the gateway's pure decisions."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.groups import formation
from thorncleat_gateway.groups.formation import DomainView
from thorncleat_gateway.requests.event_stream import EventSplitter
from thorncleat_gateway.requests.retry_budget import RetryBudget
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.roster import Roster
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace

LARGE = EngineModel("large", 4, share=0.67)
SMALL = EngineModel("small", 2, share=0.33)


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


def views(*sizes, zones="abc"):
    return [
        DomainView(f"d{number}", size, zones[number % len(zones)])
        for number, size in enumerate(sizes)
    ]


def total(layout):
    return sum(layout.values(), collections.Counter())


class TestLayout:
    def test_domains_carry_one_model_each_where_there_are_enough(self):
        found = formation.layout(views(8, 8, 8, 8, 8, 8), [LARGE, SMALL])
        assert all(len(counts) == 1 for counts in found.values())
        assert total(found) == {"large": 8, "small": 8}

    def test_a_model_is_spread_over_failure_domains(self):
        made = views(8, 8, 8, 8, 8, 8)
        found = formation.layout(made, [LARGE, SMALL])
        zones = {one.failure_domain for one in made if "small" in found[one.name]}
        assert len(zones) == 2

    def test_domains_keep_the_model_that_their_hosts_hold(self):
        made = views(8, 8, 8, 8, 8, 8)
        for one in made[:2]:
            one.holding["small"] = 8
        for one in made[2:]:
            one.holding["large"] = 7
        found = formation.layout(made, [LARGE, SMALL])
        assert [one for one in found if "small" in found[one]] == ["d0", "d1"]

    def test_a_domain_that_is_almost_gone_changes_nothing_for_the_others(self):
        made = views(1, 8, 8, 8, 8, 8)
        for one in made[1:4]:
            one.holding["large"] = 8
        for one in made[4:]:
            one.holding["small"] = 8
        found = formation.layout(made, [LARGE, SMALL])
        assert [set(found[one.name]) for one in made[1:]] == [{"large"}] * 3 + [{"small"}] * 2

    def test_few_domains_carry_several_models_and_keep_spares(self):
        found = formation.layout(views(8, 8), [LARGE, SMALL])
        assert total(found) == {"large": 2, "small": 2}

    @given(
        sizes=st.lists(st.integers(0, 24), min_size=1, max_size=12),
        large=st.integers(1, 8),
        small=st.integers(1, 8),
    )
    def test_no_domain_is_asked_for_more_than_it_has(self, sizes, large, small):
        models = [EngineModel("large", large, share=0.6), EngineModel("small", small, share=0.4)]
        found = formation.layout(views(*sizes), models)
        for view in views(*sizes):
            counts = found[view.name]
            assert sum(counts[one.name] * one.size for one in models) <= view.size


class TestForms:
    def test_hosts_that_hold_the_model_come_first(self):
        warm = [endpoint(f"w{n}", staged=("large",)) for n in range(4)]
        view = DomainView("d0", 8, free=[endpoint("a0"), *warm])
        (form,) = formation.groups_to_form(view, collections.Counter(large=1), [LARGE], lambda _: 0)
        assert set(form.members) == set(warm)
        assert form.cold == []

    def test_weak_members_help_out_but_never_lead(self):
        warm = [endpoint(f"w{n}", staged=("large",)) for n in range(3)]
        weak = endpoint("a0", staged=("large",), draining=True)
        view = DomainView("d0", 8, free=[*warm, endpoint("x")], weak=[weak])
        (form,) = formation.groups_to_form(view, collections.Counter(large=1), [LARGE], lambda _: 0)
        assert form.members[-1] == weak

    def test_no_group_of_weak_members_alone(self):
        weak = [endpoint(f"a{n}", staged=("small",)) for n in range(2)]
        view = DomainView("d0", 8, weak=weak)
        assert (
            formation.groups_to_form(view, collections.Counter(small=1), [SMALL], lambda _: 0) == []
        )

    def test_scarcer_model_first(self):
        free = [endpoint(f"w{n}", staged=("large", "small")) for n in range(4)]
        view = DomainView("d0", 8, free=free)
        wanted = collections.Counter(large=1, small=2)
        made = formation.groups_to_form(view, wanted, [LARGE, SMALL], lambda one: one.size)
        assert [one.model.name for one in made] == ["large"]

    def test_no_endpoint_is_used_twice(self):
        free = [endpoint(f"w{n}") for n in range(9)]
        view = DomainView("d0", 9, free=free)
        wanted = collections.Counter(large=1, small=5)
        made = formation.groups_to_form(view, wanted, [LARGE, SMALL], lambda _: 0)
        used = [one.id for form in made for one in form.members]
        assert len(used) == len(set(used))


class TestStages:
    def test_empty_spares_load_what_the_domain_carries(self):
        model_loader = [endpoint("a"), endpoint("b", staged=("large",)), endpoint("c", ("small",))]
        made = formation.models_to_load(
            DomainView("d0", 8), collections.Counter(large=2), [LARGE, SMALL], model_loader
        )
        assert [(one.endpoint.id, one.model.name) for one in made] == [
            ("a", "large"),
            ("c", "large"),
        ]

    def test_a_host_that_is_loading_is_left_alone(self):
        view = DomainView("d0", 8, staging={"a": "large"})
        wanted = collections.Counter(large=2)
        assert formation.models_to_load(view, wanted, [LARGE], [endpoint("a")]) == []


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
