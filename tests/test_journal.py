"""The journal never reverts, whatever entries and snapshots arrive in which order."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.journal import Entry
from thorncleat_core.daemon.journal import Head
from thorncleat_core.daemon.journal import Journal
from thorncleat_core.daemon.journal import State
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import JournalError

from .makers import change
from .makers import digest


def _chain(length: int) -> list[State]:
    """Return the states of a chain of entries, starting with the empty state."""
    states = [State()]
    for number in range(1, length + 1):
        states.append(states[-1].with_entry(_entry(states[-1], number)))
    return states


def _entry(state: State, number: int) -> Entry:
    if number == 1:
        submitted = change()
    else:
        key = {"name": f"w{number}", "key_digests": [digest(str(number))]}
        submitted = Change.model_validate({"workspaces": [key]})
    return Entry(number, state.head.digest, f"plan-{number}", "op", submitted)


CHAIN = _chain(30)
ENTRIES = [_entry(CHAIN[number - 1], number) for number in range(1, 31)]


class TestChain:
    def test_entry_with_another_predecessor_is_rejected(self):
        journal = Journal()
        journal.append(ENTRIES[0])
        forked = Entry(2, "other", "p", "op", Change())
        with pytest.raises(JournalError):
            journal.append(forked)

    def test_other_entry_of_an_existing_revision_is_rejected(self):
        journal = Journal()
        journal.append(ENTRIES[0])
        with pytest.raises(JournalError, match="differs"):
            journal.append(Entry(1, "", "another", "op", Change()))

    def test_values_are_unchanged_by_encoding_and_decoding(self):
        entry = ENTRIES[0]
        assert Entry.decode(entry.encode()).digest == entry.digest
        state = CHAIN[5]
        assert State.decode(state.encode()) == state
        assert Head.decode(state.head.encode()) == state.head

    @given(st.binary(max_size=40))
    def test_garbage_is_refused(self, data):
        for kind in (Entry, State, Head):
            with pytest.raises(DecodeError):
                kind.decode(data)


class JournalMachine(RuleBasedStateMachine):
    """Entries and snapshots arrive late, repeatedly and out of order, also from stale peers."""

    def __init__(self):
        super().__init__()
        self.journal = Journal(max_entries=8)
        self.highest = 0

    @rule(number=st.integers(0, len(ENTRIES) - 1))
    def hear_entry(self, number):
        self.journal.append(ENTRIES[number])

    @rule(count=st.integers(1, 6))
    def hear_next(self, count):
        done = self.journal.head.revision
        for entry in ENTRIES[done : done + count]:
            assert self.journal.append(entry)

    @rule(number=st.integers(0, len(ENTRIES)))
    def hear_snapshot(self, number):
        newer = number > self.journal.head.revision
        assert self.journal.restore(State.decode(CHAIN[number].encode())) == newer

    @rule(number=st.integers(0, len(ENTRIES)))
    def answer_a_peer(self, number):
        entries = self.journal.entries_after(number)
        if entries is not None:
            assert [entry.revision for entry in entries] == list(
                range(number + 1, self.journal.head.revision + 1)
            )

    @invariant()
    def never_reverts(self):
        assert self.journal.head.revision >= self.highest
        self.highest = self.journal.head.revision
        assert self.journal.state == CHAIN[self.highest]


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=60, stateful_step_count=30)
