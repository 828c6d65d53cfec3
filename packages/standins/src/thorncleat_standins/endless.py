"""Stand-ins for processes whose answers have no end.

Owns: the forms of such answers, in a registry.
Relies on: the reader to close the connection; a form itself never ends.
"""

import asyncio
import itertools
import typing as t

from aiohttp import web

from .platform_worker import ATTEMPT_ID
from .platform_worker import RESPONSE_STAMP
from .platform_worker import EntryStore
from .platform_worker import PlatformWorker
from .platform_worker import Run

# The head of an answer as a form gets it: header lines that make it look like a sound one.
HeaderLines = str
Form = t.Callable[[HeaderLines], t.Iterator[bytes]]

PIECE = b"x" * 65_536
SMALL_PIECE = b"x" * 100
LENGTH_OF_900_GB = 900_000_000_000
# Bytes that wait to be sent before a worker stops writing.
MAX_WAITING_BYTES = 1 << 20
WAIT_SECONDS = 0.002

FORMS: dict[str, Form] = {}


def form(name: str) -> t.Callable[[Form], Form]:
    """Register a form of an endless answer."""

    def register(make: Form) -> Form:
        FORMS[name] = make
        return make

    return register


def _head(lines: HeaderLines, *more: str) -> bytes:
    fields = "".join(f"{line}\r\n" for line in more)
    return f"HTTP/1.1 200 OK\r\n{lines}{fields}\r\n".encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@form("body without a length")
def body_without_length(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a body that only the end of the connection would end."""
    yield _head(lines, "Connection: close")
    yield from itertools.repeat(PIECE)


@form("body in chunks")
def body_in_chunks(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a body whose last chunk never comes."""
    yield _head(lines, "Transfer-Encoding: chunked")
    yield from itertools.repeat(_chunk(PIECE))


@form("body with a length")
def body_with_length(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a body of a stated length that nobody can hold."""
    yield _head(lines, f"Content-Length: {LENGTH_OF_900_GB}")
    yield from itertools.repeat(PIECE)


@form("one event")
def one_event(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a stream whose first event doesn't end."""
    yield _head(lines, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    yield _chunk(b"id: 1\ndata: ")
    yield from itertools.repeat(_chunk(PIECE))


@form("one event in small pieces")
def one_event_in_small_pieces(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a stream whose first event comes a little at a time."""
    yield _head(lines, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    yield _chunk(b"id: 1\ndata: ")
    yield from itertools.repeat(_chunk(SMALL_PIECE))


@form("interim heads")
def interim_heads(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield heads that announce another head."""
    yield from itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)


@form("line of a head")
def line_of_head(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a head whose first line doesn't end."""
    yield b"HTTP/1.1 200 "
    yield from itertools.repeat(PIECE)


@form("fields of a head")
def fields_of_head(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a head with fields without end."""
    yield f"HTTP/1.1 200 OK\r\n{lines}".encode()
    yield from itertools.repeat(b"X-Field: value\r\n" * 100)


@form("trailers")
def trailers(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield a whole body, and after it trailers without end."""
    yield _head(lines, "Transfer-Encoding: chunked")
    yield _chunk(b"id: 1\ndata: event 1\n\n") + b"0\r\n"
    yield from itertools.repeat(b"X-Trailer: value\r\n" * 100)


@form("no answer")
def no_answer(lines: HeaderLines) -> t.Iterator[bytes]:
    """Yield bytes that aren't HTTP."""
    yield from itertools.repeat(PIECE)


class EndlessWorker(PlatformWorker):
    """A worker that speaks without end, in one of the registered forms.

    :ivar form: what it sends; empty to answer as a sound worker.
    :ivar paths: beginnings of the paths that it answers so.
    :ivar interval: seconds between two pieces; 0 to send as fast as they are read.
    :ivar endless_ids: ids of the requests that it answered so.
    :ivar sent: bytes sent in this way.
    :ivar answers: number of answers begun in this way.
    :ivar open_answers: number of those whose connection is still open.
    """

    form = ""
    paths: tuple[str, ...] = ("/chat", "/ack", "/status", "/brief", "/news")
    interval = 0.0
    sent = 0
    answers = 0
    open_answers = 0

    def __init__(self, store: EntryStore, name: str, service: str, domain: str = "") -> None:
        super().__init__(store, name, service, domain)
        self.endless_ids: set[str] = set()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.form or not request.path.startswith(self.paths):
            return await super()._handle(request)
        body = await request.read()
        attempt = request.headers.get(ATTEMPT_ID, "")
        if attempt:
            self.endless_ids.add(attempt)
            self.record_run(Run(self.id, attempt, request.raw_path, request.headers, body))
        lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in {
                ATTEMPT_ID: attempt,
                RESPONSE_STAMP: f"stamp-{self.id}",
                **self.common_headers(),
            }.items()
        )
        self.answers += 1
        self.open_answers += 1
        try:
            pieces = FORMS[self.form](lines)
            # The answer to HEAD has no body.
            only_head = request.method == "HEAD"
            await self._speak(request, itertools.islice(pieces, 1) if only_head else pieces)
        finally:
            self.open_answers -= 1
        return web.Response()

    async def _speak(self, request: web.BaseRequest, pieces: t.Iterator[bytes]) -> None:
        """Write until the connection is closed."""
        transport = request.transport
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size() > MAX_WAITING_BYTES:
                await asyncio.sleep(WAIT_SECONDS)
                continue
            piece = next(pieces, b"")
            self.sent += len(piece)
            transport.write(piece)
            await asyncio.sleep(self.interval)


async def speak_to_all(address: tuple[str, int], name: str) -> asyncio.Server:
    """Listen at an address, and answer whatever is asked there in an endless form.

    :param name: the registered name of the form.
    """

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for piece in FORMS[name](""):
                writer.write(piece)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The reader has closed the connection.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(answer, *address)
