"""The platform's store, for the world of :mod:`.group_world`."""

import asyncio
import dataclasses
import typing as t

from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import LeaseExpiredError
from thorncleat_gateway.exceptions import StoreOutcomeUnknownError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.store_era import StoreEra

if t.TYPE_CHECKING:
    from .group_node import Node
    from .group_world import World


# How long a call without an answer waits, as in the adapter.
UNANSWERED_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Copy:
    """A snapshot of a store.

    :param granted: number of leases granted so far.
    """

    revision: int
    items: dict[str, object]
    history: list[tuple[int, str, object]]
    leases: dict[int, tuple[float, float]]
    owners: dict[str, int]
    granted: int


class Store:
    """Revisions, records, leases and a history."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 10
        self.history: list[tuple[int, str, object]] = []
        self.items: dict[str, object] = {}
        # Time of expiry and TTL, by lease id.
        self.leases: dict[int, tuple[float, float]] = {}
        # Id of the lease of each record that has one.
        self.owners: dict[str, int] = {}
        self.changed = asyncio.Event()
        # The history no longer holds changes up to this revision.
        self.compacted_revision = 0
        self.down = False
        # Rises each time the store is restored from a copy.
        self.era = 1

    def put(self, key: str, change: object) -> int:
        self.revision += 1
        self.items[key] = change
        self.history.append((self.revision, key, change))
        self._wake()
        return self.revision

    def delete(self, key: str, change: object) -> None:
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, change))
            self._wake()

    @property
    def position(self) -> Position:
        return Position(self.era, self.revision)

    def copy(self) -> "Copy":
        """Return a copy that can be restored."""
        return Copy(
            self.revision,
            dict(self.items),
            list(self.history),
            dict(self.leases),
            dict(self.owners),
            len(self.world.granted),
        )

    def restore(self, copy: "Copy") -> None:
        """Restore a copy: later changes are lost, and their revisions and lease ids are reused."""
        self.era += 1
        self.revision = copy.revision
        self.items, self.history = dict(copy.items), list(copy.history)
        self.leases, self.owners = dict(copy.leases), dict(copy.owners)
        del self.world.granted[copy.granted :]
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        now = self.world.now()
        for lease in [key for key, (end, _) in self.leases.items() if end <= now]:
            self.end(lease)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, owner in self.owners.items() if owner == lease]:
            del self.owners[key]
            self.delete(key, RecordChanged(key, None, self.revision + 1))


class StoreClient:
    """One daemon's client of the store: feed and records."""

    def __init__(self, world: "World", node: "Node") -> None:
        self._store = world.store
        self._world = world
        self._node = node
        self.era = StoreEra()

    async def _call(self) -> None:
        await asyncio.sleep(0.004)
        await self._node.thawed()
        if self._store.down or self._node.cut:
            raise StoreUnavailableError("down")
        self.era.observe(self._store.era)

    async def _read(self) -> None:
        await self._call()
        if self._node.reads_refused:
            raise StoreUnavailableError("over the rate of reads")

    async def snapshot(self) -> Changes:
        await self._read()
        return Changes(self._store.position, list(self._store.items.values()))

    async def changes(self, since: Position, wait: float) -> Changes:
        if self.era.is_over(since.era):
            raise HistoryCompactedError(f"era {since.era} is over")
        await self._read()
        store, until = self._store, self._world.now() + wait
        while store.position <= since and self._world.now() < until:
            try:
                await asyncio.wait_for(store.changed.wait(), until - self._world.now())
            except TimeoutError:
                break
        await self._read()
        if (
            store.era != since.era
            or not store.compacted_revision <= since.revision <= store.revision
        ):
            raise HistoryCompactedError("another era, forgotten, or never written")
        found = [change for rev, _, change in store.history if rev > since.revision]
        return Changes(store.position, found)

    def _check_lease(self, lease: Lease) -> None:
        if self.era.is_over(lease.era):
            raise LeaseExpiredError("of an era that is over")

    def _confirm_write(self, era: int) -> None:
        if era != self._store.era:
            raise StoreOutcomeUnknownError("answered in another era")
        if self._world.chance("lost write"):
            raise StoreOutcomeUnknownError("answer lost")

    async def create(self, key: str, value: bytes, lease: Lease) -> Position | None:
        self._check_lease(lease)
        await self._call()
        store = self._store
        if key in store.items:
            return None
        if lease.id not in store.leases:
            raise StoreUnavailableError("no such lease")
        created = store.revision + 1
        store.put(key, RecordChanged(key, value, created, created))
        store.owners[key] = lease.id
        self._confirm_write(lease.era)
        return Position(store.era, created)

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        self._check_lease(lease)
        await self._call()
        store = self._store
        if lease.id not in store.leases:
            raise StoreUnavailableError("no such lease")
        revision = store.revision + 1
        store.put(key, RecordChanged(key, value, revision, revision))
        store.owners[key] = lease.id

    async def commit(self, puts, removals, unchanged) -> bool:
        era = self.era.newest
        if any(position.era != era for position in unchanged.values()):
            return False
        await self._call()
        store = self._store
        for key, position in unchanged.items():
            present = store.items.get(key)
            if (present.revision if present else 0) != position.revision:
                return False
        for key, value in puts.items():
            store.put(key, RecordChanged(key, value, store.revision + 1, store.revision + 1))
        for key in removals:
            store.delete(key, RecordChanged(key, None, store.revision + 1))
        self._confirm_write(era)
        return True

    async def list_records(self, prefix: str) -> list[RecordChanged]:
        await self._read()
        found = [key for key in self._store.items if key.startswith(prefix)]
        return [self._store.items[key] for key in found]

    async def find(self, key: str) -> RecordChanged | None:
        await self._read()
        return self._store.items.get(key)

    async def grant(self, ttl: float) -> Lease:
        await asyncio.sleep(self._node.grant_delay)
        await self._call()
        lease = len(self._world.granted) + 1
        self._world.granted.append(lease)
        self._store.leases[lease] = (self._world.now() + ttl, ttl)
        return Lease(self._store.era, lease)

    async def renew(self, lease: Lease) -> None:
        self._check_lease(lease)
        await self._call()
        self._check_lease(lease)
        if lease.id not in self._store.leases:
            raise LeaseExpiredError("over")
        _, ttl = self._store.leases[lease.id]
        self._store.leases[lease.id] = (self._world.now() + ttl, ttl)

    async def end(self, lease: Lease) -> None:
        if self.era.is_over(lease.era):
            return
        await self._call()
        self._store.end(lease.id)
        if self._node.end_unanswered:
            await asyncio.sleep(UNANSWERED_SECONDS)
            raise StoreOutcomeUnknownError("answer lost")
