"""Repair compared over randomised failures: group-minutes lost, accelerator-hours stranded.

Deterministic: time is counted, not waited for. The decisions are those of
:mod:`thorncleat_core.daemon.repair`, beside two baselines, over the same failures.
"""

import collections
import dataclasses
import heapq
import random
import typing as t

import fire

from thorncleat_core.daemon import repair
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.journal import Placement
from thorncleat_core.daemon.repair import View
from thorncleat_core.daemon.repair import Wanted

from .report import target

# a day at the planned size: 96 of 10,000 instances fail, 870 are restarted or replaced
FAILURES = 96 / 10_000 / 1440
RESTARTS = 870 / 10_000 / 1440
RACKS = 1 / 7 / 1440 / 300
REPLACE_MINUTES = (30.0, 240.0)
RESTART_MINUTES = (1.0, 5.0)
RACK_MINUTES = (20.0, 120.0)
# a restart is planned: the platform lists the instance as leaving so long before
ANNOUNCED_MINUTES = 5.0
ANNOUNCED = 0
LOAD_MINUTES = 2.0
LOADS_AT_ONCE = 4
STEP = 0.5
ACCELERATORS = 8


@dataclasses.dataclass(frozen=True)
class Site:
    """A user's instances in one fabric domain, and the groups wanted there."""

    name: str
    instances: int
    groups: int
    size: int


SITES = [Site("lima", 18, 2, 8), Site("riga", 18, 4, 4), Site("planned", 80, 4, 16)]


@dataclasses.dataclass
class Loss:
    """What a run cost."""

    group_minutes: float = 0.0
    stranded_minutes: float = 0.0
    loads: int = 0

    def add(self, other: "Loss") -> None:
        """Add another run."""
        self.group_minutes += other.group_minutes
        self.stranded_minutes += other.stranded_minutes
        self.loads += other.loads


class Failures:
    """When each instance goes and comes back, drawn once for a seed."""

    def __init__(
        self, site: Site, days: float, rate: float, announced: float, draw: random.Random
    ) -> None:
        self._queue: list[tuple[float, int, str]] = []
        minutes = days * 1440
        names = [f"i{number:02}" for number in range(site.instances)]
        for name in names:
            self._draw_for(name, FAILURES * rate, REPLACE_MINUTES, minutes, draw)
            self._draw_for(name, RESTARTS * rate, RESTART_MINUTES, minutes, draw, announced)
        at = draw.expovariate(RACKS * rate * site.instances)
        while at < minutes:
            first = draw.randrange(site.instances)
            for name in names[first : first + 4]:
                self._add(at, at + draw.uniform(*RACK_MINUTES), name)
            at += draw.expovariate(RACKS * rate * site.instances)

    def _draw_for(
        self,
        name: str,
        rate: float,
        out: tuple[float, float],
        minutes: float,
        draw: random.Random,
        announced: float = 0.0,
    ) -> None:
        at = draw.expovariate(rate)
        while at < minutes:
            if draw.random() < announced:
                early = max(0.0, at - ANNOUNCED_MINUTES)
                heapq.heappush(self._queue, (early, ANNOUNCED, name))
            back = at + draw.uniform(*out)
            self._add(at, back, name)
            at = back + draw.expovariate(rate)

    def _add(self, at: float, back: float, name: str) -> None:
        heapq.heappush(self._queue, (at, 1, name))
        heapq.heappush(self._queue, (back, -1, name))

    def events(self) -> list[tuple[float, int, str]]:
        """Return all departures (1) and returns (-1), in order."""
        return sorted(self._queue)


@repair.strategies.register("first_fit_no_spares")
def first_fit(
    assignments: Assignments, wanted: Wanted, view: View, now: float
) -> list[repair.Change]:
    """Baseline: start groups where there is room, and wait for whoever is missing."""
    return repair.started(assignments, wanted, view)


