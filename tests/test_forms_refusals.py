"""The answers that callers get and the requests that endpoints get, through the request path."""

import contextlib

import aiohttp
import pytest
import yarl

from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Limits
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace
from thorncleat_standins.ports import free_port

from . import recording
from . import wire_forms
from .recording import Answer
from .wire_forms import FixedFeed

HOST = "shop.example"
KEY = "key-1"
STAMP = {"X-Thorncleat-Response-Stamp": "stamp", "X-Thorncleat-Attempt-Id": "r1"}
NO_REPEATS = RetryBudgetSettings(0.0, 0.0, 10.0)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
PATHS = {"once": "/note/x?a=%20b", "repeatable": "/ack/x", "stream": "/chat/x"}


def route(name, prefix, kind, service, **more):
    fields = {"timeout": 3.0, "target": 2.0, "gap_target": 1.0, "priority": 1, **more}
    splits = (Split(service, 1.0),)
    return Route(name=name, host=HOST, prefix=prefix, kind=kind, splits=splits, **fields)


def configuration(slots=4, **more):
    engine = Engine(slots, (EngineModel("large", 1),))
    routes = (
        route("chat", "/chat/", RouteKind.STREAMING, "narrator", max_attempts=2, resumable=True),
        route("note", "/note/", RouteKind.ONCE, "desk"),
        route("ack", "/ack/", RouteKind.REPEATABLE, "desk", max_attempts=2, **more),
        route("open", "/open/", RouteKind.ONCE, "desk", public=True),
    )
    services = {"desk": Service("desk"), "narrator": Service("narrator", engine=engine)}
    holders = (Workspace("growers", (KEY,), 1),)
    return ConfigurationChanged(
        ServingConfiguration(7, routes, services, holders, Limits(body_bytes=100))
    )


def desk(address, number=1):
    return EndpointListed(Endpoint(f"desk-{number}", "desk", address, "z1"))


def leader(address, number=1, state=GroupState.OPEN):
    place = Membership(GroupId(number, f"narrator-{number}"), 0, state)
    return EndpointListed(
        Endpoint(f"i-{number}", "narrator", address, "z1", models=("large",), membership=place)
    )


async def call(daemon, path, body=b"body", method="POST", key=KEY, **headers):
    """Return the answer as a dictionary; ``whole`` is False if the connection was cut."""
    host, port = daemon.callers
    sent = {"Host": HOST, "X-Thorncleat-Attempt-Id": "r1", "X-Thorncleat-Model": "large", **headers}
    if key:
        sent["Authorization"] = f"Token {key}"
    url = yarl.URL(f"http://{host}:{port}{path}", encoded=True)
    got, whole = b"", True
    async with (
        aiohttp.ClientSession(auto_decompress=False) as client,
        client.request(method, url, data=body, headers=sent) as response,
    ):
        try:
            async for part in response.content.iter_any():
                got += part
        except aiohttp.ClientPayloadError:
            whole = False
        return {
            "status": response.status,
            "headers": recording.headers_form(response.headers.items()),
            "body": got.decode(),
            "whole": whole,
        }


@contextlib.asynccontextmanager
async def site(changes, **settings):
    """Yield a daemon with some changes of the store."""
    async with wire_forms.daemon(FixedFeed(changes), **settings) as daemon:
        yield daemon


@contextlib.asynccontextmanager
async def endpoints(*answers, more=(), slots=4, **settings):
    """Yield a daemon and a server that is both a plain endpoint and a group's leader."""
    async with recording.recorder() as server:
        server.answers = list(answers)
        served = configuration(slots=slots, **dict(more))
        changes = [served, desk(server.address), leader(server.address)]
        async with site(changes, **settings) as daemon:
            yield daemon, server


