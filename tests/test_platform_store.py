"""The adapter's calls to the store, where open connections go silent."""

import asyncio

import pytest

from thorncleat_gateway.ports import Lease
from thorncleat_platform.store import KeyValueStore

OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
CALLS_AT_ONCE = 3
LEASE = Lease(0, 1)


class SilencedServer:
    """Answers each call with an empty document, until its open connections are silenced."""

    def __init__(self):
        self._connected = 0
        self._silent_up_to = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def silence(self):
        """Answer nothing more on the connections that are open; new ones work."""
        self._silent_up_to = self._connected

    async def _serve(self, reader, writer):
        self._connected += 1
        number = self._connected
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number > self._silent_up_to:
                    writer.write(OK)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
async def silenced():
    server = SilencedServer()
    store = KeyValueStore(await server.start())
    yield server, store
    await store.close()
    server.server.close()


async def test_call_after_all_connections_went_silent_is_answered(silenced):
    """The lease would else run out while one dead connection after another is tried."""
    server, store = silenced
    await asyncio.gather(*(store.renew(LEASE) for _ in range(CALLS_AT_ONCE)))
    server.silence()
    await store.renew(LEASE)
