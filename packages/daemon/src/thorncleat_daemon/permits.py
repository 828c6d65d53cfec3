"""Renewing the permits of the groups that this daemon uses.

Owns: the permits held, and the groups used for each model.
Relies on: holders that answer well within a permit's validity; this daemon's own clock for its end.
"""

import asyncio
import collections
import typing as t

import mode

from thorncleat_core import clock
from thorncleat_core import codec
from thorncleat_core.daemon import routing
from thorncleat_core.daemon.permits import HeldPermit
from thorncleat_core.daemon.permits import Permit
from thorncleat_core.daemon.permits import PermitRequest
from thorncleat_core.daemon.permits import to_held_permit
from thorncleat_core.exceptions import DecodeError

from . import background
from .exceptions import PeerError
from .gossip import Gossip
from .invariants import Invariant
from .invariants import Invariants
from .ports import Peers
from .shard_map import ShardMap

MIN_EARLY_RENEWAL_INTERVAL_SECONDS = 0.05
# Permits of a model that isn't requested for this long are no longer renewed.
MODEL_IDLE_SECONDS = 300.0
RENEWALS_PER_PERMIT = 4


class Usage(t.Protocol):
    """The dispatcher's view of this daemon's work in the groups."""

    def in_flight(self, group: str) -> int:
        """Return the number of requests running in a group."""
        ...

    def demand(self, group: str) -> dict[str, int]:
        """Return the tokens running in a group or queued for it, by workspace."""
        ...


