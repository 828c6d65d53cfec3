"""Loading, changing and distributing the configuration.

Owns: this daemon's journal and whether it was loaded.
Relies on: the store's compare-and-swap on the head, which orders all changes in one chain.
"""

import asyncio
import random
import typing as t

import mode

from thorncleat_core import clock
from thorncleat_core import rendezvous
from thorncleat_core.daemon.budget import Backoff
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.journal import Entry
from thorncleat_core.daemon.journal import Head
from thorncleat_core.daemon.journal import Journal
from thorncleat_core.daemon.journal import State
from thorncleat_core.exceptions import ConflictError
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import JournalError
from thorncleat_core.exceptions import ThorncleatError

from . import background
from . import events
from .exceptions import PeerError
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreUnavailableError
from .gossip import Gossip
from .invariants import Invariant
from .invariants import Invariants
from .keyspace import Keyspace
from .ports import Erase
from .ports import Operation
from .ports import Peers
from .ports import Store
from .ports import Unchanged
from .ports import Write

# Number of daemons that watch the store.
WATCHER_COUNT = 3
MAX_PEERS_ASKED = 3
# First delay before a watch is restarted; it backs off after further failures.
WATCH_RETRY_SECONDS = 0.2
WATCHER_POLL_INTERVAL_SECONDS = 1.0
RECORD_KEY = "config"
SNAPSHOT_INTERVAL_REVISIONS = 64
STORE_POLL_INTERVAL_SECONDS = 60.0
READ_BACK_TIMEOUT_SECONDS = 5.0
# A peer that lacks more entries gets a snapshot instead.
MAX_ENTRIES_PER_ANSWER = 64
# Delay in which the entries announced by a watch may arrive from peers.
WATCH_GRACE_SECONDS = 0.1
FOLLOW_INTERVAL_SECONDS = 0.5


