"""The caller's side of an answer: the head, the bytes, the end, or a broken connection.

Owns: one answer, as far as it was sent.
Relies on: aiohttp's server.
"""

import typing as t

from aiohttp import web

from ..ports import Headers


class CallerResponse:
    """An answer on its way to a caller.

    :param closing: returns whether the connection should not be used again.
    """

    def __init__(self, request: web.BaseRequest, closing: t.Callable[[], bool]) -> None:
        self._request = request
        self._closing = closing
        self._response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the caller has got the head."""
        return self._response is not None

    @property
    def sent(self) -> web.StreamResponse:
        """The answer as far as it was sent; it must have begun."""
        assert self._response is not None
        return self._response

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""
        response = web.StreamResponse(status=status)
        for name, value in headers:
            response.headers.add(name, value)
        if self._closing():
            response.force_close()
        self._response = response
        if "Content-Length" not in response.headers and self._request.version >= (1, 1):
            response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        await self.sent.write(data)

    async def end(self) -> None:
        """End the answer as whole."""
        await self.sent.write_eof()

    def cut(self) -> None:
        """Break the connection, so that the answer can't be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()
