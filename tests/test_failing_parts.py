"""Faults in one item of many, or after the work for a caller is done."""

import asyncio
import time

import pytest

from thorncleat_gateway import events
from thorncleat_gateway.exceptions import TunnelError
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.failure_detector import StreamAttempt
from thorncleat_gateway.peers.reach import Reach
from thorncleat_gateway.peers.reach_check import ReachCheck
from thorncleat_gateway.peers.silence import Allowance
from thorncleat_gateway.requests.connection_pool import ConnectionPool
from thorncleat_gateway.requests.frontend import Frontend
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint

from . import test_tunnels
from . import virtual_time
from .recording import Answer
from .test_failure_detector import PeerChannel
from .test_forms_refusals import EVENTS
from .test_forms_refusals import PATHS
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import endpoints
from .test_reach import View

# Seconds within which a stream must leave a silent endpoint, beside those that it is allowed.
LEAVING_SECONDS = 0.2
ALLOWANCE = Allowance(1.0, 1.0)


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        type(events.TASK_FAILED),
        "log",
        lambda event, **fields: lines.append(fields) if event is events.TASK_FAILED else None,
    )
    return lines


def _fail(*_args, **_named):
    raise LookupError("injected")


@pytest.mark.parametrize("others_endpoint", ["w0", "w1"], ids=["same endpoint", "another"])
@pytest.mark.parametrize("part", ["reserve_retry", "abort"])
def test_stream_leaves_a_silent_endpoint_though_the_check_of_another_fails(
    logged, part, others_endpoint
):
    """Guards against streams that nobody watches, since one before them can't be aborted."""

    async def play():
        loop = asyncio.get_running_loop()
        detector = FailureDetector(StreamSettings(), PeerChannel(), loop.time)
        left_at = []
        sound = {"reserve_retry": lambda: True, "abort": lambda: left_at.append(loop.time())}
        began_at = loop.time()
        for endpoint_id, more in (("w0", {part: _fail}), (others_endpoint, {})):
            endpoint = Endpoint(endpoint_id, "desk", "", "a")
            for _ in range(4):
                detector.watch(
                    StreamAttempt(endpoint, began_at, **{**sound, **more}, allowance=ALLOWANCE)
                )
        await detector.start()
        allowed = max(StreamSettings().first_event, ALLOWANCE.first_event)
        await asyncio.sleep(allowed + LEAVING_SECONDS)
        await detector.stop()
        return len(left_at)

    assert virtual_time.run(play()) == 4
    assert {line["task"] for line in logged} == {"abort of an attempt"}


def test_check_of_one_endpoint_that_fails_does_not_end_those_of_others(logged):
    """Guards against a daemon that learns nothing, as long as one odd endpoint is listed."""

    async def play():
        reach = Reach(asyncio.get_running_loop().time)
        odd, sound = (Endpoint(name, "desk", "", "a") for name in ("odd", "sound"))

        async def connect(endpoint):
            await asyncio.sleep(0.0 if endpoint is odd else 0.01)
            return _fail() if endpoint is odd else True

        since = asyncio.get_running_loop().time()
        return await ReachCheck(reach, View(odd, sound), connect).confirms_reach("desk", since)

    assert virtual_time.run(play())
    assert [line["task"] for line in logged] == ["reach check"]


async def test_tunnel_whose_endpoint_cannot_be_connected_to_ends_at_once(logged, monkeypatch):
    """Guards against a daemon that waits for the whole time of a tunnel."""
    async with test_tunnels.Fleet(test_tunnels._answer) as fleet:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(factory, host=None, port=None, **named):
            if (host, port) != fleet.address[:2]:
                _fail()
            return await connect(factory, host, port, **named)

        monkeypatch.setattr(loop, "create_connection", create_connection)
        began_at = time.monotonic()
        with pytest.raises(TunnelError) as caught:
            await fleet.open()
        assert time.monotonic() - began_at < test_tunnels.TIMEOUT_SECONDS / 2
        assert not caught.value.is_endpoints
        await test_tunnels._until(lambda: not fleet.server.running)
    assert [line["task"] for line in logged] == ["tunnel"]


@pytest.mark.parametrize("kind", PATHS)
async def test_answer_is_whole_though_its_connection_cannot_be_kept(logged, monkeypatch, kind):
    """Guards against an answered request that ends in 500, or is cut."""
    monkeypatch.setattr(ConnectionPool, "settle", _fail)
    answers = [Answer(body=EVENTS, headers=STAMP) for _ in range(2)]
    async with endpoints(*answers, overload_control=True) as (daemon, _):
        for _ in range(2):
            found = await call(daemon, PATHS[kind])
            assert (found["status"], found["whole"]) == (200, True)
    assert {line["task"] for line in logged} <= {"kept connection"}
    assert bool(logged) == (kind != "once")


async def test_request_whose_awaited_call_is_cancelled_gets_an_answer(logged, monkeypatch):
    """Guards against a caller who is cut and logged as one who has left."""

    async def forward(*_args):
        raise asyncio.CancelledError

    monkeypatch.setattr(Frontend, "_forward", forward)
    async with endpoints(overload_control=True) as (daemon, _):
        found = await call(daemon, PATHS["once"])
    assert found["status"] == 500
    assert [line["task"] for line in logged] == ["request"]
