"""Program of one plain worker that reports each request as soon as it reads its head.

It is stopped and continued by signals from its parent. What the kernel has taken for it meanwhile
counts when it goes on, also on connections that were reset.

It writes its entry and each arrival as JSON lines to its standard output, and reads from its
standard input which share of the requests it declines.

Owns: the listener and the connections.
Relies on: the parent to write the entry into the store.
"""

import asyncio
import dataclasses
import functools
import json
import random
import sys
import time
import typing as t

from thorncleat_standins.platform_worker import ATTEMPT_ID
from thorncleat_standins.platform_worker import NOT_EXECUTED
from thorncleat_standins.platform_worker import RESPONSE_STAMP

from .pausing_worker import report

HOST = "127.0.0.1"
SLOTS = 64
BACKLOG = 1024
# Time from the request to its answer, and between two events of a stream.
ANSWER_SECONDS = 0.02
EVENT_INTERVAL_SECONDS = 0.02
EVENTS_PER_STREAM = 3
# Requests below this path are answered with streams.
STREAM_PATH = b"/chat/"
END_OF_HEAD = b"\r\n\r\n"


@dataclasses.dataclass
class _State:
    """What all connections share."""

    name: str
    declined_share: float = 0.0
    rng: random.Random = dataclasses.field(default_factory=random.Random)


class _Connection(asyncio.Protocol):
    """Reads requests one after the other and answers each."""

    def __init__(self, state: _State) -> None:
        self._state = state
        self._received = bytearray()
        self._transport: asyncio.Transport | None = None
        self._answering: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = t.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Report and answer a request once its head is complete."""
        self._received += data
        head, found, _ = bytes(self._received).partition(END_OF_HEAD)
        if not found:
            return
        # The bodies are small, and what belongs to one isn't needed.
        self._received.clear()
        lines = head.split(b"\r\n")
        attempt = _header(lines, ATTEMPT_ID)
        if not attempt:
            return
        report("arrival", id=attempt, at=time.monotonic())
        is_stream = lines[0].split()[1].startswith(STREAM_PATH)
        self._answering = asyncio.ensure_future(self._answer(attempt, is_stream=is_stream))

    async def _answer(self, attempt: str, *, is_stream: bool) -> None:
        headers = f"{ATTEMPT_ID}: {attempt}\r\n{RESPONSE_STAMP}: {self._state.name}\r\n"
        if self._state.rng.random() < self._state.declined_share:
            self._write(
                f"HTTP/1.1 503 Declined\r\n{headers}{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        await asyncio.sleep(ANSWER_SECONDS)
        if not is_stream:
            self._write(f"HTTP/1.1 200 OK\r\n{headers}Content-Length: 2\r\n\r\nok")
            return
        self._write(
            f"HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, EVENTS_PER_STREAM + 1):
            event = f"id: {number}\ndata: x\n\n"
            self._write(f"{len(event):x}\r\n{event}\r\n")
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        self._write("0\r\n\r\n")

    def _write(self, text: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(text.encode())


def _header(lines: t.Iterable[bytes], name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    prefix = name.lower().encode() + b":"
    for line in lines:
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip().decode()
    return ""


async def main(name: str, service: str, domain: str, zone: str) -> None:
    """Serve until the parent ends."""
    loop = asyncio.get_running_loop()
    state = _State(name)
    server = await loop.create_server(
        functools.partial(_Connection, state), HOST, 0, backlog=BACKLOG
    )
    entry = {
        "service": service,
        "address": f"{HOST}:{server.sockets[0].getsockname()[1]}",
        "zone": zone,
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 0,
        "phase": "unified",
        "models": [],
        "staged": [],
        "domain": domain,
        "born": 1,
    }
    report("entry", key=f"servers/{name}", document=entry)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        state.declined_share = json.loads(line)["declined_share"]


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
