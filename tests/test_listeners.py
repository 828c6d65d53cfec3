"""Requests whose caller disconnects."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from aiohttp import web

from thorncleat_gateway.callers.bounds import CallerBounds
from thorncleat_gateway.listeners import Listeners
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.store.serving import Limits

LINGER_RESET = struct.pack("ii", 1, 0)


def _bounds(kind):
    """Return the bounds of callers' connections, or None for those of other daemons."""
    if kind == "daemons":
        return None
    settings = GatewaySettings(
        "edge-1", "a", ("", 0), ("", 0), ("", 0), RetryBudgetSettings(0.2, 10, 10)
    )
    return CallerBounds(settings, Limits, asyncio.get_running_loop().time).callers


EACH_KIND = pytest.mark.parametrize("kind", ["callers", "daemons"])


def _close(writer):
    writer.close()


def _reset(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


@EACH_KIND
@pytest.mark.parametrize("disconnect", [_close, _reset])
@pytest.mark.parametrize("body", [b"", b"hello"], ids=["no body", "body"])
async def test_disconnect_cancels_the_handler_of_a_request(disconnect, body, kind):
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def handler(request):
        while await request.content.readany():
            pass
        started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    bound_socket = socket.create_server(("127.0.0.1", 0))
    address = bound_socket.getsockname()
    listeners = Listeners()
    await listeners.open(handler, address, bound_socket, _bounds(kind))
    _, writer = await asyncio.open_connection(*address)
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    await asyncio.wait_for(started.wait(), 5.0)
    disconnect(writer)
    await asyncio.wait_for(cancelled.wait(), 5.0)
    await listeners.close()


@EACH_KIND
async def test_request_of_a_caller_that_disconnected_early_does_not_keep_running(kind):
    """The socket listens before the program serves it, so requests may wait unread."""
    running = []

    async def handler(request):
        name = request.path
        running.append(name)
        try:
            if name == "/stays":
                return web.Response()
            return await asyncio.Future()
        finally:
            running.remove(name)

    bound_socket = socket.create_server(("127.0.0.1", 0))
    address = bound_socket.getsockname()
    for disconnect in (_close, _reset):
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /leaves HTTP/1.1\r\nHost: h\r\n\r\n")
        await writer.drain()
        disconnect(writer)
    listeners = Listeners()
    await listeners.open(handler, address, bound_socket, _bounds(kind))
    async with aiohttp.ClientSession() as session:
        for _ in range(2):
            async with session.get(f"http://{address[0]}:{address[1]}/stays") as response:
                await response.read()
    assert running == []
    await listeners.close()
