"""Load generator of streams or short requests, run as a process of its own.

Prints a JSON line when the measurement starts, and one with its result.

Owns: the connections of its streams.
Relies on: engines on the same machine, whose tokens carry the machine's monotonic time.
"""

import asyncio
import functools
import json
import time

import fire

from .report import quantile

_TOKEN_MARK = b'"content":"'
_STAMP_CHARACTERS = 14
# Requests for fewer tokens are repeated on their connection; longer ones outlast the load.
_SHORT_ANSWER_TOKENS = 100


def _make_request(address: str, key: str, tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": "m",
            "messages": [{"role": "user", "content": "summarise the night"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _Counts:
    def __init__(self) -> None:
        self.tokens = 0
        self.requests = 0
        self.errors = 0
        self.delays: list[float] = []


class _Stream(asyncio.Protocol):
    """Sends requests one after the other and counts their tokens."""

    def __init__(self, counts: _Counts, request: bytes, should_repeat: bool) -> None:
        self._counts = counts
        self._request = request
        self._should_repeat = should_repeat
        self._transport: asyncio.Transport | None = None
        self._previous_data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens and their delays, and repeat the request after an answer's end."""
        now = time.monotonic()
        position = data.find(_TOKEN_MARK)
        while position >= 0:
            stamp = data[
                position + len(_TOKEN_MARK) : position + len(_TOKEN_MARK) + _STAMP_CHARACTERS
            ]
            self._counts.tokens += 1
            if b"." in stamp:
                self._counts.delays.append(now - float(stamp))
            position = data.find(_TOKEN_MARK, position + 1)
        if b"HTTP/1.1 " in data and b"HTTP/1.1 200" not in data:
            self._counts.errors += 1
        tail = self._previous_data[-8:] + data
        if tail.endswith(b"0\r\n\r\n"):
            self._counts.requests += 1
            if self._should_repeat and self._transport:
                self._transport.write(self._request)
        self._previous_data = data


async def _run(
    address: str, streams: int, seconds: float, key: str, tokens: int, warm: float
) -> None:
    counts = _Counts()
    addresses = address.split(",")
    loop = asyncio.get_running_loop()
    should_repeat = tokens < _SHORT_ANSWER_TOKENS
    transports = []
    for number in range(streams):
        target_address = addresses[number % len(addresses)]
        host, _, port = target_address.rpartition(":")
        request = _make_request(target_address, key, tokens)
        connection = await loop.create_connection(
            functools.partial(_Stream, counts, request, should_repeat), host, int(port)
        )
        transports.append(connection[0])
        if number % 10 == 9:
            # Spreads the streams over the engines' token intervals.
            await asyncio.sleep(0.004)
    await asyncio.sleep(warm)
    # The parent process measures the server's processor time between these two lines.
    print(json.dumps({"started": True}), flush=True)
    counts.tokens = counts.requests = 0
    counts.delays.clear()
    await asyncio.sleep(seconds)
    result = {
        "tokens": counts.tokens,
        "requests": counts.requests,
        "errors": counts.errors,
        "p50_ms": quantile(counts.delays, 0.5) * 1e3,
        "p95_ms": quantile(counts.delays, 0.95) * 1e3,
        "p99_ms": quantile(counts.delays, 0.99) * 1e3,
    }
    print(json.dumps(result), flush=True)
    for transport in transports:
        transport.abort()


def load(
    address: str,
    streams: int = 400,
    seconds: float = 6.0,
    key: str = "caller-key",
    tokens: int = 100_000,
    warm: float = 3.5,
) -> None:
    """Generate a load and print its result.

    :param address: server address, or several separated by commas.
    :param streams: number of connections.
    :param seconds: duration of the measurement.
    :param key: the caller's key.
    :param tokens: length of each answer.
    :param warm: seconds of load before the measurement.
    """
    asyncio.run(_run(address, streams, seconds, key, tokens, warm))


if __name__ == "__main__":
    fire.Fire(load)
