"""What the tests of broken answers have in common: the parsers, raw callers and raw servers."""

import asyncio
import contextlib
import dataclasses

import aiohttp.client_proto
import aiohttp.http_parser
import aiohttp.http_writer
import pytest

from thorncleat_standins.raw_answers import RawAnswer

from .test_gateway import HOST
from .test_gateway import KEY

TIMEOUT_SECONDS = 5.0
PARSERS = ("C", "Python")


def choose_parser(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Have the library read and write heads in C, if it has that, or in Python."""
    if name == "Python":
        parser = aiohttp.http_parser.HttpResponseParserPy
        monkeypatch.setattr(aiohttp.client_proto, "HttpResponseParser", parser)
        writer = aiohttp.http_writer._py_serialize_headers
        monkeypatch.setattr(aiohttp.http_writer, "_serialize_headers", writer)


@dataclasses.dataclass(frozen=True)
class Received:
    """The bytes that a caller got until its connection ended."""

    data: bytes

    @property
    def status_line(self) -> bytes:
        return self.data.partition(b"\r\n")[0]

    @property
    def head(self) -> bytes:
        return self.data.partition(b"\r\n\r\n")[0]

    @property
    def body(self) -> bytes:
        """The body, put together if it came in chunks."""
        body = self.data.partition(b"\r\n\r\n")[2]
        if b"Transfer-Encoding: chunked" not in self.head:
            return body
        parts, rest = [], body
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            parts.append(rest[: int(size, 16)])
            rest = rest[int(size, 16) + 2 :]
        return b"".join(parts)


async def call_raw(cluster, path, number="r1", *lines: str, method="POST") -> Received:
    """Send a request to a gateway; return all bytes of the answer."""
    host, _, port = cluster.frontend.partition(":")
    head = "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Thorncleat-Attempt-Id: {number}",
            "X-Thorncleat-Deadline-Ms: 3000",
            f"Authorization: Token {KEY}",
            "Content-Length: 0",
            "Connection: close",
            *lines,
        ]
    )
    async with asyncio.timeout(TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{head}\r\n\r\n".encode())
        data = await reader.read()
        writer.close()
        return Received(data)


class RawServer:
    """Answers each request on each connection with the same bytes.

    :ivar answer: what it answers with.
    :ivar lines: field lines that it sends in addition.
    :ivar body: the body of the answer; empty for its own.
    :ivar requests: the heads of the requests.
    """

    def __init__(self, answer: RawAnswer | None = None) -> None:
        self.answer = answer or RawAnswer()
        self.lines = b""
        self.body = b""
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "RawServer":
        self._server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.host, self.port = self._server.sockets[0].getsockname()
        self.address = f"{self.host}:{self.port}"
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()

    async def serve(self, reader, writer) -> None:
        """Answer on one connection until the answer closes it, or the reader does."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.partition(b":")[2]))
                body = {"body": self.body} if self.body else {}
                writer.write(self.answer.encode(self.lines, **body))
                await writer.drain()
                if self.answer.closes:
                    break
        writer.close()
