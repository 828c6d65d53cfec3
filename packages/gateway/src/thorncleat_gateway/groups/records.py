"""A record in the store for each group that was begun and may still answer.

It is written before any member is ordered to join, under the condition that the writer is
still the controller, and it is removed only once the group's leader answers no more. So whoever
controls the groups next knows the leader of each group, listed or not, and knows that members of
a group without a record are free.

Owns: the groups that have ended in this term, until their records are removed.
Relies on: the store's conditional writes, and the view for what it holds.
"""

import dataclasses
import enum

import msgpack

from ..ports import RecordStore
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Membership
from ..store.view import StoreView
from .election import CONTROLLER
from .election import Election
from .formation import GroupPlan

GROUPS = "thorncleat/groups/"
# keys that one write may remove beside what it writes; chosen, not measured
REMOVED_AT_ONCE = 24


def _key(group: GroupId) -> str:
    return f"{GROUPS}{group.epoch}/{group.name}"


def _group(key: str) -> GroupId:
    epoch, _, name = key.removeprefix(GROUPS).partition("/")
    return GroupId(int(epoch), name)


class Detached(enum.Enum):
    """How a group came to answer no more; logged as ``how`` of event 7207."""

    NO_RECORD = "no record"
    LEFT = "left"
    ELSEWHERE = "in no such group"
    PROCESS_ENDED = "process ended"
    DEAD = "neither listed nor heard"


@dataclasses.dataclass(frozen=True)
class _Leader:
    """What is kept of a group's leader."""

    id: str
    service: str
    address: str

    def encode(self) -> bytes:
        packed: bytes = msgpack.packb([self.id, self.service, self.address])
        return packed

    @classmethod
    def decode(cls, data: bytes) -> "_Leader":
        return cls(*msgpack.unpackb(data))


class GroupRecords:
    """Reads the records from the view and writes them for the controller."""

    def __init__(self, records: RecordStore, view: StoreView, election: Election) -> None:
        self._records = records
        self._view = view
        self._election = election
        self._ended: dict[GroupId, Detached] = {}

    def begin_term(self) -> None:
        """Forget the groups that an earlier term of this daemon ended."""
        self._ended.clear()

    @property
    def groups(self) -> list[GroupId]:
        """The groups that may still answer, as far as the store says."""
        return [_group(key) for key in self._view.records if key.startswith(GROUPS)]

    def may_answer(self, group: GroupId) -> bool:
        """Return whether a group has a record and was not ended in this term."""
        return group not in self._ended and _key(group) in self._view.records

    def how_ended(self, group: GroupId) -> Detached | None:
        """Return how a group ended in this term; None if it didn't."""
        return self._ended.get(group)

    def leader(self, group: GroupId) -> Endpoint | None:
        """Return a group's leader, whether it is listed or not; None without a record."""
        record = self._view.records.get(_key(group))
        if record is None or record.value is None:
            return None
        kept = _Leader.decode(record.value)
        listed = self._view.roster.endpoints.get(kept.id)
        place = Membership(group, 0, GroupState.OPEN)
        return listed or Endpoint(kept.id, kept.service, kept.address, "", membership=place)

    async def begin(self, group: GroupId, plan: GroupPlan) -> bool:
        """Write a group's record, and remove those of groups that have ended.

        :returns: False if this daemon is no longer the controller.
        :raises StoreError: if it is not known to be written.
        """
        first = plan.members[0]
        kept = _Leader(first.id, first.service, first.address)
        gone = [ended for ended in self._ended if _key(ended) in self._view.records]
        return await self._records.commit(
            {_key(group): kept.encode()},
            [_key(ended) for ended in gone[:REMOVED_AT_ONCE]],
            {CONTROLLER: self._election.term},
        )

    def end(self, group: GroupId, how: Detached) -> None:
        """Count a group as ended; its leader answers no more."""
        self._ended[group] = how
