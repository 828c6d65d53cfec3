"""Attempts at an endpoint, as the endpoint sees them."""

import asyncio
import contextlib
import socket

import pytest

from thorncleat_gateway.requests import endpoint_client

# More than the buffers of both sockets hold, so that a part is unsent when the attempt ends.
BODY = b"x" * 8_000_000


@pytest.fixture
def endpoint():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(5.0)
        yield listening


async def test_abandoned_attempt_is_not_delivered_later(endpoint):
    """Guards against an abandoned request that reaches its endpoint once the link works again."""
    host, port = endpoint.getsockname()
    async with endpoint_client.create_session() as session:
        attempt = asyncio.create_task(session.post(f"http://{host}:{port}/", data=BODY))
        accepted, _ = await asyncio.to_thread(endpoint.accept)
        with accepted:
            accepted.settimeout(5.0)
            await asyncio.to_thread(accepted.recv, 1)
            attempt.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await attempt
            rest = asyncio.to_thread(_read_to_the_end, accepted)
            with pytest.raises(ConnectionResetError):
                await rest


async def test_connection_of_a_complete_answer_is_closed_cleanly(endpoint):
    host, port = endpoint.getsockname()
    async with endpoint_client.create_session() as session:
        attempt = asyncio.create_task(session.post(f"http://{host}:{port}/", data=b"x"))
        accepted, _ = await asyncio.to_thread(endpoint.accept)
        with accepted:
            accepted.settimeout(5.0)
            await asyncio.to_thread(accepted.recv, 65_536)
            accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            response = await attempt
            assert await response.read() == b"ok"
            await asyncio.to_thread(_read_to_the_end, accepted)


def _read_to_the_end(connection):
    while connection.recv(65_536):
        pass
