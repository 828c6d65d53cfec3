"""Rules for connections to endpoints that stay open between requests.

While capacity is short, each new connection may hold a slot of its endpoint for a moment, so
connections are used again where that is safe.

Owns: nothing; the rules are pure functions, and :class:`AnswerBytes` counts one answer's bytes.
Relies on: nothing; :mod:`.connection_pool` keeps connections by these rules.
"""

import dataclasses
import re

from ..ports import Headers
from ..store.roster import Endpoint
from ..store.serving import Route
from ..store.serving import RouteKind

# Longest time without a request. Between two requests of a busy daemon to one endpoint lie a few
# seconds at most, and endpoints that have ended are removed from the list after 4 s.
MAX_IDLE_SECONDS = 4.0
# Part of the endpoint's own idle time-out after which a connection is closed. The rest covers the
# delay of a request that is sent at the last moment.
KEEP_ALIVE_FRACTION = 0.8
# All daemons together keep a quarter of the connections that an endpoint accepts, which leaves the
# others for requests that need a new one.
KEPT_FRACTION = 0.25
# A daemon whose share is below one connection keeps one if that takes no more than this part.
MAX_KEPT_FRACTION = 0.5
# Largest body on a used connection. It fits the buffers of an endpoint that reads late, so that a
# request which isn't acknowledged in time is lost; to larger bodies a new connection adds little.
MAX_BODY_BYTES = 16_384

