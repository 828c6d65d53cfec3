"""Streaming routes whose service has no engine, with real sockets."""

import asyncio

import aiohttp
import pytest

from thorncleat_standins import platform_worker

from .test_gateway import HOST
from .test_gateway import KEY
from .test_gateway import _route
from .test_gateway import configuration
from .test_gateway import events
from .test_gateway import site

ALL_EVENTS = events(1, 2, 3, 4, 5)
# Events that a caller gets at once from an endpoint that stalls after them.
EVENTS_BEFORE_STALL = 3
READ_TIMEOUT_SECONDS = 2.0
# A route whose targets are longer than the silences of its endpoints.
SILENCE_SECONDS = 0.7
SLOW = {
    "resumable": True,
    "max_attempts": 2,
    "latency_target_ms": 1500,
    "gap_target_ms": 1000,
}
HEADERS = {
    "Host": HOST,
    "X-Thorncleat-Attempt-Id": "r1",
    "X-Thorncleat-Deadline-Ms": "3000",
    "Authorization": f"Token {KEY}",
}


async def _serve_streams(cluster, **behaviour):
    """Have the plain service stream, on a route that may be resumed and on one that may not."""
    changed = configuration(2)
    changed["routes"] += [
        _route("brief", "/brief/", "streaming", "desk", resumable=True, max_attempts=2),
        _route("essay", "/essay/", "streaming", "desk", **SLOW),
        _route("news", "/news/", "streaming", "desk", max_attempts=2),
    ]
    for worker in cluster.workers:
        worker.streams = True
        for name, value in behaviour.items():
            setattr(worker, name, value)
    cluster.store.write("op/config", changed)
    await cluster.until(lambda: cluster.gateway.view.configuration.version == 2)


async def _read_size(cluster, path, size):
    """Return the first bytes of an answer, and leave."""
    async with (
        aiohttp.ClientSession() as client,
        client.post(f"http://{cluster.frontend}{path}", headers=HEADERS) as response,
    ):
        return await response.content.readexactly(size)


async def test_stream_that_its_caller_resumes_goes_on_after_the_last_event(tmp_path):
    """The stream began anew, since the endpoint didn't get the id of the last event."""
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster)
        status, _, body = await cluster.call("POST", "/brief/x", **{"Last-Event-Id": "3"})
        (run,) = cluster.runs("desk")
        assert run.headers["Last-Event-Id"] == "3"
        assert (status, body) == (200, events(4, 5))


async def test_header_of_the_last_event_reaches_the_endpoint_of_any_route(tmp_path):
    async with site(tmp_path) as cluster:
        await cluster.call("POST", "/status/x", **{"Last-Event-Id": "3"})
        (run,) = cluster.runs("desk")
        assert run.headers.getall("Last-Event-Id") == ["3"]


async def test_events_are_passed_on_as_they_come(tmp_path):
    """They were held back until the answer was whole."""
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, stall_after=EVENTS_BEFORE_STALL)
        expected = events(*range(1, EVENTS_BEFORE_STALL + 1))
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            assert await _read_size(cluster, "/news/x", len(expected)) == expected


async def test_endpoint_may_be_silent_for_as_long_as_its_route_allows(tmp_path, monkeypatch):
    monkeypatch.setattr(platform_worker, "STALL_SECONDS", SILENCE_SECONDS)
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, stall_after=0, events=2)
        status, _, body = await cluster.call("POST", "/essay/x")
        assert (status, body) == (200, events(1, 2))
        assert len(cluster.runs("desk")) == 1


@pytest.mark.parametrize("fault", ["cut_after", "stall_after"])
async def test_stream_goes_on_at_another_endpoint(tmp_path, fault):
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, **{fault: EVENTS_BEFORE_STALL})
        status, _, body = await cluster.call("POST", "/brief/x")
        first, second = cluster.runs("desk")
        assert (status, body) == (200, ALL_EVENTS)
        assert first.worker != second.worker
        assert second.headers["Last-Event-Id"] == str(EVENTS_BEFORE_STALL)


async def test_stream_that_may_not_be_resumed_runs_once(tmp_path):
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, cut_after=EVENTS_BEFORE_STALL)
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.call("POST", "/news/x")
        assert len(cluster.runs("desk")) == 1


async def test_answer_that_ends_within_an_event_is_no_whole_answer(tmp_path):
    """Without a length it was taken for whole, and the caller could not know of the crash."""
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, end_within_event=EVENTS_BEFORE_STALL)
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.call("POST", "/news/x")
        assert len(cluster.runs("desk")) == 1


async def test_answer_that_ends_within_an_event_is_completed_by_another_endpoint(tmp_path):
    async with site(tmp_path) as cluster:
        await _serve_streams(cluster, end_within_event=EVENTS_BEFORE_STALL)
        status, _, body = await cluster.call("POST", "/brief/x")
        first, second = cluster.runs("desk")
        assert (status, body) == (200, ALL_EVENTS)
        assert first.worker != second.worker
        assert second.headers["Last-Event-Id"] == str(EVENTS_BEFORE_STALL - 1)
