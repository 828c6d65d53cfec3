"""Guards against daemons that restart and get a full retry budget again.

What the process before them has sent still counts in the window of all daemons together.
"""

import random

import pytest
from bench.retry_rule import RetryRule

from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings

SERVICE = "narrator"
WINDOW_SECONDS = 10.0
# How long the daemons run before the first request.
START_SECONDS = 30.0


class Fleet:
    """Daemons whose processes end and start again, with the callers and endpoints of a service."""

    def __init__(self, daemons, extra, ratio=0.2):
        self.now = 0.0
        self.settings = RetryBudgetSettings(ratio, extra, WINDOW_SECONDS)
        self.rule = RetryRule(ratio, extra, WINDOW_SECONDS)
        self.processes = [None] * daemons
        for number in range(daemons):
            self.start(number)
        self.now = START_SECONDS
        self.worst_excess = float("-inf")

    def start(self, number):
        """Replace the process of a daemon by a new one with empty memory."""
        self.processes[number] = RetryBudgets(
            self.settings, lambda: self.now, lambda: len(self.processes)
        )

    def request(self, number, repeats):
        """Send a request to a daemon, which tries to send it again some times."""
        self.rule.record_request(self.now)
        self.processes[number].record_request(SERVICE)
        for _ in range(repeats):
            if self.processes[number].take_token(SERVICE):
                self.rule.record_repeat(self.now)
                excess = self.rule.repeats(self.now) - self.rule.allowed(self.now)
                self.worst_excess = max(self.worst_excess, excess)


def test_daemons_that_are_replaced_within_the_window_keep_the_budget_of_all():
    fleet = Fleet(daemons=7, extra=132)
    begin = fleet.now
    waves = [begin + 1.0, begin + 4.0, begin + 7.0]
    for number in range(1000):
        fleet.now = begin + number * WINDOW_SECONDS / 1000
        if waves and fleet.now >= waves[0]:
            waves.pop(0)
            for replaced in range(6):
                fleet.start(replaced)
        fleet.request(number % 7, repeats=10)
    assert fleet.worst_excess <= 0


def test_requests_from_before_the_window_do_not_pay_for_a_predecessor_and_its_successor():
    """The successors' requests pay for their own retries; their predecessors' were paid before."""
    fleet = Fleet(daemons=7, extra=20)
    begin = fleet.now
    for number in range(3000):
        fleet.now = begin + number / 100
        if number == 2000:
            for replaced in range(7):
                fleet.start(replaced)
        # Endpoints fail from shortly before the restart on.
        fleet.request(number % 7, repeats=10 if number >= 1900 else 0)
    assert fleet.worst_excess <= 0


SEEDS = range(12)


@pytest.mark.parametrize(("daemons", "extra", "rate"), [(7, 132, 90), (7, 20, 90), (24, 200, 200)])
def test_random_failures_and_restarts_keep_the_budget_of_all(daemons, extra, rate):
    excesses = {seed: _random_excess(seed, daemons, extra, rate) for seed in SEEDS}
    assert {seed: excess for seed, excess in excesses.items() if excess > 0} == {}


def _random_excess(seed, daemons, extra, rate):
    """Return by how many repeats a fleet exceeds its budget in the worst window."""
    rng = random.Random(seed)
    fleet = Fleet(daemons, extra)
    end = fleet.now + 50.0
    kill_at = fleet.now + rng.uniform(2.0, 12.0)
    fails_until, works_until, failed_share = 0.0, fleet.now + rng.uniform(0.0, 10.0), 0.0
    while fleet.now < end:
        fleet.now += rng.expovariate(rate)
        if fleet.now >= kill_at:
            for number in rng.sample(range(daemons), rng.randint(1, daemons)):
                fleet.start(number)
            kill_at += rng.choice([rng.uniform(0.8, 4.0), rng.uniform(4.0, 12.0)])
        if fleet.now >= works_until:
            fails_until = fleet.now + rng.uniform(1.0, 14.0)
            works_until = fails_until + rng.uniform(0.5, 10.0)
            failed_share = rng.uniform(0.2, 0.9)
        is_failing = fleet.now < fails_until
        repeats = rng.randint(1, 4) if is_failing and rng.random() < failed_share else 0
        fleet.request(rng.randrange(daemons), repeats)
    return fleet.worst_excess
