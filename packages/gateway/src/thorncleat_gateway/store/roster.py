"""The endpoints as the platform lists them, and the groups that they say they are in.

Nothing of a group is stored: its members name it, its epoch and their ranks themselves, so
whoever reads the list knows all groups.

An endpoint that drains says so in its answers as well, and may be listed as ready still, or
again: a late write, one of the life before, or a copy from which the store came back. What it said
in its answers or its entry holds for the rest of its life.

A copy may also list endpoints that have gone. One that is known to have gone isn't used again on
the copy's word alone: its entry has to change, or to stand for longer than an endpoint that has
ended keeps one.

Owns: the listed endpoints, those that said that they drain, and for a while those that have gone.
Relies on: :mod:`.view` for each change of the list and for when a missing endpoint is removed.
"""

import dataclasses
import enum
import typing as t

# for which an endpoint that has gone is remembered
REMEMBER_GONE_SECONDS = 60.0
# after which an entry without heartbeats has run out
ENTRY_TTL_SECONDS = 4.0


class GroupState(enum.Enum):
    """What a member says of itself in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, order=True)
class GroupId:
    """A formation of a group; no two formations share both.

    :param epoch: rises with each formation.
    """

    epoch: int
    name: str


@dataclasses.dataclass(frozen=True)
class Membership:
    """An endpoint's place in a group; the member of rank 0 leads it and answers."""

    group: GroupId
    rank: int
    state: GroupState

    def is_at(self, group: GroupId, rank: int) -> bool:
        """Return whether it is a certain place in a group."""
        return (self.group, self.rank) == (group, rank)


class Incarnation(t.NamedTuple):
    """One run of an endpoint's process.

    An endpoint may start again under its id. Then it knows nothing of before: it is in no group,
    and has begun no order.

    :param born: Unix milliseconds of its start; None where that isn't told, and each start has an
        id of its own.
    """

    endpoint_id: str
    born: int | None

    def is_superseded_by(self, seen: "Incarnation") -> bool:
        """Return whether another life of the same endpoint was seen.

        Which of the two is the later one is not read from the times: the clock of an instance may
        have been set back in between.
        """
        return self.born is not None and seen.born is not None and self.born != seen.born


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A worker as it describes itself in the list.

    :param id: of the worker, which it may keep when it starts again.
    :param order_count: as its entry says; the entry's count rises with heartbeats too, so only
        an :class:`EngineReport` can tell the condition for an order. Unused, kept for
        :mod:`.change_codec`.
    :param fabric_domain: of the instances that one group may span.
    :param models: those that it has loaded.
    :param staged: models that lie on its host.
    :param slots: requests that it runs at once; unused, since those of a group count, and kept
        for :mod:`.change_codec`.
    :param born: Unix milliseconds of its start; None if it doesn't tell.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    draining: bool = False
    order_count: int = 0
    fabric_domain: str = ""
    models: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    slots: int = 1
    born: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The run of its process that the entry describes."""
        return Incarnation(self.id, self.born)

    @property
    def is_serving_leader(self) -> bool:
        """Whether it answers requests for its group now."""
        member = self.membership
        return member is not None and member.rank == 0 and member.state is GroupState.OPEN


@dataclasses.dataclass
class Group:
    """A group as its listed members describe it."""

    id: GroupId
    members: dict[int, Endpoint] = dataclasses.field(default_factory=dict)

    @property
    def leader(self) -> Endpoint | None:
        """The member of rank 0, if it is listed."""
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
        """The leader's state, if it is listed."""
        leader = self.leader
        return leader.membership.state if leader and leader.membership else None


@dataclasses.dataclass(frozen=True)
class _Doubted:
    """An entry that came back with a copy, of an endpoint that had gone.

    :param believed_at: when it is believed, unless it has run out by then.
    """

    endpoint: Endpoint
    believed_at: float


@dataclasses.dataclass(frozen=True)
class RemovedEndpoint:
    """An endpoint that is no longer listed.

    :param at: when this was learnt, on the reader's own clock.
    """

    endpoint: Endpoint
    at: float


