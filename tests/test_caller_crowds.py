"""Crowds of callers that don't keep to the limits, before one real daemon.

The process has to live within its memory and descriptors, and an ordinary request has to be served
beside the crowd and after it. The crowds and the bounds don't depend on the machine's speed.
"""

import itertools

import pytest

from . import crowd_world
from .crowd_world import MAX_BODY_BYTES
from .crowd_world import MAX_DESCRIPTORS
from .crowd_world import MAX_HEADER_BYTES
from .crowd_world import CrowdSite
from .crowd_world import chunks
from .crowd_world import crowd
from .crowd_world import head
from .crowd_world import split

# Bodies of the limit that take more than the process may have.
BODIES = 40
# More connections than the process may have descriptors.
CONNECTIONS = MAX_DESCRIPTORS + 100
# Callers whose chunks take all turns of an event loop that reads them as they come.
BUSY_CALLERS = 12
# Fields of a head of the limit.
FIELDS = 3_000
OVER_THE_LIMIT = 4 * MAX_BODY_BYTES
REQUESTS_AHEAD = 20_000
STREAMS = 30
LARGE_ANSWER = b"a" * 900_000
ENDLESS_PIECES = 1_000
# The door's paths: where the port is, the path, and the key that comes with it.
PATHS = {
    "route": ("callers", "/ack/x", crowd_world.KEY),
    "no route": ("callers", "/nowhere/x", crowd_world.KEY),
    "no key": ("callers", "/ack/x", ""),
    "readiness": ("readiness", "/thorncleat/readyz", ""),
    "metrics": ("metrics", "/metrics", ""),
}
EACH_PATH = pytest.mark.parametrize("path", PATHS)
PRESSURE = '"pressure"'
EACH_CONTROL = pytest.mark.parametrize(
    "contracts", ["", PRESSURE], ids=["without overload control", "with overload control"]
)


@pytest.fixture
async def site(tmp_path, request):
    started = CrowdSite(tmp_path, getattr(request, "param", ""))
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def _check(site, path, count, *pieces):
    """Send a crowd's pieces to a path; check the daemon beside the crowd and after it."""
    where, target, key = PATHS[path]
    before = head(target, *pieces[0], key=key)

    def send():
        return itertools.chain([before], *(part() for part in pieces[1:]))

    async with crowd(site.ports[where], count, send):
        await site.check_sound()
    await site.check_sound()


# Bodies


LENGTH = (f"Content-Length: {MAX_BODY_BYTES}",)
CHUNKED = ("Transfer-Encoding: chunked",)


@EACH_PATH
async def test_bodies_one_byte_short_of_their_end(site, path):
    """Each is kept as long as its caller stays."""
    await _check(site, path, BODIES, LENGTH, lambda: split(b"x" * (MAX_BODY_BYTES - 1)))


@pytest.mark.parametrize("site", [PRESSURE], indirect=True)
async def test_bodies_one_byte_short_under_overload_control(site):
    """A few of them may not keep everybody else's bodies out."""
    await _check(site, "route", BODIES, LENGTH, lambda: split(b"x" * (MAX_BODY_BYTES - 1)))


@pytest.mark.parametrize("site", ["", PRESSURE], indirect=True)
async def test_large_body_is_served_beside_bodies_one_byte_short(site):
    """Theirs would keep it out until their deadlines."""
    begin = head("/ack/x", *LENGTH)
    async with crowd(
        site.ports["callers"], BODIES, lambda: split(begin + b"x" * (MAX_BODY_BYTES - 1))
    ):
        assert (await site.ordinary(body=b"x" * MAX_BODY_BYTES)).status == 200
    await site.check_sound()


@EACH_PATH
@pytest.mark.parametrize("size", [4_096, 64])
async def test_bodies_in_chunks_without_the_last(site, path, size):
    body = chunks(MAX_BODY_BYTES, size)
    await _check(site, path, BODIES, CHUNKED, lambda: split(body))


