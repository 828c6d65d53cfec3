"""Choosing groups by expected time: cases, and a replay of uneven loads without network.

Guards against a choice by the number of requests, which overloads the groups of a failure domain
with more demand than the others, and sends as much to slow groups as to the others.
"""

import collections
import dataclasses
import itertools
import random
import typing as t

import pytest

from thorncleat_gateway.peers.load_table import LoadTable
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.requests import expected_time
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits
from thorncleat_gateway.requests.endpoint_notices import EndpointNotices
from thorncleat_gateway.requests.endpoint_selector import EndpointSelector
from thorncleat_gateway.requests.expected_time import Work
from thorncleat_gateway.requests.first_event_offsets import ExpectedTime
from thorncleat_gateway.requests.first_event_offsets import FirstEventOffsets
from thorncleat_gateway.requests.group_times import GroupTimes
from thorncleat_gateway.requests.slow_groups import GAPS_PER_OBSERVATION
from thorncleat_gateway.requests.slow_groups import SLOWNESS_TTL_SECONDS
from thorncleat_gateway.requests.slow_groups import GapMeter
from thorncleat_gateway.requests.slow_groups import SlowGroups
from thorncleat_gateway.store import serving
from thorncleat_gateway.store.roster import Endpoint

from . import recording
from . import test_expected_time
from . import test_forms_refusals as forms
from . import test_placement
from .recording import Answer
from .test_endpoint_selector import Detector
from .test_endpoint_selector import StoreView

DOMAINS = 3
DELAY_SECONDS = 0.005
SLOTS = 8
MODEL = test_expected_time.MODEL
# A usual request has its first event after 0.16 s at an idle group, and after 0.36 s at a full one.
TIMES = dataclasses.replace(
    test_expected_time.TIMES,
    usual_answer=80.0,
    delays=tuple(
        serving.DomainDelay(*pair, DELAY_SECONDS) for pair in itertools.combinations("abc", 2)
    ),
)
ENGINE = serving.Engine(SLOTS, (MODEL,), times=TIMES)
USUAL = expected_time.usual_work(TIMES)
TARGET_SECONDS = 1.0
SLOWNESS = 3.0
# Requests a second that a group with all slots in use completes.
GROUP_RATE = SLOTS / expected_time.service_seconds(TIMES, MODEL, USUAL, SLOTS - 1)


def make_selector(
    endpoints, table, clock, failure_domain="a", detector=None, *, by_time=True, connected=()
):
    view = StoreView(endpoints)
    view.configuration = serving.ServingConfiguration(
        1, services={"narrator": serving.Service("narrator", "/", ENGINE)}
    )
    times = GroupTimes(table, FirstEventOffsets(clock), SlowGroups(clock), failure_domain)
    return EndpointSelector(
        view,
        table,
        detector or Detector(),
        [],
        EndpointNotices(view, clock),
        EndpointLimits(None, clock),
        clock,
        failure_domain,
        times if by_time else None,
        has_connection=lambda endpoint: endpoint.id in connected,
    )


class Sent(t.NamedTuple):
    """A request in the replay, from a daemon to the group of a leader."""

    daemon: int
    leader: Endpoint
    work: Work
    sent_at: float
    expected: ExpectedTime | None


