"""Which daemons run: each keeps a record of its address under a lease in the store.

A relay keeps a second one, so that a daemon that starts finds the relays with one call, and need
not read hundreds of records for that.

Owns: this daemon's records and their lease, and the records of all daemons as read last; with both
it knows what its list of daemons is good for.
Relies on: :class:`RecordStore` for the lease, and on :class:`.view.StoreView` for the records.
"""

import asyncio
import random
import typing as t

import mode
import msgpack

from ..exceptions import LeaseExpiredError
from ..exceptions import StoreError
from ..ports import Lease
from ..ports import RecordChanged
from ..ports import RecordStore
from ..settings import GatewaySettings
from .fleet_knowledge import FleetKnowledge
from .fleet_knowledge import fleet_knowledge
from .relays import SMALL_FLEET
from .relays import Daemon
from .relays import nearest
from .relays import sources
from .view import StoreView

DAEMONS = "thorncleat/daemons/"
RELAYS = "thorncleat/relays/"
# time to live of a daemon's record
DAEMON_LEASE_SECONDS = 12.0
# between two renewals
RENEW_SECONDS = DAEMON_LEASE_SECONDS / 3
# after a renewal that got no answer: with the usual pause the record of a daemon that lost the
# store for 9 s would run out
RENEW_AGAIN_SECONDS = 1.0
# pause after a failed call
RETRY_SECONDS = 0.3
# in which one of all daemons registers anew after the end of an era: two writes, half of what
# the store takes
SPREAD_SECONDS_PER_DAEMON = 0.01


