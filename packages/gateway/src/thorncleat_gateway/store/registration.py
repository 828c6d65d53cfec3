"""Which daemons run: each keeps a record of its address under a lease in the store."""

import asyncio
import typing as t

import mode
import msgpack

from ..exceptions import LeaseGoneError
from ..exceptions import StoreError
from ..ports import RecordStore
from ..settings import GatewaySettings
from .relays import Daemon
from .view import StoreView

DAEMONS = "thorncleat/daemons/"
DAEMON_LEASE_SECONDS = 12.0
RETRY_SECONDS = 0.3


class Registration(mode.Service):
    """Keeps this daemon's record, by which the others know its address."""

    def __init__(self, settings: GatewaySettings, records: RecordStore, view: StoreView) -> None:
        super().__init__()
        self._settings = settings
        self._records = records
        self._view = view
        self._seen_version = -1
        self._daemons: dict[str, Daemon] = {}
        self._addresses: dict[str, tuple[str, int]] = {}

    @property
    def own(self) -> Daemon:
        """This daemon."""
        settings = self._settings
        return Daemon(settings.id, *settings.peers, settings.failure_domain, settings.capacity)

    def daemons(self) -> t.Mapping[str, Daemon]:
        """Return the registered daemons by their ids."""
        if self._seen_version != self._view.version:
            self._seen_version = self._view.version
            self._daemons = {
                key.removeprefix(DAEMONS): _daemon(key.removeprefix(DAEMONS), record.value)
                for key, record in self._view.records.items()
                if key.startswith(DAEMONS) and record.value
            }
            self._addresses = {key: (one.host, one.port) for key, one in self._daemons.items()}
        return self._daemons

    def addresses(self) -> t.Mapping[str, tuple[str, int]]:
        """Return the address of each registered daemon."""
        self.daemons()
        return self._addresses

    @mode.Service.task
    async def _keep_task(self) -> None:
        while not self.should_stop:
            try:
                await self._hold()
            except StoreError:
                await asyncio.sleep(RETRY_SECONDS)

    async def _hold(self) -> None:
        lease = await self._records.grant(DAEMON_LEASE_SECONDS)
        key = DAEMONS + self._settings.id
        value = _record(self.own)
        # over an earlier life's record, which would go with its own lease
        await self._records.put(key, value, lease)
        while not self.should_stop:
            await asyncio.sleep(DAEMON_LEASE_SECONDS / 3)
            try:
                await self._records.renew(lease)
            except LeaseGoneError:
                return
            except StoreError:
                await asyncio.sleep(RETRY_SECONDS)


def _record(one: Daemon) -> bytes:
    packed: bytes = msgpack.packb([one.host, one.port, one.failure_domain, one.capacity])
    return packed


def _daemon(name: str, value: bytes) -> Daemon:
    return Daemon(name, *msgpack.unpackb(value))
