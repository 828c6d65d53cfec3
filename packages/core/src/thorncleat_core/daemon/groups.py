"""Serving groups of one fabric domain: who is in which, and whether a group may answer.

Owns: when each member of a group last confirmed that it serves in it.
Relies on: assignments being changed by one holder at a time; engines that report the truth of
themselves.
"""

import dataclasses
import typing as t

from .. import codec
from ..exceptions import AssignmentError


@dataclasses.dataclass(frozen=True)
class Group:
    """A serving group: instances that hold one replica together.

    :param id: intent name and ordinal, as in ``narrator-0``.
    :param generation: rises with each change of the members or of the model.
    :param members: instance ids in the order of their ranks; the first one answers.
    """

    id: str
    intent: str
    model: str
    version: str
    generation: int
    members: tuple[str, ...]

    @property
    def leader(self) -> str:
        """The member that answers requests."""
        return self.members[0]


@dataclasses.dataclass(frozen=True)
class Assignments:
    """All groups of one fabric domain; one value in the store, changed by compare-and-swap.

    :param groups: by group id.
    :param leaving: instance id to the group it was taken out of; not free until it has
        confirmed that it follows no order of that group any more.
    :param generation: the highest generation ever given in this domain.
    """

    domain: str
    groups: t.Mapping[str, Group] = dataclasses.field(default_factory=dict)
    leaving: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    generation: int = 0

    def check(self) -> None:
        """Make sure that no instance is in two groups at once.

        :raises AssignmentError: naming the instance.
        """
        seen: dict[str, str] = dict(self.leaving)
        for group in self.groups.values():
            for member in group.members:
                if member in seen:
                    text = f"instance {member!r} would be in {seen[member]!r} and {group.id!r}"
                    raise AssignmentError(text)
                seen[member] = group.id

    def occupied_instances(self) -> set[str]:
        """Return the instances that are in a group or leaving one."""
        members = {member for group in self.groups.values() for member in group.members}
        return members | set(self.leaving)

    def with_group(self, group: Group) -> "Assignments":
        """Return the assignments with a group added or replaced, at a new generation.

        Members that the group loses start leaving it.

        :raises AssignmentError: if an instance would be in two groups.
        """
        old = self.groups.get(group.id)
        lost = set(old.members) - set(group.members) if old else set()
        generation = self.generation + 1
        placed = dataclasses.replace(group, generation=generation)
        changed = Assignments(
            self.domain,
            {**self.groups, group.id: placed},
            {**self.leaving, **dict.fromkeys(sorted(lost), group.id)},
            generation,
        )
        changed.check()
        return changed

    def without_group(self, group_id: str) -> "Assignments":
        """Return the assignments without a group, whose members start leaving it."""
        group = self.groups[group_id]
        groups = {key: value for key, value in self.groups.items() if key != group_id}
        leaving = {**self.leaving, **dict.fromkeys(group.members, group_id)}
        return Assignments(self.domain, groups, leaving, self.generation + 1)

    def with_released(self, instances: t.Iterable[str]) -> "Assignments":
        """Return the assignments with instances free that were leaving."""
        gone = set(instances)
        leaving = {key: value for key, value in self.leaving.items() if key not in gone}
        return dataclasses.replace(self, leaving=leaving)

    def encode(self) -> bytes:
        """Encode for the store."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Assignments":
        """Decode and check.

        :raises DecodeError: if the value is broken.
        :raises AssignmentError: if it breaks the invariant.
        """
        assignments = codec.decode(cls, data)
        assignments.check()
        return assignments


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """What an engine says of itself when it is probed.

    :param boot: changes with each start of the engine.
    :param epoch: of the newest order it follows.
    :param running: requests in its batch; part of the report's form, no decision reads it.
    :param waiting: requests before its batch; likewise.
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
        """Return whether the instance serves as a member of this generation of a group."""
        return (
            self.ready
            and self.instance in group.members
            and self.group == group.id
            and self.generation == group.generation
            and self.rank == group.members.index(self.instance)
        )


class Confirmations:
    """When each member last confirmed that it serves in its group.

    :param window: seconds for which a confirmation counts, from before the probe was sent.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self._confirmed: dict[str, tuple[float, str, int]] = {}
        self._boots: dict[str, str] = {}

    def record_report(self, group: Group, report: InstanceReport, sent_at: float) -> bool:
        """Note a report; return whether it confirms membership."""
        if not report.is_member_of(group):
            self.revoke(report.instance)
            return False
        self._confirmed[report.instance] = (sent_at, group.id, group.generation)
        self._boots[report.instance] = report.boot
        return True

    def revoke(self, instance: str) -> None:
        """Forget an instance's confirmation: its group is closed from now on."""
        self._confirmed.pop(instance, None)

    def open_until(self, group: Group) -> float:
        """Return the time until which a group may answer; in the past if it may not now."""
        ends = [self._end(member, group) for member in group.members]
        return min(ends)

    def is_open(self, group: Group, now: float) -> bool:
        """Return whether every member of a group is confirmed."""
        return now < self.open_until(group)

    def unconfirmed_members(self, group: Group, now: float) -> list[str]:
        """Return the members that are not confirmed."""
        return [member for member in group.members if self._end(member, group) <= now]

    def _end(self, member: str, group: Group) -> float:
        sent_at, group_id, generation = self._confirmed.get(member, (float("-inf"), "", 0))
        if (group_id, generation) != (group.id, group.generation):
            return float("-inf")
        return sent_at + self.window
