"""The adapter's calls to the store while open connections stall."""

import asyncio

import pytest

from thorncleat_gateway.ports import Lease
from thorncleat_platform.store import KeyValueStore

OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
CONCURRENT_CALLS = 3
LEASE = Lease(0, 1)


class StallingServer:
    """Answers all calls with an empty document, except on stalled connections."""

    def __init__(self):
        self._connection_count = 0
        self._stalled_up_to = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stall(self):
        """Stop answering on the open connections; new ones work."""
        self._stalled_up_to = self._connection_count

    async def _serve(self, reader, writer):
        self._connection_count += 1
        number = self._connection_count
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number > self._stalled_up_to:
                    writer.write(OK)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
async def stalling():
    server = StallingServer()
    store = KeyValueStore(await server.start())
    yield server, store
    await store.close()
    server.server.close()


async def test_call_succeeds_after_all_open_connections_stalled(stalling):
    """Reusing stalled connections would delay renewals until the lease expires."""
    server, store = stalling
    await asyncio.gather(*(store.renew(LEASE) for _ in range(CONCURRENT_CALLS)))
    server.stall()
    await store.renew(LEASE)
