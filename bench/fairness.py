"""Measures the effect of one overloading workspace on the others, in virtual time.

Compares the daemons' fair queues and credits with a single first-come, first-served queue.

Owns: the simulated daemons around the real queues, shares and credits.
Relies on: :class:`~thorncleat_daemon.dispatch.Dispatcher` requesting credits as the simulation
does; the dispatcher itself isn't part of it.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing as t

import fire

from thorncleat_core.daemon.groups import Confirmations
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.daemon.permits import HeldPermit
from thorncleat_core.daemon.permits import Permit
from thorncleat_core.daemon.permits import PermitIssuer
from thorncleat_core.daemon.permits import PermitRequest
from thorncleat_core.daemon.queues import FairQueue
from thorncleat_core.daemon.queues import QueuedRequest
from thorncleat_daemon.dispatch import OutstandingWork
from thorncleat_daemon.dispatch import Slot
from thorncleat_daemon.permits import MIN_EARLY_RENEWAL_INTERVAL_SECONDS

from .report import print_target
from .report import quantile

DAEMON_COUNT = 4
CAPACITY_TOKENS = 8000
SECONDS_PER_TOKEN = 0.02
PREFILL_SECONDS = 0.3
PROMPT_TOKENS = 60
MEAN_ANSWER_TOKENS = 100
WORKSPACE_COUNT = 10
RTT_SECONDS = 0.003
QUEUE_LIMIT_TOKENS = 4000
DEADLINE_SECONDS = 30.0
PERMIT_TTL_SECONDS = 2.0
# Daemons renew a permit four times during its validity.
RENEWAL_INTERVAL_SECONDS = PERMIT_TTL_SECONDS / 4
HEAVY_WORKSPACE = "w0"
# Load of the heavy workspace and of each other one, as multiples of a workspace's share.
OVERLOAD_SHARES = 10.0
NORMAL_SHARES = 0.5
# Targets: the others' p95 time to first token under overload against that without the heavy
# workspace, and the tokens served against those of the first-come queue.
MAX_LATENCY_RATIO = 1.2
MIN_UTILISATION = 0.95
GROUP = Group("g-0", "g", "m", "v", 1, ("i0",))


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of the load, which arrives at one daemon."""

    at: float
    workspace: str
    tokens: int
    daemon: int

    @property
    def cost(self) -> int:
        """Tokens that are charged for the request."""
        return self.tokens + PROMPT_TOKENS

    @property
    def seconds(self) -> float:
        """Seconds that the engine takes for the request."""
        return PREFILL_SECONDS + self.tokens * SECONDS_PER_TOKEN


@dataclasses.dataclass
class Outcome:
    """The result of a load."""

    first_token_seconds: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    served_tokens: int = 0
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def other_first_token_seconds(self) -> list[float]:
        """Return the times to first token of all workspaces but the heavy one."""
        return [
            seconds
            for name, times in self.first_token_seconds.items()
            if name != HEAVY_WORKSPACE
            for seconds in times
        ]


def make_load(seconds: float, heavy_shares: float, generator: random.Random) -> list[Request]:
    """Return the requests of all workspaces in order of time.

    :param seconds: duration of the load.
    :param heavy_shares: load of the heavy workspace, as a multiple of its share.
    """
    mean_cost = MEAN_ANSWER_TOKENS + PROMPT_TOKENS
    mean_seconds = PREFILL_SECONDS + MEAN_ANSWER_TOKENS * SECONDS_PER_TOKEN
    share = CAPACITY_TOKENS / mean_cost / mean_seconds / WORKSPACE_COUNT
    requests = []
    for number in range(WORKSPACE_COUNT):
        rate = share * (heavy_shares if number == 0 else NORMAL_SHARES)
        at = generator.expovariate(rate) if rate else seconds
        while at < seconds:
            tokens = generator.randint(40, 160)
            requests.append(Request(at, f"w{number}", tokens, generator.randrange(DAEMON_COUNT)))
            at += generator.expovariate(rate)
    return sorted(requests, key=lambda request: request.at)


