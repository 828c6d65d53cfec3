"""Stand-ins for processes that write their answers byte by byte, most of them no answers in HTTP.

Owns: the forms of such answers.
Relies on: RFC 9110 and RFC 9112 for what is an answer.
"""

import asyncio
import dataclasses

from aiohttp import web

from .platform_worker import ATTEMPT_ID
from .platform_worker import RESPONSE_STAMP
from .platform_worker import PlatformWorker
from .platform_worker import Run

POLL_SECONDS = 0.002
MAX_WAIT_SECONDS = 30.0
END_OF_HEAD = b"\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK"
SIZE = 123  # bytes of each body
# A whole event, so that it is the body of a stream as well.
BODY = b"id: 1\ndata: event 1\ndata: ".ljust(SIZE - 2, b"x") + b"\n\n"
LENGTH = b"Content-Length: %d\r\n" % SIZE
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (SIZE, BODY)


@dataclasses.dataclass(frozen=True)
class RawAnswer:
    """The bytes of an answer.

    :param line: the status line, without its end.
    :param fields: the field lines that state where the body ends, and others.
    :param content: the body as it is sent.
    :param closes: whether the connection is closed behind it.
    """

    line: bytes = STATUS_LINE
    fields: bytes = LENGTH
    content: bytes = BODY
    closes: bool = False

    def encode(self, lines: bytes = b"", body: bytes = BODY) -> bytes:
        """Return the bytes of the answer.

        :param lines: further field lines, which stand first.
        :param body: sent in place of :data:`BODY`; blanks fill it up to its size.
        """
        content = self.content.replace(BODY, body.ljust(SIZE))
        return self.line + b"\r\n" + lines + self.fields + b"\r\n" + content


def _line(line: bytes) -> RawAnswer:
    return RawAnswer(line=line)


def _field(line: bytes) -> RawAnswer:
    return RawAnswer(fields=line + b"\r\n" + LENGTH)


def _coding(value: bytes, *, closes: bool = False) -> RawAnswer:
    return RawAnswer(fields=b"Transfer-Encoding: %s\r\n" % value, content=CHUNKS, closes=closes)


def _length(value: bytes) -> RawAnswer:
    return RawAnswer(fields=b"Content-Length: %s\r\n" % value)


def _chunks(content: bytes, *, closes: bool = False) -> RawAnswer:
    return RawAnswer(fields=CHUNKED, content=content, closes=closes)


BROKEN_STATUS_LINES: dict[str, RawAnswer] = {
    "status 000": _line(b"HTTP/1.1 000 Nothing"),
    "status 000, no reason": _line(b"HTTP/1.1 000"),
    "status 000, no length": RawAnswer(b"HTTP/1.1 000 Nothing", b"", closes=True),
    "status 000, in chunks": RawAnswer(b"HTTP/1.1 000 Nothing", CHUNKED, CHUNKS),
    "status 001": _line(b"HTTP/1.1 001 Low"),
    "status 099": _line(b"HTTP/1.1 099 Low"),
    "status 600": _line(b"HTTP/1.1 600 High"),
    "status 999": _line(b"HTTP/1.1 999 High"),
    "status 101": RawAnswer(b"HTTP/1.1 101 Switching Protocols", b"", b""),
    "status 101, with a protocol": RawAnswer(
        b"HTTP/1.1 101 Switching Protocols", b"Upgrade: websocket\r\nConnection: upgrade\r\n"
    ),
    "status 103 without an end": RawAnswer(
        b"HTTP/1.1 103 Early Hints", b"Link: a\r\n", b"", closes=True
    ),
    "status of two digits": _line(b"HTTP/1.1 20 OK"),
    "status of four digits": _line(b"HTTP/1.1 2000 OK"),
    "status with a sign": _line(b"HTTP/1.1 +20 OK"),
    "status with letters": _line(b"HTTP/1.1 2x0 OK"),
    "empty status": _line(b"HTTP/1.1  OK"),
    "no version": _line(b"200 OK"),
    "version 0.9": _line(b"HTTP/0.9 200 OK"),
    "version 1.7": _line(b"HTTP/1.7 200 OK"),
    "version 2.0": _line(b"HTTP/2.0 200 OK"),
    "control byte in the reason": _line(b"HTTP/1.1 200 O\x01K"),
    "NUL in the reason": _line(b"HTTP/1.1 200 O\0K"),
    "DEL in the reason": _line(b"HTTP/1.1 200 O\x7fK"),
    "CR in the reason": _line(b"HTTP/1.1 200 O\rK"),
}

