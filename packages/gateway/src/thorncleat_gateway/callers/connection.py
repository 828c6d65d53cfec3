"""One connection of a caller: the server's own, with bounds on what it takes.

What arrives is read in small pieces and parsed when the loop has time for it, so that little is
held that isn't known. The head of a request and the time that it takes are bounded here, its body
where it is read (:mod:`..requests.frontend`).

Owns: the stage of the connection, and what has arrived of an unfinished request.
Relies on: aiohttp's connection for HTTP, of which it uses the queue of parsed requests.
"""

import asyncio
import http
import typing as t

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from ..exceptions import CallerDroppedError
from . import pending_memory
from .bounded_log import Cause
from .connection_table import LINGER_SECONDS
from .connection_table import Stage

if t.TYPE_CHECKING:
    from .listener_bounds import ListenerBounds

# Bytes that are read of a connection at once: little enough to parse in a part of a turn, even if
# each of them is a chunk of its own.
READ_BYTES = 8_192
# Bytes of a body that wait for their request.
BODY_BUFFER_BYTES = 16_384
# Bytes of an answer that wait for their caller.
ANSWER_BUFFER_BYTES = 32_768
# Complete requests that wait for an earlier one of their connection.
REQUESTS_AHEAD = 4
# Shortest field of a head: its name, a colon and the end of the line.
MIN_FIELD_BYTES = 4
# The library's own timeout of idle connections, which the table's precedes.
IDLE_TIMEOUT_SECONDS = 3_600.0


