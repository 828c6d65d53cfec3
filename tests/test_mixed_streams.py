"""Streams on connections that have carried other requests, on which other answers may come."""

import asyncio

import pytest

from thorncleat_gateway.exceptions import AttemptError
from thorncleat_gateway.requests import streams
from thorncleat_gateway.requests.event_stream import EventSplitter

from .crash_world import Caller
from .keeping_endpoint import EVENTS
from .keeping_endpoint import TIMEOUT_SECONDS
from .test_connection_pool import site


class _Times:
    """What the relay of a stream records, which is nothing here."""

    def __getattr__(self, _name):
        return lambda *_arguments, **_options: None


async def _relay(it, action):
    """Return the caller of a stream on a used connection, and the request."""
    it.server.actions = ["answer", action]
    await it.send("a")
    request, caller = it.request("b"), Caller()
    forwarder = object.__new__(streams.StreamForwarder)
    forwarder._clock, forwarder._detector, forwarder._selector = lambda: 1.0, _Times(), _Times()
    attempt = streams.StreamAttempt(it.endpoint, 0.0, lambda: False, lambda: None)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        meta = request.forward_meta(it.endpoint, 0.0, None)
        async with it.client.open(it.endpoint, request, meta) as exchange:
            with it.answers.hold() as held:
                splitter = EventSplitter()
                try:
                    await forwarder._relay(request, exchange, attempt, splitter, caller, held)
                except AttemptError as failure:
                    return caller, request, failure.cause
    return caller, request, ""


async def test_stream_with_another_answer_within_it_is_left():
    """Guards against events of another request, which can't be taken back."""
    async with site() as it:
        caller, request, cause = await _relay(it, "interrupted_events")
        assert it.pool.reused == 1
        assert cause == "answer of another request"
        assert b"HTTP/1." not in caller.body
        assert EVENTS.startswith(caller.body)
        assert request.needs_new_connection
        # The next attempt has a connection of its own.
        meta = request.forward_meta(it.endpoint, 0.0, None)
        async with it.client.open(it.endpoint, request, meta):
            assert it.server.seen[-1][0] == 1


async def test_sound_stream_on_a_used_connection():
    async with site() as it:
        caller, _, cause = await _relay(it, "events")
        assert (it.pool.reused, cause, caller.body) == (1, "", EVENTS)


@pytest.mark.parametrize("text", [b"HTTP/1.1 200 OK", b"HTTP/2"])
async def test_text_of_a_sound_stream_on_a_new_connection(text):
    """What a model writes about HTTP is no other answer."""
    async with site() as it:
        it.server.actions = ["answer"]
        request = it.request("b")
        meta = request.forward_meta(it.endpoint, 0.0, None)
        async with it.client.open(it.endpoint, request, meta) as exchange:
            assert not exchange.may_hold_another_answer(b"id: 1\ndata: " + text + b"\n\n")
