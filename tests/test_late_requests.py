"""Guards against requests that are passed on late in a planned stop, and cut at its end."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web

from thorncleat_gateway import planned_stop
from thorncleat_standins.platform_worker import NOT_EXECUTED
from thorncleat_standins.platform_worker import PlatformWorker

from .test_gateway import HOST
from .test_gateway import KEY
from .test_gateway import Site
from .test_gateway import configuration
from .test_gateway import events
from .test_gateway import site

GRACE_SECONDS = 2.0
# When new requests are refused, and when the daemon stops, after the order.
ACCEPT_SECONDS = 0.2
STOP_SECONDS = GRACE_SECONDS - planned_stop.STOP_MARGIN_SECONDS
BOUNDS = f"grace_s = {GRACE_SECONDS}"
ANSWER_SECONDS = 0.4
DECLINE_SECONDS = 0.6
END_OF_HEAD = b"\r\n\r\n"
PATHS = {"chat": "/chat/x", "status": "/status/x", "ack": "/ack/x"}


class SlowWorker(PlatformWorker):
    """A worker whose answers take a time.

    :ivar answer_seconds: until the answer of a plain service, or the end of a stream.
    :ivar declines: whether requests are declined, after that time and without running.
    """

    answer_seconds = ANSWER_SECONDS
    declines = False

    async def _serve(self, request):
        if self.declines:
            await asyncio.sleep(self.answer_seconds)
            return web.Response(status=503, headers={NOT_EXECUTED: "1", **self.common_headers()})
        answer = await super()._serve(request)
        if not self.domain:
            await asyncio.sleep(self.answer_seconds)
        return answer

    async def delay_next_event(self):
        await asyncio.sleep(self.answer_seconds / self.events)


@pytest.fixture(autouse=True)
def _early_refusals(monkeypatch):
    monkeypatch.setattr(planned_stop, "ACCEPT_SECONDS", ACCEPT_SECONDS)


def slow_site(directory):
    return site(directory, bounds=BOUNDS, kind=SlowWorker)


class SlowBody:
    """A caller that sends the head and a part of the body, and the rest when it is told to."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    def send_head(self, route: str, deadline: float) -> None:
        head = (
            f"POST {PATHS[route]} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
            f"X-Thorncleat-Attempt-Id: late\r\nX-Thorncleat-Model: large\r\n"
            f"X-Thorncleat-Deadline-Ms: {deadline * 1000:.0f}\r\nContent-Length: 8\r\n\r\n"
        )
        self._writer.write(head.encode() + b"half")

    def send_rest(self) -> None:
        self._writer.write(b"rest")

    async def read(self) -> tuple[int, bytes]:
        """Return the status and the answer; 0 and nothing if it was cut."""
        try:
            async with asyncio.timeout(2 * GRACE_SECONDS):
                head = await self._reader.readuntil(END_OF_HEAD)
                length = int(head.lower().partition(b"content-length: ")[2].split()[0])
                body = await self._reader.readexactly(length)
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        return int(head.split()[1]), head + body


@contextlib.asynccontextmanager
async def slow_body(cluster: Site, route: str, deadline: float):
    """Send the head of a request and a half of its body.

    :param deadline: seconds that the caller states.
    """
    host, _, port = cluster.frontend.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    caller = SlowBody(reader, writer)
    caller.send_head(route, deadline)
    await cluster.until(lambda: cluster.gateway._frontend.running)
    try:
        yield caller
    finally:
        writer.close()


@pytest.mark.parametrize("route", ["chat", "status", "ack"])
async def test_body_that_ends_late_in_a_planned_stop_is_not_passed_on(tmp_path, route):
    async with slow_site(tmp_path) as cluster, slow_body(cluster, route, 3.0) as caller:
        ordered_at = time.monotonic()
        stopping = asyncio.create_task(cluster.gateway.drain())
        reading = asyncio.create_task(caller.read())
        await asyncio.wait({reading}, timeout=STOP_SECONDS - ANSWER_SECONDS / 2)
        seconds = time.monotonic() - ordered_at
        caller.send_rest()
        await stopping
        await cluster.gateway.stop()
        status, answer = await reading
        runs = [run for worker in cluster.workers for run in worker.runs]
        assert (status, runs) == (503, [])
        assert b"Retry-After: 0.05" in answer
        assert b"Connection: close" in answer
        assert seconds < ACCEPT_SECONDS + 0.3, "it was told when its body ended"


