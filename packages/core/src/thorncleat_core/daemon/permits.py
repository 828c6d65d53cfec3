"""Permits: short-lived permissions of a daemon to use a group, issued by the group's holder.

A permit is valid from the time of the request on the daemon's own clock, and expires no later than
the confirmations of the group's members. It includes the daemon's credits for each workspace.

Owns: the permits that the holder has issued.
Relies on: clocks whose rates differ by at most
:data:`~thorncleat_core.daemon.leases.MAX_DRIFT`, the confirmations in :mod:`.groups`.
"""

import dataclasses
import types
import typing as t

from . import shares
from .groups import Confirmations
from .groups import Group
from .leases import MAX_DRIFT


class PermitRequest(t.NamedTuple):
    """A daemon's request for a permit, sent as a tuple to save bytes.

    :param group: id of the group.
    :param in_flight: number of requests that this daemon has in flight in the group.
    :param demand: tokens in flight or queued for each workspace.
    """

    group: str
    in_flight: int
    demand: t.Mapping[str, int] = types.MappingProxyType({})


class Permit(t.NamedTuple):
    """The holder's answer to a request for a permit, sent as a tuple to save bytes.

    :param valid_for: validity in seconds from the time of the request; 0 if the group is closed.
    :param draining: whether the group takes no new requests.
    :param leader: address of the group's leader.
    :param credits: tokens that the daemon may have in flight for each workspace.
    :param spare: additional tokens for any workspace.
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
class _IssuedPermit:
    """The latest permit of a daemon for a group.

    :param has_drain_notice: whether the permit said that the group is draining.
    """

    issued_at: float
    in_flight: int
    has_drain_notice: bool
    demand: t.Mapping[str, int]


class PermitIssuer:
    """Issues a holder's permits and tracks when they expire.

    :param max_validity: maximum validity of a permit in seconds.
    :param capacity: maximum tokens in flight in a group.
    """

    def __init__(self, max_validity: float, capacity: int) -> None:
        self._max_validity = max_validity
        self._expiry_seconds = max_validity * (1 + MAX_DRIFT)
        self._capacity = capacity
        self._issued: dict[str, dict[str, _IssuedPermit]] = {}
        self._draining: set[str] = set()
        self._suspended: set[str] = set()

    @property
    def draining(self) -> frozenset[str]:
        """The ids of the groups that take no new requests."""
        return frozenset(self._draining)

    def drain(self, group: str) -> None:
        """Mark a group as draining, so that it takes no new requests."""
        self._draining.add(group)

    def suspend(self, group: str) -> None:
        """Stop issuing permits for a group."""
        self._suspended.add(group)

    def resume(self, group: str) -> None:
        """Issue permits for a group again and stop draining it."""
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
        """Issue a permit and return its validity in seconds; 0 if the group can't be used."""
        end = min(confirmations.open_until(group), now + self._max_validity)
        if group.id in self._suspended or end <= now:
            return 0.0
        issued = self._issued.setdefault(group.id, {})
        is_draining = group.id in self._draining
        issued[daemon] = _IssuedPermit(now, request.in_flight, is_draining, request.demand)
        return end - now

    def grant(self, group: str, daemon: str, weights: t.Mapping[str, float], now: float) -> "Grant":
        """Return the part of a group's capacity that a daemon gets.

        :param weights: share of each workspace.
        """
        issued = self._issued.get(group, {})
        demands = {
            name: permit.demand
            for name, permit in issued.items()
            if now <= permit.issued_at + self._expiry_seconds
        }
        return Grant(*shares.divide(self._capacity, demands, weights, daemon))

    def latest_expiry(self, group: str) -> float:
        """Return the time after which no permit for a group is valid."""
        issued = self._issued.get(group, {})
        newest = max((permit.issued_at for permit in issued.values()), default=float("-inf"))
        return newest + self._expiry_seconds

    def is_unused(self, group: str, now: float) -> bool:
        """Return whether a draining group has no requests in flight and gets none.

        Every daemon must have reported this after it learned of the drain, or have no valid permit.
        """
        return all(
            (permit.has_drain_notice and permit.in_flight == 0)
            or now > permit.issued_at + self._expiry_seconds
            for permit in self._issued.get(group, {}).values()
        )

    def daemons_with_permit(self, group: str, now: float) -> list[str]:
        """Return the ids of the daemons that may have a valid permit."""
        issued = self._issued.get(group, {})
        return [
            daemon
            for daemon, permit in issued.items()
            if now <= permit.issued_at + self._expiry_seconds
        ]


@dataclasses.dataclass(frozen=True)
class Grant:
    """The part of a group's capacity that a daemon gets, in tokens.

    :param credits: tokens for each workspace.
    :param spare: additional tokens for any workspace.
    """

    credits: t.Mapping[str, int]
    spare: int


@dataclasses.dataclass
class HeldPermit:
    """A permit from the perspective of the daemon that requested it.

    :param until: time of expiry on the daemon's own clock.
    """

    permit: Permit
    until: float

    def is_usable(self, now: float) -> bool:
        """Return whether responses of the group may be forwarded."""
        return now < self.until

    def is_accepting(self, now: float) -> bool:
        """Return whether new requests may be sent to the group."""
        return self.is_usable(now) and not self.permit.draining


def to_held_permit(permit: Permit, requested_at: float) -> HeldPermit:
    """Return a permit with its expiry, counted from the time of the request."""
    return HeldPermit(permit, requested_at + permit.valid_for)