@EACH_PATH
async def test_bodies_in_small_pieces(site, path):
    """Each piece is a packet of its own."""
    await _check(site, path, BODIES, LENGTH, lambda: split(b"x" * (MAX_BODY_BYTES // 4), 64))


@EACH_PATH
async def test_bodies_far_over_the_limit_with_a_length(site, path):
    fields = (f"Content-Length: {OVER_THE_LIMIT}",)
    await _check(site, path, BODIES, fields, lambda: split(b"x" * (OVER_THE_LIMIT - 1)))


@EACH_PATH
async def test_bodies_far_over_the_limit_in_chunks(site, path):
    body = chunks(OVER_THE_LIMIT, 4_096)
    await _check(site, path, BODIES, CHUNKED, lambda: split(body))


@EACH_PATH
async def test_bodies_in_chunks_of_one_byte(site, path):
    """The loop reads for them alone, and the process hangs."""
    body = chunks(MAX_BODY_BYTES, 1)
    await _check(site, path, BUSY_CALLERS, CHUNKED, lambda: split(body))


@pytest.mark.parametrize("site", [PRESSURE], indirect=True)
async def test_bodies_in_chunks_of_one_byte_under_overload_control(site):
    body = chunks(MAX_BODY_BYTES, 1)
    await _check(site, "route", BUSY_CALLERS, CHUNKED, lambda: split(body))


@EACH_PATH
async def test_trailers_without_end(site, path):
    trailer = b"a: %s\r\n" % (b"x" * 8_000)
    await _check(
        site,
        path,
        BODIES,
        CHUNKED,
        lambda: [b"1\r\nx\r\n0\r\n"],
        lambda: itertools.repeat(trailer, ENDLESS_PIECES),
    )


@EACH_PATH
async def test_chunk_extensions_without_end(site, path):
    await _check(
        site,
        path,
        BODIES,
        CHUNKED,
        lambda: [b"1;a="],
        lambda: itertools.repeat(b"x" * 8_000, ENDLESS_PIECES),
    )


# Heads


SHORT_FIELDS = tuple(f"a{number % 10}:" for number in range(FIELDS))


@EACH_PATH
async def test_heads_of_very_many_short_fields(site, path):
    await _check(site, path, CONNECTIONS, SHORT_FIELDS)


@EACH_PATH
async def test_heads_of_very_many_short_fields_without_their_end(site, path):
    where, target, key = PATHS[path]
    unfinished = head(target, *SHORT_FIELDS, key=key)[:-2]
    async with crowd(site.ports[where], CONNECTIONS, lambda: [unfinished]):
        await site.check_sound()
    await site.check_sound()


@EACH_PATH
async def test_heads_that_come_a_byte_at_a_time(site, path):
    where, target, key = PATHS[path]
    slow = head(target, key=key)[:60]
    async with crowd(site.ports[where], CONNECTIONS, lambda: split(slow, 1)):
        await site.check_sound()
    await site.check_sound()


@EACH_PATH
@pytest.mark.parametrize("piece", [b"a: x\r\n" * 1_000, b"x" * 8_000], ids=["fields", "one field"])
async def test_heads_without_end(site, path, piece):
    where, target, key = PATHS[path]
    begin = head(target, key=key)[:-2] + b"a: "
    async with crowd(
        site.ports[where],
        BODIES,
        lambda: itertools.chain([begin], itertools.repeat(piece, ENDLESS_PIECES)),
    ):
        await site.check_sound()
    await site.check_sound()


# Connections


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
async def test_idle_connections(site, port):
    """Nothing is sent; descriptors are shared with the ways to endpoints and to the store."""
    async with crowd(site.ports[port], CONNECTIONS, lambda: [b""]):
        await site.check_sound()
    await site.check_sound()


@EACH_PATH
async def test_connections_that_rest_after_a_request(site, path):
    where, target, key = PATHS[path]
    request = head(target, "Content-Length: 1", key=key) + b"x"
    async with crowd(site.ports[where], CONNECTIONS, lambda: [request]):
        await site.check_sound()
    await site.check_sound()


# Callers that don't read


@EACH_PATH
async def test_requests_ahead_whose_answers_are_not_read(site, path):
    where, target, key = PATHS[path]
    request = head(target, "Content-Length: 1", key=key) + b"x"
    many = request * 100
    async with crowd(site.ports[where], 4, lambda: itertools.repeat(many, REQUESTS_AHEAD // 100)):
        await site.check_sound()
    await site.check_sound()


async def test_large_answers_that_are_not_read(site):
    for worker in site.workers:
        worker.body = LARGE_ANSWER
    request = head("/ack/x", "Content-Length: 1") + b"x"
    async with crowd(site.ports["callers"], MAX_DESCRIPTORS // 3, lambda: [request]):
        assert (await site.ordinary()).body == LARGE_ANSWER
        assert await site.is_ready()
    for worker in site.workers:
        worker.body = b""
    await site.check_sound()


async def test_streams_that_are_not_read(site):
    """As many as a daemon with these descriptors can have at once."""
    for worker in site.workers:
        worker.streams, worker.events = True, 200
    request = head("/brief/x", "Content-Length: 1") + b"x"
    async with crowd(site.ports["callers"], STREAMS, lambda: [request]):
        assert (await site.ordinary("/brief/x")).status == 200
        assert await site.is_ready()
    for worker in site.workers:
        worker.streams = False
    await site.check_sound()


# Odd requests


@EACH_PATH
@pytest.mark.parametrize(
    "fields",
    [
        pytest.param(("Expect: 100-continue", *LENGTH), id="Expect"),
        pytest.param(("Upgrade: websocket", "Connection: upgrade"), id="Upgrade"),
        pytest.param(("Content-Length: 3", "Content-Length: 4"), id="two lengths"),
        pytest.param(("Content-Length: 3", *CHUNKED), id="length and chunks"),
        pytest.param(("Content-Length: -1",), id="negative length"),
    ],
)
async def test_odd_requests_followed_by_many_bytes(site, path, fields):
    await _check(site, path, BODIES, fields, lambda: split(b"x" * MAX_BODY_BYTES))


async def test_crowds_of_all_forms_at_once(site):
    """The bounds hold together."""
    port = site.ports["callers"]
    begin = head("/ack/x", *LENGTH)
    body = chunks(MAX_BODY_BYTES, 1)
    async with (
        crowd(port, CONNECTIONS, lambda: [b""]),
        crowd(port, BODIES, lambda: split(begin + b"x" * (MAX_BODY_BYTES - 1))),
        crowd(port, BUSY_CALLERS, lambda: split(head("/ack/x", *CHUNKED) + body)),
        crowd(port, CONNECTIONS, lambda: [head("/ack/x", *SHORT_FIELDS)[:-2]]),
        crowd(site.ports["readiness"], CONNECTIONS, lambda: [b""]),
    ):
        await site.check_sound()
    await site.check_sound()


assert len(head("/ack/x", *SHORT_FIELDS)) < MAX_HEADER_BYTES
