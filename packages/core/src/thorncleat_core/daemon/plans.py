"""Plans: what a change would do, computed the same way by every daemon.

Owns: nothing. A plan is not kept anywhere: whoever confirms it sends it back whole; the daemon
computes it again from the present configuration and fleet, and carries it out only if nothing
differs.
Relies on: the same state, fleet and change giving the same steps in the same order everywhere.
"""

import collections
import dataclasses
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from .. import codec
from ..exceptions import ConflictError
from ..exceptions import PlacementError
from . import placement
from .configuration import Change
from .configuration import Configuration
from .configuration import Intent
from .fleet import Fleet
from .journal import Entry
from .journal import Placement
from .journal import State

Action = t.Literal["start", "stop", "reload", "move"]


@dataclasses.dataclass(frozen=True)
class Estimates:
    """What durations a plan reckons with, in seconds.

    :param load: loading a model on a group; the daemon gives its setting ``control.load``.
    :param drain: letting a group finish its work.
    """

    load: float = 120.0
    drain: float = 30.0


@dataclasses.dataclass(frozen=True)
class Step:
    """One line of a plan.

    :param action: ``start``, ``stop``, ``reload`` (with another model) or ``move`` (off an
        instance that is drained).
    :param seconds: how long it takes.
    :param downtime_seconds: how long a group that serves now can't.
    :param idle_accelerator_seconds: accelerators times seconds without serving.
    """

    action: Action
    group: str
    intent: str
    domain: str
    members: tuple[str, ...]
    seconds: float
    downtime_seconds: float
    idle_accelerator_seconds: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """What confirming a change would do.

    :param base_revision: the configuration that the plan was made from.
    :param fleet: digest of the instances and groups that the plan was made from.
    """

    base_revision: int
    base_digest: str
    fleet: str
    change: Change
    steps: tuple[Step, ...]

    @property
    def digest(self) -> str:
        """The digest by which the plan is confirmed."""
        return codec.digest(self)

    @property
    def downtime_seconds(self) -> float:
        """Group downtime that the plan costs."""
        return sum(step.downtime_seconds for step in self.steps)

    @property
    def idle_accelerator_seconds(self) -> float:
        """Accelerator seconds without serving that the plan costs."""
        return sum(step.idle_accelerator_seconds for step in self.steps)

    def to_entry(self, operator: str) -> Entry:
        """Return the journal entry that carries the plan out."""
        revision = self.base_revision + 1
        started = tuple(
            Placement(step.group, step.intent, step.domain, step.members, revision)
            for step in self.steps
            if step.action == "start"
        )
        stopped = tuple(step.group for step in self.steps if step.action == "stop")
        return Entry(
            revision, self.base_digest, self.digest, operator, self.change, started, stopped
        )


def _ordinals(intent: Intent, state: State) -> tuple[list[str], list[str]]:
    """Return the groups of an intent that stay, and those that stop."""
    mine = sorted(
        (placed.group for placed in state.placements.values() if placed.intent == intent.name),
        key=lambda group: int(group.rsplit("-", 1)[1]),
    )
    return mine[: intent.replicas], mine[intent.replicas :]


def _new_names(intent: Intent, kept: list[str], state: State) -> list[str]:
    names: list[str] = []
    ordinal = 0
    while len(kept) + len(names) < intent.replicas:
        name = f"{intent.name}-{ordinal}"
        if name not in state.placements:
            names.append(name)
        ordinal += 1
    return names


