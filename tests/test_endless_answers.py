"""Processes whose answers have no end, with real sockets.

A gateway that read all that is sent to it took 100 MB and more in seconds, and with it its instance
went down, from one endpoint out of order.
"""

import asyncio
import tracemalloc

import aiohttp
import pytest

from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import RelayError
from thorncleat_gateway.exceptions import StoreOutcomeUnknownError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Position
from thorncleat_gateway.settings import RelaySettings
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_platform.engines import WorkerEngines
from thorncleat_platform.store import KeyValueStore
from thorncleat_standins import endless
from thorncleat_standins.endless import EndlessWorker

from .test_gateway import HOST
from .test_gateway import KEY
from .test_gateway import _route
from .test_gateway import configuration
from .test_gateway import events
from .test_gateway import site

ALL_EVENTS = events(1, 2, 3, 4, 5)
SMALL_INTERVAL_SECONDS = 0.05
# What a gateway may take in addition while it reads one endless answer after the other, with the
# bytes that the stand-in itself holds in this process.
MAX_GROWTH_BYTES = 24 << 20
MAX_REQUESTS = 40
CALLS = 6
CLOSE_SECONDS = 1.0
HELD_BACK_SECONDS = 0.5
CALL_SECONDS = 10.0
LARGE_BODY = bytes(range(256)) * 40_960
HEADERS = {
    "Host": HOST,
    "X-Thorncleat-Attempt-Id": "r1",
    "X-Thorncleat-Deadline-Ms": "3000",
    "Authorization": f"Token {KEY}",
}


