"""The head of an answer to a caller, with real sockets."""

import asyncio

import pytest
from aiohttp import web

from thorncleat_gateway.requests.caller_response import CallerResponse

from .raw_http import PARSERS
from .raw_http import choose_parser

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@pytest.fixture(params=PARSERS, autouse=True)
def parser(request, monkeypatch):
    choose_parser(monkeypatch, request.param)


@pytest.mark.parametrize(
    "header",
    [("X-Field", "a\x01b"), ("X-Field", "a\nb"), ("X-\rField", "a"), ("X-Field", "a\udce9")],
)
async def test_head_that_can_not_be_written_leaves_the_caller_to_be_answered(header):
    """The caller counted as having got a head, so its connection was closed without a byte."""

    async def handle(request):
        caller = CallerResponse(request, lambda: False)
        with pytest.raises(ValueError, match="header"):
            await caller.begin(200, [("X-Other", "b"), header])
        assert not caller.has_begun
        return web.Response(status=500, text="refused")

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        writer.write(REQUEST)
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
        assert b"Content-Length: 7" in head
        assert body == b"refused"
    finally:
        await runner.cleanup()