class TestAnswered:
    @pytest.mark.parametrize("kind", PATHS)
    async def test_headers_and_body_both_ways(self, kind, snapshot):
        answer = Answer(body=EVENTS, headers={**STAMP, "X-Own": "kept", "Keep-Alive": "x"})
        async with endpoints(answer) as (daemon, server):
            sent = {"X-Thorncleat-Deadline-Ms": "2500", "X-Hop": "x", "Accept": "a/b"}
            found = await call(daemon, PATHS[kind], Connection="X-Hop", **sent)
        assert server.calls == snapshot(name="sent")
        assert found == snapshot(name="answer")

    @pytest.mark.parametrize("kind", PATHS)
    @pytest.mark.parametrize("status", [302, 404, 500, 503])
    async def test_endpoints_own_failure_is_passed_on(self, kind, status, snapshot):
        answer = Answer(status, body=b"why", headers={**STAMP, "Retry-After": "7"})
        async with endpoints(answer, retry=NO_REPEATS) as (daemon, _):
            assert await call(daemon, PATHS[kind]) == snapshot

    async def test_answer_without_a_body(self, snapshot):
        async with endpoints(Answer(204, headers=STAMP)) as (daemon, server):
            found = await call(daemon, PATHS["once"], method="DELETE", body=b"")
        assert (server.calls, found) == snapshot


class TestRefusedBeforeSending:
    async def test_no_configuration(self, snapshot):
        async with site([]) as daemon:
            assert await call(daemon, PATHS["once"]) == snapshot

    @pytest.mark.parametrize("closed", [False, True])
    async def test_stopping(self, closed, snapshot):
        async with site([configuration()]) as daemon:
            daemon.set_stopping(closed)
            assert await call(daemon, PATHS["once"]) == snapshot

    @pytest.mark.parametrize("path", ["/none/x", "/chat", "/"])
    async def test_no_route(self, path, snapshot):
        async with site([configuration()]) as daemon:
            assert await call(daemon, path) == snapshot

    @pytest.mark.parametrize("path", ["/note/x", "/open/x"])
    async def test_configuration_too_old(self, path, snapshot):
        async with site([configuration()], revoke_within=10.0) as daemon:
            daemon.ahead = 9.1
            assert await call(daemon, path) == snapshot

    @pytest.mark.parametrize("key", ["", "another"])
    async def test_unknown_key(self, key, snapshot):
        async with site([configuration()]) as daemon:
            assert await call(daemon, PATHS["once"], key=key) == snapshot

    async def test_body_too_large(self, snapshot):
        async with site([configuration()]) as daemon:
            assert await call(daemon, PATHS["once"], b"x" * 101) == snapshot

    @pytest.mark.parametrize("kind", PATHS)
    async def test_no_endpoint(self, kind, snapshot):
        async with site([configuration()]) as daemon:
            assert await call(daemon, PATHS[kind]) == snapshot

    async def test_group_that_is_full(self, snapshot):
        async with endpoints(slots=0) as (daemon, server):
            assert await call(daemon, PATHS["stream"]) == snapshot
            assert server.calls == []

    async def test_model_that_no_group_serves(self, snapshot):
        async with endpoints() as (daemon, _):
            sent = {"X-Thorncleat-Model": "tiny"}
            assert await call(daemon, PATHS["stream"], **sent) == snapshot


FAILURES = {
    "no answer": Answer(0, cut=True),
    "answer cut": Answer(200, body=b"id: 1\nda", headers=STAMP, cut=True),
    "declined by status": Answer(421, headers=STAMP),
    "declined by header": Answer(503, headers={**STAMP, "X-Thorncleat-Not-Executed": "1"}),
    "of another request": Answer(headers={**STAMP, "X-Thorncleat-Attempt-Id": "r2"}),
    "not signed": Answer(body=EVENTS),
    "encoded": Answer(body=EVENTS, headers={**STAMP, "Content-Encoding": "gzip"}),
    "within an event": Answer(body=b"id: 1\nda", headers=STAMP),
}


