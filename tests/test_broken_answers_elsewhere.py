"""Bytes that are no answer in HTTP, at each reader of answers but the plain attempt.

Each table of forms is read in one test by real sockets, which names what is taken for an answer.
"""

import asyncio
import types

import aiohttp
import pytest

from thorncleat_client.api import Api
from thorncleat_client.exceptions import OutcomeUnknownError
from thorncleat_client.exceptions import UnavailableError
from thorncleat_core.answer_heads import BrokenAnswerError
from thorncleat_core.daemon.budget import FleetRates
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.budget import StoreBudget
from thorncleat_daemon import exceptions as daemon_exceptions
from thorncleat_daemon.daemon import _session
from thorncleat_daemon.engines import HttpEngines
from thorncleat_daemon.exceptions import EndpointError
from thorncleat_daemon.exceptions import PlatformError
from thorncleat_daemon.exceptions import RequestError
from thorncleat_daemon.platform import HttpInstanceList
from thorncleat_daemon.ports import Order
from thorncleat_daemon.store import EtcdStore
from thorncleat_daemon.upstream import Upstream
from thorncleat_daemon.upstream import single_session
from thorncleat_daemon.upstream import stream_session
from thorncleat_gateway.exceptions import AttemptError
from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.exceptions import Executed
from thorncleat_gateway.exceptions import RelayError
from thorncleat_gateway.exceptions import StoreOutcomeUnknownError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Position
from thorncleat_gateway.requests.endpoint_client import create_session
from thorncleat_gateway.settings import RelaySettings
from thorncleat_gateway.store import relay_answer
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_platform.engines import WorkerEngines
from thorncleat_platform.store import KeyValueStore
from thorncleat_standins.raw_answers import BODY
from thorncleat_standins.raw_answers import BROKEN_BODIES
from thorncleat_standins.raw_answers import BROKEN_HEADS
from thorncleat_standins.raw_answers import ODD_ANSWERS
from thorncleat_standins.raw_answers import RawAnswer

from .keeping_endpoint import site as keeping_site
from .raw_http import PARSERS
from .raw_http import RawServer
from .raw_http import choose_parser
from .test_cut_heads import TunnelConnector
from .test_cut_heads import _call_upstream
from .test_tunnels import Fleet

TIMEOUT_SECONDS = 2.0
BROKEN = BROKEN_HEADS | BROKEN_BODIES
# Sound answers, if they were answers, that say that a call had no effect.
REFUSALS = {
    "blank before the colon": RawAnswer(
        b"HTTP/1.1 503 Service Unavailable", b"Connection : close\r\nContent-Length: 123\r\n"
    ),
    "control byte": RawAnswer(
        b"HTTP/1.1 429 Too Many Requests", b"X-Field: a\x01b\r\nContent-Length: 123\r\n"
    ),
}
DOCUMENT = b'{"entries": [], "events": [], "has_more": false, "timestamp": 7, "revision": 7}'
REPORT = b'{"models": [], "staged": [], "seq": 3}'


@pytest.fixture(params=PARSERS, autouse=True)
def parser(request, monkeypatch):
    choose_parser(monkeypatch, request.param)


async def _accepted(server, forms, call, *expected) -> list[str]:
    """Return the forms after which a call doesn't end with an expected error."""
    accepted = []
    for form, server.answer in forms.items():
        try:
            async with asyncio.timeout(2 * TIMEOUT_SECONDS):
                await call()
        except expected:
            continue
        except Exception as error:
            accepted.append(f"{form}: {error!r}")
        else:
            accepted.append(form)
    return accepted


# Attempts


async def _fetch(session, url) -> bytes:
    async with session.post(url, data=b"x") as response:
        return await response.read()


async def test_attempts_on_a_kept_connection():
    """An earlier answer on it was sound."""
    async with keeping_site() as it:
        accepted = []
        for form, answer in BROKEN.items():
            it.server.raw_answer = answer
            it.server.actions = ["answer", "raw"]
            await it.send("a")
            try:
                await it.send("b")
            except AttemptError as error:
                if error.ran is Executed.MAYBE and it.pool.idle == 0:
                    continue
            accepted.append(form)
        assert not accepted
        # Connections that carried a broken answer aren't used again.
        assert it.pool.reused == len(BROKEN)


async def test_odd_answers_on_a_kept_connection():
    async with keeping_site() as it:
        refused = {}
        for form, answer in ODD_ANSWERS.items():
            it.server.raw_answer = answer
            it.server.actions = ["answer", "raw"]
            await it.send("a")
            body = await it.send("b")
            if body != BODY:
                refused[form] = body
        assert not refused


async def test_broken_answer_to_a_request_that_was_sent_again():
    """The endpoint had closed the kept connection; it is avoided for what it answered then."""
    async with keeping_site() as it:
        it.server.raw_answer = BROKEN_HEADS["status 000"]
        it.server.actions = ["forget", "raw"]
        await it.send("a")
        with pytest.raises(AttemptError, match="broken answer") as failed:
            await it.send("b")
        assert failed.value.is_unsound
        assert failed.value.detail == "status 000"


