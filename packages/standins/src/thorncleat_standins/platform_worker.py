"""A stand-in of the users' platform's workers, by their published page.

A worker lists itself in the store, follows orders about groups, and answers requests; how it
misbehaves is switched by attributes.

Owns: its group, the model that it holds, and the requests that it ran.
Relies on: the stand-in store, into which it writes its entry by itself.
"""

import asyncio
import dataclasses
import json
import socket
import struct
import typing as t

from aiohttp import web

from .platform_store import PlatformStore

ATTEMPT = "X-Thorncleat-Attempt-Id"
STAMP = "X-Thorncleat-Response-Stamp"
EXPECT = "X-Thorncleat-Expect-Instance"
LAST_EVENT = "Last-Event-Id"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
NOT_RUN = "X-Thorncleat-Not-Executed"
RETRY_AFTER = "Retry-After"
# from an order about its group until it is carried out
JOIN_SECONDS = 0.02
# between the events of a stream
EVENT_SECONDS = 0.02
# of a stream that fell silent
SILENCE_SECONDS = 30.0
# between half an answer and its reset, so that the half is sent
RESET_SECONDS = 0.05
# for handlers to end
SHUTDOWN_SECONDS = 0.1
# from the beginning of a run to the crash that it brings about
CRASH_SECONDS = 0.15


@dataclasses.dataclass
class Run:
    """A request that a worker ran, as it came."""

    worker: str
    id: str
    path: str
    headers: t.Mapping[str, str]
    body: bytes