END_OF_HEAD = b"\r\n\r\n"
END_OF_CHUNKS = b"\r\n0\r\n\r\n"
BEGIN_OF_ANSWER = b"HTTP/1."
MAX_HEAD_BYTES = 65_536
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,15})[ \t]*\r\n", re.IGNORECASE)
_KEEP_ALIVE_PARAMETER = re.compile(r"\s*(\w+)\s*=\s*\"?([0-9]{1,9})\"?\s*")


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What the head of an answer says about its end and its connection.

    :param length: bytes of the body; None if not stated, or stated twice.
    :param is_chunked: whether the body is sent in chunks.
    :param idle: seconds for which the connection may be idle; 0 to close it.
    """

    length: int | None
    is_chunked: bool
    idle: float

    @classmethod
    def parse(cls, headers: Headers) -> "AnswerHead":
        """Return what the headers of an answer say."""
        lengths = _values(headers, "content-length")
        length = int(lengths[0]) if len(lengths) == 1 and lengths[0].isdecimal() else None
        encodings = [text.lower() for text in _values(headers, "transfer-encoding")]
        return cls(length, encodings == ["chunked"], idle_seconds(headers))


def may_use_kept(
    route: Route, method: str, request_id: str, body_bytes: int, *, has_engine: bool
) -> bool:
    """Return whether a request may be sent on a connection that has carried others.

    The connection may turn out to be closed after the request was sent, and the request must then
    be sent again. Answers are told apart by their ids, and the answer to HEAD doesn't end where its
    headers say.

    :param has_engine: whether the request goes to a group.
    """
    is_resumable = route.kind is RouteKind.STREAMING and route.resumable and has_engine
    return (
        (route.is_repeatable or is_resumable)
        and bool(request_id)
        and method != "HEAD"
        and body_bytes <= MAX_BODY_BYTES
    )


def is_usable(
    endpoint: Endpoint, listed: Endpoint | None, *, is_missing: bool, is_suspected: bool
) -> bool:
    """Return whether connections to an incarnation of an endpoint may be kept.

    Another endpoint may get the address of one that has gone.

    :param endpoint: the endpoint as it was when the connection was made.
    :param listed: its present entry, or None.
    """
    return (
        listed is not None
        and not is_missing
        and not is_suspected
        and not listed.draining
        and listed.address == endpoint.address
        and listed.incarnation == endpoint.incarnation
    )


def max_kept(max_connections: int, daemons: int) -> int:
    """Return how many idle connections a daemon keeps to one endpoint.

    :param max_connections: connections that the endpoint accepts from all daemons together; 0 if
        not stated.
    :param daemons: number of daemons.
    """
    if not max_connections:
        return 1
    share = int(max_connections * KEPT_FRACTION) // max(1, daemons)
    return max(share, int(daemons <= max_connections * MAX_KEPT_FRACTION))


def idle_seconds(headers: Headers) -> float:
    """Return for how many seconds a connection may be idle after an answer; 0 to close it."""
    tokens = [
        token.strip().lower()
        for text in _values(headers, "connection")
        for token in text.split(",")
    ]
    if "close" in tokens or "upgrade" in tokens:
        return 0.0
    seconds = MAX_IDLE_SECONDS
    for text in _values(headers, "keep-alive"):
        for parameter in text.split(","):
            match = _KEEP_ALIVE_PARAMETER.fullmatch(parameter)
            if match is None:
                # A statement that can't be read may be a shorter time.
                return 0.0
            name, number = match[1].lower(), int(match[2])
            if name == "timeout":
                seconds = min(seconds, KEEP_ALIVE_FRACTION * number)
            if name == "max" and not number:
                return 0.0
    return seconds


def was_closed_while_idle(received_bytes: int, seconds: float, round_trip: float) -> bool:
    """Return whether an endpoint had closed a kept connection before a request reached it.

    Such an endpoint resets the connection as soon as the request arrives. One that takes longer has
    accepted the request, and may have crashed while it ran.

    :param received_bytes: bytes of the answer.
    :param seconds: time from the request to the reset.
    :param round_trip: longest time of a round trip in seconds.
    """
    return not received_bytes and seconds <= round_trip


class AnswerBytes:
    """Counts the bytes of one answer, to tell whether more came than belong to it.

    The client library doesn't tell: it releases a connection before it looks at what follows the
    answer, and drops a part of a head.

    :ivar received: number of bytes.
    """

    def __init__(self) -> None:
        self.received = 0
        self._head = bytearray()
        self._head_size = 0
        # Number of bytes until the stated end, and the first ones after it.
        self._end: int | None = None
        self._surplus = b""
        self._tail = b""

    @property
    def is_mixed(self) -> bool:
        """Whether the bytes after the stated end aren't those of another answer.

        Another answer was then sent within this one, so that this one's bytes are wrong.
        """
        return not BEGIN_OF_ANSWER.startswith(self._surplus)

    def feed(self, data: bytes) -> None:
        """Count bytes as they were received."""
        before = self.received
        self.received += len(data)
        self._tail = (self._tail + data[-len(END_OF_CHUNKS) :])[-len(END_OF_CHUNKS) :]
        if not self._head_size and len(self._head) < MAX_HEAD_BYTES:
            self._head += data
            self._find_end()
        if self._end is not None and self.received > self._end:
            following = data[max(0, self._end - before) :]
            self._surplus = (self._surplus + following)[: len(BEGIN_OF_ANSWER)]

    def _find_end(self) -> None:
        """Look for the end of the head, and for the length that it states."""
        found = self._head.find(END_OF_HEAD)
        if found < 0:
            return
        self._head_size = found + len(END_OF_HEAD)
        length = _LENGTH.search(self._head, 0, self._head_size)
        self._end = None if length is None else self._head_size + int(length[1])
        self._head.clear()

    def is_exact(self, head: AnswerHead) -> bool:
        """Return whether the bytes are one whole answer and nothing else.

        A second head that is whole must be excluded by the caller, and so must invalid bytes, as
        the client library reports both.
        """
        if not self._head_size or (head.length is not None and head.is_chunked):
            return False
        if head.is_chunked:
            return self._tail == END_OF_CHUNKS
        return head.length is not None and self.received == self._head_size + head.length


def _values(headers: Headers, name: str) -> list[str]:
    return [value.strip() for key, value in headers if key.lower() == name]
