"""Compares ways to share an endpoint's rate limit among daemons, in virtual time.

Owns: a simulated fleet of daemons before one endpoint that limits its rate.
Relies on: the gateway's classes for notices, shares and the knowledge of the fleet.
"""

import dataclasses
import heapq
import itertools
import random
import types
import typing as t

import fire

from thorncleat_gateway.peers import datagrams
from thorncleat_gateway.peers.messages import Message
from thorncleat_gateway.ports import AnswerMeta
from thorncleat_gateway.requests import limit_reporter
from thorncleat_gateway.requests import rate_shares
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits
from thorncleat_gateway.requests.limit_reporter import LimitReporter
from thorncleat_gateway.store.fleet_knowledge import FleetKnowledge
from thorncleat_gateway.store.fleet_knowledge import fleet_knowledge
from thorncleat_gateway.store.registration import DAEMON_LEASE_SECONDS
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint

from . import limit_rule

ENDPOINT = Endpoint("i-1", "narrator", "10.0.0.1:1", "z1", born=5)
# Network delay between any two processes.
ONE_WAY_SECONDS = 0.002
ANSWER_DELAY_RANGE_SECONDS = (0.01, 0.4)
# Share of datagrams that are lost.
LOSS_SHARE = 0.03
# Share of its requests that a daemon sends to the endpoint while it knows of no limit.
UNLIMITED_REQUEST_SHARE = 1 / 16
LIST_READ_INTERVAL_RANGE_SECONDS = (0.1, 1.4)
# Seconds since the start of a run.
LIMIT_STARTS_AT, FAULT_STARTS_AT, FAULT_ENDS_AT, LIMIT_ENDS_AT, END_AT = (
    2.0,
    15.0,
    45.0,
    70.0,
    100.0,
)
CHURN_INTERVAL_SECONDS = 2.0
SCENARIOS = ("calm", "partition", "store away", "half without store", "come and go")


class _SimFleet:
    """One daemon's knowledge of the fleet; stands in for the gateway's list of daemons."""

    def __init__(self, sim: "LimitFleet", own: Daemon) -> None:
        self._sim = sim
        self._own = own
        self.listed: t.Mapping[str, Daemon] = {}
        self.listed_at = 0.0
        self.registered_at = float("-inf")
        self.renewed_at = 0.0

    @property
    def own(self) -> Daemon:
        return self._own

    def daemons(self) -> t.Mapping[str, Daemon]:
        return self.listed

    def fleet_knowledge(self) -> FleetKnowledge:
        now = self._sim.now
        if self._own.id not in self.listed:
            return FleetKnowledge.NONE
        lease_left = self.renewed_at + DAEMON_LEASE_SECONDS - now
        return fleet_knowledge(now - self.registered_at, lease_left, now - self.listed_at)


class _SimPeers:
    """One daemon's datagrams; stands in for the gateway's channel to its peers."""

    def __init__(self, sim: "LimitFleet", id: str) -> None:
        self._sim = sim
        self.id = id
        self.handlers: list[datagrams.Handler] = []

    @property
    def other_daemons(self) -> set[str]:
        return set(self._sim.daemons) - {self.id}

    def on_message(self, handler: datagrams.Handler) -> None:
        self.handlers.append(handler)

    def broadcast(self, message: Message) -> None:
        for other in sorted(self.other_daemons):
            self.send(other, message)

    def send(self, other: str, message: Message) -> None:
        sim = self._sim
        if sim.random.random() < LOSS_SHARE or sim.is_cut_off(self.id, other):
            return
        sim.schedule(ONE_WAY_SECONDS, lambda: sim.deliver(self.id, other, message))


# Store view that all daemons share.
VIEW = types.SimpleNamespace(roster=types.SimpleNamespace(endpoints={ENDPOINT.id: ENDPOINT}))


class _SimDaemon:
    def __init__(self, sim: "LimitFleet", own: Daemon) -> None:
        self.fleet = _SimFleet(sim, own)
        self.peers = _SimPeers(sim, own.id)
        self.limits = sim.limits_class(self.fleet, lambda: sim.now)
        self.reporter = LimitReporter(
            self.limits,
            t.cast(t.Any, VIEW),
            t.cast(t.Any, self.peers),
            lambda: sim.now,
        )


