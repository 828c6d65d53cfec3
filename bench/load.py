"""A load of streams or of single requests, run as a process of its own.

It prints one JSON line: tokens, requests, and quantiles of the time from the engine's
stamp in a token to its arrival here.

Owns: the connections of its streams.
Relies on: engines on the same machine, whose clock the stamps are of.
"""

import asyncio
import functools
import json
import time

import fire

from .report import quantile

_MARK = b'"content":"'
# characters of a stamp, as engines write it
_STAMP = 14
# requests of fewer tokens are sent again and again; longer ones outlast the load
_REPEATED_TOKENS = 100


def _request(address: str, key: str, tokens: int) -> bytes:
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
    """Sends requests one after the other and counts what comes back."""

    def __init__(self, counts: _Counts, request: bytes, repeat: bool) -> None:
        self._counts = counts
        self._request = request
        self._repeat = repeat
        self._transport: asyncio.Transport | None = None
        self._left = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens, note their delays, and ask again after an answer's end."""
        now = time.monotonic()
        found = data.find(_MARK)
        while found >= 0:
            stamp = data[found + len(_MARK) : found + len(_MARK) + _STAMP]
            self._counts.tokens += 1
            if b"." in stamp:
                self._counts.delays.append(now - float(stamp))
            found = data.find(_MARK, found + 1)
        if b"HTTP/1.1 " in data and b"HTTP/1.1 200" not in data:
            self._counts.errors += 1
        tail = self._left[-8:] + data
        if tail.endswith(b"0\r\n\r\n"):
            self._counts.requests += 1
            if self._repeat and self._transport:
                self._transport.write(self._request)
        self._left = data


async def _run(
    address: str, streams: int, seconds: float, key: str, tokens: int, warm: float
) -> None:
    counts = _Counts()
    addresses = address.split(",")
    loop = asyncio.get_running_loop()
    repeat = tokens < _REPEATED_TOKENS
    transports = []
    for number in range(streams):
        chosen = addresses[number % len(addresses)]
        host, _, port = chosen.rpartition(":")
        request = _request(chosen, key, tokens)
        made = await loop.create_connection(
            functools.partial(_Stream, counts, request, repeat), host, int(port)
        )
        transports.append(made[0])
        if number % 10 == 9:
            # spread over the engines' steps
            await asyncio.sleep(0.004)
    await asyncio.sleep(warm)
    # the driver measures the server between these two lines
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
    """Put a load on an address, or on several with commas between them."""
    asyncio.run(_run(address, streams, seconds, key, tokens, warm))


if __name__ == "__main__":
    fire.Fire(load)
