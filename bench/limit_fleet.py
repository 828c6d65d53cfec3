"""How ways to share an endpoint's limit compare: ``bin/bench limit_fleet``.

A fleet of daemons before one endpoint that takes few requests from all of them together, in
virtual time. The endpoint counts what reaches it; daemons know of each other only what the real
classes keep and tell. Beside the way that the gateway takes there are those that were weighed
against it.

Owns: the fleet of one play.
Relies on: the gateway's classes for notices, shares and what daemons know of their list.
"""

import dataclasses
import heapq
import itertools
import random
import types
import typing as t

import fire

from thorncleat_gateway.peers import datagrams
from thorncleat_gateway.peers.datagrams import Message
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
# one way between any two processes, and how long the endpoint takes for the head of an answer
WAY_SECONDS = 0.002
ANSWER_SECONDS = (0.01, 0.4)
# part of the datagrams that get lost
LOST = 0.03
# of its requests that a daemon sends to the endpoint while it knows no limit: one of 16 groups
PART_UNLIMITED = 1 / 16
# how old a daemon's list is while it reaches the store
LIST_AGE_SECONDS = (0.1, 1.4)
# when the endpoint begins to name its limit, when trouble begins and ends, when the limit is over
NAMED_AT, TROUBLE_AT, TROUBLE_OVER_AT, OVER_AT, END = 2.0, 15.0, 45.0, 70.0, 100.0
# between two restarts where daemons come and go
CHURN_SECONDS = 2.0
TROUBLES = ("calm", "partition", "store away", "half without store", "come and go")


class _SimFleet:
    """What one daemon knows of the others."""

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


class _Peers:
    """Datagrams of one daemon."""

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
        if sim.random.random() < LOST or sim.is_cut(self.id, other):
            return
        sim.after(WAY_SECONDS, lambda: sim.deliver(self.id, other, message))


# what all daemons know of the endpoints
VIEW = types.SimpleNamespace(roster=types.SimpleNamespace(endpoints={ENDPOINT.id: ENDPOINT}))


class _SimDaemon:
    def __init__(self, sim: "LimitFleet", own: Daemon) -> None:
        self.fleet = _SimFleet(sim, own)
        self.peers = _Peers(sim, own.id)
        self.limits = sim.way(self.fleet, lambda: sim.now)
        self.reporter = LimitReporter(
            self.limits,
            t.cast(t.Any, VIEW),
            t.cast(t.Any, self.peers),
            lambda: sim.now,
        )


class Fixed(EndpointLimits):
    """The same part for every daemon."""

    def _share(self, endpoint: Endpoint, limit: float, fleet_knowledge: FleetKnowledge) -> float:
        daemons = self._fleet.daemons()
        known = fleet_knowledge is not FleetKnowledge.NONE
        return rate_shares.fleet_rate(limit) / len(daemons) if known else 0.0


class Own(EndpointLimits):
    """Each keeps the whole limit by itself."""

    def _share(self, endpoint: Endpoint, limit: float, fleet_knowledge: FleetKnowledge) -> float:
        return rate_shares.fleet_rate(limit)


class Turns(EndpointLimits):
    """Each in its turn, by the time of day: one request in a slot of its own."""

    def wait_seconds(self, endpoint: Endpoint) -> float:
        """Return the seconds until the next slot if this one is another's, or is used."""
        limited = self._find_limited(endpoint)
        if limited is None or limited.notice.limit is None:
            return 0.0
        slot = 1 / rate_shares.fleet_rate(limited.notice.limit)
        names = sorted(self._fleet.daemons())
        number = int(self._clock() / slot)
        is_own = names and names[number % len(names)] == self._fleet.own.id
        has_sent = int(limited.last_reserved_at / slot) == number
        return 0.0 if is_own and not has_sent else slot


WAYS: dict[str, type[EndpointLimits]] = {
    "holders": EndpointLimits,
    "fixed": Fixed,
    "own": Own,
    "turns": Turns,
}


@dataclasses.dataclass
class Seen:
    """What the endpoint saw.

    :param most: requests in a span, from daemons that it had told.
    :param used: part of the limit that was used, from the first word's bound on.
    :param again_after: seconds after the limit's end until nine of ten daemons know.
    """

    most: int
    used: float
    again_after: float


