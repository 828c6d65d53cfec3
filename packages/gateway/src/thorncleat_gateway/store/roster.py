"""The endpoints as the platform lists them, and the groups that their entries name.

Groups aren't stored: they are built from the entries of their members.

Owns: the listed endpoints, those that reported that they drain, recently removed ones, and since
when endpoints are listed without a group.
Relies on: :mod:`.view` for each change of the list and for when a missing endpoint is removed.
"""

import dataclasses
import enum
import typing as t

from thorncleat_core.values import NOT_EMPTY
from thorncleat_core.values import Address
from thorncleat_core.values import Amount
from thorncleat_core.values import Epoch
from thorncleat_core.values import Id
from thorncleat_core.values import Integer
from thorncleat_core.values import Name
from thorncleat_core.values import Natural

_T = t.TypeVar("_T")

# How long a removed endpoint is remembered.
REMOVED_TTL_SECONDS = 60.0
# How long an entry stays in the store without heartbeats.
ENTRY_TTL_SECONDS = 4.0


class GroupState(enum.Enum):
    """The state that a member reports for itself in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, order=True)
class GroupId:
    """Identifies one formation of a group; no two formations share both fields.

    :param epoch: rises with each formation.
    """

    epoch: Epoch
    name: t.Annotated[Name, NOT_EMPTY]


@dataclasses.dataclass(frozen=True)
class Membership:
    """An endpoint's place in a group; the member of rank 0 is the leader and answers requests."""

    group: GroupId
    rank: Natural
    state: GroupState

    def is_at(self, group: GroupId, rank: int) -> bool:
        """Return whether this is the place of a rank in a group."""
        return (self.group, self.rank) == (group, rank)


class Incarnation(t.NamedTuple):
    """One run of an endpoint's process.

    An endpoint may restart under its id. Its new incarnation is in no group and has begun no order.

    :param born: Unix milliseconds of its start; None if the endpoint doesn't report it, and then
        has a new id after each start.
    """

    endpoint_id: str
    born: int | None

    def is_superseded_by(self, seen: "Incarnation") -> bool:
        """Return whether another incarnation of the same endpoint was seen.

        The times don't show which of the two is later, since the clock of an instance may be set
        back.
        """
        return self.born is not None and seen.born is not None and self.born != seen.born


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint as it describes itself in the list.

    :param id: id of the endpoint, which may keep it across restarts.
    :param order_count: unused, kept for :mod:`.change_codec`. It rises with heartbeats too, unlike
        the count of an :class:`EngineReport`, which can be the condition of an order.
    :param fabric_domain: the domain whose instances one group may span.
    :param models: the loaded models.
    :param staged: models that are stored on its host.
    :param slots: how many requests it runs at once; for endpoints with an engine the slots of the
        service's engine apply.
    :param born: Unix milliseconds of its start; None if not reported.
    :param cold_for: seconds for which it was still cold when it wrote its entry; 0 if it is warm.
    """

    id: Id
    service: Name
    address: Address
    failure_domain: Name
    draining: bool = False
    order_count: Integer = 0
    fabric_domain: Name = ""
    models: tuple[Name, ...] = ()
    staged: tuple[Name, ...] = ()
    membership: Membership | None = None
    slots: Natural = 1
    born: Natural | None = None
    cold_for: Amount = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """The run of its process that the entry describes."""
        return Incarnation(self.id, self.born)

    @property
    def is_serving_leader(self) -> bool:
        """Whether the endpoint is the leader of an open group."""
        place = self.membership
        return place is not None and place.rank == 0 and place.state is GroupState.OPEN


@dataclasses.dataclass
class Group:
    """A group as its listed members describe it."""

    id: GroupId
    members: dict[int, Endpoint] = dataclasses.field(default_factory=dict)

    @property
    def leader(self) -> Endpoint | None:
        """The member of rank 0, or None if it isn't listed."""
        return self.members.get(0)

    @property
    def model(self) -> str:
        """The model that its members name, or an empty string."""
        for member in self.members.values():
            if member.models:
                return member.models[0]
        return ""

    @property
    def state(self) -> GroupState | None:
        """The leader's state, or None if the leader isn't listed."""
        leader = self.leader
        return leader.membership.state if leader and leader.membership else None


@dataclasses.dataclass(frozen=True)
class _UnconfirmedEntry:
    """An entry of a removed endpoint that reappeared when the store was restored.

    The endpoint is listed only once its entry is written again or outlasts its TTL.

    :param confirmed_at: time at which the TTL has passed.
    """

    endpoint: Endpoint
    confirmed_at: float


@dataclasses.dataclass(frozen=True)
class RemovedEndpoint:
    """An endpoint that is no longer listed.

    :param at: time of its removal, on this daemon's clock.
    """

    endpoint: Endpoint
    at: float


