"""Guards against a daemon that misses or reverts accepted configurations."""

from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.journal import State
from thorncleat_daemon.config import ConfigManager
from thorncleat_daemon.keyspace import Keyspace
from thorncleat_daemon.ports import Stored

from .test_journal import CHAIN
from .test_journal import ENTRIES
from .world import World

KEYS = Keyspace("test")


class _Store:
    """Holds the first entries of the chain and calls a hook before each answer to a read."""

    def __init__(self, count: int) -> None:
        self.is_reachable = True
        self.before_answer = lambda key: None
        self._values = {KEYS.entry(entry.revision): entry.encode() for entry in ENTRIES[:count]}
        self._values[KEYS.head] = CHAIN[count].head.encode()

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        self.before_answer(key)
        value = self._values.get(key)
        return Stored(key, value, 1, 1) if value else None


def _manager(store: _Store) -> ConfigManager:
    daemon = World(daemons=1).daemons["d0"]
    return ConfigManager("d0", store, KEYS, daemon.gossip, daemon.peers)


class TestCatchingUp:
    async def test_reads_all_newer_entries(self):
        manager = _manager(_Store(9))
        await manager.catch_up()
        assert manager.current == CHAIN[9]
        assert manager.is_loaded

    async def test_continues_if_a_peer_delivers_the_next_entry(self):
        store = _Store(3)
        manager = _manager(store)

        def deliver_from_peer(key: str) -> None:
            if key == KEYS.entry(1):
                manager.journal.append(ENTRIES[0])

        store.before_answer = deliver_from_peer
        await manager.catch_up()
        assert manager.journal.head.revision == 3

    async def test_stops_at_a_missing_entry_without_a_snapshot(self):
        store = _Store(3)
        del store._values[KEYS.entry(2)]
        manager = _manager(store)
        await manager.catch_up()
        assert manager.current == CHAIN[1]

    async def test_deleted_entries_are_read_from_the_snapshot(self):
        store = _Store(9)
        for number in range(1, 6):
            del store._values[KEYS.entry(number)]
        store._values[KEYS.snapshot] = CHAIN[5].encode()
        manager = _manager(store)
        await manager.catch_up()
        assert manager.current == CHAIN[9]

    async def test_fetches_a_revision_announced_by_an_unreachable_daemon(self):
        manager = _manager(_Store(3))
        manager._gossip.directory.put(Record("config", (3,), {"digest": "x"}))
        await manager.fetch_announced()
        assert manager.current == CHAIN[3]

    async def test_never_reverts(self):
        manager = _manager(_Store(9))
        await manager.catch_up()
        manager._store = _Store(4)
        await manager.catch_up()
        assert manager.current == CHAIN[9]
        assert State() != manager.current
