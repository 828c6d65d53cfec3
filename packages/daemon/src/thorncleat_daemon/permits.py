"""Keeping permits for the groups that this daemon uses.

Owns: the permits held, and the groups attached to for each model.
Relies on: holders to answer within a quarter of a permit's life; this daemon's own clock for
its end.
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
from thorncleat_core.daemon.permits import held
from thorncleat_core.exceptions import DecodeError

from . import background
from .exceptions import PeerError
from .gossip import Gossip
from .invariants import Invariant
from .invariants import Invariants
from .ports import Peers
from .shard_map import ShardMap

# least time between renewals out of turn
MIN_EARLY_RENEWAL_INTERVAL_SECONDS = 0.05
# after which a model that nobody asks for needs no permits
MODEL_IDLE_SECONDS = 300.0
# times that a permit is asked for again in its life
RENEWALS_PER_PERMIT = 4


class Usage(t.Protocol):
    """What this daemon has in the groups, as the dispatcher knows it."""

    def in_flight(self, group: str) -> int:
        """Return the requests that run in a group."""
        ...

    def demand(self, group: str) -> dict[str, int]:
        """Return the tokens that run in a group or wait for one, for each workspace."""
        ...


class PermitManager(mode.Service):
    """Asks the holders for permits before the old ones end.

    :param seconds: validity that holders give; a permit is renewed four times in it.
    :param attach: groups that are used for each model.
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
        self._models: dict[tuple[str, str], float] = {}
        self._groups: dict[tuple[str, str], list[str]] = {}
        self._renewed_early_at = 0.0
        self._renewal_listeners: list[t.Callable[[], None]] = []
        self._close_listeners: list[t.Callable[[str], None]] = []
        self.usage: Usage | None = None
        peers.handle("closed", self._on_closed)
        gossip.listen("group/", lambda record, sender: self._groups.clear())

    def on_renewed(self, listener: t.Callable[[], None]) -> None:
        """Call a function after permits were renewed."""
        self._renewal_listeners.append(listener)

    def on_closed(self, listener: t.Callable[[str], None]) -> None:
        """Call a function with each group that may not answer any more."""
        self._close_listeners.append(listener)

    def permit(self, group: str) -> HeldPermit | None:
        """Return the permit for a group."""
        return self._permits.get(group)

    def usable(self, intent: str, model: str) -> list[HeldPermit]:
        """Return the permits under which work for an intent may be sent now."""
        self._models[(intent, model)] = self._clock()
        now = self._clock()
        found = (self._permits.get(group) for group in self.groups(intent, model))
        return [permit for permit in found if permit and permit.takes_work(now)]

    def groups(self, intent: str, model: str) -> list[str]:
        """Return the groups of an intent that this daemon is attached to."""
        found = self._groups.get((intent, model))
        if found is None:
            found = self._groups[(intent, model)] = self._find_groups(intent, model)
        return found

    def _find_groups(self, intent: str, model: str) -> list[str]:
        current = {
            record.key.removeprefix("group/"): self._shards.shard_of(str(record.body["domain"]))
            for record in self._gossip.directory.under(f"group/{intent}-")
            if record.body.get("model") == model and record.body.get("intent") == intent
        }
        return routing.attached(self._me, current, self._attach)

    async def renew_early(self) -> None:
        """Renew now instead of at the next turn, though not too often."""
        now = self._clock()
        if now - self._renewed_early_at >= MIN_EARLY_RENEWAL_INTERVAL_SECONDS:
            self._renewed_early_at = now
            await self.renew()

    @mode.Service.task
    async def _renew_task(self) -> None:
        seconds = self._seconds / RENEWALS_PER_PERMIT
        await background.repeat("permits", self.renew, seconds, lambda: self.should_stop)

    async def renew(self) -> None:
        """Ask for all permits that are wanted or in use."""
        now = self._clock()
        for key, used in list(self._models.items()):
            if now - used > MODEL_IDLE_SECONDS:
                del self._models[key]
        needed = {group for key in self._models for group in self.groups(*key)}
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
        """Ask the holder, and while it is silent those who would follow it."""
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
            permits = [codec.validated(Permit, raw) for raw in answer]
        except (PeerError, DecodeError, TypeError):
            # no permit: the groups are not used, which is the safe side
            return set()
        for permit in permits:
            if permit.group in groups:
                self._store_permit(permit, asked_at)
        return {permit.group for permit in permits}

    def _store_permit(self, permit: Permit, asked_at: float) -> None:
        current = self._permits.get(permit.group)
        newer = (permit.epoch, permit.generation)
        if current and newer < (current.permit.epoch, current.permit.generation):
            return
        self._permits[permit.group] = held(permit, asked_at)
        if permit.valid_for <= 0:
            self._notify_closed(permit.group)

    def _close_expired(self) -> None:
        now = self._clock()
        for group, held_permit in list(self._permits.items()):
            if not held_permit.usable(now):
                self._notify_closed(group)

    def _check_disjoint(self) -> None:
        """Make sure that no instance is in two groups that this daemon may use now."""
        now = self._clock()
        seen: dict[str, str] = {}
        for group, held_permit in self._permits.items():
            record = self._gossip.directory.get(f"group/{group}")
            if record is None or not held_permit.usable(now):
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
