"""Attempts whose time is over while they are being connected: nothing was sent, so none has run."""

import asyncio
import contextlib

import pytest

from thorncleat_gateway import events
from thorncleat_gateway.requests.endpoint_limits import EndpointLimits

from .recording import Answer
from .test_forms_refusals import EVENTS
from .test_forms_refusals import NO_REPEATS
from .test_forms_refusals import PATHS
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import endpoints

# Shorter than a connection may take to come up.
DEADLINE = {"X-Thorncleat-Deadline-Ms": "300"}
HANGING_SECONDS = 1.0


@pytest.fixture
def attempts(monkeypatch):
    """Collect the log lines of failed attempts."""
    lines = []
    monkeypatch.setattr(
        type(events.REQUEST_MOVED),
        "log",
        lambda event, **fields: lines.append(fields) if event is events.REQUEST_MOVED else None,
    )
    return lines


@contextlib.contextmanager
def _no_connection(monkeypatch, server):
    """Let no connection to an endpoint come up, nor fail."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def sock_connect(sock, address):
        if f"{address[0]}:{address[1]}" == server.address:
            await asyncio.Event().wait()
        await connect(sock, address)

    with monkeypatch.context() as patch:
        patch.setattr(loop, "sock_connect", sock_connect)
        yield


@pytest.mark.parametrize("pooled", [False, True], ids=["own connection", "pool"])
@pytest.mark.parametrize("kind", PATHS)
async def test_request_that_was_never_sent_is_refused_as_not_run(
    monkeypatch, attempts, kind, pooled
):
    """Guards against a 502, after which a caller can't send a request again."""
    cancelled = []
    monkeypatch.setattr(EndpointLimits, "cancel", lambda _, reservation: cancelled.append(1))
    async with endpoints(retry=NO_REPEATS, overload_control=pooled) as (daemon, server):
        with _no_connection(monkeypatch, server):
            found = await call(daemon, PATHS[kind], **DEADLINE)
        assert server.calls == []
    assert found["status"] == 503
    assert [line["ran"] for line in attempts] == ["no"]
    assert len(cancelled) == 1


@pytest.mark.parametrize("kind", PATHS)
async def test_request_that_was_sent_may_have_run(attempts, kind):
    answer = Answer(body=EVENTS, headers=STAMP, hang=HANGING_SECONDS)
    async with endpoints(answer, retry=NO_REPEATS) as (daemon, server):
        found = await call(daemon, PATHS[kind], **DEADLINE)
        assert len(server.calls) == 1
    assert found["status"] == 502
    assert [line["ran"] for line in attempts] == ["maybe"]


@pytest.mark.parametrize("kind", ["repeatable", "stream"])
async def test_request_whose_kept_connection_was_closed_may_have_run(monkeypatch, attempts, kind):
    """Its first sending may have run, though the second one was never connected."""
    kept = Answer(body=EVENTS, headers=STAMP)
    closed = Answer(0, cut=True)
    async with endpoints(kept, closed, overload_control=True) as (daemon, server):
        assert (await call(daemon, PATHS[kind]))["status"] == 200
        with _no_connection(monkeypatch, server):
            found = await call(daemon, PATHS[kind], **DEADLINE)
        assert len(server.calls) == 2
    assert found["status"] == 502
    assert attempts[0]["ran"] == "maybe"
