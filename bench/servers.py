"""The baselines of the relay benchmark, each run as a process of its own.

``plain`` is the plainest handler with the HTTP library, ``bare`` copies bytes between two
sockets: the floor for one read and one write a token.

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


class _Bare(asyncio.Protocol):
    """Copies what comes in to its peer."""

    def __init__(self) -> None:
        self.peer: asyncio.Transport | None = None
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        if self.peer is None:
            self._early.append(data)
        else:
            self.peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the peer too."""
        if self.peer is not None:
            self.peer.close()

    def join(self, peer: asyncio.Transport) -> None:
        """Begin to copy to a peer."""
        self.peer = peer
        for data in self._early:
            peer.write(data)


class _BareServed:
    """A bare relay that is being served."""

    def __init__(self, server: asyncio.Server, tasks: set[asyncio.Task[None]]) -> None:
        self._server = server
        self._tasks = tasks
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()


async def _serve_bare(upstreams: list[str]) -> _BareServed:
    loop = asyncio.get_running_loop()
    turns = itertools.cycle(upstreams)
    tasks: set[asyncio.Task[None]] = set()

    class Front(_Bare):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._connect())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _connect(self) -> None:
            host, _, port = next(turns).rpartition(":")
            transport, back = await loop.create_connection(_Bare, host, int(port))
            assert self.transport is not None
            back.join(self.transport)
            self.join(transport)

    return _BareServed(await loop.create_server(Front, "127.0.0.1", 0), tasks)


async def _serve_plain(upstreams: list[str]) -> Served:
    turns = itertools.cycle(upstreams)
    app = web.Application()

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{next(turns)}{request.path}"
        async with request.app["session"].post(url, data=body) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
        return response

    async def session(app: web.Application):  # type: ignore[no-untyped-def]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as made:
            app["session"] = made
            yield

    app.cleanup_ctx.append(session)
    app.router.add_post("/v1/chat/completions", relay)
    return await Served.start(app)


class Commands:
    """Start a baseline before some engines."""

    def plain(self, *upstreams: str) -> None:
        """Start the plainest handler with the HTTP library."""

        async def start() -> list[Served]:
            return [await _serve_plain(list(upstreams))]

        run(start)

    def bare(self, *upstreams: str) -> None:
        """Start the bare copier."""

        async def start() -> list[Served]:
            return [await _serve_bare(list(upstreams))]  # type: ignore[list-item]

        run(start)


if __name__ == "__main__":
    fire.Fire(Commands)
