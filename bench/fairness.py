"""One workspace at ten times its share: what the others notice, and what goes unused.

Deterministic: time is counted. Queues, shares and credits are those of the daemons; several
daemons see a part of the traffic each and renew their credits twice a second. Baseline:
first come, first served from one queue over all daemons.

Owns: a clock of its own, and stand-ins of the daemons around their queues, shares and credits.
Relies on: :class:`~thorncleat_daemon.dispatch.Dispatcher` asking for credits as it is done here;
what the dispatcher itself does is not played.
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
from thorncleat_core.daemon.permits import PermitDesk
from thorncleat_core.daemon.permits import PermitRequest
from thorncleat_core.daemon.queues import FairQueue
from thorncleat_core.daemon.queues import Waiting
from thorncleat_daemon.dispatch import OutstandingWork
from thorncleat_daemon.dispatch import Slot
from thorncleat_daemon.permits import MIN_EARLY_RENEWAL_INTERVAL_SECONDS

from .report import quantile
from .report import target

# the load and the fleet that serves it
DAEMONS = 4
CAPACITY_TOKENS = 8000
TOKEN_SECONDS = 0.02
PREFILL_SECONDS = 0.3
PROMPT_TOKENS = 60
MEAN_TOKENS = 100
WORKSPACES = 10
RTT_SECONDS = 0.003
QUEUE_TOKENS = 4000
DEADLINE_SECONDS = 30.0
PERMIT_SECONDS = 2.0
# a daemon renews a permit four times in its validity (thorncleat_daemon.permits)
RENEW_SECONDS = PERMIT_SECONDS / 4
HEAVY = "w0"
# of a workspace's share: what the heavy one asks for in a rush, and all others always
RUSH_SHARES = 10.0
CALM_SHARES = 0.5
# wanted: others' p95 of first token in a rush, as a multiple of their own; tokens served, as a
# part of first come, first served
WANTED_RATIO = 1.2
WANTED_USE = 0.95
GROUP = Group("g-0", "g", "m", "v", 1, ("i0",))


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of the load."""

    at: float
    workspace: str
    tokens: int
    daemon: int

    @property
    def cost(self) -> int:
        """Tokens that it is charged with."""
        return self.tokens + PROMPT_TOKENS

    @property
    def seconds(self) -> float:
        """How long the engine runs it."""
        return PREFILL_SECONDS + self.tokens * TOKEN_SECONDS


@dataclasses.dataclass
class Outcome:
    """What came of a load."""

    first_token: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    served_tokens: int = 0
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def others(self) -> list[float]:
        """Return the times to first token of all but the heavy workspace."""
        return [
            seconds
            for name, times in self.first_token.items()
            if name != HEAVY
            for seconds in times
        ]


def load(seconds: float, heavy: float, draw: random.Random) -> list[Request]:
    """Return the requests of ten workspaces; the first asks ``heavy`` times its share."""
    mean_cost = MEAN_TOKENS + PROMPT_TOKENS
    mean_seconds = PREFILL_SECONDS + MEAN_TOKENS * TOKEN_SECONDS
    share = CAPACITY_TOKENS / mean_cost / mean_seconds / WORKSPACES
    made = []
    for number in range(WORKSPACES):
        rate = share * (heavy if number == 0 else CALM_SHARES)
        at = draw.expovariate(rate) if rate else seconds
        while at < seconds:
            tokens = draw.randint(40, 160)
            made.append(Request(at, f"w{number}", tokens, draw.randrange(DAEMONS)))
            at += draw.expovariate(rate)
    return sorted(made, key=lambda request: request.at)


class _Clocked:
    """Events in order of time."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: t.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            action(when)


class FirstCome:
    """The baseline: one queue, no limits but the group's capacity."""

    def __init__(self) -> None:
        self.outcome = Outcome()
        self._clock = _Clocked()
        self._queue: collections.deque[Request] = collections.deque()
        self._used = 0

    def run(self, requests: list[Request], seconds: float) -> Outcome:
        """Serve a load."""
        for request in requests:
            self._clock.at(request.at, functools.partial(self._arrive, request))
        self._clock.run(seconds)
        return self.outcome

    def _arrive(self, request: Request, now: float) -> None:
        self._queue.append(request)
        self._pump(now)

    def _pump(self, now: float) -> None:
        while self._queue and self._used + self._queue[0].cost <= CAPACITY_TOKENS:
            request = self._queue.popleft()
            self._used += request.cost
            self.outcome.first_token[request.workspace].append(now - request.at + PREFILL_SECONDS)
            self.outcome.served_tokens += request.tokens
            self._clock.at(now + request.seconds, functools.partial(self._end, request))

    def _end(self, request: Request, now: float) -> None:
        self._used -= request.cost
        self._pump(now)