BROKEN_NAMES: dict[str, RawAnswer] = {
    "blank before the colon": _field(b"X-Field : value"),
    "tab before the colon": _field(b"X-Field\t: value"),
    "Connection, blank": _field(b"Connection : close"),
    "Content-Length, blank": RawAnswer(fields=b"Content-Length : %d\r\n" % SIZE),
    "Transfer-Encoding, blank": RawAnswer(
        fields=b"Transfer-Encoding : chunked\r\n", content=CHUNKS
    ),
    "Transfer-Encoding, blank, and a length": _field(b"Transfer-Encoding : chunked"),
    "Transfer-Encoding, tab": RawAnswer(fields=b"Transfer-Encoding\t: chunked\r\n", content=CHUNKS),
    "blank in a name": _field(b"X Field: value"),
    "tab in a name": _field(b"X\tField: value"),
    "control byte in a name": _field(b"X\x01Field: value"),
    "NUL in a name": _field(b"X\0Field: value"),
    "DEL in a name": _field(b"X\x7fField: value"),
    "byte above 0x7f in a name": _field(b"X\xe9Field: value"),
    "delimiter in a name": _field(b"X(Field): value"),
    "empty name": _field(b": value"),
    "no colon": _field(b"X-Field"),
}

BROKEN_VALUES: dict[str, RawAnswer] = {
    "control byte in a value": _field(b"X-Field: a\x01b"),
    "vertical tab in a value": _field(b"X-Field: a\x0bb"),
    "DEL in a value": _field(b"X-Field: a\x7fb"),
    "NUL in a value": _field(b"X-Field: a\0b"),
    "CR in a value": _field(b"X-Field: a\rb"),
}

BROKEN_FRAMING: dict[str, RawAnswer] = {
    "coding gzip": RawAnswer(fields=b"Transfer-Encoding: gzip\r\n", closes=True),
    "coding gzip, closing": RawAnswer(
        fields=b"Transfer-Encoding: gzip\r\nConnection: close\r\n", closes=True
    ),
    "coding gzip, and a length": _field(b"Transfer-Encoding: gzip"),
    "coding identity": _field(b"Transfer-Encoding: identity"),
    "coding gzip, in chunks": _coding(b"gzip, chunked"),
    "coding gzip behind chunks": _coding(b"chunked, gzip", closes=True),
    "empty coding": _field(b"Transfer-Encoding:"),
    "unknown coding": RawAnswer(fields=b"Transfer-Encoding: xchunked\r\n", closes=True),
    "chunked twice": _coding(b"chunked, chunked"),
    "chunked in two fields": RawAnswer(fields=CHUNKED + CHUNKED, content=CHUNKS),
    "folded coding": _coding(b"gzip,\r\n chunked"),
    "chunked and a length": RawAnswer(fields=CHUNKED + LENGTH, content=CHUNKS),
    "a length and chunked": RawAnswer(fields=LENGTH + CHUNKED, content=CHUNKS),
    "version 1.0, in chunks": RawAnswer(b"HTTP/1.0 200 OK", CHUNKED, CHUNKS, closes=True),
    "length with a sign": _length(b"+%d" % SIZE),
    "negative length": _length(b"-%d" % SIZE),
    "length in hex": _length(b"0x%x" % SIZE),
    "empty length": _length(b""),
    "length with a blank": _length(b"1 23"),
    "list of lengths": _length(b"%d, %d" % (SIZE, SIZE)),
    "folded length": _length(b"1\r\n 23"),
    "length of 5000 digits": _length(b"9" * 5000),
    "two lengths": RawAnswer(fields=LENGTH + b"Content-Length: 5\r\n"),
    "a length twice": RawAnswer(fields=LENGTH + LENGTH),
}

BROKEN_HEADS = BROKEN_STATUS_LINES | BROKEN_NAMES | BROKEN_VALUES | BROKEN_FRAMING

# Behind sound heads.
BROKEN_BODIES: dict[str, RawAnswer] = {
    "size with letters": _chunks(b"xy\r\nabc\r\n0\r\n\r\n"),
    "size with a sign": _chunks(b"+5\r\nabcde\r\n0\r\n\r\n"),
    "negative size": _chunks(b"-5\r\nabcde\r\n0\r\n\r\n"),
    "size with a prefix": _chunks(b"0x5\r\nabcde\r\n0\r\n\r\n"),
    "empty size": _chunks(b"\r\nabcde\r\n0\r\n\r\n"),
    "no end of a chunk": _chunks(b"5\r\nabcdefg\r\n0\r\n\r\n"),
    "broken size of a later chunk": _chunks(b"%x\r\n%s\r\nxy\r\n" % (SIZE, BODY)),
    "trailer without a colon": _chunks(b"%x\r\n%s\r\n0\r\nodd\r\n\r\n" % (SIZE, BODY)),
    "body cut": RawAnswer(content=BODY[:5], closes=True),
    "chunk cut": _chunks(b"5\r\nabc", closes=True),
    "no last chunk": _chunks(b"%x\r\n%s\r\n" % (SIZE, BODY), closes=True),
}