async def test_broken_answer_behind_a_whole_one_belongs_to_no_request():
    """It is neither passed on nor read as the answer to the next request."""
    async with keeping_site() as it:
        it.server.raw_answer = RawAnswer(content=BODY + b"HTTP/1.1 000 Nothing\r\n\r\n")
        it.server.actions = ["raw"]
        assert await it.send("a") == BODY
        assert it.pool.idle == 0
        assert await it.send("b") == b"b"


async def test_bytes_behind_a_whole_answer_that_the_parser_refuses():
    """They come with the answer, which fails with them in the parser; it may have run."""
    async with keeping_site() as it:
        it.server.raw_answer = RawAnswer(content=BODY + b"HTTP/1.1 200 OK\r\nA :b\r\n\r\n")
        it.server.actions = ["raw"]
        with pytest.raises(AttemptError, match="broken answer") as failed:
            await it.send("a")
        assert failed.value.ran is Executed.MAYBE
        assert it.pool.idle == 0
        assert await it.send("b") == b"b"


async def test_attempts_by_way_of_another_daemon():
    server = RawServer()
    async with Fleet(server.serve) as fleet:
        connector = TunnelConnector(fleet.address)
        async with create_session(connector) as session:
            call = lambda: _fetch(session, "http://127.0.0.1:1/")  # noqa: E731
            forms = BROKEN_HEADS
            assert not await _accepted(server, forms, call, BrokenAnswerError, aiohttp.ClientError)
            assert not await _accepted(server, BROKEN_BODIES, call, aiohttp.ClientError)
            # The daemon that carried them isn't to blame.
            assert connector.losses == 0


# Calls of the gateway itself


async def test_reports_and_orders():
    """What a broken answer says of its endpoint is kept by nobody."""
    async with RawServer() as server:
        server.body, server.lines = REPORT, b"Server-Limit: 0\r\nServer-Leaving: 1\r\n"
        worker = Endpoint("i-1", "narrator", server.address, "a")
        engines = WorkerEngines()
        heard = []
        engines.on_answer(lambda endpoint, meta: heard.append(meta))
        order = Leave(GroupId("g", 1))
        try:
            for call in (
                lambda: engines.report(worker, TIMEOUT_SECONDS),
                lambda: engines.order(worker, order, None, TIMEOUT_SECONDS),
            ):
                assert not await _accepted(server, BROKEN, call, EndpointTimeoutError)
            assert not heard
            server.answer = RawAnswer()
            assert (await engines.report(worker, TIMEOUT_SECONDS)).order_count == 3
        finally:
            await engines.close()


async def test_reads_of_the_store():
    async with RawServer() as server:
        server.body, server.lines = DOCUMENT, b"Store-Era: 9\r\n"
        store = KeyValueStore(server.address)
        try:
            for call in (
                store.snapshot,
                lambda: store.find("thorncleat/x"),
                lambda: store.changes(Position(0, 1), 0.0),
            ):
                assert not await _accepted(server, BROKEN_HEADS, call, StoreUnavailableError)
            # A new era would have everything be read anew.
            assert store.era.newest == 0
        finally:
            await store.close()


async def test_writes_to_the_store():
    """One that may have taken effect must not count as refused."""
    async with RawServer() as server:
        server.body = DOCUMENT
        store = KeyValueStore(server.address)
        try:
            for call in (
                lambda: store.create("thorncleat/x", b"x", Lease(0, 1)),
                lambda: store.renew(Lease(0, 1)),
            ):
                forms = BROKEN | REFUSALS
                assert not await _accepted(server, forms, call, StoreOutcomeUnknownError)
        finally:
            await store.close()


class _NoStore:
    era = StoreEra()

    async def changes(self, since, wait):
        raise StoreUnavailableError("the store is not asked")


async def _no_relays():
    return []


async def test_answers_of_relays():
    async with RawServer() as server:
        times = types.SimpleNamespace(settled_in=0.0, rewritten_in=0.0)
        server.body = relay_answer.write(0.0, 0, times, 7, b"")
        relay = Daemon("edge-2", server.host, server.port)
        settings = RelaySettings(wait=0.05, patience=TIMEOUT_SECONDS, oldest=0.4, avoid=0.2)
        feed = RelayFeed(settings, _NoStore(), lambda: [relay], _no_relays, lambda: 0.0)
        try:
            for call in (
                lambda: feed._request_changes(relay, Position(0, 9)),
                lambda: feed._request_snapshot(relay),
            ):
                assert not await _accepted(server, BROKEN, call, RelayError)
        finally:
            await feed.close()


@pytest.fixture
async def redirecting():
    """Return a server whose answers name another one, and that one, which gets no call."""
    async with RawServer() as named, RawServer() as server:
        named.body = DOCUMENT
        location = f"Location: http://{named.address}/elsewhere\r\n".encode()
        line = b"HTTP/1.1 307 Temporary Redirect"
        server.answer = RawAnswer(line, location + b"Content-Length: 123\r\n")
        yield server
        assert not named.requests