class _Daemon:
    """One daemon's queue, ledger and permit."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: FairQueue[Request] = FairQueue(QUEUE_TOKENS)
        self.ledger = OutstandingWork()
        self.held: HeldPermit | None = None
        self.asked_at = float("-inf")
        self.nudged = False

    def demand(self) -> dict[str, int]:
        wanted = collections.Counter(self.ledger.tokens(GROUP.id))
        wanted.update(self.queue.waiting_cost)
        return {name: amount for name, amount in wanted.items() if amount > 0}


class Shared:
    """The daemons' own queues, shares and credits."""

    def __init__(self) -> None:
        self.outcome = Outcome()
        self._clock = _Clocked()
        self._desk = PermitDesk(PERMIT_SECONDS, CAPACITY_TOKENS)
        self._daemons = [_Daemon(f"d{number}") for number in range(DAEMONS)]
        self._seen = Confirmations(1e9)
        report = InstanceReport("i0", "b", True, 1, GROUP.id, GROUP.generation, 0)
        self._seen.confirm(GROUP, report, 0.0)
        self.most_used = 0

    def run(self, requests: list[Request], seconds: float) -> Outcome:
        """Serve a load."""
        for number, daemon in enumerate(self._daemons):
            self._clock.at(number * 0.1, functools.partial(self._renew_in_turn, daemon))
        for request in requests:
            self._clock.at(request.at, functools.partial(self._arrive, request))
        self._clock.run(seconds)
        return self.outcome

    def _renew_in_turn(self, daemon: _Daemon, now: float) -> None:
        self._ask(daemon, now)
        self._clock.at(now + RENEW_SECONDS, lambda at: self._renew_in_turn(daemon, at))

    def _ask(self, daemon: _Daemon, now: float) -> None:
        daemon.asked_at = now
        request = PermitRequest(GROUP.id, daemon.ledger.requests(GROUP.id), daemon.demand())
        self._desk.valid_for(daemon.name, request, GROUP, self._seen, now)
        grant = self._desk.grant(GROUP.id, daemon.name, {}, now)
        permit = Permit(GROUP.id, 1, 1, PERMIT_SECONDS, False, "", grant.credits, grant.spare)
        self._clock.at(now + RTT_SECONDS, lambda at: self._renewed(daemon, permit, now, at))

    def _renewed(self, daemon: _Daemon, permit: Permit, asked_at: float, now: float) -> None:
        daemon.held = HeldPermit(permit, asked_at + permit.valid_for)
        self._pump(daemon, now)

    def _arrive(self, request: Request, now: float) -> None:
        daemon = self._daemons[request.daemon]
        waiting = Waiting(request, request.workspace, request.cost, 0, now + DEADLINE_SECONDS)
        if daemon.queue.refuse(waiting, now) is not None:
            self.outcome.refused[request.workspace] += 1
            return
        daemon.queue.add(waiting)
        self._pump(daemon, now)
        if len(daemon.queue):
            self._nudge(daemon, now)

    def _nudge(self, daemon: _Daemon, now: float) -> None:
        """Ask at once, or as soon as the last asking is long enough ago."""
        due = daemon.asked_at + MIN_EARLY_RENEWAL_INTERVAL_SECONDS
        if now >= due:
            self._ask(daemon, now)
        elif not daemon.nudged:
            daemon.nudged = True
            self._clock.at(due, functools.partial(self._nudge_later, daemon))

    def _nudge_later(self, daemon: _Daemon, now: float) -> None:
        daemon.nudged = False
        if len(daemon.queue) and now >= daemon.asked_at + MIN_EARLY_RENEWAL_INTERVAL_SECONDS:
            self._ask(daemon, now)

    def _pump(self, daemon: _Daemon, now: float) -> None:
        held = daemon.held
        if held is None or not held.takes_work(now):
            return
        while True:
            found = daemon.queue.pop(
                lambda name, cost: daemon.ledger.available_tokens(held, name) >= cost, {}, now
            )
            if found is None:
                return
            self._start(daemon, found.item, now)

    def _start(self, daemon: _Daemon, request: Request, now: float) -> None:
        slot = Slot(GROUP.id, 1, "", request.workspace, request.cost)
        daemon.ledger.add(slot)
        used = sum(other.ledger.tokens(GROUP.id).total() for other in self._daemons)
        self.most_used = max(self.most_used, used)
        self.outcome.first_token[request.workspace].append(now - request.at + PREFILL_SECONDS)
        self.outcome.served_tokens += request.tokens
        self._clock.at(now + request.seconds, lambda at: self._end(daemon, slot, at))

    def _end(self, daemon: _Daemon, slot: Slot, now: float) -> None:
        daemon.ledger.remove(slot)
        self._pump(daemon, now)


def fairness(seconds: float = 120.0, seeds: int = 5) -> None:
    """Compare.

    :param seconds: of each load.
    """
    worst_ratio, worst_use = 0.0, 1.0
    print(f"{'seed':>4}{'served by':>14}{'others p95, calm':>18}{'rush':>8}{'ratio':>7}", end="")
    print(f"{'tokens served':>15}{'heavy refused':>15}{'most in flight':>16}")
    for seed in range(seeds):
        calm = load(seconds, 0.0, random.Random(seed))
        rush = load(seconds, RUSH_SHARES, random.Random(seed))
        first = FirstCome().run(rush, seconds)
        before = FirstCome().run(calm, seconds)
        ours = Shared()
        ours_calm = Shared().run(calm, seconds)
        ours_rush = ours.run(rush, seconds)
        pairs = (("first come", before, first, 0), ("shares", ours_calm, ours_rush, ours.most_used))
        for name, quiet, busy, most in pairs:
            calm_p95, rush_p95 = quantile(quiet.others(), 0.95), quantile(busy.others(), 0.95)
            print(
                f"{seed:4}{name:>14}{calm_p95:18.2f}{rush_p95:8.2f}{rush_p95 / calm_p95:7.2f}"
                f"{busy.served_tokens:15}{busy.refused[HEAVY]:15}{most:16}"
            )
        ratio = quantile(ours_rush.others(), 0.95) / quantile(ours_calm.others(), 0.95)
        worst_ratio = max(worst_ratio, ratio)
        worst_use = min(worst_use, ours_rush.served_tokens / first.served_tokens)
    target("fairness-others-p95-ratio", worst_ratio, WANTED_RATIO)
    target("fairness-utilisation", worst_use, WANTED_USE, at_least=True)


if __name__ == "__main__":
    fire.Fire(fairness)
