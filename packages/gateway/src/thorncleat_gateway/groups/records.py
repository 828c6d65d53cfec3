"""Records in the store of groups that may answer; a new controller finds their leaders there.

A record exists from before the first order to join until the leader no longer answers, so members
of a group without a record are free.

Owns: the groups that were begun or found in this term, and those that have ended in it.
Relies on: the store's conditional writes, :attr:`.Election.is_caught_up` for a view that shows all
records of earlier controllers, and the view for the leaders' entries.
"""

import asyncio
import dataclasses
import enum
import re

import msgpack

from thorncleat_core.values import MAX_EPOCH
from thorncleat_core.values import is_address
from thorncleat_core.values import is_id

from .. import events
from ..exceptions import StoreError
from ..ports import RecordStore
from ..store.roster import Endpoint
from ..store.roster import Group
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Membership
from ..store.view import StoreView
from .election import CONTROLLER_KEY
from .election import Election
from .formation import GroupPlan

GROUPS_PREFIX = "thorncleat/groups/"
# The form in which :func:`_key` writes an epoch, of 64 bits at most.
_EPOCH = re.compile(r"0|[1-9][0-9]{0,18}")
MAX_REMOVALS_PER_WRITE = 24
MAX_RECORDS_PER_WRITE = 24
# Pause after a write without an answer.
RETRY_INTERVAL_SECONDS = 0.3


def _key(group: GroupId) -> str:
    return f"{GROUPS_PREFIX}{group.epoch}/{group.name}"


def _group_of(key: str) -> GroupId | None:
    """Return the group of a record's key; None if the key names no group."""
    epoch, _, name = key.removeprefix(GROUPS_PREFIX).partition("/")
    if not _EPOCH.fullmatch(epoch) or int(epoch) > MAX_EPOCH or not name:
        return None
    return GroupId(int(epoch), name)


class Detached(enum.Enum):
    """How it was ensured that a group no longer answers; logged as ``how`` of event 7207."""

    LEFT = "left"
    ELSEWHERE = "in no such group"
    # Another endpoint answered at its address.
    PROCESS_ENDED = "process ended"
    # A member has left for longer than the stall.
    BROKEN = "broken without its members"
    # No daemon reaches any member; none of them is free before it has left.
    DEAD = "neither listed nor heard"


@dataclasses.dataclass(frozen=True)
class _LeaderRecord:
    """The identity of a group's leader, as recorded in the store."""

    id: str
    service: str
    address: str

    @classmethod
    def of(cls, endpoint: Endpoint) -> "_LeaderRecord":
        return cls(endpoint.id, endpoint.service, endpoint.address)

    def encode(self) -> bytes:
        packed: bytes = msgpack.packb([self.id, self.service, self.address])
        return packed

    @classmethod
    def decode(cls, data: bytes) -> "_LeaderRecord | None":
        """Return the leader that :meth:`encode` wrote; None if the data is malformed."""
        try:
            fields = msgpack.unpackb(data)
        except (ValueError, msgpack.exceptions.UnpackException):
            return None
        match fields:
            case [str(endpoint_id), str(service), str(address)] if is_id(
                endpoint_id
            ) and is_address(address):
                return cls(endpoint_id, service, address)
        return None