@dataclasses.dataclass(frozen=True)
class Ungrouped:
    """Since when an incarnation is listed without a group.

    :param since: time of the first such entry, on this daemon's clock.
    :param former: the group that the entry before named; None if there was none.
    """

    since: float
    former: GroupId | None


class Roster:
    """The listed endpoints, and those that are missing or were removed recently.

    :ivar removed: the endpoints that were removed recently.
    :ivar ungrouped: by id, the endpoints whose latest entry names no group.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._groups: dict[GroupId, Group] | None = None
        # Removal times of endpoints that aren't listed at present.
        self._missing: dict[str, float] = {}
        # The stored entries of endpoints that reported in an answer that they drain.
        self._reported_draining: dict[str, Endpoint] = {}
        self._unconfirmed: dict[str, _UnconfirmedEntry] = {}
        self.removed: dict[str, RemovedEndpoint] = {}
        self.ungrouped: dict[str, Ungrouped] = {}
        # By id, the group that an endpoint has left last.
        self._left: dict[str, GroupId] = {}

    @property
    def endpoints(self) -> t.Mapping[str, Endpoint]:
        """The listed endpoints."""
        return self._endpoints

    @property
    def stored_entries(self) -> t.Iterable[Endpoint]:
        """The entries as they are stored, without draining that was only reported in answers.

        Unconfirmed entries are included: a reader of the snapshot gets no change when they are
        confirmed.
        """
        for endpoint in self._endpoints.values():
            yield self._reported_draining.get(endpoint.id, endpoint)
        for unconfirmed in self._unconfirmed.values():
            yield unconfirmed.endpoint

    @property
    def missing(self) -> t.Collection[str]:
        """The ids of endpoints that aren't listed at present and haven't been removed yet."""
        return self._missing.keys()

    @property
    def next_due(self) -> float:
        """The next time at which :meth:`expire` has something to do; infinite if never."""
        due = (unconfirmed.confirmed_at for unconfirmed in self._unconfirmed.values())
        return min((*self._missing.values(), *due), default=float("inf"))

    @property
    def groups(self) -> t.Mapping[GroupId, Group]:
        """The groups that listed endpoints name."""
        if self._groups is None:
            self._groups = _build_groups(self._endpoints.values())
        return self._groups

    @property
    def left_groups(self) -> t.Collection[GroupId]:
        """The groups that lack a member, since it has left or has started again."""
        return set(self._left.values())

    def put(self, endpoint: Endpoint, now: float) -> bool:
        """Store an endpoint's newest entry.

        An entry of an earlier incarnation is stored too, since the store may carry out a write
        late. The endpoint's next heartbeat corrects it, whereas a skipped entry would not return.

        :returns: whether it describes another incarnation than the entry before.
        """
        before = self._endpoints.get(endpoint.id)
        restarted = before is not None and before.incarnation.is_superseded_by(endpoint.incarnation)
        self._record_group(endpoint, now)
        self._endpoints[endpoint.id] = self._apply_reported_draining(
            self._carry_over_draining(endpoint)
        )
        self._missing.pop(endpoint.id, None)
        self._unconfirmed.pop(endpoint.id, None)
        self.removed.pop(endpoint.id, None)
        self._groups = None
        return restarted

    def _record_group(self, listed: Endpoint, now: float) -> None:
        """Record which group an endpoint has left, and since when it is listed without one."""
        removed = self.removed.get(listed.id)
        before = self._endpoints.get(listed.id, removed.endpoint if removed is not None else None)
        former = before.membership.group if before is not None and before.membership else None
        group = listed.membership.group if listed.membership is not None else None
        if former is not None and former != group:
            self._left[listed.id] = former
        elif group is not None and self._left.get(listed.id) == group:
            # The entry before was an older one that was written late.
            del self._left[listed.id]
        if group is not None:
            self.ungrouped.pop(listed.id, None)
        elif before is None or before.incarnation.is_superseded_by(listed.incarnation):
            self.ungrouped[listed.id] = Ungrouped(now, None)
        elif former is not None:
            self.ungrouped[listed.id] = Ungrouped(now, former)

    def _carry_over_draining(self, listed: Endpoint) -> Endpoint:
        """Return an entry with the draining of an earlier entry of the same incarnation.

        The store may show an older entry again, but draining lasts until the incarnation ends.
        """
        removed = self.removed.get(listed.id)
        before = self._endpoints.get(listed.id, removed.endpoint if removed is not None else None)
        before = self._reported_draining.get(listed.id, before)
        if (
            before is None
            or not before.draining
            or before.incarnation.is_superseded_by(listed.incarnation)
        ):
            return listed
        return dataclasses.replace(listed, draining=True)

    def _apply_reported_draining(self, listed: Endpoint) -> Endpoint:
        """Return an entry with the draining that its incarnation reported in answers."""
        before = self._reported_draining.get(listed.id)
        if before is None:
            return listed
        if before.incarnation.is_superseded_by(listed.incarnation):
            del self._reported_draining[listed.id]
            return listed
        self._reported_draining[listed.id] = listed
        return dataclasses.replace(listed, draining=True)

    def mark_draining(self, incarnation: Incarnation) -> bool:
        """Record that an incarnation reported that it drains.

        A report of another incarnation than the listed one is ignored.

        :returns: whether this changes the listed endpoint.
        """
        endpoint = self._endpoints.get(incarnation.endpoint_id)
        if (
            endpoint is None
            or endpoint.incarnation.is_superseded_by(incarnation)
            or endpoint.id in self._reported_draining
        ):
            return False
        self._reported_draining[endpoint.id] = endpoint
        if endpoint.draining:
            return False
        self._endpoints[endpoint.id] = dataclasses.replace(endpoint, draining=True)
        self._groups = None
        return True

    def unlist(self, endpoint_id: str, now: float, remove_at: float | None) -> None:
        """Record that an endpoint is no longer listed.

        :param remove_at: time of its removal, unless it is listed again before; None to remove it
            at once.
        """
        self._unconfirmed.pop(endpoint_id, None)
        if remove_at is None:
            self.remove(endpoint_id, now)
        elif endpoint_id in self._endpoints:
            self._missing.setdefault(endpoint_id, remove_at)

    def remove(self, endpoint_id: str, now: float) -> None:
        """Remove an endpoint, and remember it as removed for a while."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        self._missing.pop(endpoint_id, None)
        if endpoint is None:
            return
        self._groups = None
        self.removed = {
            key: removed
            for key, removed in self.removed.items()
            if now - removed.at < REMOVED_TTL_SECONDS
        }
        self.removed[endpoint_id] = RemovedEndpoint(endpoint, now)
        self._reported_draining = self._known(self._reported_draining)
        self.ungrouped = self._known(self.ungrouped)
        self._left = self._known(self._left)

    def _known(self, by_id: dict[str, _T]) -> dict[str, _T]:
        """Return what some endpoints have that are listed or were removed recently."""
        return {
            key: value
            for key, value in by_id.items()
            if key in self._endpoints or key in self.removed
        }

    def replace(
        self,
        endpoints: t.Iterable[Endpoint],
        now: float,
        remove_at: float | None = None,
        *,
        restored: bool = False,
    ) -> None:
        """Replace the whole list.

        :param remove_at: removal time of endpoints that aren't in it, as for :meth:`unlist`.
        :param restored: whether the store was restored from a copy since the last list.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for missing in {*self._endpoints, *self._unconfirmed} - set(listed):
            self.unlist(missing, now, remove_at)
        for endpoint in listed.values():
            if restored and self._is_removed(endpoint):
                confirmed_at = now + ENTRY_TTL_SECONDS
                self._unconfirmed[endpoint.id] = _UnconfirmedEntry(endpoint, confirmed_at)
            elif not self._is_unconfirmed(endpoint):
                self.put(endpoint, now)

    def _is_removed(self, listed: Endpoint) -> bool:
        """Return whether the incarnation that an entry describes was removed recently."""
        removed = self.removed.get(listed.id)
        return removed is not None and not removed.endpoint.incarnation.is_superseded_by(
            listed.incarnation
        )

    def _is_unconfirmed(self, listed: Endpoint) -> bool:
        unconfirmed = self._unconfirmed.get(listed.id)
        return unconfirmed is not None and unconfirmed.endpoint == listed

    def expire(self, now: float) -> bool:
        """Remove endpoints whose removal time has come, and list confirmed ones.

        An unconfirmed entry that outlasts its TTL in the store is confirmed.

        :returns: whether anything changed.
        """
        overdue = [key for key, remove_at in self._missing.items() if remove_at <= now]
        for endpoint_id in overdue:
            self.remove(endpoint_id, now)
        confirmed = [
            entry.endpoint for entry in self._unconfirmed.values() if entry.confirmed_at <= now
        ]
        for endpoint in confirmed:
            self.put(endpoint, now)
        return bool(overdue or confirmed)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the listed endpoints of a service."""
        return [endpoint for endpoint in self._endpoints.values() if endpoint.service == service]


def _build_groups(endpoints: t.Iterable[Endpoint]) -> dict[GroupId, Group]:
    groups: dict[GroupId, Group] = {}
    for endpoint in endpoints:
        place = endpoint.membership
        if place is not None:
            group = groups.setdefault(place.group, Group(place.group))
            group.members[place.rank] = endpoint
    return groups
