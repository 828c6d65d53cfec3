"""Holding shards of the control work under a lease.

Owns: this daemon's lease in the store and the shards held under it.
Relies on: the store's compare-and-swap on a shard's holder and epoch, which lets one daemon
hold a shard at a time; :mod:`.domain_keepers` for the work in the shards' domains.
"""

import random
import typing as t

import mode

from thorncleat_core import codec
from thorncleat_core.daemon import leases
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.leases import HeldLease

from . import background
from . import events
from .domain_keepers import DomainManagers
from .domain_state import DomainServices
from .domains import DomainManager
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .ports import Erase
from .ports import KeyNotRecreated
from .ports import Stored
from .ports import Unchanged
from .ports import Write
from .shard_map import ShardMap

# Interval of reading the holder of a shard that another daemon holds.
POLL_INTERVAL_SECONDS = 2.0
POLL_JITTER_SHARE = 0.2
BALANCE_INTERVAL_SECONDS = 5.0
# Shards beyond the even share that a daemon keeps.
MAX_EXTRA_SHARDS = 1


class ShardHolder(mode.Service):
    """Acquires, renews and releases shards.

    :param shards: the shards and their candidates.
    :param runs_tasks: whether domain managers run as tasks; False if a test steps them.
    """

    def __init__(
        self, services: DomainServices, shards: ShardMap, *, runs_tasks: bool = True
    ) -> None:
        super().__init__()
        self._services = services
        self.shards = shards
        self._clock = services.clock
        self._lease_id = 0
        self._deadline = 0.0
        self._last_renewal_at = 0.0
        self._held: dict[int, HeldLease] = {}
        self._last_balance_at = 0.0
        self._next_poll_at: dict[int, float] = {}
        self._free_since: dict[int, float] = {}
        self._on_lost: t.Callable[[int], None] = lambda shard: None
        self._on_acquired: t.Callable[[HeldLease], None] = lambda lease: None
        self._managers = DomainManagers(
            services,
            shards,
            self._held,
            runs_tasks=runs_tasks,
            should_stop=lambda: self.should_stop,
        )

    @property
    def held(self) -> t.Mapping[int, HeldLease]:
        """The leases held, by shard."""
        return self._held

    @property
    def managers(self) -> t.Mapping[str, DomainManager]:
        """The domain managers, by fabric domain."""
        return self._managers.by_domain

    def on_change(
        self, acquired: t.Callable[[HeldLease], None], lost: t.Callable[[int], None]
    ) -> None:
        """Set the functions to call when a shard is acquired or lost."""
        self._on_acquired = acquired
        self._on_lost = lost

    async def on_stop(self) -> None:
        """Release all shards, so that others need not wait for the lease to expire."""
        self._managers.end_all()
        if self._lease_id:
            try:
                await self._services.store.revoke(self._lease_id)
            except StoreError:
                # The lease expires by itself instead.
                return

    # Leases

    @mode.Service.task
    async def _renew_task(self) -> None:
        seconds = self._services.lease_terms.renewal_interval / 2
        await background.repeat("renew", self.renew, seconds, lambda: self.should_stop)

    async def renew(self) -> None:
        """Renew the lease if a renewal is due, and drop the shards of an expired one."""
        now = self._clock()
        if (
            not self._lease_id
            or now < self._last_renewal_at + self._services.lease_terms.renewal_interval
        ):
            self._drop_expired(now)
            return
        try:
            alive = await self._services.store.renew(self._lease_id)
        except StoreError:
            self._drop_expired(self._clock())
            return
        if not alive:
            self._lease_id = 0
            self._drop_all()
            return
        self._extend(now)

    def _extend(self, sent_at: float) -> None:
        self._last_renewal_at = sent_at
        self._deadline = leases.deadline_of(sent_at, self._services.lease_terms)
        for lease in self._held.values():
            lease.deadline = self._deadline

    def _drop_expired(self, now: float) -> None:
        if self._held and now >= self._deadline:
            self._lease_id = 0
            self._drop_all()

    def _drop_all(self) -> None:
        for shard in list(self._held):
            self._drop_shard(shard)

    def _drop_shard(self, shard: int) -> None:
        lease = self._held.pop(shard)
        lease.deadline = 0.0
        events.SHARD_LOST.log(shard=shard, epoch=lease.epoch)
        self._on_lost(shard)
        self._managers.drop_lease(lease)

    @mode.Service.task
    async def _acquire_task(self) -> None:
        seconds = POLL_INTERVAL_SECONDS / 4
        await background.repeat("acquire", self.poll_shards, seconds, lambda: self.should_stop)

    async def poll_shards(self) -> None:
        """Acquire free shards, update the domain managers and balance the shards."""
        if self._services.me not in self._services.gossip.members.addresses:
            # Other daemons can't request permits from an unlisted one.
            return
        now = self._clock()
        for shard in range(self.shards.count):
            if shard not in self._held and now >= self._next_poll_at.get(shard, 0.0):
                self._next_poll_at[shard] = now + POLL_INTERVAL_SECONDS * random.uniform(
                    1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE
                )
                await self._try_acquire(shard)
        self._managers.update()
        await self._balance()

    async def _balance(self) -> None:
        """Release one shard for which another daemon is preferred, if too many are held.

        Its manager keeps issuing permits until a later epoch appears, so the groups stay open.
        """
        alive = len(self._services.gossip.members.alive)
        max_held = -(-self.shards.count // alive) + MAX_EXTRA_SHARDS
        now = self._clock()
        if len(self._held) <= max_held or now < self._last_balance_at + BALANCE_INTERVAL_SECONDS:
            return
        self._last_balance_at = now
        for shard, lease in self._held.items():
            if self.shards.rank(shard) != 0:
                await self._release_shard(shard, lease)
                return

    async def _release_shard(self, shard: int, lease: HeldLease) -> None:
        key = self._services.keys.holder(shard)
        condition = KeyNotRecreated(key, lease.create_revision)
        self._drop_shard(shard)
        self._next_poll_at[shard] = self._clock() + BALANCE_INTERVAL_SECONDS
        await self._services.store.transact([condition], [Erase(key)], Purpose.LEASE)

    async def _try_acquire(self, shard: int) -> None:
        """Acquire a shard if it is free, later the lower this daemon ranks among its candidates."""
        rank = self.shards.rank(shard)
        if rank is None:
            self._free_since.pop(shard, None)
            return
        delay = rank * POLL_INTERVAL_SECONDS / 2
        try:
            await self._acquire(shard, delay)
        except StoreError:
            # The next poll retries; the store adapter logs the outage.
            return

    async def _acquire(self, shard: int, delay: float) -> None:
        keys, store = self._services.keys, self._services.store
        stored = {row.key: row for row in await store.read_under(keys.shard(shard), Purpose.LEASE)}
        if keys.holder(shard) in stored:
            self._publish_holder(shard, stored)
            self._free_since.pop(shard, None)
            return
        now = self._clock()
        if now < self._free_since.setdefault(shard, now) + delay:
            return
        epoch_row = stored.get(keys.epoch(shard))
        epoch = int(codec.unpack(epoch_row.value)) + 1 if epoch_row else 1
        await self._ensure_lease()
        holder_value = codec.pack({"holder": self._services.me, "epoch": epoch})
        conditions = [
            Unchanged(keys.holder(shard), 0),
            Unchanged(keys.epoch(shard), epoch_row.mod_revision if epoch_row else 0),
        ]
        writes = [
            Write(keys.holder(shard), holder_value, self._lease_id),
            Write(keys.epoch(shard), codec.pack(epoch)),
        ]
        try:
            revision = await store.transact(conditions, writes, Purpose.LEASE)
        except StoreOutcomeUnknownError:
            revision = await self._read_back(shard, holder_value)
        if revision is not None and self._clock() < self._deadline:
            self._add_held(HeldLease(shard, epoch, revision, self._clock(), self._deadline))

    async def _read_back(self, shard: int, holder_value: bytes) -> int | None:
        stored = await self._services.store.read(self._services.keys.holder(shard), Purpose.LEASE)
        is_own = stored is not None and stored.value == holder_value
        events.STORE_READ_BACK.log(shard=shard, own=is_own)
        return stored.create_revision if stored and is_own else None

    async def _ensure_lease(self) -> None:
        if self._lease_id and self._clock() < self._deadline:
            return
        sent_at = self._clock()
        self._lease_id = await self._services.store.grant(self._services.lease_terms.ttl)
        self._extend(sent_at)

    def _add_held(self, lease: HeldLease) -> None:
        self._held[lease.shard] = lease
        events.SHARD_ACQUIRED.log(shard=lease.shard, epoch=lease.epoch)
        body = {"holder": self._services.me}
        self._services.gossip.publish(Record(f"shard/{lease.shard}", (lease.epoch,), body))
        self._on_acquired(lease)
        self._managers.update()

    def _publish_holder(self, shard: int, stored: t.Mapping[str, Stored]) -> None:
        holder_value = codec.unpack(stored[self._services.keys.holder(shard)].value)
        record = Record(
            f"shard/{shard}", (holder_value["epoch"],), {"holder": holder_value["holder"]}
        )
        self._services.gossip.publish(record)