class GroupRecords:
    """Reads the records from the view and writes them for the controller."""

    def __init__(self, records: RecordStore, view: StoreView, election: Election) -> None:
        self._records = records
        self._view = view
        self._election = election
        # Leaders of the groups begun in this term and of those whose record the store had lost.
        self._leaders: dict[GroupId, _LeaderRecord] = {}
        self._ended: dict[GroupId, Detached] = {}
        # Leaders of the ended groups that may still answer, though no daemon reaches a member.
        self._silent: dict[GroupId, _LeaderRecord] = {}
        # Groups whose lost record has not been written again yet.
        self._unwritten: set[GroupId] = set()

    def begin_term(self) -> None:
        """Discard the state of an earlier term and load the records that the store has lost."""
        self._leaders.clear()
        self._ended.clear()
        self._silent.clear()
        self._unwritten.clear()
        for key, record in self._view.former_eras.lost_records.items():
            group = _group_of(key) if key.startswith(GROUPS_PREFIX) else None
            leader_record = _LeaderRecord.decode(record.value) if record.value is not None else None
            if group is not None and leader_record is not None:
                self._leaders[group] = leader_record
                self._unwritten.add(group)

    async def rewrite_lost_records(self) -> None:
        """Write the lost records to the store again while this daemon is the controller."""
        while self._unwritten and self._election.is_controller:
            groups = sorted(self._unwritten)[:MAX_RECORDS_PER_WRITE]
            puts = {_key(group): self._leaders[group].encode() for group in groups}
            term = self._election.term
            assert term is not None
            try:
                written = await self._records.commit(puts, [], {CONTROLLER_KEY: term})
            except StoreError as error:
                # The outcome is unknown, so the same records are written again.
                events.LOST_RECORDS.log(groups=len(groups), problem=str(error))
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if not written:
                return
            self._unwritten.difference_update(groups)
            events.LOST_RECORDS.log(groups=len(groups), problem=None)

    @property
    def groups(self) -> list[GroupId]:
        """The groups that have a record, including records that the view doesn't show yet."""
        recorded = (_group_of(key) for key in self._view.records if key.startswith(GROUPS_PREFIX))
        return list(dict.fromkeys([*filter(None, recorded), *self._leaders]))

    def can_answer(self, group: GroupId) -> bool:
        """Return whether a group has a record and has not been ended in this term."""
        if group in self._ended:
            return False
        return group in self._leaders or _key(group) in self._view.records

    def is_over(self, group: GroupId) -> bool:
        """Return whether the members of a group are free.

        While the list isn't settled, a group without a record may still serve: the store may have
        lost its record.
        """
        if group in self._ended:
            return group not in self._silent
        return self._view.is_settled and not self.can_answer(group)

    def how_ended(self, group: GroupId) -> Detached | None:
        """Return how a group ended in this term; None if it has not ended."""
        return self._ended.get(group)

    def leader(self, group: GroupId) -> Endpoint | None:
        """Return a group's leader, listed or not; None without a record.

        If the record is malformed, the leader is taken from the list.
        """
        leader_record = self._leaders.get(group) or self._recorded_leader(group)
        if leader_record is None:
            listed_group = self._view.roster.groups.get(group)
            return (
                listed_group.leader if listed_group is not None and self.can_answer(group) else None
            )
        listed = self._view.roster.endpoints.get(leader_record.id)
        membership = Membership(group, 0, GroupState.OPEN)
        return listed or Endpoint(
            leader_record.id,
            leader_record.service,
            leader_record.address,
            "",
            membership=membership,
        )

    def _recorded_leader(self, group: GroupId) -> _LeaderRecord | None:
        """Return a group's leader from its record in the view; None without a valid record."""
        record = self._view.records.get(_key(group))
        if record is None or record.value is None:
            return None
        return _LeaderRecord.decode(record.value)

    async def begin(self, group: GroupId, plan: GroupPlan) -> bool:
        """Write a group's record and remove records of groups that have ended.

        The store writes only if the controller's record is still that of this term.

        :returns: False if this daemon is no longer the controller.
        :raises StoreError: if the outcome of the write is unknown.
        """
        leader_record = _LeaderRecord.of(plan.members[0])
        term = self._election.term
        if term is None:
            return False
        removable = [
            ended
            for ended in self._ended
            if ended not in self._silent and _key(ended) in self._view.records
        ]
        written = await self._records.commit(
            {_key(group): leader_record.encode()},
            [_key(ended) for ended in removable[:MAX_REMOVALS_PER_WRITE]],
            {CONTROLLER_KEY: term},
        )
        if written:
            self._leaders[group] = leader_record
        return written

    def has_returned(self, group: Group) -> bool:
        """Return whether a group without a record is listed with its leader, or comes back.

        Of the groups that ended in this term, only one whose leader was not reached can return: a
        leader that left says so in its next entry, and an ended process writes no more entries.
        """
        if group.id in self._silent:
            return True
        may_be_alive = self._ended.get(group.id) in (None, Detached.DEAD, Detached.BROKEN)
        return may_be_alive and group.leader is not None and not self.can_answer(group.id)

    def restore(self, group: Group) -> None:
        """Mark a group that has returned as one that may answer, until it is ended again."""
        self._ended.pop(group.id, None)
        silent = self._silent.pop(group.id, None)
        if group.leader is not None:
            self._leaders[group.id] = _LeaderRecord.of(group.leader)
        elif silent is not None:
            self._leaders[group.id] = silent

    def mark_silent(self, group: GroupId) -> None:
        """Mark a group that may still answer though none of its members is listed or heard.

        Its record stays in the store, and its members aren't free once it has ended here.
        """
        leader = self.leader(group)
        assert leader is not None
        self._silent[group] = _LeaderRecord.of(leader)

    def end(self, group: GroupId, how: Detached) -> None:
        """Mark a group as ended; its leader no longer answers, unless it was marked as silent."""
        self._leaders.pop(group, None)
        self._unwritten.discard(group)
        self._ended[group] = how