@repair.strategies.register("rebuild_at_once")
def rebuild(
    assignments: Assignments, wanted: Wanted, view: View, now: float
) -> list[repair.Change]:
    """Baseline: end a group at the first loss and start it on any free instances."""
    gone: list[repair.Change] = [
        repair.Dissolve(group.id, graceful=False)
        for group in assignments.groups.values()
        if any(member in view.missing_since for member in group.members)
    ]
    return gone or repair.started(assignments, wanted, view)


class Run:
    """One site under one strategy through one sequence of failures."""

    def __init__(self, site: Site, strategy: str, repair_after: float) -> None:
        self._site = site
        self._strategy = strategy
        self._alive = {f"i{number:02}" for number in range(site.instances)}
        self._missing: dict[str, float] = {}
        self._out: collections.Counter[str] = collections.Counter()
        self._assignments = Assignments("d")
        self._ready_at: dict[tuple[str, int], float] = {}
        self._loaded: dict[str, str] = {}
        self._loading: list[float] = []
        self._wanted = _wanted(site, repair_after)
        self._calm = False
        self._prepared: dict[str, tuple[float, repair.Part]] = {}
        self._leaving: set[str] = set()
        self.loss = Loss()

    def advance(self, events: t.Iterable[tuple[float, int, str]], minutes: float) -> None:
        """Run through all events to the end."""
        todo = collections.deque(events)
        now = 0.0
        self._mend(now)
        while now < minutes:
            if self._calm and not self._leaving and todo and todo[0][0] > now + STEP:
                # nothing is lost and nothing changes until the next event
                now = todo[0][0]
            now += STEP
            while todo and todo[0][0] <= now:
                at, gone, name = todo.popleft()
                self._note(at, gone, name)
            self._mend(now)
            self._account(now)

    def _note(self, at: float, gone: int, name: str) -> None:
        if gone == ANNOUNCED:
            self._leaving.add(name)
            return
        self._out[name] += gone
        self._leaving.discard(name)
        if self._out[name] > 0:
            self._alive.discard(name)
            self._missing.setdefault(name, at)
        else:
            self._alive.add(name)
            self._missing.pop(name, None)
            # it comes back with empty memory
            self._loaded.pop(name, None)
            self._prepared.pop(name, None)

    def _mend(self, now: float) -> None:
        for _ in range(4):
            idle = self._alive - {m for g in self._assignments.groups.values() for m in g.members}
            view = View(
                frozenset(idle),
                frozenset(self._assignments.leaving) - frozenset(self._alive),
                dict(self._missing),
                frozenset(self._leaving),
                {
                    name: part
                    for name, (ready, part) in self._prepared.items()
                    if ready <= now and name in idle
                },
            )
            changes = repair.decide(self._assignments, self._wanted, view, now, self._strategy)
            if not changes:
                break
            for change in changes:
                self._apply(change, now)
        for group in self._assignments.groups.values():
            self._load(group, now)

    def _apply(self, change: repair.Change, now: float) -> None:
        if isinstance(change, repair.Release):
            self._assignments = self._assignments.released(change.instances)
        elif isinstance(change, repair.Dissolve):
            self._assignments = self._assignments.without_group(change.group_id)
        elif isinstance(change, repair.Prepare):
            self._prepare(change, now)
        else:
            self._assignments = self._assignments.with_group(change.group)

    def _prepare(self, change: repair.Prepare, now: float) -> None:
        part = f"{change.group_id}/{change.part.rank}"
        if self._loaded.get(change.instance) != part and len(self._loading) < LOADS_AT_ONCE:
            self._loaded[change.instance] = part
            self._loading.append(now + LOAD_MINUTES)
            self._prepared[change.instance] = (now + LOAD_MINUTES, change.part)
            self.loss.loads += 1

    def _load(self, group: Group, now: float) -> None:
        """Let members that lack their part of the model load it, a few at once."""
        self._loading = [end for end in self._loading if end > now]
        for rank, member in enumerate(group.members):
            part = f"{group.id}/{rank}"
            if member not in self._alive or self._loaded.get(member) == part:
                continue
            if len(self._loading) >= LOADS_AT_ONCE:
                return
            self._loaded[member] = part
            self.loss.loads += 1
            end = now + LOAD_MINUTES
            self._loading.append(end)
            key = (group.id, 0)
            self._ready_at[key] = max(self._ready_at.get(key, 0.0), end)

    def _account(self, now: float) -> None:
        serving = 0
        for group in self._assignments.groups.values():
            whole = all(
                member in self._alive and self._loaded.get(member) == f"{group.id}/{rank}"
                for rank, member in enumerate(group.members)
            )
            serving += whole and now >= self._ready_at.get((group.id, 0), 0.0)
        down = self._site.groups - serving
        self._calm = down == 0
        self.loss.group_minutes += down * STEP
        # living instances that a group could use and that serve in none
        needed = self._site.groups * self._site.size
        idle = min(len(self._alive), needed) - serving * self._site.size
        self.loss.stranded_minutes += max(0, idle) * ACCELERATORS * STEP


