"""An endpoint on loopback that keeps connections, and does to them what it is told to."""

import asyncio
import contextlib
import socket
import struct
import time

from thorncleat_gateway.ports import RequestMeta
from thorncleat_gateway.requests import kept_connections
from thorncleat_gateway.requests.answer_budget import AnswerBudget
from thorncleat_gateway.requests.connection_pool import ConnectionPool
from thorncleat_gateway.requests.endpoint_client import EndpointClient
from thorncleat_gateway.requests.endpoint_client import create_session
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits
from thorncleat_gateway.requests.endpoint_notices import EndpointNotices
from thorncleat_gateway.requests.request import Request
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Roster
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_platform.headers import PlatformHeaders
from thorncleat_standins.raw_answers import RawAnswer

TIMEOUT_SECONDS = 5.0
ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, 3.0, 1.0, 1.0, 0, (), 2)
# Room for several idle connections.
SERVICE = Service("desk", max_connections=16)
RETRIES = RetryBudgetSettings(0.2, 20.0, 10.0)


def answer(id: str, body: bytes = b"", extra: str = "") -> bytes:
    """Return an answer; without an id if that is empty."""
    echo = f"X-Thorncleat-Attempt-Id: {id}\r\n" if id else ""
    body = body or id.encode()
    head = f"HTTP/1.1 200 OK\r\n{echo}X-Thorncleat-Response-Stamp: s\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


# Events that an answer may carry with a stated length.
EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (number, number) for number in range(1, 41))


