"""The domain managers of this daemon, and the permit requests of other daemons.

Owns: one manager for each domain that this daemon serves, and the managers' tasks.
Relies on: the leases of :mod:`.holder`; directory records of groups, which name a group's domain
and, for a manager without a lease, its assignments.
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

# A manager without a lease ends after this time without a permit request.
LEASELESS_IDLE_SECONDS = 10.0


class DomainManagers:
    """Runs a manager for each domain of the shards held, and for those of unreachable holders.

    :param held: the leases that this daemon holds, by shard.
    :param runs_tasks: whether managers run as tasks; False if a test steps them.
    :param should_stop: whether the daemon is stopping.
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
        self._runs_tasks = runs_tasks
        self._should_stop = should_stop
        self._managers: dict[str, DomainManager] = {}
        self._running: dict[str, list[asyncio.Task[None]]] = {}
        services.peers.handle("permit", self._on_permit)

    @property
    def by_domain(self) -> t.Mapping[str, DomainManager]:
        """The domain managers, by fabric domain."""
        return self._managers

    def update(self) -> None:
        """Run a manager for each domain of the shards held, and end those no longer needed."""
        placements = self._services.config().placements.values()
        domains = {placed.domain for placed in placements}
        # Domains may still have groups that the configuration no longer names.
        records = self._services.gossip.directory.with_prefix("group/")
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
        """Let the managers of a lost lease continue without it."""
        for manager in self._managers.values():
            if manager.lease is lease:
                manager.drop_lease()

    def end_all(self) -> None:
        """End all running managers."""
        for domain in list(self._running):
            self._end(domain)

    def _is_unneeded(self, manager: DomainManager) -> bool:
        """Return whether a manager without a lease has had no permit request for a while."""
        idle = self._services.clock() - manager.last_request_at
        return manager.lease is None and idle > LEASELESS_IDLE_SECONDS

    def _start(self, manager: DomainManager) -> None:
        self._end(manager.domain)
        self._managers[manager.domain] = manager
        if self._runs_tasks:
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

    # Permits

    async def _on_permit(self, sender: str, body: t.Any) -> t.Any:
        """Return permits for the requested groups; groups managed elsewhere are omitted."""
        weights = self._services.config().configuration.shares
        answers = []
        for raw in body:
            request = codec.validate(PermitRequest, raw)
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
        if manager is None and self._can_serve_without_lease(domain):
            manager = self._start_without_lease(domain)
        return manager

    def _can_serve_without_lease(self, domain: str) -> bool:
        """Return whether this daemon may issue permits for a domain without a lease.

        Another daemon asks a candidate only if the holder doesn't answer. A manager without a lease
        changes nothing, so it is safe, and the groups stay open until the shard is held again.
        """
        shard = self._shards.shard_of(domain)
        return shard not in self._held and self._shards.rank(shard) is not None

    def _start_without_lease(self, domain: str) -> DomainManager | None:
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
        manager = DomainManager(domain, self._services, epoch, None)
        manager.adopt(Assignments(domain, groups))
        self._start(manager)
        return manager