class _EventQueue:
    """A queue of events in virtual time."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: t.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            action(when)


class FirstComeScheduler:
    """The baseline: one queue, limited only by the group's capacity."""

    def __init__(self) -> None:
        self.outcome = Outcome()
        self._event_queue = _EventQueue()
        self._queue: collections.deque[Request] = collections.deque()
        self._used = 0

    def run(self, requests: list[Request], seconds: float) -> Outcome:
        """Return the outcome of a load.

        :param seconds: when the simulation ends.
        """
        for request in requests:
            self._event_queue.at(request.at, functools.partial(self._arrive, request))
        self._event_queue.run(seconds)
        return self.outcome

    def _arrive(self, request: Request, now: float) -> None:
        self._queue.append(request)
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        while self._queue and self._used + self._queue[0].cost <= CAPACITY_TOKENS:
            request = self._queue.popleft()
            self._used += request.cost
            self.outcome.first_token_seconds[request.workspace].append(
                now - request.at + PREFILL_SECONDS
            )
            self.outcome.served_tokens += request.tokens
            self._event_queue.at(now + request.seconds, functools.partial(self._finish, request))

    def _finish(self, request: Request, now: float) -> None:
        self._used -= request.cost
        self._start_waiting(now)


class _Daemon:
    """One daemon's queue, ledger and permit."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: FairQueue[Request] = FairQueue(QUEUE_LIMIT_TOKENS)
        self.ledger = OutstandingWork()
        self.permit: HeldPermit | None = None
        self.requested_at = float("-inf")
        self.is_nudge_scheduled = False

    def demand(self) -> dict[str, int]:
        demand_tokens = collections.Counter(self.ledger.tokens(GROUP.id))
        demand_tokens.update(self.queue.queued_tokens)
        return {name: amount for name, amount in demand_tokens.items() if amount > 0}


class FairShareScheduler:
    """The daemons' queues, shares and credits."""

    def __init__(self) -> None:
        self.outcome = Outcome()
        self._event_queue = _EventQueue()
        self._permit_issuer = PermitIssuer(PERMIT_TTL_SECONDS, CAPACITY_TOKENS)
        self._daemons = [_Daemon(f"d{number}") for number in range(DAEMON_COUNT)]
        self._confirmations = Confirmations(1e9)
        report = InstanceReport("i0", "b", True, 1, GROUP.id, GROUP.generation, 0)
        self._confirmations.record_report(GROUP, report, 0.0)
        self.max_tokens_in_flight = 0

    def run(self, requests: list[Request], seconds: float) -> Outcome:
        """Return the outcome of a load.

        :param seconds: when the simulation ends.
        """
        for number, daemon in enumerate(self._daemons):
            self._event_queue.at(number * 0.1, functools.partial(self._renew_periodically, daemon))
        for request in requests:
            self._event_queue.at(request.at, functools.partial(self._arrive, request))
        self._event_queue.run(seconds)
        return self.outcome

    def _renew_periodically(self, daemon: _Daemon, now: float) -> None:
        self._request_permit(daemon, now)
        self._event_queue.at(
            now + RENEWAL_INTERVAL_SECONDS, lambda at: self._renew_periodically(daemon, at)
        )

    def _request_permit(self, daemon: _Daemon, now: float) -> None:
        daemon.requested_at = now
        request = PermitRequest(GROUP.id, daemon.ledger.requests(GROUP.id), daemon.demand())
        self._permit_issuer.issue(daemon.name, request, GROUP, self._confirmations, now)
        grant = self._permit_issuer.grant(GROUP.id, daemon.name, {}, now)
        permit = Permit(GROUP.id, 1, 1, PERMIT_TTL_SECONDS, False, "", grant.credits, grant.spare)
        self._event_queue.at(
            now + RTT_SECONDS, lambda at: self._accept_permit(daemon, permit, now, at)
        )

    def _accept_permit(
        self, daemon: _Daemon, permit: Permit, requested_at: float, now: float
    ) -> None:
        daemon.permit = HeldPermit(permit, requested_at + permit.valid_for)
        self._start_waiting(daemon, now)

    def _arrive(self, request: Request, now: float) -> None:
        daemon = self._daemons[request.daemon]
        waiting = QueuedRequest(request, request.workspace, request.cost, 0, now + DEADLINE_SECONDS)
        if daemon.queue.retry_after(waiting, now) is not None:
            self.outcome.refused[request.workspace] += 1
            return
        daemon.queue.add(waiting)
        self._start_waiting(daemon, now)
        if len(daemon.queue):
            self._nudge(daemon, now)

    def _nudge(self, daemon: _Daemon, now: float) -> None:
        """Request a permit at once, or as soon as the interval between requests is over."""
        next_request_at = daemon.requested_at + MIN_EARLY_RENEWAL_INTERVAL_SECONDS
        if now >= next_request_at:
            self._request_permit(daemon, now)
        elif not daemon.is_nudge_scheduled:
            daemon.is_nudge_scheduled = True
            self._event_queue.at(next_request_at, functools.partial(self._nudge_later, daemon))

    def _nudge_later(self, daemon: _Daemon, now: float) -> None:
        daemon.is_nudge_scheduled = False
        if len(daemon.queue) and now >= daemon.requested_at + MIN_EARLY_RENEWAL_INTERVAL_SECONDS:
            self._request_permit(daemon, now)

    def _start_waiting(self, daemon: _Daemon, now: float) -> None:
        permit = daemon.permit
        if permit is None or not permit.is_accepting(now):
            return
        while True:
            found = daemon.queue.pop(
                lambda name, cost: daemon.ledger.available_tokens(permit, name) >= cost, {}, now
            )
            if found is None:
                return
            self._start(daemon, found.item, now)

    def _start(self, daemon: _Daemon, request: Request, now: float) -> None:
        slot = Slot(GROUP.id, 1, "", request.workspace, request.cost)
        daemon.ledger.add(slot)
        used = sum(other.ledger.tokens(GROUP.id).total() for other in self._daemons)
        self.max_tokens_in_flight = max(self.max_tokens_in_flight, used)
        self.outcome.first_token_seconds[request.workspace].append(
            now - request.at + PREFILL_SECONDS
        )
        self.outcome.served_tokens += request.tokens
        self._event_queue.at(now + request.seconds, lambda at: self._finish(daemon, slot, at))

    def _finish(self, daemon: _Daemon, slot: Slot, now: float) -> None:
        daemon.ledger.remove(slot)
        self._start_waiting(daemon, now)


