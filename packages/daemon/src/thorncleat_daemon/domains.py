"""Keeping the groups of one fabric domain: probing, ordering, repairing, permitting."""

import asyncio
import dataclasses
import typing as t

from thorncleat_core.daemon import repair
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.fleet import InstanceState
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.leases import MAX_DRIFT
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.daemon.leases import LeaseTerms
from thorncleat_core.daemon.permits import Permit
from thorncleat_core.daemon.permits import PermitDesk
from thorncleat_core.daemon.permits import PermitRequest
from thorncleat_core.daemon.settings import Control

from . import clock
from . import events
from .clock import Clock
from .downtime import Downtime
from .exceptions import EndpointError
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreUnavailableError
from .gossip import Gossip
from .group_records import GroupRecords
from .keyspace import Keyspace
from .ports import Condition
from .ports import Engines
from .ports import InstanceList
from .ports import Order
from .ports import Peers
from .ports import SameLife
from .ports import Store
from .ports import Unchanged
from .ports import Write
from .sightings import Sightings

GONE_AFTER = 30.0


@dataclasses.dataclass
class Services:
    """What a keeper uses."""

    me: str
    store: Store
    keys: Keyspace
    engines: Engines
    instances: InstanceList
    peers: Peers
    gossip: Gossip
    config: t.Callable[[], State]
    control: Control
    terms: LeaseTerms
    group_tokens: int
    poll: float
    clock: Clock = clock.now
    late: t.Callable[[], bool] = lambda: False