class Replay(test_placement.Fleet):
    """Daemons that choose groups for requests, and groups that run them as the figures tell.

    :param load: requests as a fraction of what the groups would complete without slow ones.
    :param demand: of each failure domain, relative to the others.
    :param is_uneven: whether every third group of each failure domain is slow.
    """

    seconds = 40.0

    def __init__(self, load, demand, *, is_uneven, by_time, groups=24, daemons=6):
        super().__init__(daemons, groups, load * groups * GROUP_RATE, DOMAINS)
        leaders = list(test_placement.leaders(groups, DOMAINS))
        self.sent = {leader.id: [] for leader in leaders}
        self.slowness = {
            leader.id: SLOWNESS if is_uneven and number // DOMAINS % 3 == 0 else 1.0
            for number, leader in enumerate(leaders)
        }
        self.queues = collections.defaultdict(collections.deque)
        self.in_time: collections.Counter[bool] = collections.Counter()
        self.demand = [demand[number % DOMAINS] for number in range(daemons)]
        self.selectors = [
            make_selector(
                leaders, table, lambda: self.now, "abc"[number % DOMAINS], by_time=by_time
            )
            for number, table in enumerate(self.tables)
        ]

    def report_sum(self, number, interval):
        """Report the sum so late that those of other failure domains are 0.5 s old."""
        total = self.tables[number].sum_with({str(other) for other in self.domain_peers(number)})
        for other, table in enumerate(self.tables):
            if other % DOMAINS != number:
                self.at(self.now + 0.5, table.report_domain, "abc"[number], total)
        self.at(self.now + interval, self.report_sum, number, interval)

    def request(self):
        self.at(self.now + random.expovariate(self.per_second), self.request)
        number = random.choices(range(len(self.tables)), self.demand)[0]
        work = Work(random.choice((200, 1000, 1800)), random.choice((20, 80, 140)))
        chosen = self.selectors[number].choose_leader(
            "narrator", ENGINE, "m", (), work=work, left=TARGET_SECONDS
        )
        if chosen is None:
            self.in_time[False] += 1
            return
        expected = self.selectors[number].expect("narrator", ENGINE, "m", work, chosen)
        self.sent[chosen.id].append(self.now)
        self.tables[number].local_counts[chosen.id] += 1
        sent = Sent(number, chosen, work, self.now, expected)
        if self.running[chosen.id] < SLOTS:
            self.start(sent)
        else:
            self.queues[chosen.id].append(sent)

    def start(self, sent):
        group = sent.leader.id
        others, pace = self.running[group], self.slowness[group]
        self.running[group] += 1
        first = pace * expected_time.first_event_seconds(TIMES, MODEL, sent.work, others)
        service = pace * expected_time.service_seconds(TIMES, MODEL, sent.work, others)
        context = expected_time.usual_context(TIMES)
        gap = pace * expected_time.gap_seconds(TIMES, MODEL, others + 1, context)
        self.at(self.now + first, self.first_event, sent)
        if first + GAPS_PER_OBSERVATION * gap < service:
            later = self.now + first + GAPS_PER_OBSERVATION * gap
            selector = self.selectors[sent.daemon]
            self.at(later, selector.record_gap, sent.leader, ENGINE, "m", gap)
        self.at(self.now + service, self.end, sent)

    def first_event(self, sent):
        observed = self.now - sent.sent_at
        self.in_time[observed <= TARGET_SECONDS] += 1
        if sent.expected is not None:
            self.selectors[sent.daemon].record_first_event("narrator", "m", sent.expected, observed)

    def end(self, sent):
        self.done(sent.daemon, sent.leader.id)
        if self.queues[sent.leader.id]:
            self.start(self.queues[sent.leader.id].popleft())

    @property
    def busiest(self):
        """The requests of the busiest group, as a multiple of the mean."""
        counts = [len(times) for times in self.sent.values()]
        return max(counts) * len(counts) / sum(counts)

    @property
    def in_time_fraction(self):
        return self.in_time[True] / self.in_time.total()


def play(load, demand, *, is_uneven, by_time=True):
    return Replay(load, demand, is_uneven=is_uneven, by_time=by_time).play()


SWUNG = (2.5, 1, 1)


@pytest.mark.parametrize(
    ("load", "demand", "is_uneven"),
    [
        pytest.param(0.2, SWUNG, False, id="a domain with more demand, at low load"),
        pytest.param(0.6, SWUNG, False, id="the same at higher load"),
        pytest.param(0.4, (1, 1, 1), True, id="slow groups"),
        pytest.param(0.4, SWUNG, True, id="both"),
        pytest.param(0.6, SWUNG, True, id="both, at higher load"),
    ],
)
def test_busiest_group_gets_less_than_twice_the_mean(load, demand, is_uneven):
    replay = play(load, demand, is_uneven=is_uneven)
    assert replay.busiest < 2.0
    assert replay.in_time_fraction > 0.95


@pytest.mark.parametrize(
    ("load", "is_uneven", "busiest", "in_time"),
    [
        pytest.param(0.2, False, 1.7, 1.0, id="more demand"),
        pytest.param(0.2, True, 2.0, 0.95, id="slow groups as well, at low load"),
        pytest.param(0.6, True, 1.6, 0.95, id="slow groups as well"),
    ],
)
def test_choice_by_running_requests_is_less_even_and_later(load, is_uneven, busiest, in_time):
    """Shows that the replay has the loads that the choice by time answers."""
    former = play(load, SWUNG, is_uneven=is_uneven, by_time=False)
    assert former.busiest > busiest
    assert former.in_time_fraction <= in_time


