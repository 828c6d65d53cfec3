"""The caller's side of an answer: its head, its body, its end, or a broken connection.

Owns: the part of one answer that was sent.
Relies on: aiohttp's server.
"""

import re
import typing as t

from aiohttp import web

from ..ports import Headers

# What no field holds, and the library refuses to write or can't encode.
_UNWRITABLE = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


class CallerStream(t.Protocol):
    """The caller's side of an answer that is passed on, in parts if need be."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got the head."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        ...

    async def end(self) -> None:
        """Complete the answer."""
        ...


class CallerResponse:
    """An answer that is being sent to a caller.

    :param is_closing: returns whether the connection should not be reused.
    """

    def __init__(self, request: web.BaseRequest, is_closing: t.Callable[[], bool]) -> None:
        self._request = request
        self._is_closing = is_closing
        self._response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got the head."""
        return self._response is not None

    @property
    def sent(self) -> web.StreamResponse:
        """The answer; at least its head must have been sent."""
        assert self._response is not None
        return self._response

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and the headers.

        :raises ValueError: if the library can't write them; the caller has got nothing then.
        """
        _check_writable(headers)
        response = web.StreamResponse(status=status)
        for name, value in headers:
            response.headers.add(name, value)
        if self._is_closing():
            response.force_close()
        self._response = response
        if "Content-Length" not in response.headers and self._request.version >= (1, 1):
            response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        await self.sent.write(data)

    async def end(self) -> None:
        """Complete the answer."""
        await self.sent.write_eof()

    def cut(self) -> None:
        """Break the connection, so that the answer can't be taken for complete."""
        if self._request.transport is not None:
            self._request.transport.abort()


def _check_writable(headers: Headers) -> None:
    """Check headers before the library begins to write them, after which nothing else can be sent.

    :raises ValueError: if it can't write one of them.
    """
    for name, value in headers:
        if _UNWRITABLE.search(name) is not None or _UNWRITABLE.search(value) is not None:
            raise ValueError(f"header {name!r} can't be written")