class DomainKeeper:
    """Keeps one fabric domain, with a lease or without.

    Without a lease it goes on probing members and giving permits for the assignments that it
    knows, which is safe because a permit rests on what the members say themselves; it gives
    no order and changes nothing. It stops when any member names a later epoch.
    """

    def __init__(
        self, domain: str, services: Services, epoch: int, lease: HeldLease | None
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.lease = lease
        self.assignments = Assignments(domain)
        self.superseded = False
        self._watched = False
        self.asked_at = services.clock()
        self.downtime = Downtime(services.clock)
        self._services = services
        self._clock = services.clock
        self._mod_revision = 0
        self._loaded = False
        self._records = GroupRecords(domain, epoch, services.gossip, services.config)
        self._desk = PermitDesk(services.control.permit, services.group_tokens)
        self._seen = Sightings(
            services.engines, services.clock, services.control.window, self._group_of, services.late
        )
        self._listed: dict[str, Instance] = {}
        self._open: set[str] = set()
        self._safe_at: dict[str, float] = {}
        self._pending: dict[str, repair.Change] = {}
        self._telling: set[asyncio.Task[None]] = set()

    @property
    def listed(self) -> t.Mapping[str, Instance]:
        """The domain's instances as the platform lists them."""
        return self._listed

    @property
    def reports(self) -> t.Mapping[str, InstanceReport]:
        """The newest report of each instance."""
        return self._seen.reports

    def adopt(self, assignments: Assignments) -> None:
        """Begin without a lease, from assignments known otherwise."""
        self.assignments = assignments
        self._loaded = True

    async def load(self) -> None:
        """Read the assignments from the store.

        :raises StoreUnavailableError: if it can't be read.
        """
        key = self._services.keys.domain(self.domain)
        found = await self._services.store.read(key, Purpose.ASSIGN)
        self._mod_revision = found.mod_revision if found else 0
        self.assignments = Assignments.decode(found.value) if found else Assignments(self.domain)
        self._loaded = True
        self._publish_all()

    async def refresh(self) -> None:
        """Fetch the domain's part of the platform's list.

        :raises PlatformError: if it can't be had; the part known stays in use.
        """
        rows = await self._services.instances.domain(self.domain)
        self._listed = {instance.id: instance for instance in rows}

    async def watch(self) -> None:
        """Probe the instances once, and open or close groups by what they say."""
        if not self._loaded or not self._listed:
            return
        await self._probe_all()
        if self.superseded:
            # the permits that were given end by themselves; the next holder waits for that
            return
        self._watched = True
        self._note_open()
        self.downtime.add(self.assignments.groups.values(), self._open, self._listed)

    async def mend(self) -> None:
        """Give orders and change assignments once, where that is due.

        It runs beside :meth:`watch`, so that a slow store or engine delays no probe.
        """
        if self.lease is None or self.superseded:
            return
        if not self._loaded:
            await self.load()
            return
        await self._give_orders()
        self._decide()
        await self._carry_out()

    def permit(
        self, daemon: str, request: PermitRequest, weights: t.Mapping[str, float]
    ) -> Permit | None:
        """Answer a daemon that wants to use a group; None if another one has to answer."""
        if self.superseded or not self._watched:
            return None
        group = self.assignments.groups.get(request.group)
        leader = self._address(group.leader) if group else None
        if group is None or leader is None:
            return Permit(request.group, self.epoch, 0, 0.0, True, "")
        now = self.asked_at = self._clock()
        seconds = self._desk.valid_for(daemon, request, group, self._seen.confirmations, now)
        grant = self._desk.grant(group.id, daemon, weights, now)
        return Permit(
            group.id,
            self.epoch,
            group.generation,
            seconds,
            group.id in self._desk.draining,
            leader,
            grant.credits,
            grant.spare,
        )

    # probing

    def _address(self, instance: str) -> str | None:
        listed = self._listed.get(instance)
        return listed.address if listed else None

    async def _probe_all(self) -> None:
        targets = {instance.id: instance.address for instance in self._listed.values()}
        members = self.assignments.taken()
        if self.lease is None:
            targets = {name: where for name, where in targets.items() if name in members}
        await self._seen.probe(targets)
        for name in members - set(targets):
            self._seen.miss(name)
        reports = self._seen.reports
        if any(reports[name].epoch > self.epoch for name in members if name in reports):
            self.superseded = True

    def _group_of(self, instance: str) -> Group | None:
        for group in self.assignments.groups.values():
            if instance in group.members:
                return group
        return None

    # opening and closing

    def _note_open(self) -> None:
        now = self._clock()
        for group in self.assignments.groups.values():
            is_open = self._seen.confirmations.is_open(group, now)
            if is_open and group.id not in self._open:
                self._open.add(group.id)
                events.GROUP_OPENED.log(group=group.id, generation=group.generation)
                self._publish(group)
            elif not is_open and group.id in self._open:
                self._close(group, self._seen.confirmations.missing(group, now))

    def _close(self, group: Group, missing: list[str]) -> None:
        self._open.discard(group.id)
        events.GROUP_CLOSED.log(group=group.id, generation=group.generation, missing=missing)
        self._publish(group)
        body = {"group": group.id, "generation": group.generation}
        for daemon in self._desk.holders(group.id, self._clock()):
            task = asyncio.create_task(self._tell_closed(daemon, body))
            self._telling.add(task)
            task.add_done_callback(self._telling.discard)

    async def _tell_closed(self, daemon: str, body: dict[str, t.Any]) -> None:
        # only to be quicker than the end of the permit, which needs no message
        try:
            await self._services.peers.tell(daemon, "closed", body)
        except Exception as error:
            events.TASK_FAILED.log(task="closed", reason=repr(error), expected=True)

    def _publish_all(self) -> None:
        for group in self.assignments.groups.values():
            self._publish(group)

    def _publish(self, group: Group) -> None:
        self._records.publish(group, is_open=group.id in self._open)

    # orders

    def _check_lease(self) -> None:
        if self.lease is None:
            raise StoreUnavailableError("no lease")
        self.lease.check(self._clock())

    async def _give_orders(self) -> None:
        orders = [
            self._order(name, self._order_for(group, rank))
            for group in self.assignments.groups.values()
            for rank, name in enumerate(group.members)
            if self._needs_order(name, group)
        ]
        generation = self.assignments.generation
        orders += [
            self._order(name, Order(self.epoch, "", generation, -1, "", ""))
            for name, report in self._seen.reports.items()
            if report.group and self._group_of(name) is None
        ]
        await asyncio.gather(*orders)

    def _order_for(self, group: Group, rank: int) -> Order:
        return Order(self.epoch, group.id, group.generation, rank, group.model, group.version)

    def _needs_order(self, name: str, group: Group) -> bool:
        report = self._seen.reports.get(name)
        if report is None:
            return False
        placed = (report.group, report.generation, report.epoch)
        return placed != (group.id, group.generation, self.epoch)

    async def _order(self, name: str, order: Order) -> None:
        address = self._address(name)
        if address is None:
            return
        self._check_lease()
        try:
            await self._services.engines.order(address, order)
        except EndpointError as error:
            events.ORDER_REFUSED.log(instance=name, reason=str(error))
            return
        if order.group:
            # whoever kept the group before sees the new epoch from now on
            self._safe_at.setdefault(order.group, self._clock() + self._outlived)

    @property
    def _outlived(self) -> float:
        control = self._services.control
        return max(control.window, control.permit) * (1 + MAX_DRIFT)

    # changes

    def _view(self) -> repair.View:
        leaving = {
            instance.id
            for instance in self._listed.values()
            if instance.state is InstanceState.LEAVING
        }
        gone = {
            name
            for name in self.assignments.taken()
            if name not in self._listed and self._seen.silence(name) > GONE_AFTER
        }
        idle = {name for name, report in self._seen.reports.items() if not report.group}
        prepared = {
            name: repair.Part(report.model, report.version, report.rank)
            for name, report in self._seen.reports.items()
            if report.ready and not report.group and report.model
        }
        draining = self._services.config().configuration.draining | leaving
        return repair.View(
            frozenset(idle),
            frozenset(gone),
            dict(self._seen.missing_since),
            frozenset(draining),
            prepared,
        )

    def _wanted(self) -> repair.Wanted:
        state = self._services.config()
        placements = {
            name: placed
            for name, placed in state.placements.items()
            if placed.domain == self.domain
        }
        seconds = self._services.control.repair_after
        return repair.Wanted(placements, state.configuration.intents, seconds)

    def _decide(self) -> None:
        strategy = self._services.control.repair
        now = self._clock()
        changes = repair.decide(self.assignments, self._wanted(), self._view(), now, strategy)
        # decided anew each time: a member that came back makes its replacement moot
        fresh = {repair.group_of(change): change for change in changes}
        for group_id in set(self._pending) - set(fresh):
            self._desk.resume(group_id)
        self._pending = fresh

    async def _carry_out(self) -> None:
        for subject, change in list(self._pending.items()):
            if isinstance(change, repair.Prepare):
                await self._prepare(change)
                continue
            if not self._ready_for(change):
                continue
            if await self._write(_applied(self.assignments, change)):
                self._desk.resume(subject)
                self._pending.pop(subject, None)
                self._log(change)
            return

    async def _prepare(self, change: repair.Prepare) -> None:
        report = self._seen.reports.get(change.instance)
        part = change.part
        loading = report and (report.model, report.version, report.rank) == (
            part.model,
            part.version,
            part.rank,
        )
        if not loading:
            generation = self.assignments.generation
            order = Order(self.epoch, "", generation, part.rank, part.model, part.version)
            await self._order(change.instance, order)

    def _ready_for(self, change: repair.Change) -> bool:
        now = self._clock()
        if self.lease is None or not self.lease.held(now):
            return False
        if isinstance(change, repair.Start | repair.Release | repair.Prepare):
            return True
        group_id = repair.group_of(change)
        if now < self._safe_at.get(group_id, self.lease.acquired_at + self._outlived):
            return False
        if change.graceful:
            self._desk.drain(group_id)
            return self._desk.unused(group_id, now)
        self._desk.suspend(group_id)
        return now > self._desk.last_end(group_id)

    async def _write(self, changed: Assignments) -> bool:
        """Write assignments under the lease; read them again if it isn't sure what stands."""
        changed.check()
        self._check_lease()
        lease = t.cast(HeldLease, self.lease)
        services = self._services
        key = services.keys.domain(self.domain)
        conditions: list[Condition] = [
            Unchanged(key, self._mod_revision),
            SameLife(services.keys.holder(lease.shard), lease.create_revision),
        ]
        try:
            write = [Write(key, changed.encode())]
            revision = await services.store.transact(conditions, write, Purpose.ASSIGN)
        except StoreOutcomeUnknownError:
            self._loaded = False
            return False
        except StoreError as error:
            events.TASK_FAILED.log(task="assign", reason=str(error), expected=True)
            return False
        if revision is None:
            self._loaded = False
            return False
        self._mod_revision = revision
        self._replace(changed)
        return True

    def _replace(self, changed: Assignments) -> None:
        old, self.assignments = self.assignments, changed
        for group_id, group in old.groups.items():
            if changed.groups.get(group_id) == group:
                continue
            if group_id in self._open:
                self._close(group, [])
            if group_id not in changed.groups:
                self._records.publish_gone(group)
        for group in changed.groups.values():
            if old.groups.get(group.id) != group:
                self._publish(group)

    def _log(self, change: repair.Change) -> None:
        if isinstance(change, repair.Release):
            events.INSTANCE_RELEASED.log(domain=self.domain, instances=list(change.instances))
            return
        group = self.assignments.groups.get(repair.group_of(change))
        members = list(group.members) if group else []
        kind = type(change).__name__.lower()
        events.GROUP_CHANGED.log(group=repair.group_of(change), change=kind, members=members)


def _applied(assignments: Assignments, change: repair.Change) -> Assignments:
    if isinstance(change, repair.Release):
        return assignments.released(change.instances)
    if isinstance(change, repair.Dissolve):
        return assignments.without_group(change.group_id)
    if isinstance(change, repair.Prepare):
        return assignments
    return assignments.with_group(change.group)
