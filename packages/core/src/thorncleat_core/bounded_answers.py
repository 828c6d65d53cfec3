"""Bounds what is read of an HTTP answer from another process.

A process that is out of order may send bytes without end. Whoever reads them all runs out of
memory, so each reader names the most bytes that a sound answer has.

Owns: nothing.
Relies on: aiohttp, which holds few bytes of a body that isn't read; heads are checked and bounded
by :mod:`.answer_connection`.
"""

import aiohttp
from aiohttp.http import HttpProcessingError

from .answer_heads import BrokenAnswerError


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """An answer is larger than its reader accepts.

    :param limit: bytes.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"an answer of more than {limit} bytes")


async def read_some(response: aiohttp.ClientResponse) -> bytes:
    """Return the next bytes of a body as they arrive; none at its end.

    :raises BrokenAnswerError: if they are no body in HTTP.
    :raises aiohttp.ClientError: if the connection broke before the end.
    """
    try:
        return await response.content.readany()
    except HttpProcessingError as error:
        # The library's parser in Python fails a body with an error that is no ``ClientError``.
        raise BrokenAnswerError.from_parser(error) from error


async def read_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the complete body of an answer.

    The connection of an answer that is too large is closed with the response.

    :param limit: bytes that the body may have.
    :raises AnswerTooLargeError: as soon as more is stated or received.
    :raises aiohttp.ClientError: as :func:`read_some`.
    """
    if (response.content_length or 0) > limit:
        raise AnswerTooLargeError(limit)
    chunks: list[bytes] = []
    size = 0
    while chunk := await read_some(response):
        size += len(chunk)
        if size > limit:
            raise AnswerTooLargeError(limit)
        chunks.append(chunk)
    return b"".join(chunks)
