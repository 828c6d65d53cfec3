"""What daemons remember of each other's retries, for the time after a restart."""

import asyncio
import heapq
import itertools
import random

import pytest
from bench.retry_rule import RetryRule

from thorncleat_gateway.peers.messages import LoadReport
from thorncleat_gateway.peers.messages import RetryRecall
from thorncleat_gateway.peers.messages import RetryReport
from thorncleat_gateway.peers.messages import RetryUse
from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.requests.retry_reporter import BATCH_SECONDS
from thorncleat_gateway.requests.retry_reporter import QUERY_INTERVAL_SECONDS
from thorncleat_gateway.requests.retry_reporter import RetryReporter
from thorncleat_gateway.service import Service
from thorncleat_gateway.store.fleet_knowledge import has_share_of_window

SERVICE = "narrator"
SETTINGS = RetryBudgetSettings(0.2, 140.0, 10.0)
LOAD_REPORT_SECONDS = 0.5
DELIVERY_SECONDS = 0.005


class Peers:
    """The channel of one daemon; its datagrams are delivered a little later."""

    is_full_mesh = True

    def __init__(self, world, number):
        self.id = f"edge-{number}"
        self._world = world
        self.handlers = []

    @property
    def other_daemons(self):
        return set(self._world.processes) - {self.id}

    def on_message(self, handler):
        self.handlers.append(handler)

    def send(self, daemon, message):
        self._world.deliver(self.id, daemon, message)


class Process:
    """One process of a daemon."""

    def __init__(self, world, number, *, has_predecessor):
        self._world = world
        self.peers = Peers(world, number)
        self.started_at = world.now
        self.is_ended = False
        self.budgets = RetryBudgets(
            SETTINGS,
            lambda: world.now,
            lambda: len(world.processes),
            lambda had_share: had_share or world.now - self.started_at >= 13.0,
            has_predecessor=has_predecessor,
        )
        self.reporter = RetryReporter(self.budgets, self.peers, lambda: world.now)
        self._is_reporting = False
        self.budgets.on_retry(self._report_soon)
        world.after(0.0, self._ask)
        world.after(LOAD_REPORT_SECONDS, self._report_load)

    def _ask(self):
        if self.is_ended:
            return
        is_over = self._world.now - self.started_at > 2.0
        if is_over or self.budgets.is_complete:
            self.reporter.end_asking()
            self.reporter.report()
            return
        self.reporter.ask()
        self._world.after(QUERY_INTERVAL_SECONDS, self._take)

    def _take(self):
        self.reporter.take_best_recall()
        self._ask()

    def _report_soon(self):
        if not self._is_reporting:
            self._is_reporting = True
            self._world.after(BATCH_SECONDS, self._report)

    def _report(self):
        self._is_reporting = False
        if not self.is_ended:
            self.reporter.report()

    def _report_load(self):
        if not self.is_ended:
            for daemon in self.peers.other_daemons:
                self.peers.send(daemon, LoadReport({}, []))
            self.reporter.report()
            self._world.after(LOAD_REPORT_SECONDS, self._report_load)