class CallerConnection(RequestHandler):
    """A connection that keeps to the bounds of its listener."""

    def __init__(
        self, server: web.Server, bounds: "ListenerBounds", loop: asyncio.AbstractEventLoop
    ) -> None:
        limits = bounds.limits()
        # The library's own bounds lie above this connection's, which refuse with a log line.
        most_head_bytes = limits.header_bytes + 2 * READ_BYTES
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]  # None is for no log
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            lingering_time=LINGER_SECONDS,
            auto_decompress=False,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        self._parser = HttpRequestParser(
            self,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=most_head_bytes,
            max_field_size=most_head_bytes,
            max_headers=most_head_bytes // MIN_FIELD_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=REQUESTS_AHEAD,
        )
        self._max_msg_queue_size = REQUESTS_AHEAD
        self._msg_queue_resume_size = REQUESTS_AHEAD // 2
        self._bounds = bounds
        self._use = bounds.turns.new_use()
        self._socket: asyncio.Transport | None = None
        # What has been read and isn't parsed yet.
        self._unparsed = b""
        self._max_head_bytes = limits.header_bytes
        # The body that is arriving, and how much of it the parser has passed on.
        self._body: StreamReader | None = None
        self._body_bytes = 0
        # Bytes and lines since then: of a head, or of extensions and trailers of a body in chunks.
        self._head_bytes = 0
        self._head_lines = 0
        # The fields of the requests that are parsed and not answered yet.
        self._request_fields: list[int] = []
        self._is_running = False
        self._is_refused = False
        self._is_dropped = False

    # The connection itself

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place in the listener's table."""
        self._socket = t.cast(asyncio.Transport, transport)
        # Read by the event loop's transports for each reception.
        self._socket.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._socket.set_write_buffer_limits(high=ANSWER_BUFFER_BYTES)
        super().connection_made(transport)
        if not self._bounds.table.add(self):
            self._bounds.record(Cause.TOO_MANY_CONNECTIONS)
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leave the table."""
        self._unparsed = b""
        self._bounds.forget(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Charge what the caller doesn't read."""
        super().pause_writing()
        self._bounds.table.block(self)
        self._charge()

    def resume_writing(self) -> None:
        """Go on, since the caller reads."""
        super().resume_writing()
        self._bounds.table.unblock(self)
        self._charge()

    def drop(self, cause: Cause | None, *, is_idle: bool = False) -> None:
        """Close the connection for another one, or since it has taken too long.

        A request whose body is unfinished is refused, as it has not run.
        """
        if cause is not None:
            self._bounds.record(cause)
        self._is_dropped = True
        if is_idle:
            self._end()
        elif cause is Cause.SLOW_HEAD and not self._is_running:
            self.refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self._body is not None and self._is_running and not self.writing_paused:
            self._body.set_exception(CallerDroppedError(cause.value if cause else "closed"))
        else:
            self.abort()

    def _end(self) -> None:
        """Close the connection once the last answer is sent."""
        if self._waiter is not None:
            self.force_close()
        else:
            self.close()

    def refuse(self, status: http.HTTPStatus) -> None:
        """Answer an unfinished request, and drop the rest of what the caller sends.

        A connection that is closed with unread bytes is reset, and the caller may lose the answer.
        """
        if self._socket is None or self._is_refused:
            return
        self._is_refused = True
        self._unparsed = b""
        self._socket.write(
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        if self._socket.can_write_eof():
            self._socket.write_eof()
            self._socket.resume_reading()
        self._bounds.table.move(self, Stage.CLOSING)

    def abort(self) -> None:
        """End the connection at once."""
        if self._socket is not None:
            self._socket.abort()

    # What arrives

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived when the loop has time for it.

        The library calls this without data to go on with what it holds.
        """
        if self._is_refused:
            return
        if not data:
            self._parse(data)
            return
        is_waiting = bool(self._unparsed)
        self._unparsed += data
        if not is_waiting and not self._bounds.turns.run(self._use, self._parse_unparsed):
            self._bounds.record(Cause.MANY_TURNS)
            self._pause_transport_reading()

    def _parse_unparsed(self) -> None:
        data, self._unparsed = self._unparsed, b""
        if not data or self._is_refused or self.transport is None:
            return
        self._parse(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on after a pause; without one there is nothing to parse.

        The library calls this for each chunk that is taken from a body.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        # Nothing more is read while something waits to be parsed.
        if not self._unparsed:
            super()._resume_transport_reading()

    def _parse(self, data: bytes) -> None:
        before = self._request_count
        super().data_received(data)
        new = self._request_count - before
        if new:
            self._begin_requests(new, data)
        elif self._has_body_progressed():
            self._head_bytes = self._head_lines = 0
        else:
            self._head_bytes += len(data)
            self._head_lines += data.count(b"\n")
        self._check_bounds()

    def _begin_requests(self, count: int, data: bytes) -> None:
        """Record the requests whose heads are complete."""
        messages = [message for message, _ in list(self._messages)[-count:]]
        self._request_fields += [_field_count(message) for message in messages]
        is_long = self._head_bytes + len(data) > self._max_head_bytes
        if is_long and count == 1 and _head_size(messages[0]) > self._max_head_bytes:
            # Not cleared, so that the head is refused.
            self._head_bytes += len(data)
            self._messages.pop()
            return
        self._head_bytes = self._head_lines = self._body_bytes = 0
        self._body = self._messages[-1][1]

    def _has_body_progressed(self) -> bool:
        """Return whether more of a body has arrived than before."""
        if self._body is None or self._body.total_bytes == self._body_bytes:
            return False
        self._body_bytes = self._body.total_bytes
        return True

    def _check_bounds(self) -> None:
        """Refuse what exceeds the bounds, and record the stage."""
        if self._is_refused or self._is_dropped or self.transport is None:
            return
        if self._head_bytes > self._max_head_bytes:
            self._refuse_head()
            return
        if self._body is not None and self._body.is_eof():
            self._body = None
        self._bounds.table.move(self, self._stage())
        self._charge()

    def _refuse_head(self) -> None:
        """Refuse a head, or what comes after a body in chunks, that is too long."""
        if self._body is not None:
            self._bounds.table.drop(self, Cause.LONG_TRAILERS)
        elif self._is_running:
            self._bounds.table.drop(self, Cause.LARGE_HEAD)
        else:
            self._bounds.record(Cause.LARGE_HEAD)
            self.refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _stage(self) -> Stage:
        if self._body is not None:
            return Stage.BODY
        if self._is_running or self._messages:
            return Stage.RUNNING
        if self._head_bytes:
            return Stage.HEAD
        return Stage.RESTING if self._request_count else Stage.NEW

    def _charge(self) -> None:
        """Charge what is held for this connection beside the body of its running request."""
        if self._is_dropped:
            return
        size = sum(map(pending_memory.request_bytes, self._request_fields))
        size += pending_memory.head_bytes(self._head_bytes, self._head_lines)
        if self._body is not None and (self._messages or not self._is_running):
            size += min(self._body.total_bytes, 2 * BODY_BUFFER_BYTES)
        if self.writing_paused and self._socket is not None:
            size += self._socket.get_write_buffer_size() + BODY_BUFFER_BYTES
        if not self._bounds.pending.charge(self, size):
            self._bounds.pending.release(self)
            self._bounds.table.drop(self, Cause.PENDING_MEMORY)

    # The requests

    def begin_request(self) -> None:
        """Record that a request is being answered."""
        self._is_running = True
        self._check_bounds()

    def end_request(self, request: web.BaseRequest) -> None:
        """Record that a request is answered, or nearly so."""
        self._is_running = False
        if self._request_fields:
            self._request_fields.pop(0)
        if isinstance(request.content.exception(), CallerDroppedError):
            # The rest of its body isn't waited for.
            request.content.feed_eof()
            self.close()
            return
        self._check_bounds()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed; a fault of this program as the library does."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        if self._request_fields:
            self._request_fields.pop(0)
        self._bounds.record(Cause.MALFORMED)
        response = web.Response(status=status, text=f"{Cause.MALFORMED.value}\n")
        response.force_close()
        return response


def _field_count(message: t.Any) -> int:
    """Return the number of fields of a parsed head; 0 of one that can't be parsed."""
    return len(message.raw_headers) if isinstance(message, RawRequestMessage) else 0


def _head_size(message: t.Any) -> int:
    """Return the bytes of a parsed head; 0 of one that can't be parsed."""
    if not isinstance(message, RawRequestMessage):
        return 0
    line = len(message.method) + len(message.path) + len("  HTTP/1.1\r\n")
    fields = sum(len(name) + len(value) + MIN_FIELD_BYTES for name, value in message.raw_headers)
    return line + fields + len("\r\n")
