"""The registration of daemons: each keeps a record of its address under a lease in the store.

A relay keeps a second record, so that a starting daemon finds the relays with one call.

Owns: this daemon's records and their lease, and the records of all daemons as last read.
Relies on: :class:`RecordStore` for the lease, and on :class:`.view.StoreView` for the records.
"""

import asyncio
import math
import random
import typing as t

import msgpack

from thorncleat_core.values import is_address

from ..exceptions import LeaseExpiredError
from ..exceptions import StoreError
from ..ports import Lease
from ..ports import RecordChanged
from ..ports import RecordStore
from ..service import Service
from ..service import background_task
from ..settings import GatewaySettings
from .fleet_knowledge import FleetKnowledge
from .fleet_knowledge import fleet_knowledge
from .fleet_knowledge import has_share_of_window
from .relays import SMALL_FLEET
from .relays import Daemon
from .relays import order_by_proximity
from .relays import sources
from .view import StoreView

DAEMONS = "thorncleat/daemons/"
RELAYS = "thorncleat/relays/"
DAEMON_LEASE_SECONDS = 12.0
RENEWAL_INTERVAL_SECONDS = DAEMON_LEASE_SECONDS / 3
# Renewals without an answer are retried sooner; at the usual interval the record of a daemon that
# lost the store for 9 s would expire.
RENEWAL_RETRY_SECONDS = 1.0
REGISTRATION_RETRY_SECONDS = 0.3
# Spreads the writes after the end of an era, when all daemons register again with two writes each;
# they take half of the store's rate.
SPREAD_SECONDS_PER_DAEMON = 0.01