class TestRefusedAfterSending:
    @pytest.mark.parametrize("kind", PATHS)
    @pytest.mark.parametrize("failure", FAILURES)
    async def test_failure_that_is_not_repeated(self, failure, kind, snapshot):
        async with endpoints(FAILURES[failure], retry=NO_REPEATS) as (daemon, server):
            assert await call(daemon, PATHS[kind]) == snapshot
            assert len(server.calls) == 1

    @pytest.mark.parametrize("kind", PATHS)
    @pytest.mark.parametrize("failure", ["no answer", "declined by status"])
    async def test_failure_with_nowhere_else_to_go(self, failure, kind, snapshot):
        async with endpoints(FAILURES[failure]) as (daemon, _):
            assert await call(daemon, PATHS[kind]) == snapshot

    @pytest.mark.parametrize("kind", PATHS)
    @pytest.mark.parametrize("repeats", [True, False])
    async def test_endpoint_that_refuses_connections(self, kind, repeats, snapshot):
        nowhere = f"127.0.0.1:{free_port()}"
        settings = {} if repeats else {"retry": NO_REPEATS}
        async with site([configuration(), desk(nowhere), leader(nowhere)], **settings) as daemon:
            assert await call(daemon, PATHS[kind]) == snapshot

    @pytest.mark.parametrize("kind", PATHS)
    async def test_out_of_time(self, kind, snapshot):
        async with endpoints(Answer(hang=1.0)) as (daemon, _):
            sent = {"X-Thorncleat-Deadline-Ms": "250"}
            assert await call(daemon, PATHS[kind], **sent) == snapshot

    async def test_repeatable_request_that_has_waited_long_enough(self, snapshot):
        late = Answer(hang=1.0)
        async with endpoints(late, more={"target": 0.1}, retry=NO_REPEATS) as (daemon, _):
            assert await call(daemon, PATHS["repeatable"]) == snapshot

    async def test_stream_that_is_cut_and_has_no_group_to_go_on_in(self, snapshot):
        cut = Answer(body=EVENTS + b"id: 3\nda", headers=STAMP, cut=True)
        async with endpoints(cut) as (daemon, _):
            sent = {"X-Thorncleat-Deadline-Ms": "800"}
            assert await call(daemon, PATHS["stream"], **sent) == snapshot


class TestSentAgain:
    @pytest.mark.parametrize("kind", ["repeatable", "stream"])
    async def test_what_the_second_endpoint_is_sent(self, kind, snapshot):
        async with recording.recorder() as server:
            cut = Answer(body=b"id: 1\ndata: a\n\nid: 2", headers=STAMP, cut=True)
            server.answers = [cut, Answer(body=EVENTS, headers=STAMP)]
            both = [make(server.address, number) for make in (desk, leader) for number in (1, 2)]
            async with site([configuration(), *both]) as daemon:
                found = await call(daemon, PATHS[kind])
        assert found == snapshot(name="answer")
        first, second = (self._without_endpoint(sent) for sent in server.calls)
        assert second == snapshot(name="second")
        more = [header for header in second["headers"] if header not in first["headers"]]
        assert more == ([["Last-Event-ID", "1"]] if kind == "stream" else [])

    def _without_endpoint(self, sent):
        # The choice between equal endpoints is random.
        name = "X-Thorncleat-Expect-Instance"
        headers = [[key, "<endpoint>" if key == name else value] for key, value in sent["headers"]]
        return {**sent, "headers": headers}


class TestReadiness:
    async def ask(self, daemon, path="/thorncleat/readyz"):
        host, port = daemon.ready
        async with (
            aiohttp.ClientSession() as client,
            client.get(f"http://{host}:{port}{path}") as response,
        ):
            headers = recording.headers_form(response.headers.items())
            return response.status, headers, await response.text()

    async def test_ready(self, snapshot):
        async with site([configuration()], revoke_within=10.0) as daemon:
            assert await self.ask(daemon) == snapshot

    async def test_other_path(self, snapshot):
        async with site([configuration()]) as daemon:
            assert await self.ask(daemon, "/other") == snapshot

    async def test_no_configuration(self, snapshot):
        async with site([]) as daemon:
            assert await self.ask(daemon) == snapshot

    async def test_stopping(self, snapshot):
        async with site([configuration()]) as daemon:
            daemon.set_stopping(closed=False)
            assert await self.ask(daemon) == snapshot

    async def test_too_old(self, snapshot):
        async with site([configuration()], revoke_within=10.0) as daemon:
            daemon.ahead = 9.1
            assert await self.ask(daemon) == snapshot
