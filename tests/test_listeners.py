"""The listeners: what becomes of a request whose caller leaves."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from aiohttp import web

from thorncleat_gateway.listeners import Listeners

RESET = struct.pack("ii", 1, 0)


def _close(writer):
    writer.close()


def _reset(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


@pytest.mark.parametrize("leave", [_close, _reset])
@pytest.mark.parametrize("body", [b"", b"hello"], ids=["no body", "body"])
async def test_caller_who_leaves_cancels_the_handler_of_its_request(leave, body):
    began, cancelled = asyncio.Event(), asyncio.Event()

    async def handler(request):
        while await request.content.readany():
            pass
        began.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    listening = socket.create_server(("127.0.0.1", 0))
    address = listening.getsockname()
    listeners = Listeners()
    await listeners.open(handler, address, listening)
    _, writer = await asyncio.open_connection(*address)
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    await asyncio.wait_for(began.wait(), 5.0)
    leave(writer)
    await asyncio.wait_for(cancelled.wait(), 5.0)
    await listeners.close()


async def test_caller_who_leaves_before_its_request_is_read_has_none_running():
    """The socket listens before the program's imports, so requests wait there unread."""
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

    listening = socket.create_server(("127.0.0.1", 0))
    address = listening.getsockname()
    for leave in (_close, _reset):
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /leaves HTTP/1.1\r\nHost: h\r\n\r\n")
        await writer.drain()
        leave(writer)
    listeners = Listeners()
    await listeners.open(handler, address, listening)
    async with aiohttp.ClientSession() as session:
        for _ in range(2):
            async with session.get(f"http://{address[0]}:{address[1]}/stays") as response:
                await response.read()
    assert running == []
    await listeners.close()
