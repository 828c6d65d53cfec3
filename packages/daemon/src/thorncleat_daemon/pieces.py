"""Splitting a streamed answer into events and checking that they belong to the request.

The usual event is recognised by its first bytes, without parsing it.

Owns: the incomplete event received last, and the counts of dropped events.
Relies on: engines that name the request in each event.
"""

import collections
import typing as t

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"data: [DONE]\n\n"
# Bytes that may be held of an event which isn't complete.
MAX_EVENT_BYTES = 1 << 20
FINISH_MARKERS = (b'"finish_reason":"', b'"finish_reason": "')


class Pieces:
    """Checks the bytes of one answer and splits them into complete events.

    :param request_id: the request that is answered.
    """

    def __init__(self, request_id: str) -> None:
        identity = f'"id":"chatcmpl-{request_id}"'
        self._prefix = (DATA_PREFIX + b"{" + identity.encode()).rstrip()
        self._identities = (identity.encode(), identity.replace(":", ": ", 1).encode())
        self._partial_event = bytearray()
        # The usage event may follow the one with the finish reason, so two events are checked.
        self._last_event = b""
        self._previous_event = b""
        self.events = 0
        self.is_done = False
        self.dropped: collections.Counter[str] = collections.Counter()

    @property
    def is_too_large(self) -> bool:
        """Whether more of an incomplete event came than any event has."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Check received bytes and return the complete events that belong to the request."""
        if (
            not self._partial_event
            and not self.is_done
            and chunk.startswith(self._prefix)
            and chunk.find(EVENT_SEPARATOR) == len(chunk) - 2
        ):
            # Fast path: exactly one complete event of this request.
            self.events += 1
            self._previous_event, self._last_event = self._last_event, chunk
            return chunk
        return self._feed_partial(chunk)

    def _feed_partial(self, chunk: bytes) -> bytes:
        # What was searched before isn't searched again, but for the first byte of a separator.
        searched = max(0, len(self._partial_event) - len(EVENT_SEPARATOR) + 1)
        self._partial_event += chunk
        end = self._partial_event.rfind(EVENT_SEPARATOR, searched)
        if end < 0:
            return b""
        whole = bytes(self._partial_event[:end]).split(EVENT_SEPARATOR)
        del self._partial_event[: end + len(EVENT_SEPARATOR)]
        return b"".join(self._check_event(event + EVENT_SEPARATOR) for event in whole if event)

    def _check_event(self, event: bytes) -> bytes:
        if self.is_done:
            self.dropped["after_end"] += 1
            return b""
        if event == DONE:
            # The end marker names no request, so it needs a preceding finish event of this one.
            self.is_done = self.has_finish_event
            if not self.is_done:
                self.dropped["end_of_another"] += 1
            return b""
        if event.startswith(self._prefix) or self._is_own(event):
            self.events += 1
            self._previous_event, self._last_event = self._last_event, event
            return event
        self.dropped["foreign" if event.startswith(DATA_PREFIX) else "not_an_event"] += 1
        return b""

    def _is_own(self, event: bytes) -> bool:
        return event.startswith(DATA_PREFIX) and any(
            identity in event for identity in self._identities
        )

    @property
    def has_finish_event(self) -> bool:
        """Whether one of the last two events has a finish reason."""
        return any(mark in self._last_event + self._previous_event for mark in FINISH_MARKERS)

    def drop_partial_event(self) -> None:
        """Drop an incomplete event before the answer is resumed in another group."""
        if self._partial_event:
            self.dropped["half_event"] += 1
        self._partial_event.clear()

    @property
    def is_truncated(self) -> bool:
        """Whether the answer has neither its end marker nor a finish reason."""
        return not self.is_done and not self.has_finish_event


def find_answer_fault(answer: t.Any, request_id: str) -> str | None:
    """Return what is wrong with a whole answer, or None."""
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
