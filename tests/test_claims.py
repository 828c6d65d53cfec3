"""A claimed request runs at most once, even if writes and answers are lost."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from thorncleat_core.daemon import claims
from thorncleat_core.daemon.claims import ClaimAnswer
from thorncleat_core.daemon.claims import ClaimBook
from thorncleat_core.daemon.claims import Outcome
from thorncleat_core.exceptions import DecodeError

DONE = Outcome(201, "text/plain", b"ok")


def _granted(book: ClaimBook, key: str = "k"):
    reply, claim = book.request_claim("w", key, "r", 0.0, 0)
    assert reply.answer is ClaimAnswer.GRANTED
    book.mark_durable(claim)
    return claim


class TestBook:
    def test_second_request_is_answered_with_running(self):
        book = ClaimBook()
        _granted(book)
        assert book.request_claim("w", "k", "r", 1.0, 0)[0].answer is ClaimAnswer.RUNNING

    def test_request_during_the_write_is_not_granted(self):
        book = ClaimBook()
        book.request_claim("w", "k", "r", 0.0, 0)
        assert book.request_claim("w", "k", "r", 0.0, 0)[0].answer is ClaimAnswer.RUNNING

    def test_repeated_request_gets_the_stored_outcome(self):
        book = ClaimBook()
        _granted(book)
        book.record_outcome("w", "k", DONE, "yes")
        reply, _ = book.request_claim("w", "k", "r", 1.0, 0)
        assert (reply.answer, reply.outcome) == (ClaimAnswer.DONE, DONE)

    def test_same_key_with_another_request_is_a_mismatch(self):
        book = ClaimBook()
        _granted(book)
        assert book.request_claim("w", "k", "other", 1.0, 0)[0].answer is ClaimAnswer.MISMATCH

    def test_same_key_of_another_workspace_is_granted(self):
        book = ClaimBook()
        _granted(book)
        assert book.request_claim("v", "k", "r", 1.0, 0)[0].answer is ClaimAnswer.GRANTED

    def test_key_is_granted_again_if_the_request_did_not_run(self):
        book = ClaimBook()
        _granted(book)
        book.record_outcome("w", "k", None, "no")
        assert book.request_claim("w", "k", "r", 1.0, 0)[0].answer is ClaimAnswer.GRANTED

    def test_run_without_outcome_becomes_unknown(self):
        book = ClaimBook(run_timeout=10)
        _granted(book)
        assert book.request_claim("w", "k", "r", 11.0, 0)[0].answer is ClaimAnswer.UNKNOWN

    def test_full_book_rejects_until_claims_expire(self):
        book = ClaimBook(limit=1, keep=100)
        _granted(book)
        assert book.request_claim("w", "other", "r", 0.0, 50)[0].answer is ClaimAnswer.BUSY
        assert book.request_claim("w", "other", "r", 0.0, 100)[0].answer is ClaimAnswer.GRANTED

    def test_batch_is_unchanged_by_encoding_and_decoding(self):
        claim = _granted(ClaimBook())
        assert claims.decode_batch(claims.encode_batch([claim])) == [claim]
        with pytest.raises(DecodeError):
            claims.decode_batch(claims.encode_batch([claim])[:-3])


class ClaimMachine(RuleBasedStateMachine):
    """Owners change, writes and answers are lost, and callers repeat requests.

    The model counts the runs of each key. A key runs when a daemon learns that it is granted.
    """

    keys = st.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.book = ClaimBook(run_timeout=50)
        self.durable: list[claims.Claim] = []
        self.writing: list[tuple[claims.Claim, bool]] = []
        self.running: set[str] = set()
        self.runs: dict[str, int] = {"a": 0, "b": 0, "c": 0}
        self.said_not_run: dict[str, int] = {"a": 0, "b": 0, "c": 0}

    @rule(key=keys)
    def ask(self, key):
        reply, claim = self.book.request_claim("w", key, "r", self.now, 0)
        if claim:
            self.writing.append((claim, True))
        elif reply.answer is ClaimAnswer.GRANTED:
            raise AssertionError("granted without a claim to write")

    @rule(data=st.data(), fate=st.sampled_from(["written", "failed", "written, answer lost"]))
    def write_ends(self, data, fate):
        if not self.writing:
            return
        claim, mine = self.writing.pop(data.draw(st.integers(0, len(self.writing) - 1)))
        if fate != "failed":
            self.durable.append(claim)
        if not mine:
            return
        if fate == "written":
            self.book.mark_durable(claim)
            self._run(claim.key)
        else:
            self.book.discard_unwritten(claim)

    def _run(self, key):
        self.runs[key] += 1
        self.running.add(key)

    @rule(key=keys, ran=st.sampled_from(["yes", "unknown", "no"]))
    def request_ends(self, key, ran):
        if key not in self.running:
            return
        self.running.discard(key)
        if ran == "no":
            # The daemon is certain that nothing was sent.
            self.runs[key] -= 1
        ended = self.book.record_outcome("w", key, DONE if ran == "yes" else None, ran)
        if ended:
            self.durable.append(ended)

    @rule()
    def owner_dies(self):
        """A new owner restores the durable claims. Writes of the old owner are fenced."""
        self.book = ClaimBook(run_timeout=50)
        self.book.restore(self.durable)
        self.writing = []

    @rule(seconds=st.floats(1, 60))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def at_most_one_run(self):
        assert all(count <= 1 for count in self.runs.values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=120, stateful_step_count=40)


class TestRelease:
    """Only the attempt that holds a claim can release it."""

    def test_attempt_without_an_answer_cannot_release_the_claim_of_another(self):
        book = ClaimBook()
        _, claim = book.request_claim("w", "k", "r", 0.0, 0, "first")
        book.mark_durable(claim)
        # The answer to the second attempt was lost, so it can't know that the first one runs.
        assert book.record_outcome("w", "k", None, "no", "second") is None
        assert book.request_claim("w", "k", "r", 1.0, 0, "third")[0].answer is ClaimAnswer.RUNNING

    def test_other_attempt_cannot_release_a_claim_with_unknown_outcome(self):
        book = ClaimBook()
        _, claim = book.request_claim("w", "k", "r", 0.0, 0, "first")
        book.mark_durable(claim)
        book.record_outcome("w", "k", None, "unknown", "first")
        assert book.record_outcome("w", "k", None, "no", "second") is None
        assert book.request_claim("w", "k", "r", 1.0, 0, "third")[0].answer is ClaimAnswer.UNKNOWN

    def test_holding_attempt_can_release_after_a_change_of_owner(self):
        book, next_owner = ClaimBook(), ClaimBook()
        _, claim = book.request_claim("w", "k", "r", 0.0, 0, "first")
        next_owner.restore(claims.decode_batch(claims.encode_batch([claim])))
        assert next_owner.record_outcome("w", "k", None, "no", "first") is not None
        assert (
            next_owner.request_claim("w", "k", "r", 1.0, 0, "third")[0].answer
            is ClaimAnswer.GRANTED
        )