def fairness(seconds: float = 120.0, seeds: int = 5) -> None:
    """Compare fair shares with a first-come queue, and check the targets.

    :param seconds: duration of each load.
    :param seeds: number of loads.
    """
    worst_ratio, worst_utilisation = 0.0, 1.0
    print(f"{'seed':>4}{'served by':>14}{'others p95, calm':>18}{'rush':>8}{'ratio':>7}", end="")
    print(f"{'tokens served':>15}{'heavy refused':>15}{'most in flight':>16}")
    for seed in range(seeds):
        normal = make_load(seconds, 0.0, random.Random(seed))
        overload = make_load(seconds, OVERLOAD_SHARES, random.Random(seed))
        first_come_overload = FirstComeScheduler().run(overload, seconds)
        first_come_normal = FirstComeScheduler().run(normal, seconds)
        fair_shares = FairShareScheduler()
        fair_normal = FairShareScheduler().run(normal, seconds)
        fair_overload = fair_shares.run(overload, seconds)
        schedulers = (
            ("first come", first_come_normal, first_come_overload, 0),
            ("shares", fair_normal, fair_overload, fair_shares.max_tokens_in_flight),
        )
        for name, normal_outcome, overload_outcome, max_in_flight in schedulers:
            normal_p95, overload_p95 = (
                quantile(normal_outcome.other_first_token_seconds(), 0.95),
                quantile(overload_outcome.other_first_token_seconds(), 0.95),
            )
            print(
                f"{seed:4}{name:>14}{normal_p95:18.2f}{overload_p95:8.2f}"
                f"{overload_p95 / normal_p95:7.2f}{overload_outcome.served_tokens:15}"
                f"{overload_outcome.refused[HEAVY_WORKSPACE]:15}{max_in_flight:16}"
            )
        ratio = quantile(fair_overload.other_first_token_seconds(), 0.95) / quantile(
            fair_normal.other_first_token_seconds(), 0.95
        )
        worst_ratio = max(worst_ratio, ratio)
        worst_utilisation = min(
            worst_utilisation, fair_overload.served_tokens / first_come_overload.served_tokens
        )
    print_target("fairness-others-p95-ratio", worst_ratio, MAX_LATENCY_RATIO)
    print_target("fairness-utilisation", worst_utilisation, MIN_UTILISATION, at_least=True)


if __name__ == "__main__":
    fire.Fire(fairness)