class KeepingEndpoint:
    """Answers requests by the next of its actions, and plainly if there is none.

    :ivar actions: methods named ``_do_...`` for the next requests.
    :ivar seen: connection number and id of each request.
    :ivar forgotten: connections whose next request gets a reset.
    :ivar resets: number of connections that the client reset.
    :ivar raw_answer: what the action ``raw`` sends.
    """

    def __init__(self) -> None:
        self.actions: list[str] = []
        self.seen: list[tuple[int, str]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.forgotten: set[int] = set()
        self.resets = 0
        self.raw_answer = RawAnswer()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, receive_buffer: int = 0) -> None:
        """Listen.

        :param receive_buffer: size of the buffers of connections; 0 for the usual one.
        """
        listening = socket.create_server(("127.0.0.1", self.port))
        if receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._server = await asyncio.start_server(self._serve, sock=listening)
        self.port = listening.getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self.writers:
            reset(writer)
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        number = len(self.writers)
        self.writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                if number in self.forgotten:
                    reset(writer)
                    return
                id = fields["X-Thorncleat-Attempt-Id"]
                self.seen.append((number, id))
                action = self.actions.pop(0) if self.actions else "answer"
                await getattr(self, f"_do_{action}")(writer, number, id)
                if fields.get("Connection") == "close":
                    writer.close()
        except asyncio.IncompleteReadError:
            writer.close()
        except ConnectionError:
            self.resets += 1

    async def _do_answer(self, writer, number, id) -> None:
        writer.write(answer(id))

    async def _do_chunks(self, writer, number, id) -> None:
        head = f"HTTP/1.1 200 OK\r\nX-Thorncleat-Attempt-Id: {id}\r\n"
        stamp = "X-Thorncleat-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(f"{head}{stamp}{len(id):x}\r\n{id}\r\n0\r\n\r\n".encode())

    async def _do_forget(self, writer, number, id) -> None:
        self.forgotten.add(number)
        writer.write(answer(id))

    async def _do_close(self, writer, number, id) -> None:
        writer.write(answer(id, extra="Connection: close\r\n"))

    async def _do_without_end(self, writer, number, id) -> None:
        writer.write(answer(id).replace(b"Content-Length", b"X-Length"))
        writer.close()

    async def _do_surplus(self, writer, number, id) -> None:
        writer.write(answer(id) + answer("surplus"))

    async def _do_surplus_after_head(self, writer, number, id) -> None:
        """Send the surplus answer with the end of a body, after the head was read."""
        await self._send_parts(writer, id, b"", answer("surplus"))

    async def _do_surplus_part(self, writer, number, id) -> None:
        writer.write(answer(id) + b"HTTP/1.1 200 OK\r\n")

    async def _do_interrupted(self, writer, number, id) -> None:
        """Send another answer between the head and the body of this one."""
        await self._send_parts(writer, id, answer("a"), b"")

    async def _do_events(self, writer, number, id) -> None:
        await self._send_parts(writer, id, b"", b"", EVENTS)

    async def _do_interrupted_events(self, writer, number, id) -> None:
        """Send another answer after an event of this one, and then nothing for a while."""
        first = EVENTS[: EVENTS.index(b"id: 2")]
        late = answer("a", b"id: 2\ndata: of another\n\n")
        head, _, _ = answer(id, EVENTS).partition(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n" + first + late)

    async def _send_parts(self, writer, id, before: bytes, after: bytes, body=b"") -> None:
        """Send an answer's head, and once it was read, bytes before and after the body."""
        head, _, body = answer(id, body).partition(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n")
        for _ in range(20):
            await asyncio.sleep(0)
        writer.write(before + body + after)

    async def _do_foreign(self, writer, number, id) -> None:
        writer.write(answer("another"))

    async def _do_anonymous(self, writer, number, id) -> None:
        writer.write(answer("", b"whose"))

    async def _do_half(self, writer, number, id) -> None:
        writer.write(answer(id, b"x" * 100)[:-50])

    async def _do_raw(self, writer, number, id) -> None:
        """Send the bytes that the test has set, with this request's id."""
        lines = f"X-Thorncleat-Attempt-Id: {id}\r\nX-Thorncleat-Response-Stamp: s\r\n"
        writer.write(self.raw_answer.encode(lines.encode()))
        if self.raw_answer.closes:
            writer.close()

    async def _do_decline(self, writer, number, id) -> None:
        writer.write(answer(id, extra="X-Thorncleat-Not-Executed: 1\r\n").replace(b"200", b"503"))

    async def _do_pause(self, writer, number, id) -> None:
        """Refuse without an id, and ask for a pause."""
        extra = "X-Thorncleat-Not-Executed: 1\r\nRetry-After: 1.5\r\n"
        writer.write(answer("", b"busy", extra).replace(b"200", b"503"))

    async def _do_crash(self, writer, number, id) -> None:
        self._server.close()
        reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is not None and not writer.transport.is_closing():
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class View:
    """The list of endpoints."""

    def __init__(self) -> None:
        self.roster = Roster()

    def mark_draining(self, incarnation) -> None:
        self.roster.mark_draining(incarnation)


class KeepingSite:
    """One endpoint and a daemon's client of it.

    :param keeps: whether the client keeps connections.
    :ivar tokens: tokens of the retry budget that are left.
    """

    def __init__(self, *, keeps: bool = True, receive_buffer: int = 0) -> None:
        self._keeps = keeps
        self._receive_buffer = receive_buffer
        self.server = KeepingEndpoint()
        self.view = View()
        self.tokens = 10
        self.suspected = False
        self.answers = AnswerBudget()
        self.pool: ConnectionPool | None = None

    async def start(self) -> None:
        def can_keep(endpoint):
            return kept_connections.is_usable(
                endpoint,
                self.view.roster.endpoints.get(endpoint.id),
                is_missing=False,
                is_suspected=self.suspected,
            )

        def take_token(service):
            self.tokens -= 1
            return self.tokens >= 0

        await self.server.start(self._receive_buffer)
        clock = asyncio.get_running_loop().time
        self._session = create_session()
        if self._keeps:
            self.pool = ConnectionPool(can_keep, lambda: 1, take_token, 0.25)
        self.notices = EndpointNotices(self.view, clock)
        self.client = EndpointClient(
            self._session,
            PlatformHeaders(),
            self.notices,
            EndpointLimits(None, clock),
            0.25,
            pool=self.pool,
        )
        self.publish(born=1)

    def publish(self, born: int, id: str = "w1") -> None:
        """List the endpoint as an incarnation."""
        address = f"127.0.0.1:{self.server.port}"
        self.endpoint = Endpoint(id, "desk", address, "z1", born=born)
        self.view.roster.put(self.endpoint, 0.0)

    async def stop(self) -> None:
        await self._session.close()
        if self.pool is not None:
            await self.pool.close()
        await self.server.stop()

    def request(self, id: str, route: Route = ROUTE, body: bytes = b"body") -> Request:
        headers = (("X-Thorncleat-Attempt-Id", id),)
        meta = RequestMeta(id, "key", 3.0, "")
        return Request(meta, "POST", "/x", headers, body, route, SERVICE, None, 0.0, 3.0, 3.0)

    async def send(self, id: str, route: Route = ROUTE, body: bytes = b"body") -> bytes:
        """Return the body of the answer to a request."""
        request = self.request(id, route, body)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            meta = request.forward_meta(self.endpoint, 0.0, None)
            async with self.client.open(self.endpoint, request, meta) as exchange:
                with self.answers.hold() as held:
                    return (await exchange.read(held)).body

    async def until(self, is_true) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not is_true():
            assert time.monotonic() < deadline, "the condition was not met in time"
            await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def site(**options):
    """Yield a site."""
    site = KeepingSite(**options)
    await site.start()
    try:
        yield site
    finally:
        await site.stop()
