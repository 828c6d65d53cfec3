"""Gossip: spreading records among the daemons and probing overlay neighbours.

Owns: the directory and the membership.
Relies on: the platform's list for addresses; neighbours for all newer records.
"""

import asyncio
import random
import typing as t

import mode

from thorncleat_core.daemon import directory
from thorncleat_core.daemon.directory import Directory
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.members import Members

from . import background
from . import events
from .exceptions import PeerError
from .exceptions import PlatformError
from .ports import InstanceList
from .ports import Peers

# Records wait this long to be batched with others.
FLUSH_DELAY_SECONDS = 0.02
MAX_RECORDS_PER_MESSAGE = 500
Listener = t.Callable[[Record, str], None]


class Gossip(mode.Service):
    """Maintains the directory and the membership.

    :param me: this daemon's id.
    :param probe: seconds between probes; neighbours are probed in rotation.
    :param poll: seconds between fetches of the platform's list.
    """

    def __init__(
        self,
        me: str,
        peers: Peers,
        instances: InstanceList,
        probe: float,
        poll: float,
    ) -> None:
        super().__init__()
        self._me = me
        self._peers = peers
        self._instances = instances
        self._probe = probe
        self._poll = poll
        self._probe_index = 0
        self._outbox: list[tuple[Record, str]] = []
        self._listeners: dict[str, Listener] = {}
        self._list_listeners: list[t.Callable[[int], None]] = []
        self._has_outgoing = asyncio.Event()
        self.directory = Directory()
        self.members = Members(me, self.directory)
        self.has_list = False
        peers.handle("records", self._on_records)
        peers.handle("sync", self._on_sync)
        peers.handle("ping", self._on_ping)

    def listen(self, prefix: str, listener: Listener) -> None:
        """Register a function to call with each new record under a prefix and its sender."""
        self._listeners[prefix] = listener

    def on_listed(self, listener: t.Callable[[int], None]) -> None:
        """Register a function to call with the number of daemons after each fetch of the list."""
        self._list_listeners.append(listener)

    def publish(self, record: Record) -> None:
        """Put a record into the directory and send it to the neighbours."""
        self._apply_record(record, self._me)

    async def on_start(self) -> None:
        """Fetch the list before other services start."""
        await self.fetch()

    async def fetch(self) -> None:
        """Fetch the platform's list; a failure is logged."""
        try:
            entries = await self._instances.entries()
        except PlatformError as error:
            events.PLATFORM_LOST.log(reason=str(error))
            return
        self.has_list = True
        self.members.update_list({entry.id: entry.address for entry in entries})
        for listener in self._list_listeners:
            listener(len(self.members.addresses))

    def _apply_record(self, record: Record, sender: str) -> None:
        if not self.directory.put(record):
            return
        self._outbox.append((record, sender))
        self._has_outgoing.set()
        for prefix, listener in self._listeners.items():
            if record.key.startswith(prefix):
                listener(record, sender)
        if record.key.startswith("member/"):
            self._refresh_membership()

    def _refresh_membership(self) -> None:
        self.members.refresh_alive()
        refutation = self.members.create_refutation()
        if refutation:
            events.MEMBER_REFUTED.log(incarnation=refutation.version[0])
            self.publish(refutation)

    async def _on_records(self, sender: str, body: t.Any) -> None:
        for raw in body[:MAX_RECORDS_PER_MESSAGE]:
            self._apply_record(directory.decode(raw), sender)

    async def _on_sync(self, sender: str, body: t.Any) -> t.Any:
        versions = {key: tuple(version) for key, version in body.items()}
        own_versions = self.directory.versions()
        # The answer also requests the records that are newer on the sender's side.
        older_keys = [
            key for key, version in versions.items() if own_versions.get(key, ()) < version
        ]
        return {
            "records": self.directory.newer_than(versions)[:MAX_RECORDS_PER_MESSAGE],
            "wanted": older_keys[:MAX_RECORDS_PER_MESSAGE],
        }

    async def _on_ping(self, sender: str, body: t.Any) -> t.Any:
        return self.directory.checksum

    @mode.Service.task
    async def _poll_task(self) -> None:
        await background.repeat("list", self.fetch, self._poll, lambda: self.should_stop)

    @mode.Service.task
    async def _flush_task(self) -> None:
        while not self.should_stop:
            await self._has_outgoing.wait()
            # Records that arrive together are sent together.
            await asyncio.sleep(FLUSH_DELAY_SECONDS)
            self._has_outgoing.clear()
            await self.flush()

    async def flush(self) -> None:
        """Send new records to all neighbours except the one that sent them."""
        outbox, self._outbox = self._outbox, []
        for neighbour in self.members.neighbours:
            records = [record for record, sender in outbox if sender != neighbour]
            if not records:
                continue
            try:
                await self._peers.send(neighbour, "records", records[:MAX_RECORDS_PER_MESSAGE])
            except PeerError:
                # The next probe compares checksums and repairs the loss.
                continue

    @mode.Service.task
    async def _probe_task(self) -> None:
        await background.repeat("probe", self.probe_next, self._probe, lambda: self.should_stop)

    async def probe_next(self) -> None:
        """Probe the next neighbour, and synchronise if its checksum differs."""
        neighbours = self.members.neighbours
        if not neighbours:
            return
        self._probe_index = (self._probe_index + 1) % len(neighbours)
        neighbour = neighbours[self._probe_index]
        try:
            checksum = await self._peers.ask(neighbour, "ping", None, self._probe)
        except PeerError:
            suspicion = self.members.record_missed_probe(neighbour)
            if suspicion:
                events.MEMBER_SUSPECTED.log(member=neighbour)
                self.publish(suspicion)
            return
        self.members.record_answer(neighbour)
        if checksum != self.directory.checksum:
            await self.synchronise(neighbour)

    async def synchronise(self, peer: str) -> None:
        """Exchange with a peer the records that either lacks.

        :raises PeerError: if the peer doesn't answer.
        """
        answer = await self._peers.ask(peer, "sync", self.directory.versions())
        for raw in answer["records"]:
            self._apply_record(directory.decode(raw), peer)
        requested = [self.directory.get(key) for key in answer["wanted"]]
        records = [record for record in requested if record]
        if records:
            await self._peers.send(peer, "records", records)

    def sample_peers(self, count: int) -> list[str]:
        """Return up to ``count`` other daemons chosen at random."""
        others = [name for name in self.members.alive if name != self._me]
        return random.sample(others, min(count, len(others)))