class _Planner:
    """Collects the steps of one plan."""

    def __init__(self, state: State, fleet: Fleet, taken: set[str], times: Estimates) -> None:
        self._state = state
        self._fleet = fleet
        self._taken = set(taken)
        self._times = times
        self.steps: list[Step] = []

    def stop(self, group: str) -> None:
        placed = self._state.placements[group]
        self._add("stop", placed, self._times.drain, 0.0)

    def load_again(self, action: t.Literal["reload", "move"], group: str) -> None:
        placed = self._state.placements[group]
        seconds = self._times.drain + self._times.load
        self._add(action, placed, seconds, self._times.load)

    def move_and_stop(self, after: Configuration) -> None:
        """Move groups off instances that are drained now, and stop those without an intent."""
        emptied = after.draining - self._state.configuration.draining
        placements = sorted(self._state.placements.items())
        for group, placed in placements:
            if placed.intent in after.intents and emptied.intersection(placed.members):
                self.load_again("move", group)
        for group, placed in placements:
            if placed.intent not in after.intents:
                self.stop(group)

    def fulfil(self, intent: Intent) -> PlacementError | None:
        """Stop, reload and start groups until an intent has what it wants.

        :return: why a group can't be placed, if one can't.
        """
        kept, surplus = _ordinals(intent, self._state)
        for group in surplus:
            self.stop(group)
        old = self._state.configuration.intents.get(intent.name)
        if old and (old.model, old.version) != (intent.model, intent.version):
            for group in kept:
                self.load_again("reload", group)
        used = self.used(kept)
        for group in _new_names(intent, kept, self._state):
            if error := self.start(intent, group, used):
                return error
        return None

    def start(self, intent: Intent, group: str, used: t.Counter[str]) -> PlacementError | None:
        rooms = placement.find_free_instances(self._fleet, self._taken)
        match placement.place_group(intent, group, rooms, used):
            case Failure(error):
                return t.cast(PlacementError, error)
            case Success(placed):
                self._add("start", placed, self._times.load, 0.0)
                self._taken.update(placed.members)
                used[self._failure_domain(placed.domain)] += 1
        return None

    def used(self, groups: list[str]) -> t.Counter[str]:
        domains = (self._state.placements[group].domain for group in groups)
        return collections.Counter(self._failure_domain(domain) for domain in domains)

    def _failure_domain(self, domain: str) -> str:
        found = self._fleet.in_domain(domain)
        return found[0].failure_domain if found else ""

    def _add(
        self,
        action: Action,
        placed: Placement,
        seconds: float,
        downtime: float,
    ) -> None:
        known = self._fleet.instances
        accelerators = sum(
            known[member].accelerators for member in placed.members if member in known
        )
        idle = accelerators * (self._times.load if action != "stop" else 0.0)
        step = Step(
            action,
            placed.group,
            placed.intent,
            placed.domain,
            placed.members,
            seconds,
            downtime,
            idle,
        )
        self.steps.append(step)


def fleet_digest(fleet: Fleet, taken: t.Container[str], domains: t.Container[str]) -> str:
    """Return the digest of what a plan depends on beside the configuration.

    :param domains: those that the plan touches; what changes elsewhere doesn't spoil it.
    """
    rows = [
        [instance.id, str(instance.state), instance.id in taken]
        for instance in fleet.endpoints()
        if instance.fabric_domain in domains
    ]
    return codec.digest(rows)


def make_plan(
    change: Change,
    state: State,
    fleet: Fleet,
    taken: t.Iterable[str],
    times: Estimates = Estimates(),
) -> Result[Plan, PlacementError]:
    """Make the plan of a change.

    :param state: with the placements as they stand after repairs.
    :param taken: instances that are in a group at present.
    :return: the plan, or why an intent can't be placed.
    :raises DocumentError: if the change contradicts the configuration.
    """
    after = state.configuration.with_change(change)
    planner = _Planner(state, fleet, set(taken) | after.draining, times)
    planner.move_and_stop(after)
    # large groups first: they find no room once small ones have taken a part of each domain
    by_size = sorted(
        after.intents.values(), key=lambda intent: (-intent.instances_per_replica, intent.name)
    )
    for intent in by_size:
        if error := planner.fulfil(intent):
            return Failure(error)
    head = state.head
    digest = fleet_digest(fleet, set(taken), {step.domain for step in planner.steps})
    return Success(Plan(head.revision, head.digest, digest, change, tuple(planner.steps)))


def verify(plan: Plan, fresh: Plan) -> None:
    """Make sure that a plan is what would be planned now.

    :param fresh: the plan made from the present state for the same change.
    :raises ConflictError: naming what changed since.
    """
    if plan.base_revision != fresh.base_revision or plan.base_digest != fresh.base_digest:
        text = f"made from revision {plan.base_revision!r}, now {fresh.base_revision!r}"
        raise ConflictError(text)
    if plan.fleet != fresh.fleet:
        raise ConflictError(f"the fleet changed since plan {plan.digest[:12]!r} was made")
    if plan.digest != fresh.digest:
        raise ConflictError(f"plan {plan.digest[:12]!r} is not what its change leads to")
