"""Catching up with the accepted configuration."""

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
    """Holds the first entries of the chain; a hook runs before each read is answered."""

    def __init__(self, count: int) -> None:
        self.is_reachable = True
        self.before_answer = lambda key: None
        self._values = {KEYS.entry(one.revision): one.encode() for one in ENTRIES[:count]}
        self._values[KEYS.head] = CHAIN[count].head.encode()

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        self.before_answer(key)
        value = self._values.get(key)
        return Stored(key, value, 1, 1) if value else None


def _keeper(store: _Store) -> ConfigManager:
    daemon = World(daemons=1).daemons["d0"]
    return ConfigManager("d0", store, KEYS, daemon.gossip, daemon.peers)


class TestCatchingUp:
    async def test_reads_all_that_is_newer(self):
        keeper = _keeper(_Store(9))
        await keeper.catch_up()
        assert keeper.current == CHAIN[9]
        assert keeper.is_loaded

    async def test_goes_on_when_a_peer_brings_the_next_entry_meanwhile(self):
        store = _Store(3)
        keeper = _keeper(store)

        def from_a_peer(key: str) -> None:
            if key == KEYS.entry(1):
                keeper.journal.append(ENTRIES[0])

        store.before_answer = from_a_peer
        await keeper.catch_up()
        assert keeper.journal.head.revision == 3

    async def test_missing_entry_without_a_snapshot_ends_it(self):
        store = _Store(3)
        del store._values[KEYS.entry(2)]
        keeper = _keeper(store)
        await keeper.catch_up()
        assert keeper.current == CHAIN[1]

    async def test_erased_entries_come_with_the_snapshot(self):
        store = _Store(9)
        for number in range(1, 6):
            del store._values[KEYS.entry(number)]
        store._values[KEYS.snapshot] = CHAIN[5].encode()
        keeper = _keeper(store)
        await keeper.catch_up()
        assert keeper.current == CHAIN[9]

    async def test_goes_after_what_was_announced_by_one_it_cannot_reach(self):
        keeper = _keeper(_Store(3))
        keeper._gossip.directory.put(Record("config", (3,), {"digest": "x"}))
        await keeper.fetch_announced()
        assert keeper.current == CHAIN[3]

    async def test_never_goes_back(self):
        keeper = _keeper(_Store(9))
        await keeper.catch_up()
        keeper._store = _Store(4)
        await keeper.catch_up()
        assert keeper.current == CHAIN[9]
        assert State() != keeper.current
