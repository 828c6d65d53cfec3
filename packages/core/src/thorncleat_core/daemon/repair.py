"""What the holder of a fabric domain changes next in its groups.

Pure decisions: the present assignments, what is wanted and what is seen give a list of
changes. Carrying one out is the holder's work, which first makes sure that the group is
closed or empty of work.

Owns: nothing.
Relies on: whoever carries a change out to wait until the group is closed or empty.
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
    """Begin a group on free instances."""

    group: Group


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Let a free instance load the part of a member that is to be replaced.

    The group serves on meanwhile; the replacement then costs no load.
    """

    instance: str
    group_id: str
    part: "ModelPart"


@dataclasses.dataclass(frozen=True)
class ModelPart:
    """What an instance has loaded: one rank's part of a model."""

    model: str
    version: str
    rank: int


@dataclasses.dataclass(frozen=True)
class Replace:
    """Continue a group with other members or another model.

    :param graceful: let the group finish its work first.
    """

    group: Group
    graceful: bool


@dataclasses.dataclass(frozen=True)
class Dissolve:
    """End a group; if it is still wanted it starts again when there is room."""

    group_id: str
    graceful: bool


@dataclasses.dataclass(frozen=True)
class Release:
    """Free instances that follow no order of their old group any more."""

    instances: tuple[str, ...]


Change = Start | Prepare | Replace | Dissolve | Release


