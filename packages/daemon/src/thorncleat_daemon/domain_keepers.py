"""The keepers that run on this daemon, and the permits that other daemons ask them for.

Owns: one keeper for each domain that this daemon holds or stands in for, and their tasks.
Relies on: the leases that the holder (:mod:`.holder`) has; directory records of groups, which
say to which domain a group belongs and what to keep while standing in.
"""

import asyncio
import typing as t

from thorncleat_core import codec
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.daemon.permits import PermitRequest

from . import background
from .domain_state import KeeperServices
from .domains import DomainKeeper
from .shard_map import ShardMap

# seconds without a question after which a keeper without a lease ends
STAND_IN_SECONDS = 10.0


class DomainKeepers:
    """Runs a keeper for each domain of the shards held, and stands in for absent holders.

    :param held: the leases that this daemon holds, by shard.
    :param spawns: whether keepers run by themselves; tests step them instead.
    :param should_stop: whether the daemon stops.
    """

    def __init__(
        self,
        services: KeeperServices,
        shards: ShardMap,
        held: t.Mapping[int, HeldLease],
        *,
        spawns: bool,
        should_stop: t.Callable[[], bool],
    ) -> None:
        self._services = services
        self._shards = shards
        self._held = held
        self._spawns = spawns
        self._should_stop = should_stop
        self._keepers: dict[str, DomainKeeper] = {}
        self._running: dict[str, list[asyncio.Task[None]]] = {}
        services.peers.handle("permit", self._on_permit)

    @property
    def by_domain(self) -> t.Mapping[str, DomainKeeper]:
        """The keepers, by fabric domain."""
        return self._keepers

    def keep(self) -> None:
        """Run a keeper for each domain of the shards held, and end those without use."""
        placements = self._services.config().placements.values()
        domains = {placed.domain for placed in placements}
        # and those that have groups still which the configuration names no more
        records = self._services.gossip.directory.with_prefix("group/")
        domains |= {str(record.body["domain"]) for record in records if not record.body.get("gone")}
        for domain in sorted(domains):
            lease = self._held.get(self._shards.shard_of(domain))
            keeper = self._keepers.get(domain)
            if lease and (keeper is None or keeper.lease is not lease):
                self._run(DomainKeeper(domain, self._services, lease.epoch, lease))
        for domain, keeper in list(self._keepers.items()):
            if keeper.superseded or self._unneeded(keeper):
                self._end(domain)

    def lose(self, lease: HeldLease) -> None:
        """Let the keepers of a lost lease go on without it."""
        for keeper in self._keepers.values():
            if keeper.lease is lease:
                keeper.lose_lease()

    def end_all(self) -> None:
        """End all keepers that run."""
        for domain in list(self._running):
            self._end(domain)

    def _unneeded(self, keeper: DomainKeeper) -> bool:
        """Return whether nobody has asked a keeper without a lease for a while."""
        idle = self._services.clock() - keeper.asked_at
        return keeper.lease is None and idle > STAND_IN_SECONDS

    def _run(self, keeper: DomainKeeper) -> None:
        self._end(keeper.domain)
        self._keepers[keeper.domain] = keeper
        if self._spawns:
            probe = self._services.control.probe
            self._running[keeper.domain] = [
                self._spawn(f"list {keeper.domain}", keeper.refresh, self._services.poll),
                self._spawn(f"watch {keeper.domain}", keeper.watch, probe),
                self._spawn(f"mend {keeper.domain}", keeper.mend, probe),
            ]

    def _spawn(
        self, name: str, step: t.Callable[[], t.Awaitable[None]], seconds: float
    ) -> asyncio.Task[None]:
        return asyncio.create_task(background.repeat(name, step, seconds, self._should_stop))

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
            request = codec.validate(PermitRequest, raw)
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
        shard = self._shards.shard_of(domain)
        return shard not in self._held and self._shards.rank(shard) is not None

    def _stand_in(self, domain: str) -> DomainKeeper | None:
        records = [
            record
            for record in self._services.gossip.directory.with_prefix("group/")
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
