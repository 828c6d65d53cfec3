"""Bounds what is read of an HTTP answer from another process.

A process that is out of order may send bytes without end. Whoever reads them all runs out of
memory, so each reader names the most bytes that a sound answer has.

Owns: nothing.
Relies on: aiohttp, which holds few bytes of a body that isn't read, and bounds a head by itself.
"""

import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

# Heads with a status of 100 to 199 that may come before an answer.
MAX_INTERIM_HEADS = 16
SWITCHING_PROTOCOLS = 101  # HTTP status


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """An answer is larger than its reader accepts.

    :param limit: bytes.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"an answer of more than {limit} bytes")


class TooManyHeadsError(aiohttp.ClientPayloadError):
    """Interim heads come again and again in place of an answer."""

    def __init__(self) -> None:
        super().__init__(f"more than {MAX_INTERIM_HEADS} interim heads")


async def read_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the complete body of an answer.

    The connection of an answer that is too large is closed with the response.

    :param limit: bytes that the body may have.
    :raises AnswerTooLargeError: as soon as more is stated or received.
    """
    if (response.content_length or 0) > limit:
        raise AnswerTooLargeError(limit)
    chunks: list[bytes] = []
    size = 0
    while chunk := await response.content.readany():
        size += len(chunk)
        if size > limit:
            raise AnswerTooLargeError(limit)
        chunks.append(chunk)
    return b"".join(chunks)


class BoundedConnection(ResponseHandler):
    """A connection of the client library that accepts a few interim heads before an answer."""

    _interim_heads = 0

    def set_response_params(self, **parameters: t.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        self._interim_heads = 0
        super().set_response_params(**parameters)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take a head; close the connection if too many interim ones came."""
        if self._interim_heads > MAX_INTERIM_HEADS:
            return
        message, _ = data
        if 100 <= message.code < 200 and message.code != SWITCHING_PROTOCOLS:
            self._interim_heads += 1
        if self._interim_heads <= MAX_INTERIM_HEADS:
            super().feed_data(data, size)
            return
        self.set_exception(TooManyHeadsError())
        if self.transport is not None:
            self.transport.abort()
