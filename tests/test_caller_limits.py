"""Single requests inside the limits, before one real daemon: each is served in calm."""

import asyncio
import itertools

import aiohttp
import pytest

from .crowd_world import HEADER_TIMEOUT_MS
from .crowd_world import IDLE_TIMEOUT_MS
from .crowd_world import MAX_BODY_BYTES
from .crowd_world import MAX_HEADER_BYTES
from .crowd_world import CrowdSite
from .crowd_world import chunks
from .crowd_world import head
from .crowd_world import split

# How long a single request may take; one of four million chunks takes seconds.
ANSWER_SECONDS = 60.0
# Less than a caller may take for its head, and for a rest between two requests.
SLOW_HEAD_SECONDS = 0.66 * HEADER_TIMEOUT_MS / 1000
REST_SECONDS = 0.8 * IDLE_TIMEOUT_MS / 1000
SLOW_BODY_SECONDS = 5.0
SLOW_BODY_PIECES = 50


@pytest.fixture
async def site(tmp_path, request):
    started = CrowdSite(tmp_path, getattr(request, "param", ""))
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


EACH_CONTROL = pytest.mark.parametrize(
    "site", ["", '"pressure"'], indirect=True, ids=["without overload control", "with it"]
)


class Caller:
    """A caller on one connection."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> "Caller":
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_) -> None:
        self._writer.close()

    async def send(self, pieces, pause: float = 0.0) -> None:
        """Send pieces with a pause after each."""
        for piece in pieces:
            self._writer.write(piece)
            await self._writer.drain()
            if pause:
                await asyncio.sleep(pause)

    async def read_status(self) -> int:
        """Return the status of an answer, whose body is read too."""
        async with asyncio.timeout(ANSWER_SECONDS):
            answer = await self._reader.readuntil(b"\r\n\r\n")
            if answer.startswith(b"HTTP/1.1 100 "):
                answer = await self._reader.readuntil(b"\r\n\r\n")
            fields = answer.lower().split(b"\r\n")
            length = next(field for field in fields if field.startswith(b"content-length:"))
            await self._reader.readexactly(int(length.split(b":")[1]))
        return int(answer.split()[1])


def _filled(target: int, *fields: str) -> bytes:
    """Return a head of a number of bytes, the last field of which is long."""
    size = len(head("/ack/x", *fields, "x-long: "))
    return head("/ack/x", *fields, "x-long: " + "a" * (target - size))


def _short_fields(count: int) -> tuple[str, ...]:
    return tuple(f"a{number % 10}:" for number in range(count))


NO_BODY = "Content-Length: 0"


@EACH_CONTROL
@pytest.mark.parametrize("count", [100, 125, 150, 400, 2_500])
async def test_many_short_fields(site, count):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", NO_BODY, *_short_fields(count))])
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_as_many_fields_as_a_head_can_have(site):
    """The shortest field has four bytes."""
    left = MAX_HEADER_BYTES - len(head("/ack/x", NO_BODY))
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", NO_BODY, *["a:"] * (left // 4))])
        assert await caller.read_status() == 200


@EACH_CONTROL
@pytest.mark.parametrize("size", [8_192, 15_900, MAX_HEADER_BYTES])
async def test_one_long_field(site, size):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([_filled(size, NO_BODY)])
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_long_target(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/" + "x" * 15_900, NO_BODY)])
        assert await caller.read_status() == 200


@EACH_CONTROL
@pytest.mark.parametrize("size", [1, 64, 4_096, 1_000_000])
async def test_body_of_the_limit_in_chunks(site, size):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", "Transfer-Encoding: chunked", deadline=60_000)])
        await caller.send(split(chunks(MAX_BODY_BYTES, size)))
        await caller.send([b"0\r\n\r\n"])
        assert await caller.read_status() == 200


@EACH_CONTROL
@pytest.mark.parametrize("size", [64, 65_536, MAX_BODY_BYTES])
async def test_body_of_the_limit_in_pieces(site, size):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", f"Content-Length: {MAX_BODY_BYTES}", deadline=60_000)])
        await caller.send(split(b"x" * MAX_BODY_BYTES, size))
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_body_that_comes_slowly(site):
    size = MAX_BODY_BYTES // SLOW_BODY_PIECES
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", f"Content-Length: {size * SLOW_BODY_PIECES}")])
        pause = SLOW_BODY_SECONDS / SLOW_BODY_PIECES
        await caller.send(itertools.repeat(b"x" * size, SLOW_BODY_PIECES), pause)
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_head_that_comes_slowly(site):
    pieces = list(split(head("/ack/x", NO_BODY), 10))
    async with Caller(site.ports["callers"]) as caller:
        await caller.send(pieces, SLOW_HEAD_SECONDS / len(pieces))
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_connection_that_has_rested(site):
    """Once before its first request and once between two."""
    async with Caller(site.ports["callers"]) as caller:
        for _ in range(2):
            await asyncio.sleep(REST_SECONDS)
            await caller.send([head("/ack/x", NO_BODY)])
            assert await caller.read_status() == 200


@EACH_CONTROL
async def test_trailers(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", "Transfer-Encoding: chunked", "Trailer: a")])
        await caller.send([b"1\r\nx\r\n0\r\na: b\r\n\r\n"])
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_chunk_extensions(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", "Transfer-Encoding: chunked")])
        await caller.send([b"1;name=value\r\nx\r\n0;last\r\n\r\n"])
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_expectation(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", "Expect: 100-continue", "Content-Length: 1")])
        await caller.send([b"x"])
        assert await caller.read_status() == 200


@EACH_CONTROL
async def test_many_requests_on_one_connection(site):
    async with Caller(site.ports["callers"]) as caller:
        for _ in range(100):
            await caller.send([head("/ack/x", "Content-Length: 1") + b"x"])
            assert await caller.read_status() == 200


@EACH_CONTROL
async def test_requests_ahead(site):
    """Each is answered once its caller reads."""
    count = 200
    async with Caller(site.ports["callers"]) as caller:
        request = head("/ack/x", "Content-Length: 1") + b"x"
        sending = asyncio.create_task(caller.send([request] * count))
        for _ in range(count):
            assert await caller.read_status() == 200
        await sending


@EACH_CONTROL
async def test_head_over_the_limit_is_refused_with_a_line(site):
    """And the daemon serves on."""
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([_filled(2 * MAX_HEADER_BYTES, NO_BODY)])
        assert await caller.read_status() == 431
    assert "head over the limit" in site.log
    await site.check_sound()


@EACH_CONTROL
async def test_body_over_the_limit_is_refused_before_it_is_sent(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([head("/ack/x", f"Content-Length: {MAX_BODY_BYTES + 1}")])
        assert await caller.read_status() == 413
    await site.check_sound()


SHORT_TIMEOUTS = {"header_timeout_ms": 400, "idle_timeout_ms": 800}


@pytest.fixture
async def impatient_site(tmp_path):
    started = CrowdSite(tmp_path, limits=SHORT_TIMEOUTS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def _read_to_the_end(reader) -> bytes:
    async with asyncio.timeout(ANSWER_SECONDS):
        return await reader.read()


async def test_head_that_does_not_come_in_time_is_refused(impatient_site):
    reader, writer = await asyncio.open_connection("127.0.0.1", impatient_site.ports["callers"])
    writer.write(head("/ack/x", NO_BODY)[:40])
    assert (await _read_to_the_end(reader)).startswith(b"HTTP/1.1 408 ")
    assert "head too slow" in impatient_site.log
    writer.close()


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
@pytest.mark.parametrize("request_first", [False, True])
async def test_idle_connection_is_closed(impatient_site, port, request_first):
    reader, writer = await asyncio.open_connection("127.0.0.1", impatient_site.ports[port])
    if request_first:
        writer.write(head("/ack/x", NO_BODY))
    await _read_to_the_end(reader)
    assert "idle for too long" in impatient_site.log
    writer.close()


async def test_body_that_does_not_come_in_time_is_refused(site):
    """Its caller has named its deadline."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.ports["callers"])
    writer.write(head("/ack/x", "Content-Length: 9", deadline=500) + b"x")
    assert (await _read_to_the_end(reader)).startswith(b"HTTP/1.1 408 ")
    assert "body too slow" in site.log
    writer.close()


async def test_metrics_tell_what_was_bounded(site):
    async with Caller(site.ports["callers"]) as caller:
        await caller.send([_filled(2 * MAX_HEADER_BYTES, NO_BODY)])
        assert await caller.read_status() == 431
    async with (
        aiohttp.ClientSession() as client,
        client.get(f"http://127.0.0.1:{site.ports['metrics']}/metrics") as response,
    ):
        text = await response.text()
    assert 'thorncleat_callers_bounded{cause="head over the limit",listener="callers"} 1.0' in text