# Odd ones that are answers in the protocol, or that both parsers take in one way.
ODD_ANSWERS: dict[str, RawAnswer] = {
    "no reason": _line(b"HTTP/1.1 200"),
    "empty reason": _line(b"HTTP/1.1 200 "),
    "tab in the reason": _line(b"HTTP/1.1 200 O\tK"),
    "byte above 0x7f in the reason": _line(b"HTTP/1.1 200 O\xe9K"),
    "version 1.0": RawAnswer(b"HTTP/1.0 200 OK", closes=True),
    "version 1.0, no length": RawAnswer(b"HTTP/1.0 200 OK", b"", closes=True),
    "no length": RawAnswer(fields=b"", closes=True),
    "interim head before": _line(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + STATUS_LINE),
    "folded value": _field(b"X-Field: a\r\n b"),
    "tab in a value": _field(b"X-Field: a\tb"),
    "UTF-8 in a value": _field("X-Field: zaļš".encode()),
    "byte that isn't UTF-8 in a value": _field(b"X-Field: caf\xe9"),
    "empty value": _field(b"X-Field:"),
    "no blank behind the colon": _field(b"X-Field:value"),
    "LF alone behind a field": RawAnswer(fields=b"X-Field: a\nX-Other: b\n" + LENGTH),
    "coding in capitals": _coding(b"Chunked"),
    "blank behind the coding": _coding(b"chunked "),
    "blank behind a size": _chunks(b"%x  \r\n%s\r\n0\r\n\r\n" % (SIZE, BODY)),
    "extension of a chunk": _chunks(b"%x;a=b\r\n%s\r\n0\r\n\r\n" % (SIZE, BODY)),
    "trailer": _chunks(b"%x\r\n%s\r\n0\r\nX-Trailer: a\r\n\r\n" % (SIZE, BODY)),
    "offer of another protocol": _field(b"Upgrade: websocket\r\nConnection: upgrade"),
}

# Odd ones that one parser refuses, and the other takes as what they most likely mean.
PARSERS_DIFFER: dict[str, RawAnswer] = {
    "two blanks in the status line": _line(b"HTTP/1.1  200 OK"),
    "tab in the status line": _line(b"HTTP/1.1\t200 OK"),
    "blank before the first name": _line(STATUS_LINE + b"\r\n X-Field: value"),
    "tab behind the coding": _coding(b"chunked\t"),
    "bytes behind the answer": RawAnswer(content=BODY + b"id: 9\ndata: of another answer\n\n"),
    "CR in the extension of a chunk": _chunks(b"%x;a\rb\r\n%s\r\n0\r\n\r\n" % (SIZE, BODY)),
}


class RawWorker(PlatformWorker):
    """A worker that answers with the bytes it is given.

    :ivar raw_answer: what it sends; None to answer as a sound worker.
    :ivar raw_lines: field lines that it sends in addition.
    :ivar raw_paths: beginnings of the paths that it answers so.
    :ivar raw_pause: seconds between the head of such an answer and its body.
    :ivar raw_count: number of answers given so.
    """

    raw_answer: RawAnswer | None = None
    raw_lines = b""
    raw_paths: tuple[str, ...] = ("/chat", "/ack", "/status", "/brief")
    raw_pause = 0.0
    raw_count = 0

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.raw_answer is None or not request.path.startswith(self.raw_paths):
            return await super()._handle(request)
        body = await request.read()
        attempt = request.headers.get(ATTEMPT_ID, "")
        if attempt:
            self.record_run(Run(self.id, attempt, request.raw_path, request.headers, body))
        self.raw_count += 1
        transport = request.transport
        assert transport is not None
        own = f"{ATTEMPT_ID}: {attempt}\r\n{RESPONSE_STAMP}: stamp-{self.id}\r\n".encode(
            errors="surrogateescape"
        )
        answer = self.raw_answer.encode(own + self.raw_lines)
        head, end, body = answer.partition(END_OF_HEAD)
        transport.write(head + end)
        if self.raw_pause:
            await asyncio.sleep(self.raw_pause)
        transport.write(body)
        if self.raw_answer.closes:
            transport.close()
        # The server would send an answer of its own behind this one, so it waits until the reader
        # has closed the connection.
        waited = 0.0
        while not transport.is_closing() and waited < MAX_WAIT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            waited += POLL_SECONDS
        transport.abort()
        return web.Response()