def _wanted(site: Site, repair_after: float) -> Wanted:
    change = Change.model_validate(
        {
            "workspaces": [{"name": "a", "key_digests": ["0" * 64]}],
            "intents": [
                {
                    "name": "g",
                    "model": "m",
                    "version": "v",
                    "workspaces": ["a"],
                    "replicas": site.groups,
                    "instances_per_replica": site.size,
                }
            ],
        }
    )
    placements = {
        f"g-{number}": Placement(
            f"g-{number}",
            "g",
            "d",
            tuple(f"i{number * site.size + rank:02}" for rank in range(site.size)),
        )
        for number in range(site.groups)
    }
    return Wanted(placements, Configuration().changed(change).intents, repair_after)


# minutes that a missing member is waited for, by strategy
STRATEGIES = {
    "donate": 0.05,
    "spares": 0.05,
    "first_fit_no_spares": 0.0,
    "rebuild_at_once": 0.0,
}


def _compare(site: Site, days: float, rate: float, seeds: int, announced: float) -> dict[str, Loss]:
    losses = {name: Loss() for name in STRATEGIES}
    for seed in range(seeds):
        events = Failures(site, days, rate, announced, random.Random(seed)).events()
        for name, patience in STRATEGIES.items():
            run = Run(site, name, patience)
            run.advance(events, days * 1440)
            losses[name].add(run.loss)
    return losses


def placement(
    days: float = 20.0, rate: float = 5.0, seeds: int = 3, announced: float = 1.0
) -> None:
    """Compare.

    :param rate: times the rates of the letter, so that fewer days show more.
    :param announced: part of the restarts that the platform lists as leaving beforehand.
    """
    print(f"{days:g} days at {rate:g} times the letter's rates, {seeds} seeds,", end=" ")
    print(f"{announced:.0%} of restarts announced {ANNOUNCED_MINUTES:g} min ahead")
    print(f"{'site':10}{'strategy':22}{'group minutes lost':>20}", end="")
    print(f"{'acc. hours stranded':>21}{'loads':>8}")
    for site in SITES:
        losses = _compare(site, days, rate, seeds, announced)
        for name, loss in losses.items():
            print(
                f"{site.name:10}{name:22}{loss.group_minutes:20.0f}"
                f"{loss.stranded_minutes / 60:21.1f}{loss.loads:8}"
            )
        ours = losses["donate"]
        baselines = [losses["first_fit_no_spares"], losses["rebuild_at_once"]]
        down = min(one.group_minutes for one in baselines)
        idle = min(one.stranded_minutes for one in baselines)
        first, second = (0.5, 1.0) if site.name != "riga" else (1.0, 0.5)
        target(f"placement-{site.name}-downtime", ours.group_minutes / down, first)
        target(f"placement-{site.name}-stranded", ours.stranded_minutes / idle, second)


if __name__ == "__main__":
    fire.Fire(placement)