class EqualShares(EndpointLimits):
    """Gives every daemon an equal share of the limit."""

    def _share(self, endpoint: Endpoint, limit: float, fleet_knowledge: FleetKnowledge) -> float:
        daemons = self._fleet.daemons()
        has_list = fleet_knowledge is not FleetKnowledge.NONE
        return rate_shares.fleet_rate(limit) / len(daemons) if has_list else 0.0


class WholeLimit(EndpointLimits):
    """Gives every daemon the whole limit."""

    def _share(self, endpoint: Endpoint, limit: float, fleet_knowledge: FleetKnowledge) -> float:
        return rate_shares.fleet_rate(limit)


class TimeSlots(EndpointLimits):
    """Gives daemons time slots in turn, each for one request."""

    def wait_seconds(self, endpoint: Endpoint) -> float:
        """Return 0 if this daemon may send in the current slot, else the length of a slot."""
        allowance = self._allowance(endpoint)
        if allowance is None:
            return 0.0
        slot_seconds = 1 / self.fleet_rate(endpoint)
        names = sorted(self._fleet.daemons())
        slot_number = int(self._clock() / slot_seconds)
        is_own = names and names[slot_number % len(names)] == self._fleet.own.id
        has_sent = int(allowance.last_reserved_at / slot_seconds) == slot_number
        return 0.0 if is_own and not has_sent else slot_seconds


STRATEGIES: dict[str, type[EndpointLimits]] = {
    "holders": EndpointLimits,
    "fixed": EqualShares,
    "own": WholeLimit,
    "turns": TimeSlots,
}


@dataclasses.dataclass
class FleetResult:
    """The result of a run.

    :param max_in_window: largest number of requests in any window, counting only daemons that were
        notified of the limit.
    :param used_share: share of the limit that was used while requests counted.
    :param recovery_seconds: time from the limit's end until nine of ten daemons know of it.
    """

    max_in_window: int
    used_share: float
    recovery_seconds: float