class Roster:
    """The endpoints known, by id."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._groups: dict[GroupId, Group] | None = None
        # not listed any more, and when they are removed unless they are listed again
        self._lapsed: dict[str, float] = {}
        # those that said that they drain, as the list shows them
        self._said_draining: dict[str, Endpoint] = {}
        # entries that aren't believed yet
        self._doubted: dict[str, _Doubted] = {}
        self.removed: dict[str, RemovedEndpoint] = {}

    @property
    def endpoints(self) -> t.Mapping[str, Endpoint]:
        """The listed endpoints."""
        return self._endpoints

    @property
    def stored_entries(self) -> t.Iterable[Endpoint]:
        """The listed endpoints, without what they have said otherwise."""
        for endpoint in self._endpoints.values():
            yield self._said_draining.get(endpoint.id, endpoint)
        for doubted in self._doubted.values():
            # who learns of them here hears of no change when they are believed
            yield doubted.endpoint

    @property
    def missing(self) -> t.Collection[str]:
        """The ids of those that count as listed, and will be removed unless they are again."""
        return self._lapsed.keys()

    @property
    def next_due(self) -> float:
        """When :meth:`expire` has something to do next; infinite if never."""
        believed = (doubted.believed_at for doubted in self._doubted.values())
        return min((*self._lapsed.values(), *believed), default=float("inf"))

    @property
    def groups(self) -> t.Mapping[GroupId, Group]:
        """The groups that listed endpoints name."""
        if self._groups is None:
            self._groups = _grouped(self._endpoints.values())
        return self._groups

    def put(self, endpoint: Endpoint) -> bool:
        """Keep an endpoint's newest entry.

        It may be one of the life before, since the store may carry out a write seconds after it
        was sent. It is kept all the same: the endpoint's next heartbeat writes its own again, and
        an entry that was left out by mistake would come no second time.

        :returns: whether it is of another life than the entry before.
        """
        known = self._endpoints.get(endpoint.id)
        started_again = known is not None and known.incarnation.is_superseded_by(
            endpoint.incarnation
        )
        self._endpoints[endpoint.id] = self._with_said(self._drains_on(endpoint))
        self._lapsed.pop(endpoint.id, None)
        self._doubted.pop(endpoint.id, None)
        self.removed.pop(endpoint.id, None)
        self._groups = None
        return started_again

    def _drains_on(self, listed: Endpoint) -> Endpoint:
        """Return an entry with the draining that an earlier entry of the same life told."""
        gone = self.removed.get(listed.id)
        before = self._endpoints.get(listed.id, gone.endpoint if gone is not None else None)
        before = self._said_draining.get(listed.id, before)
        if (
            before is None
            or not before.draining
            or before.incarnation.is_superseded_by(listed.incarnation)
        ):
            return listed
        return dataclasses.replace(listed, draining=True)

    def _with_said(self, listed: Endpoint) -> Endpoint:
        """Return an entry with what its endpoint has said in this life."""
        before = self._said_draining.get(listed.id)
        if before is None:
            return listed
        if before.incarnation.is_superseded_by(listed.incarnation):
            del self._said_draining[listed.id]
            return listed
        self._said_draining[listed.id] = listed
        return dataclasses.replace(listed, draining=True)

    def mark_draining(self, incarnation: Incarnation) -> bool:
        """Note that an endpoint said that it drains; return whether that changes anything.

        It may have said so in a life that is over.
        """
        endpoint = self._endpoints.get(incarnation.endpoint_id)
        if (
            endpoint is None
            or endpoint.incarnation.is_superseded_by(incarnation)
            or endpoint.id in self._said_draining
        ):
            return False
        self._said_draining[endpoint.id] = endpoint
        if endpoint.draining:
            return False
        self._endpoints[endpoint.id] = dataclasses.replace(endpoint, draining=True)
        self._groups = None
        return True

    def unlist(self, endpoint_id: str, now: float, removed_at: float | None) -> None:
        """Note that an endpoint is no longer listed.

        :param removed_at: before which it may be listed again, and counts as listed; None to
            remove it at once.
        """
        self._doubted.pop(endpoint_id, None)
        if removed_at is None:
            self.remove(endpoint_id, now)
        elif endpoint_id in self._endpoints:
            self._lapsed.setdefault(endpoint_id, removed_at)

    def remove(self, endpoint_id: str, now: float) -> None:
        """Remove an endpoint, and remember it for a while as gone."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        self._lapsed.pop(endpoint_id, None)
        if endpoint is None:
            return
        self._groups = None
        self.removed = {
            key: gone for key, gone in self.removed.items() if now - gone.at < REMEMBER_GONE_SECONDS
        }
        self.removed[endpoint_id] = RemovedEndpoint(endpoint, now)
        self._said_draining = {
            key: said
            for key, said in self._said_draining.items()
            if key in self._endpoints or key in self.removed
        }

    def replace(
        self,
        endpoints: t.Iterable[Endpoint],
        now: float,
        removed_at: float | None = None,
        *,
        restored: bool = False,
    ) -> None:
        """Put the whole list in place of what was known.

        :param removed_at: for those that are missing, as for :meth:`unlist`.
        :param restored: whether the store has come back from a copy since.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for missing in {*self._endpoints, *self._doubted} - set(listed):
            self.unlist(missing, now, removed_at)
        for endpoint in listed.values():
            if restored and self._has_gone(endpoint):
                believed_at = now + ENTRY_TTL_SECONDS
                self._doubted[endpoint.id] = _Doubted(endpoint, believed_at)
            elif not self._is_doubted(endpoint):
                self.put(endpoint)

    def _has_gone(self, listed: Endpoint) -> bool:
        """Return whether the life that an entry describes is known to have gone."""
        gone = self.removed.get(listed.id)
        return gone is not None and not gone.endpoint.incarnation.is_superseded_by(
            listed.incarnation
        )

    def _is_doubted(self, listed: Endpoint) -> bool:
        doubted = self._doubted.get(listed.id)
        return doubted is not None and doubted.endpoint == listed

    def expire(self, now: float) -> bool:
        """Remove the endpoints that weren't listed again in time, and believe what still stands.

        :returns: whether there were any.
        """
        late = [key for key, removed_at in self._lapsed.items() if removed_at <= now]
        for endpoint_id in late:
            self.remove(endpoint_id, now)
        standing = [one.endpoint for one in self._doubted.values() if one.believed_at <= now]
        for endpoint in standing:
            self.put(endpoint)
        return bool(late or standing)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the listed endpoints of a service."""
        return [endpoint for endpoint in self._endpoints.values() if endpoint.service == service]


def _grouped(endpoints: t.Iterable[Endpoint]) -> dict[GroupId, Group]:
    groups: dict[GroupId, Group] = {}
    for endpoint in endpoints:
        member = endpoint.membership
        if member is not None:
            group = groups.setdefault(member.group, Group(member.group))
            group.members[member.rank] = endpoint
    return groups