@dataclasses.dataclass(frozen=True)
class ObservedDomain:
    """What the holder sees of its domain.

    :param idle: instances that answer and follow no order of any group.
    :param prepared: what idle instances have loaded ahead.
    :param gone: instances that are neither listed nor answering.
    :param missing_since: since when each member has not confirmed; absent while it does.
    :param draining: instances to empty of work.
    """

    idle: frozenset[str]
    absent: frozenset[str] = frozenset()
    missing_since: t.Mapping[str, float] = dataclasses.field(default_factory=dict)
    draining: frozenset[str] = frozenset()
    prepared: t.Mapping[str, "ModelPart"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """What the configuration wants in the domain.

    :param placements: by group id.
    :param intents: by name.
    :param repair_after: seconds for which a missing member is waited for.
    """

    placements: t.Mapping[str, Placement]
    intents: t.Mapping[str, Intent]
    repair_after: float


class Strategy(t.Protocol):
    """A way to repair groups whose members are missing."""

    def __call__(
        self, assignments: Assignments, wanted: DesiredState, view: ObservedDomain, now: float
    ) -> list[Change]:
        """Return the changes to make next."""
        ...


strategies: Registry[Strategy] = Registry("repair strategy")


def decide_changes(
    assignments: Assignments,
    wanted: DesiredState,
    view: ObservedDomain,
    now: float,
    strategy: str = "donate",
) -> list[Change]:
    """Return the changes to make next, at most one for each group."""
    released = _released(assignments, view)
    if released:
        return [Release(released)]
    changes: list[Change] = [
        Dissolve(group_id, graceful=True)
        for group_id in assignments.groups
        if group_id not in wanted.placements
    ]
    changes += strategies.get(strategy)(assignments, wanted, view, now)
    return _one_for_each(changes)


def _released(assignments: Assignments, view: ObservedDomain) -> tuple[str, ...]:
    return tuple(
        sorted(
            instance
            for instance in assignments.leaving
            if instance in view.idle or instance in view.absent
        )
    )


def _one_for_each(changes: list[Change]) -> list[Change]:
    seen: set[str] = set()
    kept: list[Change] = []
    for change in changes:
        name = affected_group(change)
        if name not in seen:
            seen.add(name)
            kept.append(change)
    return kept


def affected_group(change: Change) -> str:
    """Return the group that a change is about; empty for a release."""
    if isinstance(change, Start | Replace):
        return change.group.id
    return "" if isinstance(change, Release) else change.group_id


class _Pool:
    """The instances that are free to be placed."""

    def __init__(self, assignments: Assignments, view: ObservedDomain) -> None:
        taken = assignments.occupied_instances()
        self.free = sorted(view.idle - view.draining - taken)
        self._prepared = view.prepared

    def for_part(self, part: ModelPart) -> str | None:
        """Take an instance for a part, one that has loaded it if there is one."""
        ready = [instance for instance in self.free if self._prepared.get(instance) == part]
        found = next(iter(ready or self.free), None)
        if found is not None:
            self.free.remove(found)
        return found

    def is_prepared(self, instance: str, part: ModelPart) -> bool:
        """Return whether an instance has loaded a part."""
        return self._prepared.get(instance) == part

    def take(self, wanted: t.Iterable[str], count: int) -> list[str] | None:
        """Take instances, the wanted ones first; None if there are too few."""
        if len(self.free) < count:
            return None
        preferred = [instance for instance in wanted if instance in self.free]
        rest = [instance for instance in self.free if instance not in preferred]
        found = (preferred + rest)[:count]
        self.free = [instance for instance in self.free if instance not in found]
        return found


def _lost(group: Group, wanted: DesiredState, view: ObservedDomain, now: float) -> list[str]:
    """Return the members that are given up for now."""
    limit = now - wanted.repair_after
    return [
        member
        for member in group.members
        if member in view.absent or view.missing_since.get(member, now) <= limit
    ]


def _continued(group: Group, members: t.Iterable[str], intent: Intent) -> Group:
    return dataclasses.replace(
        group, model=intent.model, version=intent.version, members=tuple(members)
    )


def _spares_for(
    group: Group, replaced: list[str], intent: Intent, pool: _Pool
) -> dict[str, str] | None:
    """Return a spare for each member that is replaced; None if there are too few."""
    if len(pool.free) < len(replaced):
        return None
    found = {}
    for member in replaced:
        part = ModelPart(intent.model, intent.version, group.members.index(member))
        found[member] = t.cast(str, pool.for_part(part))
    return found


def _replacement(
    group: Group, spares: dict[str, str], intent: Intent, pool: _Pool, graceful: bool
) -> Change:
    """Return the replacement by spares, or the next step that prepares it."""
    for member, spare in spares.items():
        part = ModelPart(intent.model, intent.version, group.members.index(member))
        if graceful and not pool.is_prepared(spare, part):
            return Prepare(spare, group.id, part)
    members = [spares.get(member, member) for member in group.members]
    return Replace(_continued(group, members, intent), graceful)


def _repairs(
    assignments: Assignments, wanted: DesiredState, view: ObservedDomain, now: float, pool: _Pool
) -> tuple[list[Change], list[Group]]:
    """Return replacements by spares, and the groups for which there are too few."""
    changes: list[Change] = []
    short: list[Group] = []
    for group in sorted(assignments.groups.values(), key=lambda group: group.id):
        intent = _intent_of(group, wanted)
        lost = _lost(group, wanted, view, now)
        leaving = [
            member for member in group.members if member in view.draining and member not in lost
        ]
        if intent is None or not (lost or leaving):
            continue
        spares = _spares_for(group, lost + leaving, intent, pool)
        if spares is not None:
            changes.append(_replacement(group, spares, intent, pool, graceful=not lost))
        elif lost:
            short.append(group)
        else:
            changes.append(Dissolve(group.id, graceful=True))
    return changes, short


def _intent_of(group: Group, wanted: DesiredState) -> Intent | None:
    placed = wanted.placements.get(group.id)
    return wanted.intents.get(placed.intent) if placed else None


def _starts(assignments: Assignments, wanted: DesiredState, pool: _Pool) -> list[Change]:
    changes: list[Change] = []
    for group_id, placed in sorted(wanted.placements.items()):
        intent = wanted.intents.get(placed.intent)
        if group_id in assignments.groups or intent is None:
            continue
        members = pool.take(placed.members, intent.instances_per_replica)
        if members is not None:
            group = Group(group_id, intent.name, intent.model, intent.version, 0, tuple(members))
            changes.append(Start(group))
    return changes


def started(assignments: Assignments, wanted: DesiredState, view: ObservedDomain) -> list[Change]:
    """Return the starts of groups that are wanted and for which there is room."""
    return _starts(assignments, wanted, _Pool(assignments, view))


def _reloads(assignments: Assignments, wanted: DesiredState) -> list[Change]:
    """Return the next group that has to change its model; one at a time."""
    for group in sorted(assignments.groups.values(), key=lambda group: group.id):
        intent = _intent_of(group, wanted)
        if intent and (intent.model, intent.version) != (group.model, group.version):
            return [Replace(_continued(group, group.members, intent), graceful=True)]
    return []


@strategies.register("spares")
def with_spares(
    assignments: Assignments, wanted: DesiredState, view: ObservedDomain, now: float
) -> list[Change]:
    """Replace lost members by spares; without spares wait until they come back."""
    pool = _Pool(assignments, view)
    changes, _ = _repairs(assignments, wanted, view, now, pool)
    return changes + _starts(assignments, wanted, pool) + _reloads(assignments, wanted)


@strategies.register("donate")
def with_donors(
    assignments: Assignments, wanted: DesiredState, view: ObservedDomain, now: float
) -> list[Change]:
    """As ``spares``; and of groups that are down for want of spares one gives to the others.

    Several groups that each miss a member hold many accelerators idle. The one that misses
    most is ended, so that its members can bring the others back.
    """
    pool = _Pool(assignments, view)
    changes, short = _repairs(assignments, wanted, view, now, pool)
    missing = {group.id: len(_lost(group, wanted, view, now)) for group in short}
    if len(short) > 1:
        donor = max(short, key=lambda group: (missing[group.id], group.id))
        changes.append(Dissolve(donor.id, graceful=False))
    waiting = collections.Counter(missing).total()
    starts = [] if waiting else _starts(assignments, wanted, pool)
    return changes + starts + _reloads(assignments, wanted)