async def test_redirections_of_reports_and_orders(redirecting):
    """An order that another endpoint carries out ends a group that nobody meant."""
    worker = Endpoint("i-1", "narrator", redirecting.address, "a")
    engines = WorkerEngines()
    try:
        with pytest.raises(EndpointTimeoutError):
            await engines.report(worker, TIMEOUT_SECONDS)
        with pytest.raises(EndpointTimeoutError):
            await engines.order(worker, Leave(GroupId("g", 1)), None, TIMEOUT_SECONDS)
    finally:
        await engines.close()


async def test_redirections_of_the_store(redirecting):
    store = KeyValueStore(redirecting.address)
    try:
        with pytest.raises(StoreUnavailableError):
            await store.snapshot()
        with pytest.raises(StoreUnavailableError):
            await store.create("thorncleat/x", b"x", Lease(0, 1))
    finally:
        await store.close()


async def test_redirections_of_relays(redirecting):
    relay = Daemon("edge-2", redirecting.host, redirecting.port)
    settings = RelaySettings(wait=0.05, patience=TIMEOUT_SECONDS, oldest=0.4, avoid=0.2)
    feed = RelayFeed(settings, _NoStore(), lambda: [relay], _no_relays, lambda: 0.0)
    try:
        with pytest.raises(RelayError):
            await feed._request_changes(relay, Position(0, 9))
    finally:
        await feed.close()


async def test_redirections_of_thorncleatd(redirecting):
    session = _session()
    address = redirecting.address
    engines = HttpEngines(session, TIMEOUT_SECONDS)
    store = EtcdStore(session, [address], StoreBudget(FleetRates()), "d-1")
    try:
        with pytest.raises(EndpointError):
            await engines.probe(address)
        with pytest.raises(EndpointError):
            await engines.order(address, Order(3, "", 0, -1, "", ""))
        with pytest.raises(PlatformError):
            await HttpInstanceList(session, [address]).everything()
        with pytest.raises(daemon_exceptions.StoreOutcomeUnknownError):
            await store.renew(1)
        with pytest.raises(daemon_exceptions.StoreUnavailableError):
            await anext(store.watch("key"))
    finally:
        await session.close()


# thorncleatd, and the operators' command line


@pytest.mark.parametrize("call", ["stream", "repeatable", "once"])
async def test_answers_to_thorncleatd(call):
    upstream = Upstream(_session(), single_session(), stream_session())
    async with RawServer() as server:
        url = f"http://{server.address}/"
        send = lambda: _call_upstream(upstream, url, call)  # noqa: E731
        try:
            assert not await _accepted(server, BROKEN_HEADS, send, RequestError)
            bodies = BROKEN_BODIES
            assert not await _accepted(server, bodies, send, RequestError, aiohttp.ClientError)
        finally:
            for session in upstream.sessions:
                await session.close()


async def test_reports_orders_and_lists_to_thorncleatd():
    session = _session()
    async with RawServer() as server:
        server.body = b'{"instances": []}'
        engines = HttpEngines(session, TIMEOUT_SECONDS)
        order = Order(3, "", 0, -1, "", "")
        instances = HttpInstanceList(session, [server.address])
        try:
            for call, forms, error in (
                (lambda: engines.probe(server.address), BROKEN, EndpointError),
                # The body of the answer to an order says nothing.
                (lambda: engines.order(server.address, order), BROKEN_HEADS, EndpointError),
                (instances.everything, BROKEN, PlatformError),
            ):
                assert not await _accepted(server, forms, call, error)
        finally:
            await session.close()


async def test_answers_of_the_store_to_thorncleatd():
    session = _session()
    async with RawServer() as server:
        server.body = b'{"result": {"TTL": "5"}, "kvs": []}'

        def store():
            # Each with a rate of its own.
            return EtcdStore(session, [server.address], StoreBudget(FleetRates()), "d-1")

        try:
            renew = lambda: store().renew(1)  # noqa: E731
            unknown = daemon_exceptions.StoreOutcomeUnknownError
            assert not await _accepted(server, BROKEN | REFUSALS, renew, unknown)
            read = lambda: store().read("key", Purpose.CONFIG)  # noqa: E731
            unavailable = daemon_exceptions.StoreUnavailableError
            assert not await _accepted(server, BROKEN, read, unavailable)
            watch = lambda: anext(store().watch("key"))  # noqa: E731
            assert not await _accepted(server, BROKEN, watch, unavailable, StopAsyncIteration)
        finally:
            await session.close()


@pytest.mark.parametrize(
    ("path", "error"), [("/plans", UnavailableError), ("/confirm", OutcomeUnknownError)]
)
async def test_answers_to_the_command_line(path, error):
    """A confirmation whose answer is broken may have been carried out."""
    async with RawServer() as server:
        server.body = b"{}"
        api = Api(f"http://{server.address}", "key")
        call = lambda: api._call("POST", path, {})  # noqa: E731
        assert not await _accepted(server, BROKEN, call, error)