class LimitFleet:
    """A simulated fleet before one endpoint; for a single run.

    :param strategy: a name in ``STRATEGIES``.
    :param daemons: number of daemons.
    :param limit: requests a second that the endpoint takes from all daemons together.
    :param rate: requests a second at each daemon that the endpoint could serve.
    :param scenario: one of ``SCENARIOS``.
    """

    def __init__(
        self, strategy: str, daemons: int, limit: float, rate: float, scenario: str, seed: int
    ) -> None:
        self.limits_class = STRATEGIES[strategy]
        self.now = 0.0
        self.random = random.Random(f"{daemons} {limit} {scenario} {seed}")
        self._limit = limit
        self._rate = rate
        self._scenario = scenario
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._new_numbers = itertools.count(daemons)
        self._arrivals: list[tuple[float, str]] = []
        self._notified_at: dict[str, float] = {}
        self._recovered_at = float("inf")
        self._stopped_at: dict[str, float] = {}
        self.daemons: dict[str, _SimDaemon] = {}
        daemons_at_start = [self._make_daemon(number) for number in range(daemons)]
        self.registered: t.Mapping[str, Daemon] = {daemon.id: daemon for daemon in daemons_at_start}
        for daemon in daemons_at_start:
            self.daemons[daemon.id] = _SimDaemon(self, daemon)

    @staticmethod
    def _make_daemon(number: int) -> Daemon:
        return Daemon(f"edge-{number}", "10.1.0.1", number, f"z{number % 3}")

    def schedule(self, seconds: float, action: t.Callable[[], None]) -> None:
        """Call an action after some seconds."""
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def _schedule_every(self, seconds: float, action: t.Callable[[], None]) -> None:
        def repeat_action() -> None:
            action()
            self.schedule(seconds, repeat_action)

        self.schedule(seconds, repeat_action)

    @property
    def _is_fault_active(self) -> bool:
        return FAULT_STARTS_AT <= self.now < FAULT_ENDS_AT

    def is_cut_off(self, sender: str, receiver: str) -> bool:
        """Return whether a partition separates two daemons now."""
        halves = {self._is_even_numbered(sender), self._is_even_numbered(receiver)}
        return self._scenario == "partition" and self._is_fault_active and len(halves) == 2

    @staticmethod
    def _is_even_numbered(name: str) -> bool:
        return int(name.removeprefix("edge-")) % 2 == 0

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Pass a message to a daemon if the daemon has its sender on its list."""
        daemon = self.daemons.get(receiver)
        if daemon is not None and sender in daemon.fleet.listed:
            for handler in daemon.peers.handlers:
                handler(sender, message)

    def run(self) -> FleetResult:
        """Simulate from start to end."""
        for daemon in self.daemons.values():
            daemon.fleet.listed = self.registered
            self._read_list(daemon)
        self._schedule_every(limit_reporter.REPEAT_INTERVAL_SECONDS, self._repeat_notices)
        self._schedule_every(0.1, self._check_recovery)
        self._schedule_every(1.0, self._expire_registrations)
        if self._scenario == "come and go":
            self._schedule_every(CHURN_INTERVAL_SECONDS, self._churn)
        for name in list(self.daemons):
            self._schedule_next_request(name, self.daemons[name])
        while self._queue[0][0] < END_AT:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self._result()

    def _read_list(self, daemon: _SimDaemon) -> None:
        """Let a daemon read the list of daemons periodically until it stops."""
        fleet = daemon.fleet
        if self.daemons.get(fleet.own.id) is not daemon:
            return
        if self._can_reach_store(fleet.own.id):
            fleet.listed, fleet.listed_at = self.registered, self.now
            fleet.renewed_at = self.now
            if fleet.own.id not in self.registered:
                self.registered = {**self.registered, fleet.own.id: fleet.own}
                fleet.registered_at = self.now
        self.schedule(
            self.random.uniform(*LIST_READ_INTERVAL_RANGE_SECONDS), lambda: self._read_list(daemon)
        )

    def _can_reach_store(self, name: str) -> bool:
        if not self._is_fault_active:
            return True
        return not (
            self._scenario == "store away"
            or (self._scenario == "half without store" and self._is_even_numbered(name))
        )

    def _expire_registrations(self) -> None:
        """Remove the registrations of daemons that stopped or can't renew them."""
        if self._scenario == "store away" and self._is_fault_active:
            return
        unexpired = {}
        for name, record in self.registered.items():
            daemon = self.daemons.get(name)
            renewed_at = daemon.fleet.renewed_at if daemon else self._stopped_at.get(name, 0.0)
            if self.now - renewed_at < DAEMON_LEASE_SECONDS:
                unexpired[name] = record
        if len(unexpired) < len(self.registered):
            self.registered = unexpired

    def _churn(self) -> None:
        """Restart one daemon, or replace it by a new one."""
        if not self._is_fault_active:
            return
        name = self.random.choice(sorted(self.daemons))
        self._stopped_at[name] = self.now
        own = self.daemons.pop(name).fleet.own
        if self.random.random() < 0.5:
            own = self._make_daemon(next(self._new_numbers))
        daemon = self.daemons[own.id] = _SimDaemon(self, own)
        daemon.fleet.registered_at = self.now
        self._read_list(daemon)
        self._schedule_next_request(own.id, daemon)

    def _repeat_notices(self) -> None:
        for daemon in self.daemons.values():
            daemon.reporter.repeat()

    def _check_recovery(self) -> None:
        """Record when nine of ten daemons know that the limit has ended."""
        if self.now < LIMIT_ENDS_AT or self._recovered_at < END_AT:
            return
        limited_count = sum(daemon.limits.is_limited(ENDPOINT) for daemon in self.daemons.values())
        if limited_count <= len(self.daemons) / 10:
            self._recovered_at = self.now

    def _schedule_next_request(self, name: str, daemon: _SimDaemon) -> None:
        def send_and_schedule_next() -> None:
            if self.daemons.get(name) is daemon:
                self._send_request(daemon)
                self._schedule_next_request(name, daemon)

        self.schedule(self.random.expovariate(self._rate), send_and_schedule_next)

    def _send_request(self, daemon: _SimDaemon) -> None:
        limits = daemon.limits
        if not limits.available([ENDPOINT]):
            return
        if not limits.is_limited(ENDPOINT) and self.random.random() > UNLIMITED_REQUEST_SHARE:
            return
        limits.reserve(ENDPOINT)
        sent_at, name = self.now, daemon.fleet.own.id
        self.schedule(ONE_WAY_SECONDS, lambda: self._receive_request(daemon, name, sent_at))

    def _receive_request(self, daemon: _SimDaemon, name: str, sent_at: float) -> None:
        self._arrivals.append((self.now, name))

        def answer() -> None:
            limit = self._limit if LIMIT_STARTS_AT <= self.now < LIMIT_ENDS_AT else None
            meta = AnswerMeta("r", True, False, False, rate_limit=limit)
            self.schedule(ONE_WAY_SECONDS, lambda: self._handle_answer(daemon, name, meta, sent_at))

        self.schedule(self.random.uniform(*ANSWER_DELAY_RANGE_SECONDS), answer)

    def _handle_answer(
        self, daemon: _SimDaemon, name: str, meta: AnswerMeta, sent_at: float
    ) -> None:
        if self.daemons.get(name) is not daemon:
            return
        if meta.rate_limit is not None:
            self._notified_at.setdefault(name, self.now)
        daemon.limits.record_answer(ENDPOINT, meta, sent_at)

    def _result(self) -> FleetResult:
        since = LIMIT_STARTS_AT + limit_rule.FIRST_NOTICE_GRACE_SECONDS
        counted = [
            at
            for at, name in self._arrivals
            if since <= at < LIMIT_ENDS_AT
            and at >= self._notified_at.get(name, END_AT) + limit_rule.NOTICE_GRACE_SECONDS
        ]
        arrived = sum(since <= at < LIMIT_ENDS_AT for at, _ in self._arrivals)
        used_share = arrived / ((LIMIT_ENDS_AT - since) * max(self._limit, 1e-9))
        return FleetResult(
            limit_rule.max_requests_in_window(counted),
            used_share,
            self._recovered_at - LIMIT_ENDS_AT,
        )