class World:
    """Daemons that end and start again, and a channel that may lose datagrams."""

    def __init__(self, daemons=7, loss=0.0, seed=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self._timers = []
        self._numbers = itertools.count()
        self.rule = RetryRule(SETTINGS.ratio, SETTINGS.extra, SETTINGS.window)
        self.worst_excess = float("-inf")
        self.processes = {}
        for number in range(daemons):
            self.processes[f"edge-{number}"] = Process(self, number, has_predecessor=False)

    def after(self, seconds, function):
        heapq.heappush(self._timers, (self.now + seconds, next(self._numbers), function))

    def run_until(self, at):
        while self._timers and self._timers[0][0] <= at:
            self.now, _, function = heapq.heappop(self._timers)
            function()
        self.now = at

    def deliver(self, sender, receiver, message):
        process = self.processes[receiver]
        if self.random.random() < self.loss:
            return

        def arrive():
            if not process.is_ended:
                for handler in process.peers.handlers:
                    handler(sender, message)

        self.after(DELIVERY_SECONDS, arrive)

    def restart(self, number, pause=0.5):
        name = f"edge-{number}"
        self.processes[name].is_ended = True
        self.run_until(self.now + pause)
        self.processes[name] = Process(self, number, has_predecessor=True)

    def request(self, number, repeats=0):
        """Send a request and return how many of its repeats got a token."""
        self.rule.record_request(self.now)
        budgets = self.processes[f"edge-{number}"].budgets
        budgets.record_request(SERVICE)
        sent = 0
        for _ in range(repeats):
            if budgets.take_token(SERVICE):
                sent += 1
                self.rule.record_repeat(self.now)
                excess = self.rule.repeats(self.now) - self.rule.allowed(self.now)
                self.worst_excess = max(self.worst_excess, excess)
        return sent

    def spend(self, number):
        """Return how many tokens a daemon has left, and take them."""
        return self.request(number, 1000)


def test_daemon_that_restarts_has_what_its_predecessor_left():
    world = World()
    world.run_until(20.0)
    assert world.request(0, 10) == 10
    world.run_until(21.0)
    world.restart(0)
    world.run_until(22.5)
    # Of 20 shares of the fixed number four fifths are used.
    assert world.spend(0) == 6


def test_retries_of_the_predecessor_count_until_the_end_of_the_window():
    world = World()
    world.run_until(20.0)
    assert world.spend(0) == 16
    world.run_until(21.0)
    world.restart(0)
    world.run_until(22.5)
    assert world.spend(0) == 0
    world.run_until(31.5)
    assert world.spend(0) >= 16


def test_predecessor_without_retries_leaves_all():
    world = World()
    world.run_until(20.0)
    world.restart(0)
    world.run_until(21.0)
    assert world.spend(0) == 16


def test_requests_of_the_predecessor_count():
    world = World()
    world.run_until(20.0)
    for _ in range(99):
        world.request(0)
    world.request(0, 1)
    world.run_until(21.0)
    world.restart(0)
    world.run_until(22.0)
    # Four fifths of 20 of the fixed number and of 0.2 for each of 100 requests.
    assert world.spend(0) == 32 - 1


def test_predecessor_of_an_earlier_build_tells_nothing():
    """Guards against taking a daemon that can't report its retries for one that sent none."""
    world = World()
    world.processes["edge-0"].reporter.report = lambda: None
    world.run_until(20.0)
    assert world.spend(0) == 16
    world.run_until(21.0)
    world.restart(0)
    world.run_until(23.0)
    assert world.spend(0) == 0


def test_restart_may_take_some_seconds():
    world = World()
    world.run_until(20.0)
    world.restart(0, pause=4.0)
    world.run_until(25.0)
    assert world.spend(0) == 16


def test_nobody_remembers_if_all_daemons_end():
    world = World()
    world.run_until(20.0)
    for number in range(7):
        world.restart(number, pause=0.0)
    world.run_until(25.0)
    assert [world.spend(number) for number in range(7)] == [0] * 7


def test_daemon_that_joins_has_no_share_at_once():
    world = World()
    world.run_until(20.0)
    world.processes["edge-7"] = Process(world, 7, has_predecessor=True)
    world.run_until(25.0)
    assert world.spend(7) == 0
    world.run_until(40.0)
    assert world.spend(7) > 0


def test_report_of_a_process_that_knows_little_is_no_full_account():
    """A second restart within the window, after one whose predecessor nobody remembered."""
    world = World()
    world.run_until(20.0)
    for number in range(7):
        world.spend(number)
    for number in range(7):
        world.restart(number, pause=0.0)
    world.run_until(23.0)
    for _ in range(30):
        world.request(0)
    assert world.spend(0) == 1
    world.run_until(24.0)
    world.restart(0)
    world.run_until(25.0)
    assert world.spend(0) == 0


class RecordedPeers:
    """The channel of a daemon with one other daemon; it records what is sent."""

    id = "edge-0"
    is_full_mesh = True
    other_daemons = frozenset({"edge-1"})

    def __init__(self):
        self.sent = []

    def on_message(self, handler):
        pass

    def send(self, daemon, message):
        self.sent.append(message)


async def test_reports_go_on_after_another_service_of_the_daemon_has_failed():
    """Guards against retries that nobody knows of, whose daemon is killed soon after.

    It served on without its loops, and its successor used the same tokens again.
    """
    clock, peers = asyncio.get_running_loop().time, RecordedPeers()
    budgets = RetryBudgets(SETTINGS, clock, lambda: 2, has_predecessor=False)
    reporter = RetryReporter(budgets, peers, clock)
    daemon, offers = Service(), Service()
    await daemon.start()
    await daemon.add_runtime_dependency(reporter)
    await daemon.add_runtime_dependency(offers)

    async def connect():
        raise UnicodeError("label too long")

    offers.add_future(connect())
    await asyncio.sleep(3 * BATCH_SECONDS)
    peers.sent.clear()
    assert budgets.take_token(SERVICE)
    await asyncio.sleep(3 * BATCH_SECONDS)
    await daemon.stop()
    assert {sum(message.uses[0].retries) for message in peers.sent} == {1}


class TestAnswers:
    """One daemon that has just started, and the answers to its question."""

    def _start(self):
        world = World(daemons=2)
        world.run_until(20.0)
        world.restart(0, pause=0.0)
        return world.processes["edge-0"]

    def _recall(self, process, *recalls):
        for recall in recalls:
            for handler in process.peers.handlers:
                handler("edge-1", recall)
        process.reporter.take_best_recall()
        return process.budgets

    @staticmethod
    def _report(retries):
        return RetryReport(True, True, [RetryUse(SERVICE, [30], [retries])])

    def test_latest_report_counts(self):
        old, new = RetryRecall(3.0, self._report(1)), RetryRecall(0.2, self._report(9))
        budgets = self._recall(self._start(), new, old)
        assert budgets.account(SERVICE).retries == 9

    @pytest.mark.parametrize("had_share", [True, False])
    def test_share_continues_if_the_predecessor_had_one(self, had_share):
        budgets = self._recall(self._start(), RetryRecall(1.0, RetryReport(True, had_share, [])))
        assert (budgets.is_complete, budgets.has_share) == (True, had_share)

    def test_nothing_is_reported_before_the_question_is_answered(self):
        process = self._start()
        sent = []
        process.peers.send = lambda daemon, message: sent.append(message)
        process.budgets.inherit([RetryUse(SERVICE, [30], [3])], 0.0, had_share=True)
        process.reporter.report()
        assert sent == []
        process.reporter.end_asking()
        process.reporter.report()
        assert [sum(message.uses[0].retries) for message in sent] == [3]

    @pytest.mark.parametrize(("pause", "is_remembered"), [(4.0, True), (6.0, False)])
    def test_report_tells_nothing_once_it_is_old(self, pause, is_remembered):
        world = World(daemons=2)
        world.run_until(20.0)
        world.request(0, 1)
        world.run_until(20.5)
        answers = []
        process = world.processes["edge-1"]
        process.peers.send = lambda daemon, message: answers.append(message)
        world.restart(0, pause=pause)
        world.run_until(world.now + 0.1)
        assert any(isinstance(answer, RetryRecall) for answer in answers) is is_remembered


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_random_failures_and_restarts_keep_the_budget_of_all(loss):
    excesses = {seed: _random_excess(seed, loss) for seed in range(10)}
    assert {seed: excess for seed, excess in excesses.items() if excess > 0} == {}


def _random_excess(seed, loss):
    """Return by how many repeats a fleet exceeds its budget in the worst window."""
    world = World(loss=loss, seed=seed)
    rng = random.Random(seed)
    at, kill_at, change_at, failed_share = 20.0, 20.0 + rng.uniform(2.0, 8.0), 0.0, 0.0
    while at < 60.0:
        at += rng.expovariate(90)
        world.run_until(max(at, world.now))
        if at >= kill_at:
            for number in rng.sample(range(7), rng.randint(1, 7)):
                world.restart(number, pause=0.0)
            kill_at += rng.choice([rng.uniform(0.8, 4.0), rng.uniform(4.0, 12.0)])
        if at >= change_at:
            failed_share = rng.choice([0.0, rng.uniform(0.2, 0.9)])
            change_at = at + rng.uniform(0.5, 10.0)
        repeats = rng.randint(1, 4) if rng.random() < failed_share else 0
        world.request(rng.randrange(7), repeats)
    return world.worst_excess


@pytest.mark.parametrize(
    ("registered_for", "lease_left", "list_age", "expected"),
    [
        (13.0, 8.0, 1.0, True),
        (12.9, 8.0, 1.0, False),
        (None, 8.0, 1.0, False),
        (60.0, 0.0, 1.0, False),
        (60.0, 8.0, 10.1, False),
        (float("inf"), 8.0, 10.0, True),
    ],
)
def test_share_of_a_window(registered_for, lease_left, list_age, expected):
    assert has_share_of_window(registered_for, lease_left, list_age, 10.0) is expected