class PermitManager(mode.Service):
    """Requests permits from the holders before the present ones expire.

    :param seconds: validity of a permit.
    :param attach: number of groups used for each model.
    """

    def __init__(
        self,
        me: str,
        gossip: Gossip,
        shards: ShardMap,
        peers: Peers,
        seconds: float,
        attach: int,
        now: clock.Clock = clock.now,
        invariants: Invariants | None = None,
    ) -> None:
        super().__init__()
        self._me = me
        self._clock = now
        self._invariants = invariants or Invariants()
        self._gossip = gossip
        self._shards = shards
        self._peers = peers
        self._seconds = seconds
        self._attach = attach
        self._permits: dict[str, HeldPermit] = {}
        self._model_used_at: dict[tuple[str, str], float] = {}
        self._groups_by_model: dict[tuple[str, str], list[str]] = {}
        self._renewed_early_at = 0.0
        self._renewal_listeners: list[t.Callable[[], None]] = []
        self._close_listeners: list[t.Callable[[str], None]] = []
        self.usage: Usage | None = None
        peers.handle("closed", self._on_closed)
        gossip.listen("group/", lambda record, sender: self._groups_by_model.clear())

    def on_renewed(self, listener: t.Callable[[], None]) -> None:
        """Register a function to call after each renewal."""
        self._renewal_listeners.append(listener)

    def on_closed(self, listener: t.Callable[[str], None]) -> None:
        """Register a function to call with each group that may no longer answer."""
        self._close_listeners.append(listener)

    def permit(self, group: str) -> HeldPermit | None:
        """Return the permit of a group, or None."""
        return self._permits.get(group)

    def usable(self, intent: str, model: str) -> list[HeldPermit]:
        """Return the permits that accept work for an intent now."""
        self._model_used_at[(intent, model)] = self._clock()
        now = self._clock()
        permits = (self._permits.get(group) for group in self.groups(intent, model))
        return [permit for permit in permits if permit and permit.is_accepting(now)]

    def groups(self, intent: str, model: str) -> list[str]:
        """Return the groups of an intent that this daemon uses."""
        groups = self._groups_by_model.get((intent, model))
        if groups is None:
            groups = self._groups_by_model[(intent, model)] = self._find_groups(intent, model)
        return groups

    def _find_groups(self, intent: str, model: str) -> list[str]:
        shard_by_group = {
            record.key.removeprefix("group/"): self._shards.shard_of(str(record.body["domain"]))
            for record in self._gossip.directory.with_prefix(f"group/{intent}-")
            if record.body.get("model") == model and record.body.get("intent") == intent
        }
        return routing.attached_groups(self._me, shard_by_group, self._attach)

    async def renew_early(self) -> None:
        """Renew before the next interval, at a limited rate."""
        now = self._clock()
        if now - self._renewed_early_at >= MIN_EARLY_RENEWAL_INTERVAL_SECONDS:
            self._renewed_early_at = now
            await self.renew()

    @mode.Service.task
    async def _renew_task(self) -> None:
        seconds = self._seconds / RENEWALS_PER_PERMIT
        await background.repeat("permits", self.renew, seconds, lambda: self.should_stop)

    async def renew(self) -> None:
        """Request all permits that are needed or in use."""
        now = self._clock()
        for key, used_at in list(self._model_used_at.items()):
            if now - used_at > MODEL_IDLE_SECONDS:
                del self._model_used_at[key]
        needed = {group for key in self._model_used_at for group in self.groups(*key)}
        for group in set(self._permits) - needed:
            if not self._is_in_use(group):
                del self._permits[group]
        by_shard: dict[int, list[str]] = collections.defaultdict(list)
        for group in sorted(needed | set(self._permits)):
            record = self._gossip.directory.get(f"group/{group}")
            if record:
                by_shard[self._shards.shard_of(str(record.body["domain"]))].append(group)
        await asyncio.gather(
            *(self._request_permits(shard, names) for shard, names in by_shard.items())
        )
        self._close_expired()
        self._check_disjoint()
        for listener in self._renewal_listeners:
            listener()

    def _is_in_use(self, group: str) -> bool:
        return self.usage is not None and self.usage.in_flight(group) > 0

    def _permit_request(self, group: str) -> PermitRequest:
        if self.usage is None:
            return PermitRequest(group, 0)
        demand = self.usage.demand(group)
        return PermitRequest(group, self.usage.in_flight(group), demand)

    async def _request_permits(self, shard: int, groups: list[str]) -> None:
        """Request permits from the holder, and the unanswered ones from the other candidates."""
        holder = self._shards.holder_of(shard)
        others = [name for name in self._shards.candidates(shard) if name != holder]
        remaining = groups
        for peer in [holder, *others] if holder else others:
            answered = await self._request_from_peer(peer, remaining)
            remaining = [group for group in remaining if group not in answered]
            if not remaining:
                return

    async def _request_from_peer(self, peer: str, groups: list[str]) -> set[str]:
        asked_at = self._clock()
        body = [self._permit_request(group) for group in groups]
        try:
            answer = await self._peers.ask(
                peer, "permit", body, self._seconds / RENEWALS_PER_PERMIT
            )
            permits = [codec.validate(Permit, raw) for raw in answer]
        except (PeerError, DecodeError, TypeError):
            # Without a permit the groups are not used, which is safe.
            return set()
        for permit in permits:
            if permit.group in groups:
                self._store_permit(permit, asked_at)
        return {permit.group for permit in permits}

    def _store_permit(self, permit: Permit, asked_at: float) -> None:
        current = self._permits.get(permit.group)
        version = (permit.epoch, permit.generation)
        if current and version < (current.permit.epoch, current.permit.generation):
            return
        self._permits[permit.group] = to_held_permit(permit, asked_at)
        if permit.valid_for <= 0:
            self._notify_closed(permit.group)

    def _close_expired(self) -> None:
        now = self._clock()
        for group, held_permit in list(self._permits.items()):
            if not held_permit.is_usable(now):
                self._notify_closed(group)

    def _check_disjoint(self) -> None:
        """Check the invariant that no instance is in two groups usable now."""
        now = self._clock()
        seen: dict[str, str] = {}
        for group, held_permit in self._permits.items():
            record = self._gossip.directory.get(f"group/{group}")
            if record is None or not held_permit.is_usable(now):
                continue
            if record.body.get("generation") != held_permit.permit.generation:
                continue
            for member in record.body["members"]:
                other = seen.setdefault(member, group)
                self._invariants.check(
                    other == group,
                    Invariant.INSTANCE_IN_TWO_GROUPS,
                    instance=member,
                    groups=[other, group],
                )

    def _notify_closed(self, group: str) -> None:
        for listener in self._close_listeners:
            listener(group)

    async def _on_closed(self, sender: str, body: t.Any) -> None:
        group, generation = str(body["group"]), int(body["generation"])
        current = self._permits.get(group)
        if current and current.permit.generation <= generation:
            current.until = 0.0
            self._notify_closed(group)
