"""Stand-in for a worker of the users' platform, with faults that attributes switch on.

Owns: the worker's group, its loaded model and its log of executed requests.
Relies on: the stand-in store, into which it writes its own entry.
"""

import asyncio
import dataclasses
import json
import socket
import struct
import time
import typing as t

from aiohttp import web

ATTEMPT_ID = "X-Thorncleat-Attempt-Id"
RESPONSE_STAMP = "X-Thorncleat-Response-Stamp"
EXPECT_INSTANCE = "X-Thorncleat-Expect-Instance"
LAST_EVENT_ID = "Last-Event-Id"
LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
NOT_EXECUTED = "X-Thorncleat-Not-Executed"
RETRY_AFTER = "Retry-After"
COLD = "X-Thorncleat-Cold-Ms"
# Delay between the acceptance of an order and the change of the group's state.
ORDER_DELAY_SECONDS = 0.02
EVENT_INTERVAL_SECONDS = 0.02
# How long a stalled stream stays silent.
STALL_SECONDS = 30.0
# Lets the first half of an answer reach the client before the reset.
RESET_DELAY_SECONDS = 0.05
SHUTDOWN_TIMEOUT_SECONDS = 0.1
# Bytes of a request's head, which is also a bound of the number of its fields.
MAX_HEAD_BYTES = 65_536
# Delay between the start of a fatal request and the crash.
CRASH_DELAY_SECONDS = 0.15


@dataclasses.dataclass
class Run:
    """A request that a worker executed, as received."""

    worker: str
    id: str
    path: str
    headers: t.Mapping[str, str]
    body: bytes


class EntryStore(t.Protocol):
    """What a worker needs of the store that holds its entry."""

    def write(self, key: str, document: dict[str, t.Any]) -> object:
        """Write a document."""
        ...

    def delete(self, key: str) -> None:
        """Delete a key."""
        ...


