"""Permits: a daemon may use a group only while its holder lately said so.

A permit counts from the moment the daemon asked, on the daemon's own clock, and never
outlasts the confirmations that it rests on. Nothing has to be delivered to end one. It
carries the daemon's credits: how much work of each workspace it may have in the group.

Owns: who has asked for which group, and until when.
Relies on: clocks that run alike to :data:`~thorncleat_core.daemon.leases.MAX_DRIFT`;
confirmations of all members (:mod:`.groups`).
"""

import dataclasses
import types
import typing as t

from . import shares
from .groups import Confirmations
from .groups import Group
from .leases import MAX_DRIFT


class PermitRequest(t.NamedTuple):
    """What a daemon asks of a holder; a tuple, since names would double its bytes.

    :param group: the group to use.
    :param in_flight: requests of this daemon that the group is running.
    :param demand: tokens that are running or waiting, for each workspace.
    """

    group: str
    in_flight: int
    demand: t.Mapping[str, int] = types.MappingProxyType({})


class Permit(t.NamedTuple):
    """A holder's answer; a tuple as well.

    :param valid_for: seconds from the moment of asking; 0 if the group is closed.
    :param draining: whether no new work may be sent.
    :param leader: address of the member that answers.
    :param credits: tokens that the daemon may have in the group, for each workspace.
    :param spare: tokens beyond, for any workspace.
    """

    group: str
    epoch: int
    generation: int
    valid_for: float
    draining: bool
    leader: str
    credits: t.Mapping[str, int] = types.MappingProxyType({})
    spare: int = 0


@dataclasses.dataclass
class _Holding:
    asked_at: float
    in_flight: int
    told_draining: bool
    demand: t.Mapping[str, int]


class PermitIssuer:
    """The holder's side: gives permits and knows when all of a group's are over.

    :param longest: longest validity in seconds.
    :param capacity: tokens that a group can have in flight.
    """

    def __init__(self, longest: float, capacity: int) -> None:
        self._longest = longest
        self._outlived = longest * (1 + MAX_DRIFT)
        self._capacity = capacity
        self._holdings: dict[str, dict[str, _Holding]] = {}
        self._draining: set[str] = set()
        self._suspended: set[str] = set()

    @property
    def draining(self) -> frozenset[str]:
        """Groups that get no new work."""
        return frozenset(self._draining)

    def drain(self, group: str) -> None:
        """Let a group finish what it runs and give it no new work."""
        self._draining.add(group)

    def suspend(self, group: str) -> None:
        """Give out no more permits for a group."""
        self._suspended.add(group)

    def resume(self, group: str) -> None:
        """Give out permits again."""
        self._draining.discard(group)
        self._suspended.discard(group)

    def issue(
        self,
        daemon: str,
        request: PermitRequest,
        group: Group,
        confirmations: Confirmations,
        now: float,
    ) -> float:
        """Return for how long a daemon may use a group, in seconds, and note that it may."""
        end = min(confirmations.open_until(group), now + self._longest)
        if group.id in self._suspended or end <= now:
            return 0.0
        holdings = self._holdings.setdefault(group.id, {})
        told = group.id in self._draining
        holdings[daemon] = _Holding(now, request.in_flight, told, request.demand)
        return end - now

    def grant(self, group: str, daemon: str, weights: t.Mapping[str, float], now: float) -> "Grant":
        """Return a daemon's part of a group's capacity.

        :param weights: the share of each workspace.
        """
        holdings = self._holdings.get(group, {})
        demands = {
            name: holding.demand
            for name, holding in holdings.items()
            if now <= holding.asked_at + self._outlived
        }
        return Grant(*shares.divide(self._capacity, demands, weights, daemon))

    def latest_expiry(self, group: str) -> float:
        """Return a time after which no permit for a group is valid."""
        holdings = self._holdings.get(group, {})
        newest = max((holding.asked_at for holding in holdings.values()), default=float("-inf"))
        return newest + self._outlived

    def is_unused(self, group: str, now: float) -> bool:
        """Return whether a draining group has no work and gets none.

        Each daemon has either said so after it was told of the drain, or its permit is over.
        """
        return all(
            (holding.told_draining and holding.in_flight == 0)
            or now > holding.asked_at + self._outlived
            for holding in self._holdings.get(group, {}).values()
        )

    def daemons_with_permit(self, group: str, now: float) -> list[str]:
        """Return the daemons that may hold a valid permit."""
        holdings = self._holdings.get(group, {})
        return [
            name for name, holding in holdings.items() if now <= holding.asked_at + self._outlived
        ]


@dataclasses.dataclass(frozen=True)
class Grant:
    """A daemon's part of a group's capacity, in tokens.

    :param credits: for each workspace.
    :param spare: for any workspace.
    """

    credits: t.Mapping[str, int]
    spare: int


@dataclasses.dataclass
class HeldPermit:
    """The user's side of a permit.

    :param until: on the user's own clock.
    """

    permit: Permit
    until: float

    def is_usable(self, now: float) -> bool:
        """Return whether answers of the group may be passed on."""
        return now < self.until

    def is_accepting(self, now: float) -> bool:
        """Return whether new requests may be sent."""
        return self.is_usable(now) and not self.permit.draining


def to_held_permit(permit: Permit, asked_at: float) -> HeldPermit:
    """Return the permit as counted from the moment it was asked for."""
    return HeldPermit(permit, asked_at + permit.valid_for)
