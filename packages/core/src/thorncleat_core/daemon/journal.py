"""The journal of accepted configurations: a chain of entries, each naming the one before.

A daemon only ever moves forward along the chain, so neither a late watch event nor a stale
peer can make it revert.

Owns: this daemon's newest state and the latest entries.
Relies on: the store accepting one entry for each revision.
"""

import dataclasses
import typing as t

from .. import codec
from ..exceptions import JournalError
from .configuration import Change
from .configuration import Configuration
from .configuration import Intent
from .configuration import Operator
from .configuration import Service
from .configuration import Workspace


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a plan puts a group.

    :param members: instance ids, the one that answers first.
    :param revision: of the configuration that put it there.
    """

    group: str
    intent: str
    domain: str
    members: tuple[str, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class Entry:
    """An accepted change.

    :param revision: counted from 1 without gaps.
    :param previous: digest of the entry before.
    :param plan: digest of the confirmed plan.
    :param started: placements that the plan adds.
    :param stopped: groups that the plan ends.
    """

    revision: int
    previous: str
    plan: str
    operator: str
    change: Change
    started: tuple[Placement, ...] = ()
    stopped: tuple[str, ...] = ()

    @property
    def digest(self) -> str:
        """The digest of the entry and so of all before it."""
        return codec.digest(self)

    def encode(self) -> bytes:
        """Encode for the store and for peers."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Entry":
        """Decode.

        :raises DecodeError: if the value is broken.
        """
        return codec.decode(cls, data)


@dataclasses.dataclass(frozen=True)
class Head:
    """The newest entry's revision and digest."""

    revision: int = 0
    digest: str = ""

    def encode(self) -> bytes:
        """Encode for the store and for peers."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Decode.

        :raises DecodeError: if the value is broken.
        """
        return codec.decode(cls, data)


@dataclasses.dataclass(frozen=True)
class State:
    """The configuration at one revision, with all placements."""

    head: Head = Head()
    configuration: Configuration = dataclasses.field(default_factory=Configuration)
    placements: t.Mapping[str, Placement] = dataclasses.field(default_factory=dict)

    def with_entry(self, entry: Entry) -> "State":
        """Return the state after the next entry.

        :raises JournalError: if the entry doesn't follow from this state.
        """
        wanted = (self.head.revision + 1, self.head.digest)
        if (entry.revision, entry.previous) != wanted:
            text = f"entry {entry.revision!r} does not follow revision {self.head.revision!r}"
            raise JournalError(text)
        placements = {
            key: value for key, value in self.placements.items() if key not in entry.stopped
        }
        placements.update((placed.group, placed) for placed in entry.started)
        configuration = self.configuration.with_change(entry.change)
        return State(Head(entry.revision, entry.digest), configuration, placements)

    def encode(self) -> bytes:
        """Encode as a snapshot."""
        return codec.pack(
            {
                "head": self.head,
                "workspaces": list(self.configuration.workspaces.values()),
                "operators": list(self.configuration.operators.values()),
                "services": list(self.configuration.services.values()),
                "intents": list(self.configuration.intents.values()),
                "draining": self.configuration.draining,
                "placements": list(self.placements.values()),
            }
        )

    @classmethod
    def decode(cls, data: bytes) -> "State":
        """Decode a snapshot.

        :raises DecodeError: if it is broken.
        """
        return codec.decode(_Snapshot, data).state()


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """The form of a snapshot, for validation."""

    head: Head
    workspaces: list[Workspace]
    operators: list[Operator]
    services: list[Service]
    intents: list[Intent]
    draining: frozenset[str]
    placements: list[Placement]

    def state(self) -> State:
        configuration = Configuration(
            {workspace.name: workspace for workspace in self.workspaces},
            {operator.name: operator for operator in self.operators},
            {service.name: service for service in self.services},
            {intent.name: intent for intent in self.intents},
            self.draining,
        )
        return State(self.head, configuration, {placed.group: placed for placed in self.placements})


class Journal:
    """A daemon's copy of the journal: the newest state and the latest entries.

    :param keep: how many entries are kept for peers that lag.
    """

    def __init__(self, max_entries: int = 512) -> None:
        self._state = State()
        self._entries: dict[int, Entry] = {}
        self._keep = max_entries

    @property
    def state(self) -> State:
        """The newest state."""
        return self._state

    @property
    def head(self) -> Head:
        """The newest entry's revision and digest."""
        return self._state.head

    def append(self, entry: Entry) -> bool:
        """Append an entry; False if it is known already or too far ahead.

        :raises JournalError: if the entry forks off the chain.
        """
        if entry.revision <= self.head.revision:
            known = self._entries.get(entry.revision)
            if known and known.digest != entry.digest:
                raise JournalError(f"entry {entry.revision!r} differs from the one accepted")
            return False
        if entry.revision > self.head.revision + 1:
            return False
        self._state = self._state.with_entry(entry)
        self._entries[entry.revision] = entry
        self._entries.pop(entry.revision - self._keep, None)
        return True

    def restore(self, snapshot: State) -> bool:
        """Replace the state by a snapshot; False unless it is newer than the present state."""
        if snapshot.head.revision <= self.head.revision:
            return False
        self._state = snapshot
        self._entries.clear()
        return True

    def entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision; None if they are not kept any more."""
        wanted = range(revision + 1, self.head.revision + 1)
        if any(number not in self._entries for number in wanted):
            return None
        return [self._entries[number] for number in wanted]

    def entry(self, revision: int) -> Entry | None:
        """Return a kept entry."""
        return self._entries.get(revision)