class ConfigManager(mode.Service):
    """Keeps this daemon's journal up to date with the accepted one.

    A few daemons, selected by rendezvous hashing, watch the store; the others learn of a change
    by gossip and fetch the entries from the sender.
    """

    def __init__(
        self,
        me: str,
        store: Store,
        keys: Keyspace,
        gossip: Gossip,
        peers: Peers,
        invariants: Invariants | None = None,
    ) -> None:
        super().__init__()
        self._me = me
        self._store = store
        self._keys = keys
        self._gossip = gossip
        self._peers = peers
        self._invariants = invariants or Invariants()
        self._highest_revision = 0
        self._fetching: set[asyncio.Task[None]] = set()
        self.journal = Journal()
        self.is_loaded = False
        peers.handle("journal", self._on_journal)
        gossip.listen(RECORD_KEY, self._on_record)

    @property
    def current(self) -> State:
        """The configuration that this daemon applies."""
        return self.journal.state

    async def accept(self, entry: Entry) -> int:
        """Make an entry durable, apply it and return its revision.

        :raises ConflictError: if another entry has taken the revision.
        :raises StoreUnavailableError: if the entry was not accepted.
        :raises StoreOutcomeUnknownError: if it is unknown whether the entry was accepted.
        """
        head = await self._store.read(self._keys.head, Purpose.CONFIG)
        store_head = Head.decode(head.value) if head else Head()
        if store_head != self.journal.head:
            await self.catch_up()
        # Checked before the write, since every daemon must be able to apply an accepted entry.
        try:
            state = self.current.with_entry(entry)
        except JournalError as error:
            raise ConflictError(str(error)) from error
        operations = self._operations(entry, state)
        condition = Unchanged(self._keys.head, head.mod_revision if head else 0)
        try:
            revision = await self._store.transact([condition], operations, Purpose.CONFIG)
        except StoreOutcomeUnknownError:
            revision = await self._read_back(entry)
        if revision is None:
            await self.catch_up()
            raise ConflictError(f"revision {entry.revision!r} was taken by another change")
        self._apply([entry])
        return entry.revision

    def _operations(self, entry: Entry, state: State) -> list[Operation]:
        operations: list[Operation] = [
            Write(self._keys.entry(entry.revision), entry.encode()),
            Write(self._keys.head, state.head.encode()),
        ]
        if entry.revision % SNAPSHOT_INTERVAL_REVISIONS == 0:
            operations.append(Write(self._keys.snapshot, state.encode()))
            last = entry.revision - SNAPSHOT_INTERVAL_REVISIONS
            operations += [
                Erase(self._keys.entry(revision))
                for revision in range(last - SNAPSHOT_INTERVAL_REVISIONS + 1, last + 1)
            ]
        return operations

    async def _read_back(self, entry: Entry) -> int | None:
        """Return the revision of a write whose answer was lost, or None if another entry won."""
        end = clock.now() + READ_BACK_TIMEOUT_SECONDS
        backoff = Backoff()
        while clock.now() < end:
            try:
                stored = await self._store.read(self._keys.entry(entry.revision), Purpose.CONFIG)
            except StoreUnavailableError:
                await asyncio.sleep(backoff.next_delay(random.random()))
                continue
            if stored is None:
                raise StoreUnavailableError("the write did not take effect")
            is_own = Entry.decode(stored.value).digest == entry.digest
            events.STORE_READ_BACK.log(revision=entry.revision, own=is_own)
            return stored.mod_revision if is_own else None
        raise StoreOutcomeUnknownError(f"whether revision {entry.revision!r} was accepted")

    async def catch_up(self) -> None:
        """Read newer entries from the store and apply them.

        :raises StoreUnavailableError: if the store can't be read.
        """
        head = await self._store.read(self._keys.head, Purpose.CONFIG)
        if head is None:
            self.is_loaded = True
            return
        accepted_head = Head.decode(head.value)
        behind = accepted_head.revision - self.journal.head.revision
        if behind > SNAPSHOT_INTERVAL_REVISIONS:
            snapshot = await self._store.read(self._keys.snapshot, Purpose.CONFIG)
            if snapshot:
                self._restore(State.decode(snapshot.value))
        while self.journal.head.revision < accepted_head.revision:
            before = self.journal.head.revision
            await self._apply_next_entry()
            # Unchanged if the entry is missing; a peer may also have delivered it meanwhile.
            if self.journal.head.revision == before:
                break
        self.is_loaded = True

    async def _apply_next_entry(self) -> None:
        key = self._keys.entry(self.journal.head.revision + 1)
        stored = await self._store.read(key, Purpose.CONFIG)
        if stored is None:
            # The entry was deleted, so the snapshot is newer.
            snapshot = await self._store.read(self._keys.snapshot, Purpose.CONFIG)
            if snapshot:
                self._restore(State.decode(snapshot.value))
            return
        self._apply([Entry.decode(stored.value)])

    def _apply(self, entries: list[Entry]) -> bool:
        applied = [entry for entry in entries if self.journal.append(entry)]
        if applied:
            self._record_applied()
        return bool(applied)

    def _restore(self, state: State) -> bool:
        applied = self.journal.restore(state)
        if applied:
            self._record_applied()
        return applied

    def _record_applied(self) -> None:
        head = self.journal.head
        self._invariants.check(
            head.revision > self._highest_revision,
            Invariant.CONFIGURATION_REVERTED,
            revision=head.revision,
            highest=self._highest_revision,
        )
        self._highest_revision = max(self._highest_revision, head.revision)
        events.CONFIG_IN_FORCE.log(revision=head.revision)
        self._gossip.publish(Record(RECORD_KEY, (head.revision,), {"digest": head.digest}))

    def _on_record(self, record: Record, sender: str) -> None:
        if record.version[0] > self.journal.head.revision and sender != self._me:
            task = asyncio.create_task(self._try_fetch(sender))
            self._fetching.add(task)
            task.add_done_callback(self._fetching.discard)

    async def _try_fetch(self, peer: str) -> None:
        for source in [peer, *self._gossip.sample_peers(2)]:
            try:
                await self.fetch_from(source)
                return
            except (PeerError, DecodeError, JournalError) as error:
                events.TASK_FAILED.log(task="journal", reason=str(error), expected=True)

    async def fetch_from(self, peer: str) -> None:
        """Fetch newer entries from a peer and apply them.

        :raises PeerError: if the peer doesn't answer.
        :raises DecodeError: if its answer is malformed.
        """
        answer = await self._peers.ask(peer, "journal", self.journal.head.revision, 2.0)
        if answer.get("snapshot"):
            self._restore(State.decode(answer["snapshot"]))
        self._apply([Entry.decode(raw) for raw in answer["entries"]])

    async def _on_journal(self, sender: str, body: t.Any) -> t.Any:
        entries = self.journal.entries_after(int(body))
        if entries is None or len(entries) > MAX_ENTRIES_PER_ANSWER:
            return {"snapshot": self.current.encode(), "entries": []}
        return {"snapshot": None, "entries": [entry.encode() for entry in entries]}

    @mode.Service.task
    async def _load_task(self) -> None:
        """Load from the store, or else from peers, then poll the store."""
        backoff = Backoff()
        while not self.should_stop and not self.is_loaded:
            try:
                await self.catch_up()
            except ThorncleatError as error:
                events.TASK_FAILED.log(task="load", reason=str(error), expected=True)
                await self._load_from_peers()
                await asyncio.sleep(backoff.next_delay(random.random()))
        await background.repeat(
            "config", self.try_catch_up, STORE_POLL_INTERVAL_SECONDS, lambda: self.should_stop
        )

    @mode.Service.task
    async def _follow_task(self) -> None:
        await background.repeat(
            "follow", self.fetch_announced, FOLLOW_INTERVAL_SECONDS, lambda: self.should_stop
        )

    async def fetch_announced(self) -> None:
        """Retry fetching the announced revision until it is applied.

        The first attempt may have failed because the announcing daemon was unreachable or unlisted.
        """
        record = self._gossip.directory.get(RECORD_KEY)
        if record is None or record.version[0] <= self.journal.head.revision:
            return
        for peer in self._gossip.sample_peers(2):
            await self._try_fetch(peer)
            if record.version[0] <= self.journal.head.revision:
                return
        await self.try_catch_up()

    async def _load_from_peers(self) -> None:
        """Load the newest configuration of several peers, since a single one may be stale."""
        answers = 0
        others = [name for name in self._gossip.members.alive if name != self._me]
        for peer in random.sample(others, min(MAX_PEERS_ASKED, len(others))):
            try:
                await self.fetch_from(peer)
                answers += 1
            except (PeerError, DecodeError, JournalError):
                # The next peer is asked; with too few answers this daemon stays unready.
                continue
        if answers >= min(2, len(others)) and self.journal.head.revision > 0:
            self.is_loaded = True

    async def try_catch_up(self) -> None:
        """Catch up from the store; log a failure instead of raising it."""
        try:
            await self.catch_up()
        except StoreError as error:
            events.TASK_FAILED.log(task="catch up", reason=str(error), expected=True)

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon is one of those that watch the store."""
        alive = self._gossip.members.alive
        return rendezvous.rank_of("config-watch", self._me, alive, WATCHER_COUNT) is not None

    @mode.Service.task
    async def _watch_task(self) -> None:
        backoff = Backoff(WATCH_RETRY_SECONDS)
        while not self.should_stop:
            if not self.is_watcher:
                await asyncio.sleep(WATCHER_POLL_INTERVAL_SECONDS)
                continue
            try:
                await self._watch(backoff)
            except ThorncleatError as error:
                events.TASK_FAILED.log(task="watch", reason=str(error), expected=True)
                await asyncio.sleep(backoff.next_delay(random.random()))

    async def _is_still_newer(self, head: Head) -> bool:
        """Return whether a head is still newer after a delay in which peers may deliver it."""
        if head.revision > self.journal.head.revision:
            await asyncio.sleep(WATCH_GRACE_SECONDS)
        return head.revision > self.journal.head.revision

    async def _watch(self, backoff: Backoff) -> None:
        async for value in self._store.watch(self._keys.head):
            # An event is only a hint to catch up, so late and duplicate ones are harmless.
            if value is None or await self._is_still_newer(Head.decode(value.value)):
                await self.catch_up()
            backoff.reset()
            if self.should_stop or not self.is_watcher:
                return