class PlatformWorker:
    """One worker.

    :param service: the name of its service.
    :param domain: its fabric domain; empty for a plain service.
    :ivar events: events of a stream.
    :ivar silent_after: events after which its streams fall silent; None for never.
    :ivar cut_after: events after which its streams are cut, unless they continue another.
    :ivar reset_body: whether it resets answers without a length in the middle.
    :ivar fail: status with which it fails requests; 0 for none.
    :ivar turns_away: seconds, as text, for which it wants no requests of a daemon whose request it
        turns away; empty to name none, None to turn none away.
    :ivar limit: requests a second, as text, that it takes from all daemons together by its answers;
        None to name none.
    :ivar leaving: whether all its answers say that it leaves, whatever its entry says.
    :ivar crashes_on: bytes of a body whose request crashes it once it runs; None for none.
    :ivar crash_events: events that such a request gets before the crash.
    :ivar back_after: seconds after such a crash in which it starts again under its id; None for
        never.
    :ivar crashes: how often that happened.
    """

    def __init__(self, store: PlatformStore, name: str, service: str, domain: str = "") -> None:
        self._store = store
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None
        # streams that run
        self._streams = 0
        self._crashing: set[asyncio.Task[None]] = set()
        self.id = name
        self.service = service
        self.domain = domain
        self.address = ""
        self.draining = False
        self.events = 5
        self.silent_after: int | None = None
        self.cut_after: int | None = None
        self.reset_body = False
        self.fail = 0
        self.turns_away: str | None = None
        self.limit: str | None = None
        self.leaving = False
        self.crashes_on: bytes | None = None
        self.crash_events = 0
        self.back_after: float | None = None
        self.crashes = 0
        self.born: int | None = None
        self.runs: list[Run] = []
        self._seq = 0
        self._model = ""
        self._group: dict[str, t.Any] | None = None
        self._members: list[str] = []
        self._epoch = 0

    @property
    def answers(self) -> bool:
        """Whether it is the head of a group that runs requests, or may do so."""
        return self._group is not None and self._group["state"] in ("open", "closing")

    @property
    def leads(self) -> bool:
        """Whether it is the open head of a group."""
        return self._group is not None and self._group["state"] == "open"

    async def start(self) -> None:
        """Listen on a free port of the loopback and enter the store."""
        self._server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_SECONDS)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.publish()

    async def stop(self) -> None:
        """Stop listening and leave the store."""
        for task in self._crashing:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self._store.delete(f"servers/{self.id}")

    async def crash(self) -> None:
        """End without a word: connections break, and the entry stays as it was."""
        assert self._server is not None
        assert self._runner is not None
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    async def start_again(self) -> None:
        """Start under the same id, with nothing known of before."""
        self.born = (self.born or 0) + 1
        self._seq, self._model, self._group, self._members, self._epoch = 0, "", None, [], 0
        await self.start()

    async def _crash_and_return(self) -> None:
        self.crashes += 1
        await self.crash()
        if self.back_after is not None:
            await asyncio.sleep(self.back_after)
            await self.start_again()

    def publish(self) -> None:
        """Write its entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
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

    def _models(self) -> list[dict[str, t.Any]]:
        return [{"name": self._model, "version": 1, "adapters": []}] if self._model else []

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get(EXPECT, self.id)
        if expected != self.id:
            named = {**self.said(), "X-Thorncleat-Instance-Id": self.id}
            return web.Response(status=421, headers=named)
        if request.path == "/thorncleat/report":
            return web.json_response(self._report(), headers=self.said())
        if request.path == "/thorncleat/order":
            status = self._order(json.loads(await request.read()))
            return web.Response(status=status, headers=self.said())
        return await self._serve(request)

    def said(self) -> dict[str, str]:
        """Return the headers of all its answers."""
        said = {LEAVING: "1"} if self.leaving else {}
        return said if self.limit is None else {**said, LIMIT: self.limit}

    def turned_away(self, request: web.BaseRequest) -> web.Response | None:
        """Return the answer to a request that it turns away; None if it takes it."""
        if self.turns_away is None:
            return None
        headers = {NOT_RUN: "1", **self.said()}
        if self.turns_away:
            headers[RETRY_AFTER] = self.turns_away
        return web.Response(status=503, headers=headers)

    def _report(self) -> dict[str, t.Any]:
        report = {
            "models": self._models(),
            "staged": [self._model] if self._model else [],
            "seq": self._seq,
            "group": self._group,
        }
        return report if self.born is None else {**report, "born": self.born}

    def _order(self, order: dict[str, t.Any]) -> int:
        if order.get("expected_rev", self._seq) != self._seq:
            return 409
        status = self._take(order)
        if status == 202:
            self._seq += 1
            self.publish()
        return status

    def _take(self, order: dict[str, t.Any]) -> int:
        if order["op"] == "join":
            return self._join(order)
        if order["op"] == "phase":
            self._model = order["model"]
            return 202
        if self._group is None or self._group["epoch"] != order["epoch"]:
            return 409
        if order["op"] == "leave":
            self._group = None
            return 202
        return self._open() if order["op"] == "open" else self._close()

    def _open(self) -> int:
        assert self._group is not None
        if self._group["state"] != "ready":
            return 200 if self._group["state"] == "open" else 409
        self._become(self._group, "open")
        return 202

    def _close(self) -> int:
        """Take nothing new, and be ready again once what runs has ended."""
        assert self._group is not None
        if self._group["state"] != "open":
            return 200 if self._group["state"] in ("closing", "ready") else 409
        self._group["state"] = "closing"
        self._finish(self._group)
        return 202

    def _finish(self, group: dict[str, t.Any]) -> None:
        def look() -> None:
            if self._streams:
                self._finish(group)
            else:
                self._become(group, "ready")

        asyncio.get_running_loop().call_later(JOIN_SECONDS, look)

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
        self._become(self._group, "ready")
        return 202

    def _become(self, group: dict[str, t.Any], state: str) -> None:
        def change() -> None:
            if self._group is group:
                group["state"] = state
                self.publish()

        asyncio.get_running_loop().call_later(JOIN_SECONDS, change)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        attempt = request.headers[ATTEMPT]
        body = await request.read()
        if self.domain and not self.leads:
            return web.Response(status=421, headers=self.said())
        turned_away = self.turned_away(request)
        if turned_away is not None:
            return turned_away
        self.began(Run(self.id, attempt, request.raw_path, request.headers, body))
        headers = {ATTEMPT: attempt, STAMP: f"stamp-{self.id}", **self.said()}
        if self.crashes_on is not None and self.crashes_on in body:
            return await self._run_into_crash(request, headers)
        if self.fail:
            return web.Response(status=self.fail, headers=headers, text="failed")
        if self.domain:
            self._streams += 1
            try:
                return await self._stream(request, headers)
            finally:
                self._streams -= 1
        if self.reset_body:
            return await self._reset(request, headers)
        return web.Response(headers=headers, body=b"answer to " + body)

    async def _run_into_crash(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answer as much as a request gets that crashes the worker, and crash."""
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        if self.crash_events:
            response.enable_chunked_encoding()
            await response.prepare(request)
            first = int(request.headers.get(LAST_EVENT, "0"))
            for number in range(first + 1, first + self.crash_events + 1):
                await response.write(
                    b"id: %d\ndata: %s\n\n" % (number, self.event(request, number))
                )
        await asyncio.sleep(CRASH_SECONDS)
        task = asyncio.create_task(self._crash_and_return())
        self._crashing.add(task)
        task.add_done_callback(self._crashing.discard)
        # the crash ends this connection too
        await asyncio.sleep(SILENCE_SECONDS)
        return response

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get(LAST_EVENT, "0"))
        for number in range(first + 1, self.events + 1):
            if self.silent_after is not None and number - first > self.silent_after:
                await asyncio.sleep(SILENCE_SECONDS)
            if self.cut_after is not None and first == 0 and number > self.cut_after:
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: %s\n\n" % (number, self.event(request, number)))
            await self.step()
        await response.write_eof()
        return response

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return the data of an event of a stream."""
        return b"event %d" % number

    async def step(self) -> None:
        """Let the time pass that an event takes."""
        await asyncio.sleep(EVENT_SECONDS)

    def began(self, run: Run) -> None:
        """Note that a request begins to run."""
        self.runs.append(run)

    async def _reset(self, request: web.BaseRequest, headers: dict[str, str]) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n{head}\r\nhalf".encode())
        await asyncio.sleep(RESET_SECONDS)
        # closing then resets instead of ending in order
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        transport.abort()
        return web.Response()
