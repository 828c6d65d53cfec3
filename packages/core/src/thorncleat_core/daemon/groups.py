"""The groups of a fabric domain: their members, and whether a group may serve.

Owns: the time of each member's last confirmation.
Relies on: one holder at a time changing the assignments, engines reporting their state correctly.
"""

import dataclasses
import typing as t

from .. import codec
from ..exceptions import AssignmentError


@dataclasses.dataclass(frozen=True)
class Group:
    """Instances that serve one replica of a model together.

    :param id: name of the intent and an ordinal, such as ``narrator-0``.
    :param generation: number that increases when the members or the model change.
    :param members: instance ids in the order of their ranks, starting with the leader.
    """

    id: str
    intent: str
    model: str
    version: str
    generation: int
    members: tuple[str, ...]

    @property
    def leader(self) -> str:
        """The instance id of the member that answers requests."""
        return self.members[0]


@dataclasses.dataclass(frozen=True)
class Assignments:
    """All groups of a fabric domain, stored as one value and changed by compare-and-swap.

    :param groups: groups by id.
    :param leaving: group that each leaving instance was removed from. The instance can't be
        assigned again until it has confirmed that it has left.
    :param generation: highest generation that any group of this domain has had.
    """

    domain: str
    groups: t.Mapping[str, Group] = dataclasses.field(default_factory=dict)
    leaving: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    generation: int = 0

    def check(self) -> None:
        """Check that no instance is in more than one group.

        :raises AssignmentError: if an instance is in two groups.
        """
        seen: dict[str, str] = dict(self.leaving)
        for group in self.groups.values():
            for member in group.members:
                if member in seen:
                    text = f"instance {member!r} would be in {seen[member]!r} and {group.id!r}"
                    raise AssignmentError(text)
                seen[member] = group.id

    def occupied_instances(self) -> set[str]:
        """Return the ids of the instances that are in a group or leaving one."""
        members = {member for group in self.groups.values() for member in group.members}
        return members | set(self.leaving)

    def with_group(self, group: Group) -> "Assignments":
        """Return the assignments with a group added or replaced, under a new generation.

        Instances that are no longer members become leaving.

        :raises AssignmentError: if an instance would be in two groups.
        """
        old = self.groups.get(group.id)
        removed = set(old.members) - set(group.members) if old else set()
        generation = self.generation + 1
        updated = dataclasses.replace(group, generation=generation)
        changed = Assignments(
            self.domain,
            {**self.groups, group.id: updated},
            {**self.leaving, **dict.fromkeys(sorted(removed), group.id)},
            generation,
        )
        changed.check()
        return changed

    def without_group(self, group_id: str) -> "Assignments":
        """Return the assignments without a group, whose members become leaving."""
        group = self.groups[group_id]
        groups = {key: value for key, value in self.groups.items() if key != group_id}
        leaving = {**self.leaving, **dict.fromkeys(group.members, group_id)}
        return Assignments(self.domain, groups, leaving, self.generation + 1)

    def with_released(self, instances: t.Iterable[str]) -> "Assignments":
        """Return the assignments with leaving instances free again."""
        free = set(instances)
        leaving = {key: value for key, value in self.leaving.items() if key not in free}
        return dataclasses.replace(self, leaving=leaving)

    def encode(self) -> bytes:
        """Return the encoded form for the store."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Assignments":
        """Return the assignments that were encoded by :meth:`encode`.

        :raises DecodeError: if the data is invalid.
        :raises AssignmentError: if an instance is in two groups.
        """
        assignments = codec.decode(cls, data)
        assignments.check()
        return assignments


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """An engine's answer to a probe.

    :param boot: identifier of the engine's process, which changes with each start.
    :param epoch: epoch of the latest order that the engine follows.
    :param group: id of the group that it serves in; empty for none.
    :param running: number of requests in its batch; unused.
    :param waiting: number of requests in its queue; unused.
    """

    instance: str
    boot: str
    ready: bool
    epoch: int
    group: str
    generation: int
    rank: int
    running: int = 0
    waiting: int = 0
    model: str = ""
    version: str = ""

    def is_member_of(self, group: Group) -> bool:
        """Return whether the instance serves as a member of a group in its current generation."""
        return (
            self.ready
            and self.instance in group.members
            and self.group == group.id
            and self.generation == group.generation
            and self.rank == group.members.index(self.instance)
        )


class Confirmations:
    """The latest confirmation of each member that it serves in its group.

    :param window: validity of a confirmation in seconds, from the time the probe was sent.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self._confirmed: dict[str, tuple[float, str, int]] = {}
        self._boots: dict[str, str] = {}

    def record_report(self, group: Group, report: InstanceReport, sent_at: float) -> bool:
        """Record an engine's report and return whether it confirms membership of the group."""
        if not report.is_member_of(group):
            self.revoke(report.instance)
            return False
        self._confirmed[report.instance] = (sent_at, group.id, group.generation)
        self._boots[report.instance] = report.boot
        return True

    def revoke(self, instance: str) -> None:
        """Revoke an instance's confirmation, which closes its group."""
        self._confirmed.pop(instance, None)

    def open_until(self, group: Group) -> float:
        """Return the time until which a group may serve; in the past if it is closed."""
        expiries = [self._expires_at(member, group) for member in group.members]
        return min(expiries)

    def is_open(self, group: Group, now: float) -> bool:
        """Return whether all members of a group are confirmed."""
        return now < self.open_until(group)

    def unconfirmed_members(self, group: Group, now: float) -> list[str]:
        """Return the members that are not confirmed."""
        return [member for member in group.members if self._expires_at(member, group) <= now]

    def _expires_at(self, member: str, group: Group) -> float:
        sent_at, group_id, generation = self._confirmed.get(member, (float("-inf"), "", 0))
        if (group_id, generation) != (group.id, group.generation):
            return float("-inf")
        return sent_at + self.window