async def test_body_that_never_ends_is_refused_before_the_stop(tmp_path):
    """Its deadline is early enough, so that it may be sent until then."""
    async with slow_site(tmp_path) as cluster, slow_body(cluster, "status", 1.2) as caller:
        await cluster.gateway.drain()
        await cluster.gateway.stop()
        assert (await caller.read())[0] == 503


async def test_late_body_with_a_short_deadline_is_served(tmp_path):
    async with slow_site(tmp_path) as cluster, slow_body(cluster, "status", 1.1) as caller:
        stopping = asyncio.create_task(cluster.gateway.drain())
        await asyncio.sleep(ACCEPT_SECONDS + 0.2)
        caller.send_rest()
        status, answer = await caller.read()
        assert (status, answer.endswith(b"answer to halfrest")) == (200, True)
        await stopping


async def test_request_without_an_answer_at_the_end_of_a_planned_stop_is_told(tmp_path):
    """It may have run, and the caller can't know that of a cut connection."""
    async with slow_site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.answer_seconds = GRACE_SECONDS
        running = asyncio.create_task(cluster.call("POST", "/status/x", b"body"))
        await cluster.until(lambda: cluster.runs("desk"))
        await cluster.gateway.drain()
        await cluster.gateway.stop()
        status, headers, body = await running
        assert (status, body) == (502, b"stopping\n")
        assert "Retry-After" not in headers
        assert len(cluster.runs("desk")) == 1


async def test_retry_that_would_begin_late_in_a_planned_stop_is_not_sent(tmp_path):
    async with slow_site(tmp_path) as cluster:
        changed = configuration(2)
        changed["routes"][1]["max_attempts"] = 2
        cluster.store.write("op/config", changed)
        await cluster.until(lambda: cluster.gateway.view.configuration_version() == 2)
        for worker in cluster.workers:
            worker.declines, worker.answer_seconds = True, DECLINE_SECONDS
        stopping = asyncio.create_task(cluster.gateway.drain())
        running = asyncio.create_task(cluster.call("POST", "/status/x", b"body"))
        await asyncio.sleep(DECLINE_SECONDS / 2)
        for worker in cluster.workers:
            # The worker that has the first attempt still declines it.
            worker.declines, worker.answer_seconds = False, GRACE_SECONDS
        status, _, body = await running
        await stopping
        assert (status, body, cluster.runs("desk")) == (503, b"stopping\n", [])


async def test_stream_that_has_begun_is_resumed_late_in_a_planned_stop(tmp_path):
    """To go on may help its caller, to be cut at once doesn't."""
    async with slow_site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.cut_after, worker.answer_seconds = 3, 0.8
        running = asyncio.create_task(cluster.chat())
        await cluster.until(lambda: cluster.runs("narrator"))
        await cluster.gateway.drain()
        status, _, body = await running
        assert (status, body) == (200, events(1, 2, 3, 4, 5))
        assert len(cluster.runs("narrator")) == 2


async def test_kept_connection_with_a_late_request_is_refused_and_closed(tmp_path):
    async with slow_site(tmp_path) as cluster, slow_body(cluster, "status", 3.0) as caller:
        async with slow_body(cluster, "status", 3.0) as kept:
            kept.send_rest()
            assert (await kept.read())[0] == 200
            stopping = asyncio.create_task(cluster.gateway.drain())
            await asyncio.sleep(ACCEPT_SECONDS + 0.1)
            kept.send_head("status", 3.0)
            status, answer = await kept.read()
        assert (status, b"Connection: close" in answer) == (503, True)
        assert (await caller.read())[0] == 503
        await stopping
        assert len(cluster.runs("desk")) == 1
