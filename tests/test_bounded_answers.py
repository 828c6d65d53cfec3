"""How much is read of another process's answer, with real sockets."""

import asyncio

import aiohttp
import pytest

from thorncleat_core.answer_connection import MAX_INTERIM_HEADS
from thorncleat_core.answer_connection import TooManyHeadsError
from thorncleat_core.bounded_answers import AnswerTooLargeError
from thorncleat_core.bounded_answers import read_body
from thorncleat_gateway.http_session import LazySession

LIMIT = 100
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def _answer(size: int, *, chunked: bool = False) -> bytes:
    body = b"x" * size
    if chunked:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (size, body) if size else b""
        return head + chunk + b"0\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body


async def _read(answer: bytes) -> bytes:
    """Return the body of an answer as it is read with a limit."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    session = LazySession(keep_connections=False)
    try:
        async with session.request("GET", f"http://{host}:{port}/") as response:
            return await read_body(response, LIMIT)
    finally:
        await session.close()
        server.close()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [0, LIMIT - 1, LIMIT])
async def test_answer_up_to_the_limit_is_whole(size, chunked):
    assert await _read(_answer(size, chunked=chunked)) == b"x" * size


@pytest.mark.parametrize("chunked", [False, True])
async def test_larger_answer_is_an_error(chunked):
    with pytest.raises(AnswerTooLargeError, match=f"more than {LIMIT} bytes"):
        await _read(_answer(LIMIT + 1, chunked=chunked))


async def test_length_that_is_only_stated_is_an_error():
    """Nothing of it has to be waited for."""
    with pytest.raises(AnswerTooLargeError):
        await _read(b"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n")


async def test_a_few_interim_heads_are_read_over():
    assert await _read(INTERIM * MAX_INTERIM_HEADS + _answer(1)) == b"x"


async def test_interim_heads_without_end_are_an_error():
    with pytest.raises(TooManyHeadsError):
        await _read(INTERIM * (MAX_INTERIM_HEADS + 1) + _answer(1))


def test_errors_are_those_of_the_client_library():
    """Callers of the library catch them with its own."""
    assert issubclass(AnswerTooLargeError, aiohttp.ClientError)
    assert issubclass(TooManyHeadsError, aiohttp.ClientError)
