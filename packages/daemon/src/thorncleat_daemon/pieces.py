"""Passing the pieces of a streamed answer on, and checking whose they are.

The events are not parsed: each must begin as the engine begins the events of this request,
which costs one comparison, and anything else is looked at more closely.

Owns: half an event that has come, and what was dropped.
Relies on: engines that name the request in each event.
"""

import collections
import typing as t

BOUNDARY = b"\n\n"
DATA = b"data: "
DONE = b"data: [DONE]\n\n"
FINISHED = (b'"finish_reason":"', b'"finish_reason": "')


class Pieces:
    """Checks the bytes of one answer and cuts them into whole events.

    :param request_id: the request whose answer this is.
    """

    def __init__(self, request_id: str) -> None:
        identity = f'"id":"chatcmpl-{request_id}"'
        self._prefix = (DATA + b"{" + identity.encode()).rstrip()
        self._identities = (identity.encode(), identity.replace(":", ": ", 1).encode())
        self._rest = b""
        # two: the event that counts the tokens may come after the one that finishes
        self._last = b""
        self._before = b""
        self.events = 0
        self.done = False
        self.dropped: collections.Counter[str] = collections.Counter()

    def feed(self, chunk: bytes) -> bytes:
        """Check what arrived and return what may be passed on: whole, own events."""
        if (
            not self._rest
            and not self.done
            and chunk.startswith(self._prefix)
            and chunk.find(BOUNDARY) == len(chunk) - 2
        ):
            # the usual case: one whole event of this request
            self.events += 1
            self._before, self._last = self._last, chunk
            return chunk
        return self._feed_slowly(chunk)

    def _feed_slowly(self, chunk: bytes) -> bytes:
        *whole, self._rest = (self._rest + chunk).split(BOUNDARY)
        return b"".join(self._checked(event + BOUNDARY) for event in whole if event)

    def _checked(self, event: bytes) -> bytes:
        if self.done:
            self.dropped["after_end"] += 1
            return b""
        if event == DONE:
            # it names no request, so it counts only after an own event that finishes
            self.done = self.finished
            if not self.done:
                self.dropped["end_of_another"] += 1
            return b""
        if event.startswith(self._prefix) or self._is_own(event):
            self.events += 1
            self._before, self._last = self._last, event
            return event
        self.dropped["foreign" if event.startswith(DATA) else "not_an_event"] += 1
        return b""

    def _is_own(self, event: bytes) -> bool:
        return event.startswith(DATA) and any(identity in event for identity in self._identities)

    @property
    def finished(self) -> bool:
        """Whether one of the last own events says that the answer ends."""
        return any(mark in self._last + self._before for mark in FINISHED)

    def forget_rest(self) -> None:
        """Drop half an event, before the answer goes on in another group."""
        if self._rest:
            self.dropped["half_event"] += 1
        self._rest = b""

    @property
    def truncated(self) -> bool:
        """Whether the answer lacks its end; the end marker alone may be missing."""
        return not self.done and not self.finished


def whole_answer_fault(answer: t.Any, request_id: str) -> str | None:
    """Return what is wrong with an answer that came as a whole, or None."""
    if not isinstance(answer, dict):
        return "not an object"
    if answer.get("id") != f"chatcmpl-{request_id}":
        return "another request's identity"
    choices = answer.get("choices")
    if not isinstance(choices, list) or not choices:
        return "no choices"
    if any(
        not isinstance(choice, dict) or choice.get("finish_reason") is None for choice in choices
    ):
        return "truncated"
    return None
