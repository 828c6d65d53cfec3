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
from .domain_state import DomainServices
from .domains import DomainManager
from .shard_map import ShardMap

# seconds without a question after which a keeper without a lease ends
LEASELESS_IDLE_SECONDS = 10.0


class DomainManagers:
    """Runs a keeper for each domain of the shards held, and stands in for absent holders.

    :param held: the leases that this daemon holds, by shard.
    :param spawns: whether keepers run by themselves; tests step them instead.
    :param should_stop: whether the daemon stops.
    """

    def __init__(
        self,
        services: DomainServices,
        shards: ShardMap,
        held: t.Mapping[int, HeldLease],
        *,
        runs_tasks: bool,
        should_stop: t.Callable[[], bool],
    ) -> None:
        self._services = services
        self._shards = shards
        self._held = held
        self._spawns = runs_tasks
        self._should_stop = should_stop
        self._managers: dict[str, DomainManager] = {}
        self._running: dict[str, list[asyncio.Task[None]]] = {}
        services.peers.handle("permit", self._on_permit)

    @property
    def by_domain(self) -> t.Mapping[str, DomainManager]:
        """The keepers, by fabric domain."""
        return self._managers

    def update(self) -> None:
        """Run a keeper for each domain of the shards held, and end those without use."""
        placements = self._services.config().placements.values()
        domains = {placed.domain for placed in placements}
        # and those that have groups still which the configuration names no more
        records = self._services.gossip.directory.under("group/")
        domains |= {str(record.body["domain"]) for record in records if not record.body.get("gone")}
        for domain in sorted(domains):
            lease = self._held.get(self._shards.shard_of(domain))
            manager = self._managers.get(domain)
            if lease and (manager is None or manager.lease is not lease):
                self._start(DomainManager(domain, self._services, lease.epoch, lease))
        for domain, manager in list(self._managers.items()):
            if manager.is_superseded or self._is_unneeded(manager):
                self._end(domain)

    def drop_lease(self, lease: HeldLease) -> None:
        """Let the keepers of a lost lease go on without it."""
        for manager in self._managers.values():
            if manager.lease is lease:
                manager.drop_lease()

    def end_all(self) -> None:
        """End all keepers that run."""
        for domain in list(self._running):
            self._end(domain)

    def _is_unneeded(self, manager: DomainManager) -> bool:
        """Return whether nobody has asked a keeper without a lease for a while."""
        idle = self._services.clock() - manager.last_request_at
        return manager.lease is None and idle > LEASELESS_IDLE_SECONDS

    def _start(self, manager: DomainManager) -> None:
        self._end(manager.domain)
        self._managers[manager.domain] = manager
        if self._spawns:
            probe = self._services.control.probe
            self._running[manager.domain] = [
                self._spawn(f"list {manager.domain}", manager.refresh, self._services.poll),
                self._spawn(f"watch {manager.domain}", manager.watch, probe),
                self._spawn(f"mend {manager.domain}", manager.repair, probe),
            ]

    def _spawn(
        self, name: str, step: t.Callable[[], t.Awaitable[None]], seconds: float
    ) -> asyncio.Task[None]:
        return asyncio.create_task(background.repeat(name, step, seconds, self._should_stop))

    def _end(self, domain: str) -> None:
        self._managers.pop(domain, None)
        for task in self._running.pop(domain, []):
            task.cancel()

    # permits

    async def _on_permit(self, sender: str, body: t.Any) -> t.Any:
        """Answer for each group asked about; groups of others are passed over."""
        weights = self._services.config().configuration.shares
        answers = []
        for raw in body:
            request = codec.validated(PermitRequest, raw)
            manager = self._manager_of_group(request.group)
            permit = manager.permit(sender, request, weights) if manager else None
            if permit:
                answers.append(permit)
        return answers

    def _manager_of_group(self, group_id: str) -> DomainManager | None:
        record = self._services.gossip.directory.get(f"group/{group_id}")
        if record is None or record.body.get("gone"):
            return None
        domain = str(record.body["domain"])
        manager = self._managers.get(domain)
        if manager is None and self._can_stand_in(domain):
            manager = self._start_without_lease(domain)
        return manager

    def _can_stand_in(self, domain: str) -> bool:
        """Return whether to keep a domain without a lease.

        A candidate is asked only by a daemon that got no answer from the holder: it has
        died, or the store is away and its lease lapsed with it, or it can't be reached.
        Standing in changes nothing, so it is safe whatever the reason; it saves the groups
        from being closed until the shard is held again.
        """
        shard = self._shards.shard_of(domain)
        return shard not in self._held and self._shards.rank(shard) is not None

    def _start_without_lease(self, domain: str) -> DomainManager | None:
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
        manager = DomainManager(domain, self._services, epoch, None)
        manager.adopt(Assignments(domain, groups))
        self._start(manager)
        return manager