class Registration(mode.Service):
    """Keeps this daemon's record, by which the others know its address."""

    def __init__(
        self,
        settings: GatewaySettings,
        records: RecordStore,
        view: StoreView,
        clock: t.Callable[[], float],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._records = records
        self._view = view
        # of the view's records, at which what follows was made
        self._seen_version = -1
        self._daemons: dict[str, Daemon] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._sources: tuple[Daemon, ...] | None = None
        # whether the present lease holds a relay's record
        self._told_relay = False
        # when the store has taken the present record, and when the last renewal was sent that it
        # answered; None while there is no record
        self._registered_at: float | None = None
        self._renewed_at = 0.0
        # of the present record
        self._lease: Lease | None = None

    @property
    def own(self) -> Daemon:
        """This daemon."""
        settings = self._settings
        return Daemon(settings.id, *settings.peers, settings.failure_domain, settings.capacity)

    def daemons(self) -> t.Mapping[str, Daemon]:
        """Return the registered daemons by their ids."""
        if self._seen_version != self._view.records_version:
            self._seen_version = self._view.records_version
            self._refresh()
        return self._daemons

    def _refresh(self) -> None:
        """Read the records anew."""
        self._daemons = _daemons(self._view.records.values(), DAEMONS)
        self._addresses = {
            name: (daemon.host, daemon.port) for name, daemon in self._daemons.items()
        }
        own_domain = self._settings.failure_domain
        self._neighbours = frozenset(
            name
            for name, daemon in self._daemons.items()
            if daemon.failure_domain == own_domain and name != self._settings.id
        )
        self._sources = None

    def knowledge(self) -> FleetKnowledge:
        """Return what this daemon's list of daemons is good for."""
        now = self._clock()
        if self._registered_at is None or self._lease is None:
            return FleetKnowledge.NONE
        if self._view.era.is_over(self._lease.era) or self._settings.id not in self.daemons():
            return FleetKnowledge.NONE
        lease_left = self._renewed_at + DAEMON_LEASE_SECONDS - now
        return fleet_knowledge(now - self._registered_at, lease_left, self._view.age())

    def addresses(self) -> t.Mapping[str, tuple[str, int]]:
        """Return the address of each registered daemon."""
        self.daemons()
        return self._addresses

    def neighbours(self) -> frozenset[str]:
        """Return the ids of the other registered daemons in this one's failure domain."""
        self.daemons()
        return self._neighbours

    def capacities(self) -> dict[str, float]:
        """Return the capacity of each registered daemon and of this one."""
        known = {name: daemon.capacity for name, daemon in self.daemons().items()}
        return known | {self._settings.id: self._settings.capacity}

    def sources(self, *, controls: bool) -> tuple[Daemon, ...]:
        """Return whom this daemon asks for changes.

        :param controls: whether it is the controller.
        """
        if controls:
            return sources((), self.own, controls=True)
        daemons = self.daemons()
        if self._sources is None:
            self._sources = sources(daemons.values(), self.own)
        return self._sources

    def listed_relays(self, records: t.Iterable[RecordChanged]) -> tuple[Daemon, ...]:
        """Return whom this daemon asks before it has a view of its own, the preferred one first.

        One that was a relay itself asks nobody: the relays that start together would wait for each
        other.

        :param records: of relays, as the store lists them.
        """
        found = _daemons(records, RELAYS)
        if self._settings.id in found:
            return ()
        return nearest(found.values(), self.own)

    @mode.Service.task
    async def _keep_task(self) -> None:
        while not self.should_stop:
            try:
                await self._hold()
            except StoreError:
                # not logged: the view logs that the store is lost
                await asyncio.sleep(RETRY_SECONDS)

    async def _hold(self) -> None:
        """Register under a new lease, and renew that until it is over."""
        self._registered_at = None
        if self._lease is not None and self._view.era.is_over(self._lease.era):
            await asyncio.sleep(random.uniform(0.0, self._spread()))
        granted_at = self._clock()
        lease = await self._records.grant(DAEMON_LEASE_SECONDS)
        key = DAEMONS + self._settings.id
        value = _record(self.own)
        # over an earlier life's record, which would go with its own lease
        await self._records.put(key, value, lease)
        self._lease = lease
        self._registered_at, self._renewed_at = self._clock(), granted_at
        self._told_relay = False
        pause = RENEW_SECONDS
        while not self.should_stop and await self._is_kept_for(pause, key, lease):
            try:
                await self._tell_relay(lease)
                renewed_at = self._clock()
                await self._records.renew(lease)
                self._renewed_at = renewed_at
                pause = RENEW_SECONDS
            except LeaseExpiredError:
                # the caller begins anew, with a new lease
                return
            except StoreError:
                # not logged: the view logs that the store is lost
                pause = RENEW_AGAIN_SECONDS

    def _spread(self) -> float:
        """Return the seconds over which all daemons register anew after an era's end.

        The records of the copy stand for longer.
        """
        return SPREAD_SECONDS_PER_DAEMON * len(self.daemons())

    async def _tell_relay(self, lease: Lease) -> None:
        """Write the record of a relay, once this daemon is one where there are many daemons."""
        daemons = self.daemons()
        relays = len(daemons) > SMALL_FLEET and self._settings.id in daemons
        if relays and not self._told_relay and not self.sources(controls=False):
            await self._records.put(RELAYS + self._settings.id, _record(self.own), lease)
            self._told_relay = True

    async def _is_kept_for(self, seconds: float, key: str, lease: Lease) -> bool:
        """Wait for some seconds; return False as soon as the view shows that the record is gone.

        Relays answer registered daemons only, so the next one has to be written at once. A record
        that stands in another era is gone too: its lease may be another's there.
        """
        until = self._clock() + seconds
        shown = key in self._view.records
        while await self._view.wait_change(until - self._clock()):
            if self._view.era.is_over(lease.era):
                return False
            if shown and key not in self._view.records:
                return False
            shown = shown or key in self._view.records
        return True


def _record(daemon: Daemon) -> bytes:
    packed: bytes = msgpack.packb(
        [daemon.host, daemon.port, daemon.failure_domain, daemon.capacity]
    )
    return packed


def _daemons(records: t.Iterable[RecordChanged], prefix: str) -> dict[str, Daemon]:
    """Return the daemons that records tell of, by their ids.

    One that can't be read tells of none: it may be of another writer.

    :param prefix: of the records' keys.
    """
    found: dict[str, Daemon] = {}
    for record in records:
        if not record.key.startswith(prefix) or not record.value:
            continue
        name = record.key.removeprefix(prefix)
        daemon = _daemon(name, record.value)
        if daemon is not None:
            found[name] = daemon
    return found


def _daemon(name: str, value: bytes) -> Daemon | None:
    """Return the daemon of a record; None if it can't be read.

    Not logged: it is read anew at each change of any record.
    """
    try:
        parts = msgpack.unpackb(value)
    except (ValueError, msgpack.exceptions.UnpackException):
        return None
    match parts:
        case [str(host), int(port), str(failure_domain), float() | int() as capacity]:
            return Daemon(name, host, port, failure_domain, capacity)
    return None
