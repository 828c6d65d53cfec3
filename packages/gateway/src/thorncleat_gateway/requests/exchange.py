"""One endpoint's answer, as it is read.

Owns: nothing; the connection belongs to :mod:`.endpoint_client`.
Relies on: aiohttp, which holds few bytes of a body that isn't read, and :mod:`.kept_connections` to
tell whether another answer came on a used connection.
"""

import dataclasses

import aiohttp

from thorncleat_core.answer_connection import AnswerConnection
from thorncleat_core.answer_heads import BrokenAnswerError
from thorncleat_core.bounded_answers import read_some

from ..exceptions import AttemptError
from ..exceptions import ConnectionBreak
from ..exceptions import Executed
from ..ports import HeaderCodec
from ..ports import Headers
from ..tunnels.connector import AttemptPath
from . import kept_connections
from .answer_budget import HeldBytes
from .connection_pool import ConnectionUse

# Bytes of the body of one answer, which are passed on while they come.
MAX_ANSWER_BYTES = 64 << 20
# Logged causes of failed attempts.
TOO_LARGE = "too large an answer"
MIXED = "answer of another request"
BROKEN = "broken answer"
# Answers with this status or a higher one mean that the endpoint failed.
MIN_FAILURE_STATUS = 500


@dataclasses.dataclass(frozen=True)
class EndpointAnswer:
    """An endpoint's answer.

    :param body: the complete body, or the first part of a large one.
    :param is_whole: whether the body is complete.
    """

    status: int
    headers: Headers
    body: bytes
    is_whole: bool = True

    @property
    def is_failure(self) -> bool:
        """Whether the status means that the endpoint failed."""
        return self.status >= MIN_FAILURE_STATUS


class Exchange:
    """An endpoint's answer whose head has been received.

    :param path: how the attempt was connected.
    :param use: the use of a connection of the pool, or None.
    :ivar size: bytes of the body that were read.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        codec: HeaderCodec,
        path: AttemptPath,
        use: ConnectionUse | None = None,
    ) -> None:
        self._response = response
        self._codec = codec
        self._path = path
        self._use = use
        # The library lets go of the connection at the end of the answer.
        self._connection = _connection_of(response)
        self.size = 0

    @property
    def stated_length(self) -> int | None:
        """The bytes of the body that the head states; None if it doesn't."""
        return self._response.content_length

    @property
    def status(self) -> int:
        """The endpoint's status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """The endpoint's headers that the caller gets."""
        return self._codec.for_caller(self.status, list(self._response.headers.items()))

    def may_hold_another_answer(self, data: bytes) -> bool:
        """Return whether a part of the body may be that of another answer.

        On a used connection an endpoint may send an earlier answer late. Within chunks the client
        library notices it; within a stated length it shows only at the end of the body.
        """
        is_reused = self._use is not None and self._use.is_reused
        is_countable = is_reused and self.stated_length is not None
        return is_countable and kept_connections.BEGIN_OF_ANSWER in data

    async def read(self, held: HeldBytes) -> EndpointAnswer:
        """Return the answer, with as much of its body as may be held.

        :param held: the memory for it.
        :raises AttemptError: as :meth:`read_chunk`.
        """
        chunks: list[bytes] = []
        is_whole = False
        while not is_whole and held.resize(self.size):
            chunk = await self.read_chunk()
            chunks.append(chunk)
            is_whole = not chunk
        return EndpointAnswer(self.status, self.headers, b"".join(chunks), is_whole)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body as they arrive; none at its end.

        :raises AttemptError: if the connection broke before its end, another answer or what is none
            came in it, or there are more bytes than any answer has.
        """
        try:
            chunk = await read_some(self._response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            broken = self._connection.broken if self._connection is not None else None
            raise broken_answer(broken) if broken else _cut_error(error, self._path) from error
        if self._use is not None and self._use.is_mixed:
            raise AttemptError(MIXED, Executed.MAYBE)
        self.size += len(chunk)
        if self.size > MAX_ANSWER_BYTES:
            raise too_large()
        return chunk


def too_large() -> AttemptError:
    """Return the error of an attempt whose answer is larger than it may be."""
    return AttemptError(TOO_LARGE, Executed.MAYBE, is_unsound=True)


def broken_answer(error: BrokenAnswerError) -> AttemptError:
    """Return the error of an attempt whose answer is none in the protocol."""
    return AttemptError(BROKEN, Executed.MAYBE, is_unsound=True, detail=error.reason)


def contradictory_answer(status: int) -> AttemptError:
    """Return the error of an attempt whose answer has a status of success and says "not run"."""
    detail = f"status {status}, not run"
    return AttemptError(BROKEN, Executed.MAYBE, is_unsound=True, detail=detail)


def _connection_of(response: aiohttp.ClientResponse) -> AnswerConnection | None:
    """Return the connection of an answer that isn't complete; None if it is."""
    protocol = response.connection.protocol if response.connection is not None else None
    return protocol if isinstance(protocol, AnswerConnection) else None


def _cut_error(error: Exception, path: AttemptPath) -> AttemptError:
    cause = f"answer cut: {type(error).__name__}"
    # The loss of the daemon that carries an attempt is no sign of the endpoint.
    broken = None if path.is_carrier_lost else ConnectionBreak.AFTER_HEAD
    return AttemptError(cause, Executed.MAYBE, broken=broken)