GROUPS = list(test_placement.leaders(4, 2))
LOCAL, REMOTE = {"w0", "w2"}, {"w1", "w3"}


@pytest.fixture
def now():
    return [100.0]


def selector_of(
    now, load=(), suspects=(), own_suspects=(), contacts=None, own_contacts=None, by_time=True
):
    table = LoadTable(lambda: now[0], lambda: 0.1)
    table.report("other", dict(load))
    detector = Detector(
        suspects, own_suspects, contacts=contacts or {}, own_contacts=own_contacts or {}
    )
    return make_selector(GROUPS, table, lambda: now[0], detector=detector, by_time=by_time)


def chosen(selector, left=TARGET_SECONDS, tried=()):
    found = {
        selector.choose_leader("narrator", ENGINE, "m", tried, work=USUAL, left=left)
        for _ in range(40)
    }
    return {leader.id if leader else None for leader in found}


@pytest.mark.parametrize(
    ("load", "left", "expected"),
    [
        pytest.param({}, 1.0, LOCAL, id="idle: own failure domain"),
        pytest.param({"w0": 3, "w2": 4, "w1": 4, "w3": 4}, 1.0, {"w0"}, id="least loaded"),
        pytest.param({"w0": 5, "w2": 5}, 1.0, REMOTE, id="own ones have twice the mean"),
        pytest.param({"w0": 8, "w2": 8, "w1": 7, "w3": 9}, 1.0, {"w1"}, id="the only free slot"),
        pytest.param(
            {"w0": 7, "w2": 9, "w1": 7, "w3": 9}, 0.1, {"w0", "w1"}, id="none in time: free slots"
        ),
        pytest.param({"w0": 12, "w2": 9, "w1": 12, "w3": 12}, 0.1, {"w2"}, id="none in time"),
        pytest.param(dict.fromkeys(LOCAL | REMOTE, 2 * SLOTS), 1.0, {None}, id="all full"),
    ],
)
def test_choice(now, load, left, expected):
    assert chosen(selector_of(now, load), left) <= expected


def test_last_group_that_can_answer_is_found_among_all(now):
    """Guards against a refusal because the sampled groups are full."""
    groups = list(test_placement.leaders(40, 4))
    table = LoadTable(lambda: now[0], lambda: 0.1)
    table.report("other", {leader.id: 2 * SLOTS for leader in groups if leader.id != "w39"})
    assert chosen(make_selector(groups, table, lambda: now[0])) == {"w39"}


def test_request_that_failed_goes_to_a_group_that_is_known_to_answer(now):
    """Guards against a request that runs at several groups in turn which all hang."""
    load = {"w0": 6, "w1": 6, "w2": 0, "w3": 0}
    selector = selector_of(now, load, contacts={"w0": now[0] - 0.2, "w2": now[0] - 3.0})
    assert chosen(selector) <= {"w2", "w3"}
    assert chosen(selector, tried=("w3",)) == {"w0"}
    assert chosen(selector, tried=("w0",)) <= LOCAL | REMOTE


@pytest.mark.parametrize("by_time", [True, False])
def test_request_that_failed_does_not_go_to_a_group_that_fell_silent_with_its_own(now, by_time):
    """Guards against a last attempt at a group that is as silent, but not suspected yet."""
    load = {"w0": 6, "w1": 6, "w2": 0, "w3": 0}
    heard = {"w0": now[0] - 0.05, "w2": now[0] - 0.33, "w3": now[0] - 0.33}
    selector = selector_of(now, load, contacts=heard, own_contacts=heard, by_time=by_time)
    assert chosen(selector) <= {"w2", "w3"}
    assert chosen(selector, tried=("w1",)) == {"w0"}
    assert chosen(selector, tried=("w0",)) <= {"w2", "w3"}


@pytest.mark.parametrize("by_time", [True, False])
def test_request_that_failed_does_not_queue_at_a_group_for_being_heard(now, by_time):
    """A group without free slots is no better than one that answered lately."""
    heard = {"w0": now[0] - 0.05, "w2": now[0] - 0.33}
    selector = selector_of(now, {"w0": SLOTS}, contacts=heard, own_contacts=heard, by_time=by_time)
    assert chosen(selector, tried=("w1",)) == {"w2"}


