"""Guards against incomplete streams and events of other requests in an answer."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_daemon.pieces import DONE
from thorncleat_daemon.pieces import MAX_EVENT_BYTES
from thorncleat_daemon.pieces import Pieces
from thorncleat_daemon.pieces import find_answer_fault

ID = "0123abcd"
PIECE = b"x" * 65_536


def _event(
    text: str, request_id: str = ID, spaced: bool = False, finish: str | None = None
) -> bytes:
    choice = {"delta": {"content": text}, "finish_reason": finish}
    body = {"id": f"chatcmpl-{request_id}", "choices": [choice]}
    separators = None if spaced else (",", ":")
    return b"data: " + json.dumps(body, separators=separators).encode() + b"\n\n"


LAST = _event("", finish="stop")


class TestPieces:
    @given(st.data(), st.lists(st.text(max_size=8), max_size=6))
    def test_any_cuts_give_the_same_whole(self, data, texts):
        whole = b"".join(_event(text) for text in texts) + LAST
        sent = whole + DONE
        pieces, passed = Pieces(ID), b""
        while sent:
            size = data.draw(st.integers(1, len(sent)))
            passed += pieces.feed(sent[:size])
            sent = sent[size:]
        assert (passed, pieces.events, pieces.is_done) == (whole, len(texts) + 1, True)
        assert not pieces.dropped

    def test_another_requests_event_is_dropped(self):
        pieces = Pieces(ID)
        passed = pieces.feed(_event("a") + _event("stolen", "other") + _event("b"))
        assert passed == _event("a") + _event("b")
        assert pieces.dropped == {"foreign": 1}

    def test_another_requests_event_alone_is_dropped(self):
        pieces = Pieces(ID)
        assert pieces.feed(_event("stolen", "other")) == b""
        assert pieces.feed(_event("stolen", ID + "0")) == b""

    def test_events_after_the_end_are_dropped(self):
        pieces = Pieces(ID)
        pieces.feed(_event("a") + LAST + DONE)
        assert pieces.feed(_event("late")) == b""
        assert pieces.dropped == {"after_end": 1}

    def test_end_marker_after_a_foreign_finish_is_dropped(self):
        pieces = Pieces(ID)
        pieces.feed(_event("a") + _event("", "other", finish="stop") + DONE)
        assert pieces.is_truncated
        assert pieces.dropped == {"foreign": 1, "end_of_another": 1}

    def test_usage_may_follow_the_finish(self):
        pieces = Pieces(ID)
        pieces.feed(_event("a", finish="length") + _event("usage") + DONE)
        assert pieces.is_done

    def test_other_json_spacing_is_accepted(self):
        assert Pieces(ID).feed(_event("a", spaced=True)) == _event("a", spaced=True)

    def test_end_without_done_is_truncated(self):
        pieces = Pieces(ID)
        pieces.feed(_event("a") + b'data: {"id":"chat')
        assert pieces.is_truncated
        pieces.drop_partial_event()
        assert pieces.feed(_event("b")) == _event("b")
        assert pieces.dropped == {"half_event": 1}

    def test_event_without_end_is_too_large(self):
        """Guards against an engine whose bytes fill the memory."""
        pieces = Pieces(ID)
        for _ in range(MAX_EVENT_BYTES // len(PIECE) + 1):
            assert not pieces.is_too_large
            assert pieces.feed(PIECE) == b""
        assert pieces.is_too_large

    def test_separator_may_be_split(self):
        pieces = Pieces(ID)
        event = _event("a")
        received = b"".join(pieces.feed(event[at : at + 1]) for at in range(len(event)))
        assert received == event


class TestWholeAnswer:
    @pytest.mark.parametrize(
        ("changes", "fault"),
        [
            ({}, None),
            ({"id": "chatcmpl-other"}, "another request's identity"),
            ({"choices": [{"finish_reason": None}]}, "truncated"),
            ({"choices": []}, "no choices"),
        ],
    )
    def test_fault_is_named(self, changes, fault):
        answer = {"id": f"chatcmpl-{ID}", "choices": [{"finish_reason": "stop"}], **changes}
        assert find_answer_fault(answer, ID) == fault

    def test_not_an_object(self):
        assert find_answer_fault([], ID) == "not an object"
