"""A record in the store for each group that was begun and may still answer.

It is written before any member is ordered to join, under the condition that the writer is
still the controller, and it is removed only once the group's leader answers no more. So whoever
controls the groups next knows the leader of each group, listed or not, and knows that members of
a group without a record are free.

The view lags behind the store, so a record that it doesn't show proves nothing by itself. What a
term knows is whole all the same: it begins once the view shows the term's own record
(:attr:`.Election.is_caught_up`), and with it all that earlier controllers wrote; from then on only
this controller writes, and remembers what.

A record may also be gone though its group answers: a leader that was neither listed nor heard may
have been cut off and come back. So a leader that is listed in a group that should be over has to be
asked (:meth:`GroupRecords.has_returned`).

The store may come back from a copy that lacks records. A controller that knows such a group writes
its record again; where nobody does, what its members say has to do, once the list is settled.

Owns: the groups that were begun or found in this term, and those that have ended in it.
Relies on: the store's conditional writes, and the view for what earlier controllers recorded and
for what leaders say.
"""

import asyncio
import dataclasses
import enum

import msgpack

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
# keys that one write may remove beside what it writes
MAX_REMOVALS_PER_WRITE = 24
# that one write may hold
MAX_RECORDS_PER_WRITE = 24
# after a write that got no answer, in seconds
RETRY_INTERVAL_SECONDS = 0.3


def _key(group: GroupId) -> str:
    return f"{GROUPS_PREFIX}{group.epoch}/{group.name}"


def _group_of(key: str) -> GroupId | None:
    """Return the group of a record; None if its key names none."""
    epoch, _, name = key.removeprefix(GROUPS_PREFIX).partition("/")
    return GroupId(int(epoch), name) if epoch.isdecimal() and name else None


class Detached(enum.Enum):
    """How a group came to answer no more; logged as ``how`` of event 7207."""

    NO_RECORD = "no record"
    LEFT = "left"
    ELSEWHERE = "in no such group"
    PROCESS_ENDED = "process ended"
    DEAD = "neither listed nor heard"


@dataclasses.dataclass(frozen=True)
class _LeaderRecord:
    """What is kept of a group's leader."""

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
        """Return what :meth:`encode` wrote; None for something else."""
        try:
            parts = msgpack.unpackb(data)
        except (ValueError, msgpack.exceptions.UnpackException):
            return None
        match parts:
            case [str(endpoint_id), str(service), str(address)]:
                return cls(endpoint_id, service, address)
        return None


class GroupRecords:
    """Reads the records from the view and writes them for the controller."""

    def __init__(self, records: RecordStore, view: StoreView, election: Election) -> None:
        self._records = records
        self._view = view
        self._election = election
        # of groups that were begun in this term, or found, whether the view shows a record or not
        self._leaders: dict[GroupId, _LeaderRecord] = {}
        self._ended: dict[GroupId, Detached] = {}
        # those whose records the store lost
        self._unwritten: set[GroupId] = set()

    def begin_term(self) -> None:
        """Forget what an earlier term of this daemon began and ended."""
        self._leaders.clear()
        self._ended.clear()
        self._unwritten.clear()
        for key, record in self._view.former_eras.lost_records.items():
            group = _group_of(key) if key.startswith(GROUPS_PREFIX) else None
            leader_record = _LeaderRecord.decode(record.value) if record.value is not None else None
            if group is not None and leader_record is not None:
                self._leaders[group] = leader_record
                self._unwritten.add(group)

    async def rewrite_lost_records(self) -> None:
        """Write the records again that the store lost, while this daemon is the controller."""
        while self._unwritten and self._election.is_controller:
            groups = sorted(self._unwritten)[:MAX_RECORDS_PER_WRITE]
            puts = {_key(group): self._leaders[group].encode() for group in groups}
            term = self._election.term
            assert term is not None
            try:
                written = await self._records.commit(puts, [], {CONTROLLER_KEY: term})
            except StoreError as error:
                # not known to be written: the same records are written once more
                events.LOST_RECORDS.log(groups=len(groups), problem=str(error))
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if not written:
                return
            self._unwritten.difference_update(groups)
            events.LOST_RECORDS.log(groups=len(groups), problem=None)

    @property
    def groups(self) -> list[GroupId]:
        """The groups that have a record, be it one that the view doesn't show yet."""
        shown = (_group_of(key) for key in self._view.records if key.startswith(GROUPS_PREFIX))
        return list(dict.fromkeys([*filter(None, shown), *self._leaders]))

    def can_answer(self, group: GroupId) -> bool:
        """Return whether a group has a record and was not ended in this term."""
        if group in self._ended:
            return False
        return group in self._leaders or _key(group) in self._view.records

    def is_over(self, group: GroupId) -> bool:
        """Return whether the members of a group are free.

        While the list isn't settled, the store may have lost the record of a group that stands.
        """
        if group in self._ended:
            return True
        return self._view.settled and not self.can_answer(group)

    def how_ended(self, group: GroupId) -> Detached | None:
        """Return how a group ended in this term; None if it didn't."""
        return self._ended.get(group)

    def leader(self, group: GroupId) -> Endpoint | None:
        """Return a group's leader, whether it is listed or not; None without a record.

        A record that another writer spoilt names none; then the list does.
        """
        leader_record = self._leaders.get(group) or self._recorded_leader(group)
        if leader_record is None:
            named = self._view.roster.groups.get(group)
            return named.leader if named is not None and self.can_answer(group) else None
        listed = self._view.roster.endpoints.get(leader_record.id)
        place = Membership(group, 0, GroupState.OPEN)
        return listed or Endpoint(
            leader_record.id, leader_record.service, leader_record.address, "", membership=place
        )

    def _recorded_leader(self, group: GroupId) -> _LeaderRecord | None:
        """Return what the view shows of a group's leader."""
        record = self._view.records.get(_key(group))
        if record is None or record.value is None:
            return None
        return _LeaderRecord.decode(record.value)

    async def begin(self, group: GroupId, plan: GroupPlan) -> bool:
        """Write a group's record, and remove those of groups that have ended.

        :returns: False if this daemon is no longer the controller.
        :raises StoreError: if it is not known to be written.
        """
        leader_record = _LeaderRecord.of(plan.members[0])
        term = self._election.term
        if term is None:
            return False
        gone = [ended for ended in self._ended if _key(ended) in self._view.records]
        written = await self._records.commit(
            {_key(group): leader_record.encode()},
            [_key(ended) for ended in gone[:MAX_REMOVALS_PER_WRITE]],
            {CONTROLLER_KEY: term},
        )
        if written:
            self._leaders[group] = leader_record
        return written

    def has_returned(self, group: Group) -> bool:
        """Return whether a group that should be over is listed with its leader.

        That leader may not have ended when the group did. One that left says so in its next entry,
        and one whose process ended doesn't write another.
        """
        unsure = self._ended.get(group.id) in (None, Detached.DEAD)
        return unsure and group.leader is not None and not self.can_answer(group.id)

    def restore(self, group: Group) -> None:
        """Count a group that is back as one that may answer, until it is ended again."""
        assert group.leader is not None
        self._ended.pop(group.id, None)
        self._leaders[group.id] = _LeaderRecord.of(group.leader)

    def end(self, group: GroupId, how: Detached) -> None:
        """Count a group as ended; its leader answers no more."""
        self._leaders.pop(group, None)
        self._unwritten.discard(group)
        self._ended[group] = how