def test_kept_connection_decides_among_groups_that_answer_equally_soon(now):
    """Guards against a new connection for each request, and against overload for a kept one."""
    groups = list(test_placement.leaders(24, 2))
    table = LoadTable(lambda: now[0], lambda: 0.1)
    selector = make_selector(groups, table, lambda: now[0], connected={"w6"})
    assert chosen(selector) == {"w6"}
    table.report("other", {"w6": SLOTS - 1})
    assert "w6" not in chosen(selector)


def test_failed_and_slow_groups_get_fewer_requests_until_forgotten(now):
    selector = selector_of(now)
    selector.record_result(GROUPS[0], succeeded=False)
    assert chosen(selector) == {"w2"}
    selector = selector_of(now)
    selector.record_gap(GROUPS[2], ENGINE, "m", 3 * 0.04816)
    assert chosen(selector) == {"w0"}
    now[0] += SLOWNESS_TTL_SECONDS + 0.1
    assert chosen(selector) == LOCAL


@pytest.mark.parametrize(
    ("given", "expected"),
    [
        pytest.param({}, (4, 32, 0, 32, 0.15816), id="idle"),
        pytest.param({"load": {"w0": 9, "w1": 3}}, (4, 32, 12, 21, 0.15816), id="one over full"),
        pytest.param({"suspects": ("w0", "w1", "w2")}, (1, 8, 0, 8, 0.16816), id="remote one left"),
        pytest.param(
            {"suspects": LOCAL | REMOTE, "own_suspects": LOCAL | REMOTE},
            (0, 0, 0, 0, float("inf")),
            id="none",
        ),
    ],
)
def test_capacity(now, given, expected):
    selector = selector_of(now, **given)
    now[0] += 0.4
    found = selector.estimate_capacity("narrator", ENGINE, "m", USUAL)
    observed = (found.groups, found.slots, found.running, found.free_slots, found.first_event)
    assert observed == pytest.approx(expected)
    assert found.report_age == pytest.approx(0.4)


def test_capacity_of_full_groups_has_the_wait_for_a_slot(now):
    found = selector_of(now, dict.fromkeys(LOCAL | REMOTE, SLOTS + 2)).estimate_capacity(
        "narrator", ENGINE, "m", USUAL
    )
    first = expected_time.first_event_seconds(TIMES, MODEL, USUAL, SLOTS - 1)
    assert found.first_event == pytest.approx(first + 3 / GROUP_RATE)
    assert found.service_seconds == pytest.approx(SLOTS / GROUP_RATE)


def test_without_the_engines_figures_the_choice_is_by_running_requests(now):
    unknown = dataclasses.replace(ENGINE, times=None)
    selector = selector_of(now, {"w0": 1})
    assert selector.choose_leader("narrator", unknown, "m", (), work=USUAL).id == "w2"
    assert selector.estimate_capacity("narrator", unknown, "m", USUAL).first_event == 0.0


DESKS = [Endpoint(name, "desk", "", "a", slots=slots) for name, slots in (("x", 4), ("y", 2))]


@pytest.mark.parametrize(
    ("load", "expected", "free_slots", "first_event"),
    [
        pytest.param({"x": 3, "y": 2}, {"x"}, 1, 0.0, id="the fuller one has a free slot"),
        pytest.param({"x": 4, "y": 2}, {"y"}, 0, float("inf"), id="all full: least loaded"),
    ],
)
def test_full_plain_endpoint_is_chosen_only_if_all_are(
    now, load, expected, free_slots, first_event
):
    table = LoadTable(lambda: now[0], lambda: 0.1)
    table.report("other", load)
    selector = make_selector(DESKS, table, lambda: now[0])
    assert {selector.choose_endpoint("desk", ()).id for _ in range(20)} == expected
    found = selector.estimate_plain_capacity("desk")
    assert (found.groups, found.slots, found.running) == (2, 6, sum(load.values()))
    assert (found.free_slots, found.first_event) == (free_slots, first_event)