class Registration(Service):
    """Keeps this daemon's record and reads those of all daemons."""

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
        # The version of the view's records from which the next four fields were built.
        self._seen_version = -1
        self._daemons: dict[str, Daemon] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._domain_peers: frozenset[str] = frozenset()
        self._sources: tuple[Daemon, ...] | None = None
        # Whether a relay's record was written under the present lease.
        self._is_registered_as_relay = False
        # The time at which the present record was written; None without a record.
        self._registered_at: float | None = None
        # The time at which the last answered renewal was sent.
        self._renewed_at = 0.0
        self._lease: Lease | None = None

    @property
    def own(self) -> Daemon:
        """This daemon as its record describes it."""
        settings = self._settings
        return Daemon(settings.id, *settings.peers, settings.failure_domain, settings.capacity)

    def daemons(self) -> t.Mapping[str, Daemon]:
        """Return the registered daemons by their ids."""
        if self._seen_version != self._view.records_version:
            self._seen_version = self._view.records_version
            self._read_records()
        return self._daemons

    def _read_records(self) -> None:
        """Read the daemons from the view's records."""
        self._daemons = _read_daemons(self._view.records.values(), DAEMONS)
        self._addresses = {
            daemon_id: (daemon.host, daemon.port) for daemon_id, daemon in self._daemons.items()
        }
        own_domain = self._settings.failure_domain
        self._domain_peers = frozenset(
            daemon_id
            for daemon_id, daemon in self._daemons.items()
            if daemon.failure_domain == own_domain and daemon_id != self._settings.id
        )
        self._sources = None

    def fleet_knowledge(self) -> FleetKnowledge:
        """Return how reliable this daemon's list of daemons is."""
        now = self._clock()
        if self._registered_at is None or self._lease is None:
            return FleetKnowledge.NONE
        if self._view.era.is_over(self._lease.era) or self._settings.id not in self.daemons():
            return FleetKnowledge.NONE
        return fleet_knowledge(now - self._registered_at, self._lease_left(), self._view.age())

    def has_share_of_window(self, window: float, *, had_share: bool) -> bool:
        """Return whether this daemon has a share of what all together may use within a window.

        :param window: seconds.
        :param had_share: whether the process before this one had a share until it ended, a moment
            before this one started.
        """
        if self._registered_at is None or self._lease is None:
            return False
        if self._view.era.is_over(self._lease.era):
            return False
        registered_for = math.inf if had_share else self._clock() - self._registered_at
        return has_share_of_window(registered_for, self._lease_left(), self._view.age(), window)

    def _lease_left(self) -> float:
        """Return the seconds for which this daemon's record certainly stays."""
        return self._renewed_at + DAEMON_LEASE_SECONDS - self._clock()

    def addresses(self) -> t.Mapping[str, tuple[str, int]]:
        """Return the address of each registered daemon."""
        self.daemons()
        return self._addresses

    def domain_peers(self) -> frozenset[str]:
        """Return the ids of the other registered daemons in this daemon's failure domain."""
        self.daemons()
        return self._domain_peers

    def capacities(self) -> dict[str, float]:
        """Return the capacity of each registered daemon and of this daemon, by id."""
        capacities = {daemon_id: daemon.capacity for daemon_id, daemon in self.daemons().items()}
        return capacities | {self._settings.id: self._settings.capacity}

    def sources(self, *, is_controller: bool) -> tuple[Daemon, ...]:
        """Return the daemons that this daemon asks for changes; none if it asks the store.

        :param is_controller: whether this daemon is the controller.
        """
        if is_controller:
            return sources((), self.own, is_controller=True)
        daemons = self.daemons()
        if self._sources is None:
            self._sources = sources(daemons.values(), self.own)
        return self._sources

    def listed_relays(self, records: t.Iterable[RecordChanged]) -> tuple[Daemon, ...]:
        """Return the relays to ask before the first read of the store, the preferred one first.

        A daemon that was a relay itself asks none: relays that start together would wait for each
        other.

        :param records: the relays' records, as the store lists them.
        """
        relays = _read_daemons(records, RELAYS)
        if self._settings.id in relays:
            return ()
        return order_by_proximity(relays.values(), self.own)

    @background_task
    async def _registration_task(self) -> None:
        while not self.should_stop:
            try:
                await self._hold_lease()
            except StoreError:
                # The view logs that the store is lost.
                await asyncio.sleep(REGISTRATION_RETRY_SECONDS)

    async def _hold_lease(self) -> None:
        """Register under a new lease, and renew it until it is lost."""
        self._registered_at = None
        if self._lease is not None and self._view.era.is_over(self._lease.era):
            await asyncio.sleep(random.uniform(0.0, self._registration_spread()))
        granted_at = self._clock()
        lease = await self._records.grant(DAEMON_LEASE_SECONDS)
        key = DAEMONS + self._settings.id
        value = _encode_daemon(self.own)
        # This replaces the record of an earlier run, which would expire with that run's lease.
        await self._records.put(key, value, lease)
        self._lease = lease
        self._registered_at, self._renewed_at = self._clock(), granted_at
        self._is_registered_as_relay = False
        pause = RENEWAL_INTERVAL_SECONDS
        while not self.should_stop and await self._wait_while_registered(pause, key, lease):
            try:
                await self._register_as_relay(lease)
                renewed_at = self._clock()
                await self._records.renew(lease)
                self._renewed_at = renewed_at
                pause = RENEWAL_INTERVAL_SECONDS
            except LeaseExpiredError:
                # The caller registers again under a new lease.
                return
            except StoreError:
                # The view logs that the store is lost.
                pause = RENEWAL_RETRY_SECONDS

    def _registration_spread(self) -> float:
        """Return the seconds over which all daemons register again after the end of an era.

        The restored records last longer than that.
        """
        return SPREAD_SECONDS_PER_DAEMON * len(self.daemons())

    async def _register_as_relay(self, lease: Lease) -> None:
        """Write a relay's record if this daemon is a relay of a larger fleet."""
        daemons = self.daemons()
        is_in_large_fleet = len(daemons) > SMALL_FLEET and self._settings.id in daemons
        if (
            is_in_large_fleet
            and not self._is_registered_as_relay
            and not self.sources(is_controller=False)
        ):
            await self._records.put(RELAYS + self._settings.id, _encode_daemon(self.own), lease)
            self._is_registered_as_relay = True

    async def _wait_while_registered(self, seconds: float, key: str, lease: Lease) -> bool:
        """Wait for some seconds, or until the view shows that the record is lost.

        Relays answer registered daemons only, so a lost record has to be written at once. A record
        is also lost at the end of its era, since in the next era its lease may belong to another
        daemon.

        :returns: whether the record wasn't lost.
        """
        until = self._clock() + seconds
        is_shown = key in self._view.records
        while await self._view.wait_change(until - self._clock()):
            if self._view.era.is_over(lease.era):
                return False
            if is_shown and key not in self._view.records:
                return False
            is_shown = is_shown or key in self._view.records
        return True


def _encode_daemon(daemon: Daemon) -> bytes:
    packed: bytes = msgpack.packb(
        [daemon.host, daemon.port, daemon.failure_domain, daemon.capacity]
    )
    return packed


def _read_daemons(records: t.Iterable[RecordChanged], prefix: str) -> dict[str, Daemon]:
    """Return the daemons that records describe, by their ids.

    A record that can't be decoded is skipped, since another writer may have written it.

    :param prefix: prefix of the records' keys.
    """
    found: dict[str, Daemon] = {}
    for record in records:
        if not record.key.startswith(prefix) or not record.value:
            continue
        daemon_id = record.key.removeprefix(prefix)
        daemon = _decode_daemon(daemon_id, record.value)
        if daemon is not None:
            found[daemon_id] = daemon
    return found


def _decode_daemon(daemon_id: str, value: bytes) -> Daemon | None:
    """Return the daemon that a record describes; None if the record can't be decoded.

    A failure isn't logged, since the record is decoded again at each change of any record.
    """
    try:
        parts = msgpack.unpackb(value)
    except (ValueError, msgpack.exceptions.UnpackException):
        return None
    match parts:
        case [str(host), int(port), str(failure_domain), float() | int() as capacity] if (
            is_address(f"{host}:{port}") and 0 <= capacity < math.inf
        ):
            return Daemon(daemon_id, host, port, failure_domain, capacity)
    return None