def limits(
    ways: str = "holders,fixed,own,turns",
    sizes: str = "8,24,40,195",
    figures: str = "0.1,1,10,100",
    rate: float = 3.0,
    seeds: int = 2,
) -> None:
    """Compare ways to share a limit.

    :param ways: strategies, separated by commas.
    :param sizes: numbers of daemons, separated by commas.
    :param figures: limits in requests a second, separated by commas.
    :param rate: requests a second at each daemon that the endpoint could serve.
    :param seeds: number of runs of each combination.
    """
    print("way daemons limit trouble | most in 4 s (allowed) | used | known to be over after, s")
    combinations = itertools.product(_items(ways), _items(sizes), _items(figures), SCENARIOS)
    for strategy, size, figure, scenario in combinations:
        limit = float(figure)
        # The gateway draws from the global generator; each combination starts from the same state.
        random.seed(0)
        results = [
            LimitFleet(strategy, int(size), limit, rate, scenario, seed).run()
            for seed in range(seeds)
        ]
        max_in_window = max(result.max_in_window for result in results)
        used_share = sum(result.used_share for result in results) / seeds
        recovery_seconds = max(result.recovery_seconds for result in results)
        allowed = limit_rule.max_allowed_in_window(limit)
        mark = " OVER" if max_in_window > allowed else ""
        print(
            f"{strategy} {size} {figure} {scenario} | {max_in_window} ({allowed:g}){mark}"
            f" | {used_share:.2f} | {recovery_seconds:.1f}",
            flush=True,
        )


def _items(value: t.Any) -> list[str]:
    """Return the items of a list on the command line, which Fire may have split already."""
    return (
        [str(item) for item in value] if isinstance(value, tuple | list) else str(value).split(",")
    )


if __name__ == "__main__":
    fire.Fire(limits)
