"""Daemons in which what the event loop calls fails for a while: receivers, futures, handlers."""

import asyncio
import functools
import inspect

import aiohttp
import pytest

from thorncleat_gateway import events
from thorncleat_gateway.failures import LoopErrors
from thorncleat_gateway.groups.ended import EndedGroups
from thorncleat_gateway.groups.member_examination import MemberExamination
from thorncleat_gateway.groups.witnesses import Witnesses
from thorncleat_gateway.peers import datagrams
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.load_reporter import LoadReporter
from thorncleat_gateway.peers.messages import Probe
from thorncleat_gateway.peers.messages import TunnelQuery
from thorncleat_gateway.peers.probe_answers import ProbeAnswers
from thorncleat_gateway.requests import connection_pool
from thorncleat_gateway.requests.frontend import Frontend
from thorncleat_gateway.store.relay_server import RelayServer
from thorncleat_gateway.tunnels import server as tunnel_server
from thorncleat_gateway.tunnels.offers import TunnelOffers
from thorncleat_platform.headers import READINESS_PATH

from . import test_connection_pool
from .test_failing_tasks import InjectedError
from .test_failing_tasks import check_sound
from .test_gateway import site
from .test_tunnels import Fleet
from .test_tunnels import _answer
from .test_tunnels import _until

FAILURES = 3
# What is called, and the name of its failures in the log.
CALLED = {
    "datagram": (datagrams, "decode", "event loop"),
    "reports of contacts": (FailureDetector, "_on_message", "message"),
    "load reports": (LoadReporter, "_on_message", "message"),
    "ended groups": (EndedGroups, "_on_message", "message"),
    "witnesses": (Witnesses, "_on_message", "message"),
    "answer to a probe": (ProbeAnswers, "_probe_endpoint", "ProbeAnswers"),
    "answer with a tunnel": (TunnelOffers, "_answer", "TunnelOffers"),
    "job of a term": (MemberExamination, "examine", "orders"),
    "caller": (Frontend, "_serve", "request"),
    "readiness": (Frontend, "_not_ready_reason", "listener"),
    "relay": (RelayServer, "handle", "listener"),
}


class Fault:
    """Lets a function fail while it is active.

    :ivar count: how often it has failed.
    """

    def __init__(self) -> None:
        self.is_active = False
        self.count = 0

    def _check(self) -> None:
        if self.is_active:
            self.count += 1
            raise InjectedError("call")

    def install(self, monkeypatch, owner, name) -> None:
        original = getattr(owner, name)

        async def run(*args, **named):
            self._check()
            return await original(*args, **named)

        def call(*args, **named):
            self._check()
            return original(*args, **named)

        found = run if inspect.iscoroutinefunction(original) else call
        monkeypatch.setattr(owner, name, functools.wraps(original)(found))


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        type(events.TASK_FAILED),
        "log",
        lambda event, **fields: lines.append(fields) if event is events.TASK_FAILED else None,
    )
    return lines


async def _provoke(cluster) -> None:
    """Let a daemon get what it gets from others now and then."""
    first, second = cluster.gateways
    first._peers.send(second._settings.id, Probe("desk0"))
    first._peers.send(second._settings.id, TunnelQuery("desk"))
    for gateway in cluster.gateways:
        planner = gateway._control.controller._planner
        if planner is not None:
            for group in list(gateway.view.roster.groups):
                planner.inspector.examine(group)
    settings = second._settings
    async with aiohttp.ClientSession() as client:
        for (host, port), path in ((settings.readiness, READINESS_PATH), (settings.peers, "/x")):
            async with client.get(f"http://{host}:{port}{path}") as response:
                await response.read()
    await cluster.call("POST", "/status/x")


@pytest.mark.parametrize("called", CALLED)
async def test_daemons_do_their_work_after_failures_of(tmp_path, monkeypatch, logged, called):
    """Guards against one exception that ends all that hangs on the same loop, socket or list."""
    owner, name, task = CALLED[called]
    fault = Fault()
    fault.install(monkeypatch, owner, name)
    asyncio.get_running_loop().set_exception_handler(LoopErrors().handle)
    async with site(tmp_path, daemons=2) as cluster:
        fault.is_active = True
        async with asyncio.timeout(5.0):
            while fault.count < FAILURES:
                await _provoke(cluster)
                await asyncio.sleep(0.05)
        fault.is_active = False
        await check_sound(cluster)
    assert {line["task"] for line in logged} == {task}


async def test_sweep_that_fails_is_followed_by_others(monkeypatch):
    """Guards against idle connections that nothing closes any more."""
    monkeypatch.setattr(connection_pool, "SWEEP_INTERVAL_SECONDS", 0.01)
    async with test_connection_pool.site() as it:
        await it.send("a")
        results = [InjectedError("sweep"), InjectedError("sweep")]

        def can_keep(_endpoint):
            if results:
                raise results.pop()
            return False

        it.pool._can_keep = can_keep
        async with asyncio.timeout(1.0):
            await it.until(lambda: not it.pool.idle)


async def test_opening_that_cannot_be_handled_ends_its_tunnel_alone(monkeypatch):
    async with Fleet(_answer) as fleet:
        other = await fleet.open()
        with monkeypatch.context() as patch:
            fault = Fault()
            fault.is_active = True
            patch.setattr(tunnel_server, "decode_opening", lambda _: fault._check())
            reader, writer = await asyncio.open_connection(*fleet.address)
            writer.write(b"x")
            await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        await _until(lambda: fleet.server.running == 1)
        other.transport.write(b"ping")
        await _until(lambda: other.received == b"pong")
