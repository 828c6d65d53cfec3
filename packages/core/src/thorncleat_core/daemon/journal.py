"""The journal of configuration changes: a chain of entries linked by their digests.

A daemon only moves forward in the chain, so stale events and peers can't revert it.

Owns: this daemon's current state and the latest entries.
Relies on: the store accepting only one entry for each revision.
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
    """The fabric domain and instances that a plan chose for a group.

    :param members: instance ids, starting with the leader.
    :param revision: configuration revision that placed the group.
    """

    group: str
    intent: str
    domain: str
    members: tuple[str, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class Entry:
    """An accepted change of the configuration.

    :param revision: sequence number, starting at 1 without gaps.
    :param previous: digest of the previous entry.
    :param plan: digest of the confirmed plan.
    :param operator: name of the operator who confirmed the plan.
    :param started: placements that the plan adds.
    :param stopped: ids of the groups that the plan ends.
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
        """The digest of the entry, which covers all previous entries."""
        return codec.digest(self)

    def encode(self) -> bytes:
        """Return the encoded form for the store and peers."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Entry":
        """Return the entry that was encoded by :meth:`encode`.

        :raises DecodeError: if the data is invalid.
        """
        return codec.decode(cls, data)


@dataclasses.dataclass(frozen=True)
class Head:
    """The revision and digest of the newest entry."""

    revision: int = 0
    digest: str = ""

    def encode(self) -> bytes:
        """Return the encoded form for the store and peers."""
        return codec.pack(self)

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Return the head that was encoded by :meth:`encode`.

        :raises DecodeError: if the data is invalid.
        """
        return codec.decode(cls, data)


@dataclasses.dataclass(frozen=True)
class State:
    """The configuration and all placements at one revision."""

    head: Head = Head()
    configuration: Configuration = dataclasses.field(default_factory=Configuration)
    placements: t.Mapping[str, Placement] = dataclasses.field(default_factory=dict)

    def with_entry(self, entry: Entry) -> "State":
        """Return the state with the next entry applied.

        :raises JournalError: if the entry doesn't follow this state.
        """
        expected = (self.head.revision + 1, self.head.digest)
        if (entry.revision, entry.previous) != expected:
            text = f"entry {entry.revision!r} does not follow revision {self.head.revision!r}"
            raise JournalError(text)
        placements = {
            key: value for key, value in self.placements.items() if key not in entry.stopped
        }
        placements.update((placement.group, placement) for placement in entry.started)
        configuration = self.configuration.with_change(entry.change)
        return State(Head(entry.revision, entry.digest), configuration, placements)

    def encode(self) -> bytes:
        """Return the encoded snapshot."""
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
        """Return the state in a snapshot that was encoded by :meth:`encode`.

        :raises DecodeError: if the snapshot is invalid.
        """
        return codec.decode(_Snapshot, data).to_state()


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """The schema of an encoded snapshot."""

    head: Head
    workspaces: list[Workspace]
    operators: list[Operator]
    services: list[Service]
    intents: list[Intent]
    draining: frozenset[str]
    placements: list[Placement]

    def to_state(self) -> State:
        configuration = Configuration(
            {workspace.name: workspace for workspace in self.workspaces},
            {operator.name: operator for operator in self.operators},
            {service.name: service for service in self.services},
            {intent.name: intent for intent in self.intents},
            self.draining,
        )
        return State(
            self.head, configuration, {placement.group: placement for placement in self.placements}
        )


class Journal:
    """A daemon's copy of the journal: the current state and the latest entries.

    :param max_entries: number of entries to keep for peers that are behind.
    """

    def __init__(self, max_entries: int = 512) -> None:
        self._state = State()
        self._entries: dict[int, Entry] = {}
        self._max_entries = max_entries

    @property
    def state(self) -> State:
        """The current state."""
        return self._state

    @property
    def head(self) -> Head:
        """The revision and digest of the newest entry."""
        return self._state.head

    def append(self, entry: Entry) -> bool:
        """Append an entry and return whether it was appended.

        An entry that is not the next one is ignored.

        :raises JournalError: if the entry conflicts with the chain.
        """
        if entry.revision <= self.head.revision:
            existing = self._entries.get(entry.revision)
            if existing and existing.digest != entry.digest:
                raise JournalError(f"entry {entry.revision!r} differs from the one accepted")
            return False
        if entry.revision > self.head.revision + 1:
            return False
        self._state = self._state.with_entry(entry)
        self._entries[entry.revision] = entry
        self._entries.pop(entry.revision - self._max_entries, None)
        return True

    def restore(self, snapshot: State) -> bool:
        """Replace the state by a snapshot if it is newer, and return whether it was."""
        if snapshot.head.revision <= self.head.revision:
            return False
        self._state = snapshot
        self._entries.clear()
        return True

    def entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision, or None if some of them are no longer kept."""
        revisions = range(revision + 1, self.head.revision + 1)
        if any(number not in self._entries for number in revisions):
            return None
        return [self._entries[number] for number in revisions]

    def entry(self, revision: int) -> Entry | None:
        """Return the entry of a revision, or None if it is not kept."""
        return self._entries.get(revision)