@pytest.fixture
def growth():
    """Return the peak of the memory since the start of the test, in bytes."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    yield lambda: tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()


async def _add_endless(cluster, form, *, streams=False):
    """Add a worker of the plain service that answers without end; return it.

    :param streams: whether the others of the service answer with streams.
    """
    changed = configuration(2)
    changed["routes"].append(
        _route("brief", "/brief/", "streaming", "desk", resumable=True, max_attempts=2)
    )
    for sound in cluster.workers:
        sound.streams = streams
    worker = EndlessWorker(cluster.store, "endless", "desk")
    worker.form = form
    await worker.start()
    cluster.workers.append(worker)
    cluster.store.write("op/config", changed)
    await cluster.until(lambda: cluster.gateway.view.configuration.version == 2)
    await cluster.until(lambda: "endless" in cluster.gateway.view.roster.endpoints)
    return worker


async def _discard(cluster, path):
    """Return the status of an answer, its size, and whether it was whole."""
    size = 0
    async with (
        aiohttp.ClientSession() as client,
        client.post(f"http://{cluster.frontend}{path}", headers=HEADERS) as response,
    ):
        try:
            while data := await response.content.readany():
                size += len(data)
        except aiohttp.ClientPayloadError:
            return response.status, size, False
        return response.status, size, True


async def _meet(cluster, worker, path, **headers):
    """Send requests until the endless worker has got one; return the results of all."""
    results = []
    for number in range(MAX_REQUESTS):
        results.append(await cluster.call("POST", path, number=f"r{number}", **headers))
        if worker.answers:
            return results
    pytest.fail("the endless worker got no requests")


@pytest.mark.parametrize("form", sorted(endless.FORMS))
async def test_repeatable_request_is_served_elsewhere(tmp_path, growth, form):
    async with site(tmp_path, domains=0) as cluster:
        worker = await _add_endless(cluster, form)
        results = await _meet(cluster, worker, "/ack/x")
        assert {status for status, _, _ in results} == {200}
        assert {headers["X-Thorncleat-Response-Stamp"] for _, headers, _ in results} <= {
            "stamp-desk0",
            "stamp-desk1",
        }
        await asyncio.wait_for(cluster.until(lambda: not worker.open_answers), CLOSE_SECONDS)
        assert growth() < MAX_GROWTH_BYTES


@pytest.mark.parametrize("form", sorted(endless.FORMS))
async def test_stream_is_served_by_another_plain_endpoint(tmp_path, growth, form):
    async with site(tmp_path, domains=0) as cluster:
        worker = await _add_endless(cluster, form, streams=True)
        worker.interval = SMALL_INTERVAL_SECONDS if "small pieces" in form else 0.0
        results = await _meet(cluster, worker, "/brief/x")
        assert {(status, body) for status, _, body in results} == {(200, ALL_EVENTS)}
        await asyncio.wait_for(cluster.until(lambda: not worker.open_answers), CLOSE_SECONDS)
        assert growth() < MAX_GROWTH_BYTES


@pytest.mark.parametrize("form", sorted(endless.FORMS))
async def test_request_that_may_run_once_ends_within_its_time(tmp_path, growth, form):
    """One endpoint out of order took all memory of each daemon in turn."""
    async with site(tmp_path, domains=0) as cluster:
        worker = await _add_endless(cluster, form)
        for _ in range(MAX_REQUESTS):
            status, _, is_whole = await asyncio.wait_for(
                _discard(cluster, "/status/x"), CALL_SECONDS
            )
            assert status in (200, 502)
            if worker.answers:
                break
        assert worker.answers
        assert not is_whole or status == 502
        await asyncio.wait_for(cluster.until(lambda: not worker.open_answers), CLOSE_SECONDS)
        assert growth() < MAX_GROWTH_BYTES


@pytest.mark.parametrize("form", sorted(endless.FORMS))
async def test_stream_is_served_by_another_group(tmp_path, growth, form):
    """Bytes that are no event counted as life of the group, and nobody left it."""
    async with site(tmp_path, kind=EndlessWorker) as cluster:
        leaders = [worker for worker in cluster.workers if worker.is_serving_leader]
        for leader in leaders:
            leader.interval = SMALL_INTERVAL_SECONDS if "small pieces" in form else 0.0
        leaders[0].form = form
        results = await _meet(cluster, leaders[0], "/chat/x", **{"X-Thorncleat-Model": "large"})
        assert {(status, body) for status, _, body in results} == {(200, ALL_EVENTS)}
        await asyncio.wait_for(cluster.until(lambda: not leaders[0].open_answers), CLOSE_SECONDS)
        assert growth() < MAX_GROWTH_BYTES


async def test_caller_that_does_not_read_holds_the_answer_back(tmp_path, growth):
    async with site(tmp_path, domains=0, desks=0) as cluster:
        worker = await _add_endless(cluster, "body in chunks")
        async with (
            aiohttp.ClientSession() as client,
            client.post(f"http://{cluster.frontend}/status/x", headers=HEADERS) as response,
        ):
            assert response.status == 200
            await asyncio.sleep(HELD_BACK_SECONDS)
            assert worker.sent < MAX_GROWTH_BYTES
        await asyncio.wait_for(cluster.until(lambda: not worker.open_answers), CALL_SECONDS)


async def test_head_may_state_the_length_of_a_body_that_is_not_sent(tmp_path):
    async with site(tmp_path, domains=0, desks=0) as cluster:
        worker = await _add_endless(cluster, "body with a length")
        status, _, body = await cluster.call("HEAD", "/ack/x")
        assert (status, body) == (200, b"")
        assert worker.answers == 1


async def test_service_with_large_answers_needs_no_retries(tmp_path):
    """Each would take a token of the budget, until failed requests have none."""
    async with site(tmp_path, domains=0) as cluster:
        for worker in cluster.workers:
            worker.body, worker.is_chunked = LARGE_BODY, True
        for number in range(CALLS):
            status, _, body = await cluster.call("POST", "/ack/x", number=f"r{number}")
            assert (status, body) == (200, LARGE_BODY)
        assert len(cluster.runs("desk")) <= CALLS + 1


async def test_endpoint_that_speaks_without_end_is_avoided(tmp_path):
    async with site(tmp_path, domains=0) as cluster:
        worker = await _add_endless(cluster, "body in chunks")
        await _meet(cluster, worker, "/ack/x")
        before = worker.answers
        for number in range(CALLS):
            await cluster.call("POST", "/ack/x", number=f"later{number}")
        assert worker.answers == before


@pytest.mark.parametrize("path", ["/ack/x", "/status/x"])
@pytest.mark.parametrize("chunked", [False, True])
async def test_large_sound_answer_is_passed_on_whole(tmp_path, growth, path, chunked):
    """What bounds an endless answer must not cut a large one."""
    async with site(tmp_path, domains=0) as cluster:
        for worker in cluster.workers:
            worker.body, worker.is_chunked = LARGE_BODY, chunked
        status, headers, body = await cluster.call("POST", path)
        assert (status, len(body)) == (200, len(LARGE_BODY))
        assert body == LARGE_BODY
        assert headers["X-Thorncleat-Response-Stamp"].startswith("stamp-desk")


@pytest.fixture
async def endless_address(request):
    server = await endless.speak_to_all(("127.0.0.1", 0), request.param)
    yield server.sockets[0].getsockname()
    server.close()


EACH_FORM = pytest.mark.parametrize("endless_address", sorted(endless.FORMS), indirect=True)
TIMEOUT_SECONDS = 3.0


@EACH_FORM
async def test_report_and_order(endless_address, growth):
    """All reports of a fleet are asked for each second."""
    worker = Endpoint("i-1", "narrator", "{}:{}".format(*endless_address), "a")
    engines = WorkerEngines()
    try:
        with pytest.raises(EndpointTimeoutError):
            await engines.report(worker, TIMEOUT_SECONDS)
        with pytest.raises(EndpointTimeoutError):
            await engines.order(worker, Leave(GroupId("g", 1)), None, TIMEOUT_SECONDS)
        assert growth() < MAX_GROWTH_BYTES
    finally:
        await engines.close()


@EACH_FORM
async def test_store(endless_address, growth):
    store = KeyValueStore("{}:{}".format(*endless_address))
    try:
        with pytest.raises(StoreUnavailableError):
            await store.snapshot()
        with pytest.raises(StoreOutcomeUnknownError):
            await store.renew(Lease(0, 1))
        assert growth() < 4 * MAX_GROWTH_BYTES
    finally:
        await store.close()


@pytest.mark.parametrize("endless_address", ["body in chunks"], indirect=True)
async def test_changes_that_exceed_an_answer_are_read_anew(endless_address):
    """The same call would exceed it again, so the copy would never be current."""
    store = KeyValueStore("{}:{}".format(*endless_address))
    try:
        with pytest.raises(HistoryCompactedError):
            await store.changes(Position(0, 9), 0.0)
    finally:
        await store.close()


class _NoStore:
    async def changes(self, since, wait):
        raise StoreUnavailableError("the store is not asked")


async def _no_relays():
    return []


@EACH_FORM
async def test_relay(endless_address, growth):
    relay = Daemon("edge-2", *endless_address)
    settings = RelaySettings(wait=0.05, patience=TIMEOUT_SECONDS, oldest=0.4, avoid=0.2)
    feed = RelayFeed(settings, _NoStore(), lambda: [relay], _no_relays, lambda: 0.0)
    try:
        with pytest.raises(RelayError):
            await feed._request_changes(relay, Position(0, 9))
        assert growth() < 4 * MAX_GROWTH_BYTES
    finally:
        await feed.close()
