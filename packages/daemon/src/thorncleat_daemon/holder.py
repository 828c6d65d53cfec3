"""Holding shards of the control work under leases, and keeping their fabric domains."""

import asyncio
import random
import typing as t

import mode

from thorncleat_core import codec
from thorncleat_core import rendezvous
from thorncleat_core.daemon import leases
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.daemon.permits import PermitRequest

from . import background
from . import events
from .domains import DomainKeeper
from .domains import Services
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .ports import Erase
from .ports import SameLife
from .ports import Stored
from .ports import Unchanged
from .ports import Write

CANDIDATES = 3
LOOK_SECONDS = 2.0
BALANCE_SECONDS = 5.0
BALANCE_SLACK = 1
STAND_IN_SECONDS = 10.0


class ShardHolder(mode.Service):
    """Acquires, renews and gives up shards; runs a keeper for each of their domains.

    :param shards: number of control shards.
    :param spawns: whether keepers run by themselves; tests step them instead.
    """

    def __init__(self, services: Services, shards: int, *, spawns: bool = True) -> None:
        super().__init__()
        self._spawns = spawns
        self._services = services
        self._clock = services.clock
        self._shards = shards
        self._lease_id = 0
        self._deadline = 0.0
        self._renewed_at = 0.0
        self._held: dict[int, HeldLease] = {}
        self._balanced_at = 0.0
        self._look_at: dict[int, float] = {}
        self._free_since: dict[int, float] = {}
        self._keepers: dict[str, DomainKeeper] = {}
        self._running: dict[str, list[asyncio.Task[None]]] = {}
        self._lost: t.Callable[[int], None] = lambda shard: None
        self._acquired: t.Callable[[HeldLease], None] = lambda lease: None
        services.peers.handle("permit", self._on_permit)

    @property
    def held(self) -> t.Mapping[int, HeldLease]:
        """The leases that are held, by shard."""
        return self._held

    @property
    def keepers(self) -> t.Mapping[str, DomainKeeper]:
        """The keepers, by fabric domain."""
        return self._keepers

    def on_change(
        self, acquired: t.Callable[[HeldLease], None], lost: t.Callable[[int], None]
    ) -> None:
        """Call functions when a shard is acquired or lost."""
        self._acquired = acquired
        self._lost = lost

    def shard_of(self, key: str) -> int:
        """Return the shard of a fabric domain or a claim key."""
        return rendezvous.shard_of(key, self._shards)

    def candidates(self, shard: int) -> list[str]:
        """Return the daemons that may take a shard, the preferred one first."""
        alive = self._services.gossip.members.alive
        return rendezvous.ranked(f"shard/{shard}", alive)[:CANDIDATES]

    def rank(self, shard: int) -> int | None:
        """Return this daemon's place among a shard's candidates; None if it is none."""
        services = self._services
        alive = services.gossip.members.alive
        return rendezvous.place(f"shard/{shard}", services.me, alive, CANDIDATES)

    def holder_of(self, shard: int) -> str | None:
        """Return the daemon that last said it holds a shard."""
        record = self._services.gossip.directory.get(f"shard/{shard}")
        return str(record.body["holder"]) if record and record.body.get("holder") else None

    async def on_stop(self) -> None:
        """Give the shards up, so that others need not wait for the lease to lapse."""
        for domain in list(self._running):
            self._end(domain)
        if self._lease_id:
            try:
                await self._services.store.revoke(self._lease_id)
            except StoreError:
                return

    # leases

    @mode.Service.task
    async def _renew_task(self) -> None:
        seconds = self._services.terms.renew_every / 2
        await background.repeat("renew", self.renew, seconds, lambda: self.should_stop)

    async def renew(self) -> None:
        """Renew the lease if it is due, or note that it has lapsed."""
        now = self._clock()
        if not self._lease_id or now < self._renewed_at + self._services.terms.renew_every:
            self._drop_lapsed(now)
            return
        try:
            alive = await self._services.store.renew(self._lease_id)
        except StoreError:
            self._drop_lapsed(self._clock())
            return
        if not alive:
            self._lease_id = 0
            self._lose_all()
            return
        self._extend(now)

    def _extend(self, sent_at: float) -> None:
        self._renewed_at = sent_at
        self._deadline = leases.deadline_of(sent_at, self._services.terms)
        for lease in self._held.values():
            lease.deadline = self._deadline

    def _drop_lapsed(self, now: float) -> None:
        if self._held and now >= self._deadline:
            self._lease_id = 0
            self._lose_all()

    def _lose_all(self) -> None:
        for shard in list(self._held):
            self._lose(shard)

    def _lose(self, shard: int) -> None:
        lease = self._held.pop(shard)
        lease.deadline = 0.0
        events.SHARD_LOST.log(shard=shard, epoch=lease.epoch)
        self._lost(shard)
        for keeper in self._keepers.values():
            if keeper.lease is lease:
                # goes on giving permits for what stands, until a later epoch shows
                keeper.lease = None

    @mode.Service.task
    async def _acquire_task(self) -> None:
        seconds = LOOK_SECONDS / 4
        await background.repeat("acquire", self.look, seconds, lambda: self.should_stop)

    async def look(self) -> None:
        """Look for shards to take, and keep the domains of those held."""
        if self._services.me not in self._services.gossip.members.addresses:
            # a daemon that isn't listed could not be asked for permits
            return
        now = self._clock()
        for shard in range(self._shards):
            if shard not in self._held and now >= self._look_at.get(shard, 0.0):
                self._look_at[shard] = now + LOOK_SECONDS * random.uniform(0.8, 1.2)
                await self._try_shard(shard)
        self._keep_domains()
        await self._balance()

    async def _balance(self) -> None:
        """Give one shard to a daemon that is preferred for it, if this one holds too many.

        The keeper goes on without the lease until the next holder's epoch shows, so that
        the groups stay open meanwhile.
        """
        alive = len(self._services.gossip.members.alive)
        most = -(-self._shards // alive) + BALANCE_SLACK
        now = self._clock()
        if len(self._held) <= most or now < self._balanced_at + BALANCE_SECONDS:
            return
        self._balanced_at = now
        for shard, lease in self._held.items():
            if self.rank(shard) != 0:
                await self._hand_over(shard, lease)
                return

    async def _hand_over(self, shard: int, lease: HeldLease) -> None:
        key = self._services.keys.holder(shard)
        condition = SameLife(key, lease.create_revision)
        self._lose(shard)
        self._look_at[shard] = self._clock() + BALANCE_SECONDS
        await self._services.store.transact([condition], [Erase(key)], Purpose.LEASE)

    async def _try_shard(self, shard: int) -> None:
        """Take a shard that is free; those less preferred leave it to the others at first."""
        rank = self.rank(shard)
        if rank is None:
            self._free_since.pop(shard, None)
            return
        patience = rank * LOOK_SECONDS / 2
        try:
            await self._acquire(shard, patience)
        except StoreError:
            return

    async def _acquire(self, shard: int, patience: float) -> None:
        keys, store = self._services.keys, self._services.store
        found = {row.key: row for row in await store.read_under(keys.shard(shard), Purpose.LEASE)}
        if keys.holder(shard) in found:
            self._note_holder(shard, found)
            self._free_since.pop(shard, None)
            return
        now = self._clock()
        if now < self._free_since.setdefault(shard, now) + patience:
            return
        epoch_row = found.get(keys.epoch(shard))
        epoch = int(codec.unpack(epoch_row.value)) + 1 if epoch_row else 1
        await self._ensure_lease()
        mark = codec.pack({"holder": self._services.me, "epoch": epoch})
        conditions = [
            Unchanged(keys.holder(shard), 0),
            Unchanged(keys.epoch(shard), epoch_row.mod_revision if epoch_row else 0),
        ]
        writes = [
            Write(keys.holder(shard), mark, self._lease_id),
            Write(keys.epoch(shard), codec.pack(epoch)),
        ]
        try:
            revision = await store.transact(conditions, writes, Purpose.LEASE)
        except StoreOutcomeUnknownError:
            revision = await self._read_back(shard, mark)
        if revision is not None and self._clock() < self._deadline:
            self._hold(HeldLease(shard, epoch, revision, self._clock(), self._deadline))

    async def _read_back(self, shard: int, mark: bytes) -> int | None:
        found = await self._services.store.read(self._services.keys.holder(shard), Purpose.LEASE)
        own = found is not None and found.value == mark
        events.STORE_READ_BACK.log(shard=shard, own=own)
        return found.create_revision if found and own else None

    async def _ensure_lease(self) -> None:
        if self._lease_id and self._clock() < self._deadline:
            return
        sent_at = self._clock()
        self._lease_id = await self._services.store.grant(self._services.terms.ttl)
        self._extend(sent_at)

    def _hold(self, lease: HeldLease) -> None:
        self._held[lease.shard] = lease
        events.SHARD_ACQUIRED.log(shard=lease.shard, epoch=lease.epoch)
        body = {"holder": self._services.me}
        self._services.gossip.publish(Record(f"shard/{lease.shard}", (lease.epoch,), body))
        self._acquired(lease)
        self._keep_domains()

    def _note_holder(self, shard: int, found: t.Mapping[str, Stored]) -> None:
        mark = codec.unpack(found[self._services.keys.holder(shard)].value)
        record = Record(f"shard/{shard}", (mark["epoch"],), {"holder": mark["holder"]})
        self._services.gossip.publish(record)

    # domains

    def _keep_domains(self) -> None:
        placements = self._services.config().placements.values()
        domains = {placed.domain for placed in placements}
        # and those that have groups still which the configuration names no more
        records = self._services.gossip.directory.under("group/")
        domains |= {str(record.body["domain"]) for record in records if not record.body.get("gone")}
        for domain in sorted(domains):
            lease = self._held.get(self.shard_of(domain))
            keeper = self._keepers.get(domain)
            if lease and (keeper is None or keeper.lease is not lease):
                self._run(DomainKeeper(domain, self._services, lease.epoch, lease))
        for domain, keeper in list(self._keepers.items()):
            if keeper.superseded or self._unneeded(keeper):
                self._end(domain)

    def _unneeded(self, keeper: DomainKeeper) -> bool:
        """Return whether nobody has asked a keeper without a lease for a while."""
        idle = self._clock() - keeper.asked_at
        return keeper.lease is None and idle > STAND_IN_SECONDS

    def _run(self, keeper: DomainKeeper) -> None:
        self._end(keeper.domain)
        self._keepers[keeper.domain] = keeper
        if self._spawns:
            self._running[keeper.domain] = [
                self._spawn(f"list {keeper.domain}", keeper.refresh, self._services.poll),
                self._spawn(f"watch {keeper.domain}", keeper.watch),
                self._spawn(f"mend {keeper.domain}", keeper.mend),
            ]

    def _spawn(
        self, name: str, step: t.Callable[[], t.Awaitable[None]], seconds: float = 0.0
    ) -> asyncio.Task[None]:
        seconds = seconds or self._services.control.probe
        return asyncio.create_task(background.repeat(name, step, seconds, lambda: self.should_stop))

    def _end(self, domain: str) -> None:
        self._keepers.pop(domain, None)
        for task in self._running.pop(domain, []):
            task.cancel()

    # permits

    async def _on_permit(self, sender: str, body: t.Any) -> t.Any:
        """Answer for each group asked about; groups of others are passed over."""
        weights = self._services.config().configuration.shares
        answers = []
        for raw in body:
            request = codec.validated(PermitRequest, raw)
            keeper = self._keeper_of(request.group)
            permit = keeper.permit(sender, request, weights) if keeper else None
            if permit:
                answers.append(permit)
        return answers

    def _keeper_of(self, group_id: str) -> DomainKeeper | None:
        record = self._services.gossip.directory.get(f"group/{group_id}")
        if record is None or record.body.get("gone"):
            return None
        domain = str(record.body["domain"])
        keeper = self._keepers.get(domain)
        if keeper is None and self._may_stand_in(domain):
            keeper = self._stand_in(domain)
        return keeper

    def _may_stand_in(self, domain: str) -> bool:
        """Return whether to keep a domain without a lease.

        A candidate is asked only by a daemon that got no answer from the holder: it has
        died, or the store is away and its lease lapsed with it, or it can't be reached.
        Standing in changes nothing, so it is safe whatever the reason; it saves the groups
        from being closed until the shard is held again.
        """
        shard = self.shard_of(domain)
        return shard not in self._held and self.rank(shard) is not None

    def _stand_in(self, domain: str) -> DomainKeeper | None:
        records = [
            record
            for record in self._services.gossip.directory.under("group/")
            if record.body.get("domain") == domain and not record.body.get("gone")
        ]
        if not records:
            return None
        groups = {}
        for record in records:
            name = record.key.removeprefix("group/")
            body = record.body
            groups[name] = Group(
                name,
                str(body["intent"]),
                str(body["model"]),
                str(body["version"]),
                int(body["generation"]),
                tuple(body["members"]),
            )
        epoch = max(int(record.body["epoch"]) for record in records)
        keeper = DomainKeeper(domain, self._services, epoch, None)
        keeper.adopt(Assignments(domain, groups))
        self._run(keeper)
        return keeper
