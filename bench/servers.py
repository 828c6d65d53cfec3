"""The baselines of the relay benchmark, each run as a process of its own.

``plain`` is a minimal handler with the HTTP library, ``bare`` copies bytes between two sockets.

Owns: the connections that it passes on.
Relies on: nothing of the product.
"""

import asyncio
import itertools

import aiohttp
import fire
from aiohttp import web

from thorncleat_standins.served import Served
from thorncleat_standins.served import run


class _ByteCopier(asyncio.Protocol):
    """Copies received data to its peer, and buffers it until there is one."""

    def __init__(self) -> None:
        self.peer: asyncio.Transport | None = None
        self.transport: asyncio.Transport | None = None
        self._buffered: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Send data to the peer, or buffer it."""
        if self.peer is None:
            self._buffered.append(data)
        else:
            self.peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the peer."""
        if self.peer is not None:
            self.peer.close()

    def connect_to(self, peer: asyncio.Transport) -> None:
        """Start to copy to a peer."""
        self.peer = peer
        for data in self._buffered:
            peer.write(data)


class _BareServer:
    """A listening server that copies bytes to its upstreams."""

    def __init__(self, server: asyncio.Server, tasks: set[asyncio.Task[None]]) -> None:
        self._server = server
        self._tasks = tasks
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()


async def _start_bare(upstreams: list[str]) -> _BareServer:
    loop = asyncio.get_running_loop()
    upstream_cycle = itertools.cycle(upstreams)
    tasks: set[asyncio.Task[None]] = set()

    class AcceptedConnection(_ByteCopier):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._connect())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _connect(self) -> None:
            host, _, port = next(upstream_cycle).rpartition(":")
            transport, copier = await loop.create_connection(_ByteCopier, host, int(port))
            assert self.transport is not None
            copier.connect_to(self.transport)
            self.connect_to(transport)

    return _BareServer(await loop.create_server(AcceptedConnection, "127.0.0.1", 0), tasks)


async def _start_plain(upstreams: list[str]) -> Served:
    upstream_cycle = itertools.cycle(upstreams)
    app = web.Application()

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{next(upstream_cycle)}{request.path}"
        async with request.app["session"].post(url, data=body) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
        return response

    async def session(app: web.Application):  # type: ignore[no-untyped-def]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as client_session:
            app["session"] = client_session
            yield

    app.cleanup_ctx.append(session)
    app.router.add_post("/v1/chat/completions", relay)
    return await Served.start(app)


class Commands:
    """Start a baseline server before some engines."""

    def plain(self, *upstreams: str) -> None:
        """Start the minimal handler with the HTTP library."""

        async def start() -> list[Served]:
            return [await _start_plain(list(upstreams))]

        run(start)

    def bare(self, *upstreams: str) -> None:
        """Start the server that copies bytes."""

        async def start() -> list[Served]:
            return [await _start_bare(list(upstreams))]  # type: ignore[list-item]

        run(start)


if __name__ == "__main__":
    fire.Fire(Commands)
