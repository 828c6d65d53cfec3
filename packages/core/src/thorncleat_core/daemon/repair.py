"""Decisions on the next changes to the groups of a fabric domain.

Owns: nothing.
Relies on: the holder to apply a change only once the group is closed or has no work left.
"""

import collections
import dataclasses
import typing as t

from .configuration import Intent
from .groups import Assignments
from .groups import Group
from .journal import Placement
from .registry import Registry


@dataclasses.dataclass(frozen=True)
class Start:
    """Start a group on free instances."""

    group: Group


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Load a member's part on a free instance, before that instance replaces the member.

    The group keeps serving in the meantime.
    """

    instance: str
    group_id: str
    part: "ModelPart"


@dataclasses.dataclass(frozen=True)
class ModelPart:
    """The part of a model that the member of one rank loads."""

    model: str
    version: str
    rank: int


@dataclasses.dataclass(frozen=True)
class Replace:
    """Change the members or the model of a group.

    :param graceful: whether to drain the group first.
    """

    group: Group
    graceful: bool


@dataclasses.dataclass(frozen=True)
class Dissolve:
    """End a group. If it is still placed, it starts again once enough instances are free.

    :param graceful: whether to drain the group first.
    """

    group_id: str
    graceful: bool


@dataclasses.dataclass(frozen=True)
class Release:
    """Free instances that have left their previous group."""

    instances: tuple[str, ...]


Change = Start | Prepare | Replace | Dissolve | Release


@dataclasses.dataclass(frozen=True)
class ObservedDomain:
    """The state of a domain as its holder observes it.

    :param idle: instances that answer probes and serve in no group.
    :param absent: instances that are neither listed nor answering.
    :param missing_since: time since when each unconfirmed member has not confirmed.
    :param draining: instances that are being drained.
    :param prepared: parts that idle instances have loaded in advance.
    """

    idle: frozenset[str]
    absent: frozenset[str] = frozenset()
    missing_since: t.Mapping[str, float] = dataclasses.field(default_factory=dict)
    draining: frozenset[str] = frozenset()
    prepared: t.Mapping[str, "ModelPart"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """The groups that the configuration requires in a domain.

    :param placements: placements by group id.
    :param intents: intents by name.
    :param repair_after: seconds that a member may be missing before it is replaced.
    """

    placements: t.Mapping[str, Placement]
    intents: t.Mapping[str, Intent]
    repair_after: float


class Strategy(t.Protocol):
    """A strategy for the repair of groups with missing members."""

    def __call__(
        self, assignments: Assignments, desired: DesiredState, observed: ObservedDomain, now: float
    ) -> list[Change]:
        """Return the next changes."""
        ...


strategies: Registry[Strategy] = Registry("repair strategy")


def decide_changes(
    assignments: Assignments,
    desired: DesiredState,
    observed: ObservedDomain,
    now: float,
    strategy: str = "donate",
) -> list[Change]:
    """Return the next changes, at most one for each group."""
    released = _find_released(assignments, observed)
    if released:
        return [Release(released)]
    changes: list[Change] = [
        Dissolve(group_id, graceful=True)
        for group_id in assignments.groups
        if group_id not in desired.placements
    ]
    changes += strategies.get(strategy)(assignments, desired, observed, now)
    return _first_for_each_group(changes)


def _find_released(assignments: Assignments, observed: ObservedDomain) -> tuple[str, ...]:
    return tuple(
        sorted(
            instance
            for instance in assignments.leaving
            if instance in observed.idle or instance in observed.absent
        )
    )


def _first_for_each_group(changes: list[Change]) -> list[Change]:
    seen: set[str] = set()
    selected: list[Change] = []
    for change in changes:
        name = affected_group(change)
        if name not in seen:
            seen.add(name)
            selected.append(change)
    return selected


def affected_group(change: Change) -> str:
    """Return the id of the group that a change affects; empty for a release."""
    if isinstance(change, Start | Replace):
        return change.group.id
    return "" if isinstance(change, Release) else change.group_id


class _Pool:
    """The instances that can be assigned to a group."""

    def __init__(self, assignments: Assignments, observed: ObservedDomain) -> None:
        occupied = assignments.occupied_instances()
        self.free = sorted(observed.idle - observed.draining - occupied)
        self._prepared = observed.prepared

    def take_for_part(self, part: ModelPart) -> str | None:
        """Take an instance for a part, preferably one that has loaded it already."""
        ready = [instance for instance in self.free if self._prepared.get(instance) == part]
        found = next(iter(ready or self.free), None)
        if found is not None:
            self.free.remove(found)
        return found

    def is_prepared(self, instance: str, part: ModelPart) -> bool:
        """Return whether an instance has loaded a part in advance."""
        return self._prepared.get(instance) == part

    def take(self, candidates: t.Iterable[str], count: int) -> list[str] | None:
        """Take instances, the candidates first, or return None if too few are free."""
        if len(self.free) < count:
            return None
        preferred = [instance for instance in candidates if instance in self.free]
        rest = [instance for instance in self.free if instance not in preferred]
        found = (preferred + rest)[:count]
        self.free = [instance for instance in self.free if instance not in found]
        return found


def _lost_members(
    group: Group, desired: DesiredState, observed: ObservedDomain, now: float
) -> list[str]:
    """Return the members that are absent or have been missing for too long."""
    latest = now - desired.repair_after
    return [
        member
        for member in group.members
        if member in observed.absent or observed.missing_since.get(member, now) <= latest
    ]


def _with_members(group: Group, members: t.Iterable[str], intent: Intent) -> Group:
    return dataclasses.replace(
        group, model=intent.model, version=intent.version, members=tuple(members)
    )


def _choose_spares(
    group: Group, replaced: list[str], intent: Intent, pool: _Pool
) -> dict[str, str] | None:
    """Return a spare for each member to replace, or None if there are too few."""
    if len(pool.free) < len(replaced):
        return None
    spares = {}
    for member in replaced:
        part = ModelPart(intent.model, intent.version, group.members.index(member))
        spares[member] = t.cast(str, pool.take_for_part(part))
    return spares


def _replacement_step(
    group: Group, spares: dict[str, str], intent: Intent, pool: _Pool, graceful: bool
) -> Change:
    """Return the replacement of members by spares, or the next preparation for it."""
    for member, spare in spares.items():
        part = ModelPart(intent.model, intent.version, group.members.index(member))
        if graceful and not pool.is_prepared(spare, part):
            return Prepare(spare, group.id, part)
    members = [spares.get(member, member) for member in group.members]
    return Replace(_with_members(group, members, intent), graceful)


def _plan_repairs(
    assignments: Assignments,
    desired: DesiredState,
    observed: ObservedDomain,
    now: float,
    pool: _Pool,
) -> tuple[list[Change], list[Group]]:
    """Return the repairs, and the groups with lost members for which spares are lacking."""
    changes: list[Change] = []
    short: list[Group] = []
    for group in sorted(assignments.groups.values(), key=lambda group: group.id):
        intent = _intent_of(group, desired)
        lost = _lost_members(group, desired, observed, now)
        leaving = [
            member for member in group.members if member in observed.draining and member not in lost
        ]
        if intent is None or not (lost or leaving):
            continue
        spares = _choose_spares(group, lost + leaving, intent, pool)
        if spares is not None:
            changes.append(_replacement_step(group, spares, intent, pool, graceful=not lost))
        elif lost:
            short.append(group)
        else:
            changes.append(Dissolve(group.id, graceful=True))
    return changes, short


def _intent_of(group: Group, desired: DesiredState) -> Intent | None:
    placement = desired.placements.get(group.id)
    return desired.intents.get(placement.intent) if placement else None


def _plan_starts(assignments: Assignments, desired: DesiredState, pool: _Pool) -> list[Change]:
    changes: list[Change] = []
    for group_id, placement in sorted(desired.placements.items()):
        intent = desired.intents.get(placement.intent)
        if group_id in assignments.groups or intent is None:
            continue
        members = pool.take(placement.members, intent.instances_per_replica)
        if members is not None:
            group = Group(group_id, intent.name, intent.model, intent.version, 0, tuple(members))
            changes.append(Start(group))
    return changes


def plan_starts(
    assignments: Assignments, desired: DesiredState, observed: ObservedDomain
) -> list[Change]:
    """Return the starts of placed groups for which enough instances are free."""
    return _plan_starts(assignments, desired, _Pool(assignments, observed))


def _plan_reload(assignments: Assignments, desired: DesiredState) -> list[Change]:
    """Return the model change of the next group with an outdated model; one at a time."""
    for group in sorted(assignments.groups.values(), key=lambda group: group.id):
        intent = _intent_of(group, desired)
        if intent and (intent.model, intent.version) != (group.model, group.version):
            return [Replace(_with_members(group, group.members, intent), graceful=True)]
    return []


@strategies.register("spares")
def repair_with_spares(
    assignments: Assignments, desired: DesiredState, observed: ObservedDomain, now: float
) -> list[Change]:
    """Replace lost members by spares, or wait for them to return if there are none."""
    pool = _Pool(assignments, observed)
    changes, _ = _plan_repairs(assignments, desired, observed, now, pool)
    return changes + _plan_starts(assignments, desired, pool) + _plan_reload(assignments, desired)


@strategies.register("donate")
def repair_with_donors(
    assignments: Assignments, desired: DesiredState, observed: ObservedDomain, now: float
) -> list[Change]:
    """Replace lost members by spares, or by the members of a group that is ended for it.

    If several groups lack spares, the one with the most lost members is ended. No group starts
    while another one lacks spares.
    """
    pool = _Pool(assignments, observed)
    changes, short = _plan_repairs(assignments, desired, observed, now, pool)
    lost = {group.id: len(_lost_members(group, desired, observed, now)) for group in short}
    if len(short) > 1:
        donor = max(short, key=lambda group: (lost[group.id], group.id))
        changes.append(Dissolve(donor.id, graceful=False))
    lost_count = collections.Counter(lost).total()
    starts = [] if lost_count else _plan_starts(assignments, desired, pool)
    return changes + starts + _plan_reload(assignments, desired)