class PlatformWorker:
    """A worker of a plain service or of a group.

    :param service: name of the service.
    :param domain: fabric domain; empty for a plain service.
    :ivar zone: failure domain.
    :ivar cold_until: until when the worker is cold, on the monotonic clock; it doesn't limit the
        requests that it runs. Its entry tells the time that is left when it is written.
    :ivar streams: whether a worker of a plain service answers with streams as well.
    :ivar events: number of events in a stream.
    :ivar stall_after: number of events after which streams stall; None for never.
    :ivar cut_after: number of events after which streams are cut, except resumed ones.
    :ivar end_within_event: number of the event within which streams end, without a length and as if
        they were whole, except resumed ones; None for never.
    :ivar reset_body: whether connections are reset in the middle of an answer without a length.
    :ivar body: body of the answers without events; empty for one that repeats the request's.
    :ivar is_chunked: whether it is sent in chunks.
    :ivar failure_status: HTTP status for all requests; 0 to serve them.
    :ivar refusal_retry_after: value of the Retry-After header of refusals, empty to omit the
        header; None to refuse nothing.
    :ivar limit: value of the Server-Limit header, requests per second; None to omit it.
    :ivar leaving: whether all answers have the Server-Leaving header, regardless of the entry.
    :ivar crash_trigger: bytes in the body of a request that crashes the worker; None for none.
    :ivar events_before_crash: number of events that such a request receives.
    :ivar restart_after_seconds: delay of the restart after such a crash; None for never.
    :ivar crashes: number of such crashes.
    :ivar breaks_streams: whether an order to leave breaks the running streams.
    :ivar born: increases with each restart; None before the first.
    :ivar runs: the executed requests.
    """

    def __init__(self, store: EntryStore, name: str, service: str, domain: str = "") -> None:
        self._store = store
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None
        self._stream_count = 0
        self._stream_transports: set[asyncio.Transport] = set()
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self.id = name
        self.service = service
        self.domain = domain
        self.zone = "zone-a"
        self.cold_until = 0.0
        self.address = ""
        self.draining = False
        self.streams = False
        self.events = 5
        self.stall_after: int | None = None
        self.cut_after: int | None = None
        self.end_within_event: int | None = None
        self.reset_body = False
        self.body = b""
        self.is_chunked = False
        self.failure_status = 0
        self.refusal_retry_after: str | None = None
        self.limit: str | None = None
        self.leaving = False
        self.crash_trigger: bytes | None = None
        self.events_before_crash = 0
        self.restart_after_seconds: float | None = None
        self.crashes = 0
        self.breaks_streams = False
        self.born: int | None = None
        self.runs: list[Run] = []
        self._order_count = 0
        self._model = ""
        self._group: dict[str, t.Any] | None = None
        self._members: list[str] = []
        self._epoch = 0

    @property
    def can_run_requests(self) -> bool:
        """Whether the worker leads an open or closing group."""
        return self._group is not None and self._group["state"] in ("open", "closing")

    @property
    def is_serving_leader(self) -> bool:
        """Whether the worker leads an open group."""
        return self._group is not None and self._group["state"] == "open"

    async def start(self) -> None:
        """Listen on a free loopback port and publish the entry."""
        # A worker takes each head that callers may send.
        self._server = web.Server(
            self._handle,
            access_log=None,
            max_headers=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_line_size=MAX_HEAD_BYTES,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.publish()

    async def stop(self) -> None:
        """Stop listening and delete the entry."""
        for task in self._crash_tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self._store.delete(f"servers/{self.id}")

    async def crash(self) -> None:
        """Abort all connections and stop listening; the entry stays."""
        assert self._server is not None
        assert self._runner is not None
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    async def restart(self) -> None:
        """Start under the same id with empty state."""
        self.born = (self.born or 0) + 1
        self._order_count, self._model, self._group, self._members, self._epoch = 0, "", None, [], 0
        await self.start()

    async def _crash_and_restart(self) -> None:
        self.crashes += 1
        await self.crash()
        if self.restart_after_seconds is not None:
            await asyncio.sleep(self.restart_after_seconds)
            await self.restart()

    def publish(self) -> None:
        """Write the entry into the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": self._cold_left_ms(),
            "seq": 0,
            "phase": "unified",
            "models": self._models(),
            "staged": [self._model] if self._model else [],
            "domain": self.domain,
        }
        if self._group is not None:
            entry["group"] = self._group
        if self.born is not None:
            entry["born"] = self.born
        self._store.write(f"servers/{self.id}", entry)

    def _cold_left_ms(self) -> int:
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def _models(self) -> list[dict[str, t.Any]]:
        return [{"name": self._model, "version": 1, "adapters": []}] if self._model else []

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get(EXPECT_INSTANCE, self.id)
        if expected != self.id:
            headers = {**self.common_headers(), "X-Thorncleat-Instance-Id": self.id}
            return web.Response(status=421, headers=headers)
        if request.path == "/thorncleat/report":
            return web.json_response(self._report(), headers=self.common_headers())
        if request.path == "/thorncleat/order":
            status = self._accept_order(json.loads(await request.read()))
            return web.Response(status=status, headers=self.common_headers())
        return await self._serve(request)

    def common_headers(self) -> dict[str, str]:
        """Return the headers that all answers have."""
        headers = {LEAVING: "1"} if self.leaving else {}
        if self.cold_until:
            headers[COLD] = str(self._cold_left_ms())
        return headers if self.limit is None else {**headers, SERVER_LIMIT: self.limit}

    def refusal_for(self, request: web.BaseRequest) -> web.Response | None:
        """Return the answer to a request that is refused, or None to serve it."""
        if self.refusal_retry_after is None:
            return None
        headers = {NOT_EXECUTED: "1", **self.common_headers()}
        if self.refusal_retry_after:
            headers[RETRY_AFTER] = self.refusal_retry_after
        return web.Response(status=503, headers=headers)

    def _report(self) -> dict[str, t.Any]:
        report = {
            "models": self._models(),
            "staged": [self._model] if self._model else [],
            "seq": self._order_count,
            "group": self._group,
        }
        return report if self.born is None else {**report, "born": self.born}

    def _accept_order(self, order: dict[str, t.Any]) -> int:
        if order.get("expected_rev", self._order_count) != self._order_count:
            return 409
        status = self._execute_order(order)
        if status == 202:
            self._order_count += 1
            self.publish()
        return status

    def _execute_order(self, order: dict[str, t.Any]) -> int:
        if order["op"] == "join":
            return self._join(order)
        if order["op"] == "phase":
            self._model = order["model"]
            return 202
        if self._group is None or self._group["epoch"] != order["epoch"]:
            return 409
        if order["op"] == "leave":
            self._leave()
            return 202
        return self._open() if order["op"] == "open" else self._close()

    def _leave(self) -> None:
        self._group = None
        if self.breaks_streams:
            for transport in self._stream_transports:
                transport.abort()

    def _open(self) -> int:
        assert self._group is not None
        if self._group["state"] != "ready":
            return 200 if self._group["state"] == "open" else 409
        self._change_state_later(self._group, "open")
        return 202

    def _close(self) -> int:
        """Refuse new requests, and become ready when the running ones have ended."""
        assert self._group is not None
        if self._group["state"] != "open":
            return 200 if self._group["state"] in ("closing", "ready") else 409
        self._group["state"] = "closing"
        self._become_ready_when_idle(self._group)
        return 202

    def _become_ready_when_idle(self, group: dict[str, t.Any]) -> None:
        def poll() -> None:
            if self._stream_count:
                self._become_ready_when_idle(group)
            else:
                self._change_state_later(group, "ready")

        asyncio.get_running_loop().call_later(ORDER_DELAY_SECONDS, poll)

    def _join(self, order: dict[str, t.Any]) -> int:
        if order["epoch"] < self._epoch:
            return 412
        self._epoch, self._model = order["epoch"], order["model"]
        self._members = order["members"]
        self._group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": self._members.index(self.id),
            "state": "joining",
        }
        self._change_state_later(self._group, "ready")
        return 202

    def _change_state_later(self, group: dict[str, t.Any], state: str) -> None:
        def set_state() -> None:
            if self._group is group:
                group["state"] = state
                self.publish()

        asyncio.get_running_loop().call_later(ORDER_DELAY_SECONDS, set_state)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        attempt = request.headers[ATTEMPT_ID]
        # The server's own method has a limit of its own.
        body = b"".join([piece async for piece in request.content.iter_any()])
        if self.domain and not self.is_serving_leader:
            return web.Response(status=421, headers=self.common_headers())
        refusal = self.refusal_for(request)
        if refusal is not None:
            return refusal
        self.record_run(Run(self.id, attempt, request.raw_path, request.headers, body))
        headers = {ATTEMPT_ID: attempt, RESPONSE_STAMP: f"stamp-{self.id}", **self.common_headers()}
        if self.crash_trigger is not None and self.crash_trigger in body:
            return await self._run_into_crash(request, headers)
        if self.failure_status:
            return web.Response(status=self.failure_status, headers=headers, text="failed")
        if self.domain or self.streams:
            return await self._run_stream(request, headers)
        if self.reset_body:
            return await self._reset_midway(request, headers)
        response = web.Response(headers=headers, body=self.body or b"answer to " + body)
        if self.is_chunked:
            response.enable_chunked_encoding()
        return response

    async def _run_stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream an answer that counts as running until its end."""
        transport = request.transport
        assert transport is not None
        self._stream_count += 1
        self._stream_transports.add(transport)
        try:
            return await self._stream(request, headers)
        finally:
            self._stream_count -= 1
            self._stream_transports.discard(transport)

    async def _run_into_crash(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send the events that precede the crash, then crash."""
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        if self.events_before_crash:
            response.enable_chunked_encoding()
            await response.prepare(request)
            first = int(request.headers.get(LAST_EVENT_ID, "0"))
            for number in range(first + 1, first + self.events_before_crash + 1):
                await response.write(
                    b"id: %d\ndata: %s\n\n" % (number, self.event(request, number))
                )
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        task = asyncio.create_task(self._crash_and_restart())
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)
        # The crash aborts this connection.
        await asyncio.sleep(STALL_SECONDS)
        return response

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        first = int(request.headers.get(LAST_EVENT_ID, "0"))
        if self.end_within_event is not None and first == 0:
            return await self._end_within_event(request, headers, self.end_within_event)
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        await self.wait_to_run()
        for number in range(first + 1, self.events + 1):
            if self.stall_after is not None and number - first > self.stall_after:
                await asyncio.sleep(STALL_SECONDS)
            if self.cut_after is not None and first == 0 and number > self.cut_after:
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: %s\n\n" % (number, self.event(request, number)))
            await self.delay_next_event()
        await response.write_eof()
        return response

    async def _end_within_event(
        self, request: web.BaseRequest, headers: dict[str, str], last: int
    ) -> web.StreamResponse:
        """Stream without a length, as an endpoint does whose process is killed within an event."""
        transport = request.transport
        assert transport is not None
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n{head}\r\n".encode())
        for number in range(1, last):
            transport.write(b"id: %d\ndata: %s\n\n" % (number, self.event(request, number)))
            await self.delay_next_event()
        transport.write(b"id: %d\nda" % last)
        transport.close()
        return web.Response()

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return the data of a stream's event."""
        return b"event %d" % number

    async def wait_to_run(self) -> None:
        """Wait until a stream may begin."""

    async def delay_next_event(self) -> None:
        """Wait for the interval between two events."""
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)

    def record_run(self, run: Run) -> None:
        """Record that a request starts to run."""
        self.runs.append(run)

    async def _reset_midway(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n{head}\r\nhalf".encode())
        await asyncio.sleep(RESET_DELAY_SECONDS)
        # With a linger time of 0, closing the socket sends a reset.
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        transport.abort()
        return web.Response()
