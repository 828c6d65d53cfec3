"""The class of connections on which answers of other processes are read.

Owns: nothing; a connector of the client library owns its connections.
Relies on: :mod:`.answer_heads` to tell answers from other bytes, and on aiohttp, which bounds the
size of a head and holds few bytes of a body that isn't read.
"""

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from .answer_heads import BrokenAnswerError
from .answer_heads import check_head

# Heads with a status of 100 to 199 that may come before an answer.
MAX_INTERIM_HEADS = 16
MIN_FINAL_STATUS = 200


class TooManyHeadsError(aiohttp.ClientPayloadError):
    """Interim heads come again and again in place of an answer."""

    def __init__(self) -> None:
        super().__init__(f"more than {MAX_INTERIM_HEADS} interim heads")


class AnswerConnection(ResponseHandler):
    """A connection of the client library that takes no head that isn't an answer's.

    Nothing of such a head reaches the library's response, so nobody can believe it.

    :ivar broken: what was wrong with a head or a body; None while nothing was. The library has
        other errors for a broken body, which may also have been cut.
    """

    _interim_heads = 0
    _has_failed = False
    broken: BrokenAnswerError | None = None

    def set_response_params(self, **parameters: t.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        self._interim_heads = 0
        super().set_response_params(**parameters)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take a head; close the connection if it isn't an answer's, or one interim head too many.

        The library calls this for each head, before it looks at it.
        """
        if self._has_failed:
            return
        message, _ = data
        try:
            check_head(message)
            self._count_interim_head(message)
        except (BrokenAnswerError, TooManyHeadsError) as error:
            self._has_failed = True
            self.set_exception(error)
            if self.transport is not None:
                self.transport.abort()
            return
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the answer; bytes that the library's parser refuses are a broken answer too."""
        if isinstance(exc, HttpProcessingError):
            exc = BrokenAnswerError.from_parser(exc)
        if isinstance(exc, BrokenAnswerError):
            self._record_broken(exc)
        super().set_exception(exc, *cause)

    def _record_broken(self, error: BrokenAnswerError) -> None:
        """Fail the body too; the library lets its reader wait if the parser in C refuses bytes."""
        self.broken = error
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _count_interim_head(self, message: RawResponseMessage) -> None:
        """Count a head that comes before the answer's.

        :raises TooManyHeadsError: if there were too many.
        """
        if message.code >= MIN_FINAL_STATUS:
            return
        self._interim_heads += 1
        if self._interim_heads > MAX_INTERIM_HEADS:
            raise TooManyHeadsError


def use_connections(
    connector: aiohttp.TCPConnector, factory: t.Callable[[], AnswerConnection] | None = None
) -> aiohttp.TCPConnector:
    """Have a connector read answers on connections of this class; return it.

    It must be called in the event loop that uses the connector.

    :param factory: creates connections of a subclass; None for :class:`AnswerConnection`.
    """
    factory = factory or functools.partial(AnswerConnection, asyncio.get_running_loop())
    # The library has no public way to choose the class of connections.
    connector._factory = t.cast(functools.partial[ResponseHandler], factory)
    return connector