class LimitFleet:
    """One play.

    :param rate: requests a second at each daemon that the endpoint could serve.
    """

    def __init__(
        self, way: str, daemons: int, limit: float, rate: float, trouble: str, seed: int
    ) -> None:
        self.way = WAYS[way]
        self.now = 0.0
        self.random = random.Random(f"{daemons} {limit} {trouble} {seed}")
        self._limit = limit
        self._rate = rate
        self._trouble = trouble
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(daemons)
        self._arrivals: list[tuple[float, str]] = []
        self._told: dict[str, float] = {}
        self._known_over_at = float("inf")
        # when each daemon was ended last
        self._gone: dict[str, float] = {}
        self.daemons: dict[str, _SimDaemon] = {}
        records = [self._record(number) for number in range(daemons)]
        self.registered: t.Mapping[str, Daemon] = {own.id: own for own in records}
        for own in records:
            self.daemons[own.id] = _SimDaemon(self, own)

    @staticmethod
    def _record(number: int) -> Daemon:
        return Daemon(f"edge-{number}", "10.1.0.1", number, f"z{number % 3}")

    def after(self, seconds: float, action: t.Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def _each(self, seconds: float, action: t.Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.after(seconds, again)

        self.after(seconds, again)

    @property
    def _in_trouble(self) -> bool:
        return TROUBLE_AT <= self.now < TROUBLE_OVER_AT

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a datagram between two daemons is lost."""
        halves = {self._half(one), self._half(other)}
        return self._trouble == "partition" and self._in_trouble and len(halves) == 2

    @staticmethod
    def _half(name: str) -> bool:
        return int(name.removeprefix("edge-")) % 2 == 0

    def deliver(self, sender: str, other: str, message: Message) -> None:
        """Hand a message to a daemon that knows its sender."""
        daemon = self.daemons.get(other)
        if daemon is not None and sender in daemon.fleet.listed:
            for handler in daemon.peers.handlers:
                handler(sender, message)

    def play(self) -> Seen:
        """Play from start to end."""
        for daemon in self.daemons.values():
            daemon.fleet.listed = self.registered
            self._follow(daemon)
        self._each(limit_reporter.REPEAT_INTERVAL_SECONDS, self._repeat)
        self._each(0.1, self._look)
        self._each(1.0, self._lapse)
        if self._trouble == "come and go":
            self._each(CHURN_SECONDS, self._churn)
        for name in list(self.daemons):
            self._next_request(name, self.daemons[name])
        while self._queue[0][0] < END:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self._seen()

    def _follow(self, daemon: _SimDaemon) -> None:
        """Let a daemon read the list while it lives."""
        fleet = daemon.fleet
        if self.daemons.get(fleet.own.id) is not daemon:
            return
        if self._reaches_store(fleet.own.id):
            fleet.listed, fleet.listed_at = self.registered, self.now
            fleet.renewed_at = self.now
            if fleet.own.id not in self.registered:
                self.registered = {**self.registered, fleet.own.id: fleet.own}
                fleet.registered_at = self.now
        self.after(self.random.uniform(*LIST_AGE_SECONDS), lambda: self._follow(daemon))

    def _reaches_store(self, name: str) -> bool:
        if not self._in_trouble:
            return True
        return not (
            self._trouble == "store away"
            or (self._trouble == "half without store" and self._half(name))
        )

    def _lapse(self) -> None:
        """Let the records run out of daemons that have gone or can't renew them."""
        if self._trouble == "store away" and self._in_trouble:
            return
        lasting = {}
        for name, record in self.registered.items():
            daemon = self.daemons.get(name)
            renewed_at = daemon.fleet.renewed_at if daemon else self._gone.get(name, 0.0)
            if self.now - renewed_at < DAEMON_LEASE_SECONDS:
                lasting[name] = record
        if len(lasting) < len(self.registered):
            self.registered = lasting

    def _churn(self) -> None:
        """Restart one daemon, or replace it by another one."""
        if not self._in_trouble:
            return
        name = self.random.choice(sorted(self.daemons))
        self._gone[name] = self.now
        own = self.daemons.pop(name).fleet.own
        if self.random.random() < 0.5:
            own = self._record(next(self._numbers))
        daemon = self.daemons[own.id] = _SimDaemon(self, own)
        daemon.fleet.registered_at = self.now
        self._follow(daemon)
        self._next_request(own.id, daemon)

    def _repeat(self) -> None:
        for daemon in self.daemons.values():
            daemon.reporter.repeat()

    def _look(self) -> None:
        """Note when nine of ten daemons know that the limit is over."""
        if self.now < OVER_AT or self._known_over_at < END:
            return
        limited = sum(daemon.limits.is_limited(ENDPOINT) for daemon in self.daemons.values())
        if limited <= len(self.daemons) / 10:
            self._known_over_at = self.now

    def _next_request(self, name: str, daemon: _SimDaemon) -> None:
        def come() -> None:
            if self.daemons.get(name) is daemon:
                self._request(daemon)
                self._next_request(name, daemon)

        self.after(self.random.expovariate(self._rate), come)

    def _request(self, daemon: _SimDaemon) -> None:
        limits = daemon.limits
        if not limits.available([ENDPOINT]):
            return
        if not limits.is_limited(ENDPOINT) and self.random.random() > PART_UNLIMITED:
            return
        limits.reserve(ENDPOINT)
        sent_at, name = self.now, daemon.fleet.own.id
        self.after(WAY_SECONDS, lambda: self._arrive(daemon, name, sent_at))

    def _arrive(self, daemon: _SimDaemon, name: str, sent_at: float) -> None:
        self._arrivals.append((self.now, name))

        def answer() -> None:
            limit = self._limit if NAMED_AT <= self.now < OVER_AT else None
            meta = AnswerMeta("r", True, False, False, rate_limit=limit)
            self.after(WAY_SECONDS, lambda: self._answered(daemon, name, meta, sent_at))

        self.after(self.random.uniform(*ANSWER_SECONDS), answer)

    def _answered(self, daemon: _SimDaemon, name: str, meta: AnswerMeta, sent_at: float) -> None:
        if self.daemons.get(name) is not daemon:
            return
        if meta.rate_limit is not None:
            self._told.setdefault(name, self.now)
        daemon.limits.record_answer(ENDPOINT, meta, sent_at)

    def _seen(self) -> Seen:
        since = NAMED_AT + limit_rule.KNOWN_SECONDS
        counted = [
            at
            for at, name in self._arrivals
            if since <= at < OVER_AT and at >= self._told.get(name, END) + limit_rule.TOLD_SECONDS
        ]
        arrived = sum(since <= at < OVER_AT for at, _ in self._arrivals)
        used = arrived / ((OVER_AT - since) * max(self._limit, 1e-9))
        return Seen(limit_rule.most_in_a_span(counted), used, self._known_over_at - OVER_AT)


def limits(
    ways: str = "holders,fixed,own,turns",
    sizes: str = "8,24,40,195",
    figures: str = "0.1,1,10,100",
    rate: float = 3.0,
    seeds: int = 2,
) -> None:
    """Compare ways to share a limit: requests in 4 s at most, part used, seconds until it is over.

    :param rate: requests a second at each daemon.
    """
    print("way daemons limit trouble | most in 4 s (allowed) | used | known to be over after, s")
    plays = itertools.product(_listed(ways), _listed(sizes), _listed(figures), TROUBLES)
    for way, size, figure, trouble in plays:
        limit = float(figure)
        # the gateway draws whom it tells; so each run of a comparison sees the same
        random.seed(0)
        seen = [
            LimitFleet(way, int(size), limit, rate, trouble, seed).play() for seed in range(seeds)
        ]
        most = max(one.most for one in seen)
        used = sum(one.used for one in seen) / seeds
        again = max(one.again_after for one in seen)
        allowed = limit_rule.allowed(limit)
        mark = " OVER" if most > allowed else ""
        print(
            f"{way} {size} {figure} {trouble} | {most} ({allowed:g}){mark}"
            f" | {used:.2f} | {again:.1f}",
            flush=True,
        )


def _listed(text: t.Any) -> list[str]:
    """Return the parts of a list as the command line gives it."""
    return [str(one) for one in text] if isinstance(text, tuple | list) else str(text).split(",")


if __name__ == "__main__":
    fire.Fire(limits)