def test_capacity_has_what_would_be_chosen_if_all_are_avoided(now):
    """Guards against refusals of requests that would be sent, after a refused connection."""
    selector = make_selector(
        [GROUPS[0], DESKS[0]], LoadTable(lambda: now[0], lambda: 0.1), lambda: now[0]
    )
    selector.avoid(GROUPS[0])
    selector.avoid(DESKS[0])
    assert selector.choose_endpoint("desk", ()) == DESKS[0]
    assert selector.estimate_plain_capacity("desk").free_slots == 4
    assert selector.estimate_capacity("narrator", ENGINE, "m", USUAL).free_slots == SLOTS


@pytest.mark.parametrize(
    ("errors", "had_free_slot", "offset"),
    [
        pytest.param([0.02] * 4, True, 0.0, id="too few"),
        pytest.param([0.02, 0.02, 5.0, 0.02, 0.02, -0.3], True, 0.02, id="outliers"),
        pytest.param([9.0] * 20, True, 0.25, id="upper bound"),
        pytest.param([-0.3] * 20, True, -0.1, id="lower bound"),
        pytest.param([0.02] * 20, False, 0.0, id="waited for a slot"),
    ],
)
def test_learnt_offset(now, errors, had_free_slot, offset):
    offsets = FirstEventOffsets(lambda: now[0])
    for error in errors:
        # The figures tell 0.3 s; the offset of the time is part of what was expected.
        before = offsets.offset("s", "m")
        expected = ExpectedTime(0.3 + before, before, had_free_slot)
        offsets.record("s", "m", expected, 0.3 + error)
    assert offsets.offset("s", "m") == pytest.approx(offset)
    assert offsets.offset("s", "another") == 0.0
    now[0] += 31
    assert offsets.offset("s", "m") == 0.0


@pytest.mark.parametrize(
    ("normal", "slow", "slowness"),
    [
        pytest.param(1.0, 3.0, 3.0, id="slow"),
        pytest.param(1.0, 1.2, 1.0, id="not slow enough to tell"),
        pytest.param(1.6, 1.6, 1.0, id="the figures are too low for all"),
        pytest.param(1.5, 4.5, 3.0, id="slow besides"),
        pytest.param(0.6, 0.9, 1.5, id="the figures are too high"),
    ],
)
def test_slowness_is_relative_to_the_model(now, normal, slow, slowness):
    """Guards against wrong figures making the groups that are known look worse than the others."""
    slow_groups, key = SlowGroups(lambda: now[0]), ("narrator", "m")
    for number in range(20):
        slow_groups.record(GROUPS[number % 3].incarnation, key, normal)
    slow_groups.record(GROUPS[3].incarnation, key, slow)
    assert slow_groups.slowness(GROUPS[3].incarnation, key) == pytest.approx(slowness)
    assert slow_groups.slowness(GROUPS[0].incarnation, key) == 1.0


def test_gap_is_the_mean_over_events_that_arrive_together():
    meter = GapMeter()
    assert meter.record(5.0, 2) is None
    assert meter.record(5.1, 1) is None
    assert meter.record(5.8, 3) == pytest.approx(0.2)
    assert meter.record(5.9, 1) is None


def test_slow_caller_does_not_make_its_group_look_slow():
    meter = GapMeter()
    assert meter.record(5.0, 1) is None
    meter.record_write(2.0)
    assert meter.record(7.0, 3) is None
    assert meter.record(7.3, 3) == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("is_on", "recorded"), [(True, 1), (False, 0)], ids=["overload control", "off"]
)
async def test_daemon_records_expected_and_observed_times(is_on, recorded):
    """Guards against a selector that isn't told of the requests, or acts without the switch."""
    async with recording.recorder() as server:
        server.answers = [Answer(body=forms.EVENTS, headers=forms.STAMP)]
        served = forms.configuration().configuration
        narrator = served.services["narrator"]
        engine = dataclasses.replace(narrator.engine, times=TIMES)
        services = {**served.services, "narrator": dataclasses.replace(narrator, engine=engine)}
        served = dataclasses.replace(served, services=services)
        changes = [ConfigurationChanged(served), forms.leader(server.address)]
        async with forms.site(changes, overload_control=is_on) as daemon:
            assert (await forms.call(daemon, forms.PATHS["stream"]))["status"] == 200
            distributions = daemon.gateway.metrics._distributions
            for what in ("first_event_expected_by_model", "first_event_observed_by_model"):
                assert distributions.get_or_create(what, "large").count == recorded
