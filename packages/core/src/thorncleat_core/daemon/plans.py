"""Plans: the steps that a change of the configuration would cause.

No daemon stores a plan. The operator sends it back to confirm it, and the daemon computes it again
and accepts it only if nothing has changed.

Owns: nothing.
Relies on: the same state, fleet and change giving the same steps on every daemon.
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
    """Estimated durations in seconds.

    :param load: duration of loading a model on a group.
    :param drain: duration of draining a group.
    """

    load: float = 120.0
    drain: float = 30.0


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of a plan, which affects one group.

    :param action: ``start``, ``stop``, ``reload`` with another model, or ``move`` off an instance
        that is being drained.
    :param seconds: duration of the step.
    :param downtime_seconds: time during which a running group doesn't serve.
    :param idle_accelerator_seconds: number of accelerators times the seconds without serving.
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
    """The steps of a change and the state on which they are based.

    :param base_revision: revision of the configuration.
    :param base_digest: digest of the journal entry of that revision.
    :param fleet: digest of the instances in the affected fabric domains.
    """

    base_revision: int
    base_digest: str
    fleet: str
    change: Change
    steps: tuple[Step, ...]

    @property
    def digest(self) -> str:
        """The digest that identifies the plan when it is confirmed."""
        return codec.digest(self)

    @property
    def downtime_seconds(self) -> float:
        """The total downtime of groups."""
        return sum(step.downtime_seconds for step in self.steps)

    @property
    def idle_accelerator_seconds(self) -> float:
        """The total accelerator seconds without serving."""
        return sum(step.idle_accelerator_seconds for step in self.steps)

    def to_entry(self, operator: str) -> Entry:
        """Return the journal entry of the confirmed plan."""
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


def _split_surplus(intent: Intent, state: State) -> tuple[list[str], list[str]]:
    """Return the groups of an intent to keep and those to stop."""
    groups = sorted(
        (placed.group for placed in state.placements.values() if placed.intent == intent.name),
        key=lambda group: int(group.rsplit("-", 1)[1]),
    )
    return groups[: intent.replicas], groups[intent.replicas :]


def _new_names(intent: Intent, retained: list[str], state: State) -> list[str]:
    """Return names for the groups that an intent lacks."""
    names: list[str] = []
    ordinal = 0
    while len(retained) + len(names) < intent.replicas:
        name = f"{intent.name}-{ordinal}"
        if name not in state.placements:
            names.append(name)
        ordinal += 1
    return names


class _Planner:
    """Builds the list of steps of a plan."""

    def __init__(self, state: State, fleet: Fleet, taken: set[str], estimates: Estimates) -> None:
        self._state = state
        self._fleet = fleet
        self._taken = set(taken)
        self._estimates = estimates
        self.steps: list[Step] = []

    def stop(self, group: str) -> None:
        current = self._state.placements[group]
        self._add_step("stop", current, self._estimates.drain, 0.0)

    def reload(self, action: t.Literal["reload", "move"], group: str) -> None:
        current = self._state.placements[group]
        seconds = self._estimates.drain + self._estimates.load
        self._add_step(action, current, seconds, self._estimates.load)

    def move_and_stop(self, after: Configuration) -> None:
        """Move groups off instances that start draining, and stop groups without an intent."""
        drained = after.draining - self._state.configuration.draining
        placements = sorted(self._state.placements.items())
        for group, current in placements:
            if current.intent in after.intents and drained.intersection(current.members):
                self.reload("move", group)
        for group, current in placements:
            if current.intent not in after.intents:
                self.stop(group)

    def satisfy(self, intent: Intent) -> PlacementError | None:
        """Add the steps that satisfy an intent.

        :returns: the error if a group can't be placed.
        """
        retained, surplus = _split_surplus(intent, self._state)
        for group in surplus:
            self.stop(group)
        old = self._state.configuration.intents.get(intent.name)
        if old and (old.model, old.version) != (intent.model, intent.version):
            for group in retained:
                self.reload("reload", group)
        used = self.count_failure_domains(retained)
        for group in _new_names(intent, retained, self._state):
            if error := self.start(intent, group, used):
                return error
        return None

    def start(self, intent: Intent, group: str, used: t.Counter[str]) -> PlacementError | None:
        free = placement.find_free_instances(self._fleet, self._taken)
        match placement.place_group(intent, group, free, used):
            case Failure(error):
                return t.cast(PlacementError, error)
            case Success(chosen):
                self._add_step("start", chosen, self._estimates.load, 0.0)
                self._taken.update(chosen.members)
                used[self._failure_domain(chosen.domain)] += 1
        return None

    def count_failure_domains(self, groups: list[str]) -> t.Counter[str]:
        """Return how many of the groups are in each failure domain."""
        domains = (self._state.placements[group].domain for group in groups)
        return collections.Counter(self._failure_domain(domain) for domain in domains)

    def _failure_domain(self, domain: str) -> str:
        found = self._fleet.in_domain(domain)
        return found[0].failure_domain if found else ""

    def _add_step(
        self,
        action: Action,
        target: Placement,
        seconds: float,
        downtime: float,
    ) -> None:
        instances = self._fleet.instances
        accelerators = sum(
            instances[member].accelerators for member in target.members if member in instances
        )
        idle = accelerators * (self._estimates.load if action != "stop" else 0.0)
        step = Step(
            action,
            target.group,
            target.intent,
            target.domain,
            target.members,
            seconds,
            downtime,
            idle,
        )
        self.steps.append(step)


def fleet_digest(fleet: Fleet, taken: t.Container[str], domains: t.Container[str]) -> str:
    """Return the digest of the instances on which a plan depends.

    :param taken: instances that are in a group.
    :param domains: fabric domains that the plan affects. Changes elsewhere don't invalidate it.
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
    estimates: Estimates = Estimates(),
) -> Result[Plan, PlacementError]:
    """Return the plan of a change, or the error if an intent can't be placed.

    :param state: current state, with the placements as they are after repairs.
    :param taken: instances that are in a group.
    :raises DocumentError: if the change is inconsistent with the configuration.
    """
    after = state.configuration.with_change(change)
    planner = _Planner(state, fleet, set(taken) | after.draining, estimates)
    planner.move_and_stop(after)
    # Large groups come first, since small ones could leave no domain with enough instances.
    by_size = sorted(
        after.intents.values(), key=lambda intent: (-intent.instances_per_replica, intent.name)
    )
    for intent in by_size:
        if error := planner.satisfy(intent):
            return Failure(error)
    head = state.head
    digest = fleet_digest(fleet, set(taken), {step.domain for step in planner.steps})
    return Success(Plan(head.revision, head.digest, digest, change, tuple(planner.steps)))


def verify(plan: Plan, recomputed: Plan) -> None:
    """Check that a plan is still up to date.

    :param recomputed: plan for the same change, made from the current state.
    :raises ConflictError: if the state or the fleet has changed, or the plan was modified.
    """
    if plan.base_revision != recomputed.base_revision or plan.base_digest != recomputed.base_digest:
        text = f"made from revision {plan.base_revision!r}, now {recomputed.base_revision!r}"
        raise ConflictError(text)
    if plan.fleet != recomputed.fleet:
        raise ConflictError(f"the fleet changed since plan {plan.digest[:12]!r} was made")
    if plan.digest != recomputed.digest:
        raise ConflictError(f"plan {plan.digest[:12]!r} is not what its change leads to")
