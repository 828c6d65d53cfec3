"""One attempt at an endpoint, with what is known of its fate when it fails.

Owns: the connections to endpoints, one for each attempt.
Relies on: aiohttp as its client library, and on the platform's adapter
(:class:`~..ports.HeaderCodec`) for the names of headers.
"""

import asyncio
import contextlib
import dataclasses
import functools
import socket
import struct
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from thorncleat_core.single_send import is_lost
from thorncleat_core.single_send import never_again

from ..exceptions import AttemptError
from ..exceptions import Broken
from ..exceptions import Ran
from ..ports import ForwardMeta
from ..ports import HeaderCodec
from ..ports import Headers
from ..store.roster import Endpoint
from .endpoint_limits import EndpointLimits
from .endpoint_notices import EndpointNotices
from .request import Request

# headers that the client library adds by itself; only the caller's own are sent
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# status from which on an answer needs no signature of the endpoint: it carries no result
UNSIGNED_STATUS = 400
# value of SO_LINGER: on, for no time
DROP_UNSENT = struct.pack("ii", 1, 0)


class _Connection(ResponseHandler):
    """A connection of one attempt, which treats both ends that the client library does not.

    An answer without a length ends with its connection; the library takes a reset for such an
    end, here it fails the answer. And a connection that is closed before its answer is whole goes
    on sending what its buffers hold; here the rest of an attempt that was given up is dropped, so
    that it doesn't reach the endpoint after the caller has left.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was still coming if the connection did not end in order."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; with a reset if the answer is not whole."""
        transport = self.transport
        answered = self._payload is not None and self._payload.is_eof()
        if transport is not None and not answered:
            connected = transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DROP_UNSENT)
            transport.abort()
        super().close()


def session() -> aiohttp.ClientSession:
    """Return a session in which each call has a connection of its own.

    So no answer can be mistaken for another request's, and no kept connection can be closed
    by the endpoint while a request crosses it.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True, happy_eyeballs_delay=None)
    made = functools.partial(_Connection, loop=asyncio.get_running_loop())
    # the library has no public way to choose the class of connections
    connector._factory = t.cast(functools.partial[ResponseHandler], made)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        middlewares=(never_again,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


# status from which on an answer says that the endpoint failed
FAILURE_STATUS = 500


@dataclasses.dataclass(frozen=True)
class EndpointAnswer:
    """An endpoint's whole answer."""

    status: int
    headers: Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether it says that the endpoint failed."""
        return self.status >= FAILURE_STATUS


class Exchange:
    """An endpoint's answer whose head has come."""

    def __init__(self, response: aiohttp.ClientResponse, codec: HeaderCodec) -> None:
        self._response = response
        self._codec = codec

    @property
    def status(self) -> int:
        """The endpoint's status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """The endpoint's headers that the caller gets."""
        return self._codec.for_caller(self.status, list(self._response.headers.items()))

    async def body(self) -> bytes:
        """Return the whole body.

        :raises AttemptError: if it was cut short.
        """
        try:
            return await self._response.read()
        except (aiohttp.ClientError, ConnectionError) as error:
            raise _answer_cut(error) from error

    async def whole(self) -> EndpointAnswer:
        """Return the whole answer.

        :raises AttemptError: if it was cut short.
        """
        return EndpointAnswer(self.status, self.headers, await self.body())

    async def more(self) -> bytes:
        """Return the next bytes of the body as they come; nothing at its end.

        :raises AttemptError: if it was cut short.
        """
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, ConnectionError) as error:
            raise _answer_cut(error) from error


def _answer_cut(error: Exception) -> AttemptError:
    cause = f"answer cut: {type(error).__name__}"
    return AttemptError(cause, Ran.MAYBE, broken=Broken.AFTER_HEAD)


class EndpointClient:
    """Opens exchanges with endpoints that take requests.

    :param connect_timeout: seconds for a connection to come up; by so much later than the check at
        most a request is sent.
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        codec: HeaderCodec,
        notices: EndpointNotices,
        limits: EndpointLimits,
        connect_timeout: float,
    ) -> None:
        self._client = client
        self._codec = codec
        self._notices = notices
        self._limits = limits
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout)

    @contextlib.asynccontextmanager
    async def open(
        self, endpoint: Endpoint, request: Request, meta: ForwardMeta
    ) -> t.AsyncIterator[Exchange]:
        """Send a request and yield the exchange once the answer's head is there.

        :param meta: what the endpoint is told beside the caller's own headers.
        :raises EndpointClosedError: if the endpoint takes none now; nothing was sent.
        :raises AttemptError: if there is no answer to this request.
        """
        self._notices.check(endpoint)
        leave = self._limits.reserve(endpoint)
        has_body = request.body or request.method not in ("GET", "HEAD")
        call = self._client.request(
            request.method,
            URL(f"http://{endpoint.address}{request.path}", encoded=True),
            data=request.body if has_body else None,
            headers=self._codec.for_endpoint(request.headers, meta),
            timeout=self._timeout,
            allow_redirects=False,
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(call)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
                self._limits.cancel(leave)
                cause = f"no connection: {type(error).__name__}"
                raise AttemptError(cause, Ran.NO, sent=False) from error
            except (aiohttp.ClientError, ConnectionError, ValueError) as error:
                broken = Broken.BEFORE_HEAD if is_lost(error) else None
                cause = f"no answer: {type(error).__name__}"
                raise AttemptError(cause, Ran.MAYBE, broken=broken) from error
            stack.callback(response.close)
            self._check(response, endpoint, request)
            yield Exchange(response, self._codec)

    def _check(
        self, response: aiohttp.ClientResponse, endpoint: Endpoint, request: Request
    ) -> None:
        meta = self._codec.read_answer(response.status, response.headers)
        if meta.request_id is not None and meta.request_id != request.meta.id:
            raise AttemptError("answer of another request", Ran.MAYBE)
        self._notices.record_answer(endpoint, meta)
        self._limits.record_answer(endpoint, meta, request.sent_at)
        if meta.not_run:
            cause = f"declined with {response.status}"
            raise AttemptError(cause, Ran.NO, retry_after=meta.retry_after)
        if meta.encoded or (not meta.signed and response.status < UNSIGNED_STATUS):
            raise AttemptError("not the endpoint's own answer", Ran.MAYBE)


async def within(seconds: float, work: t.Awaitable[t.Any]) -> t.Any:
    """Return the result of some work, for which an attempt has some seconds.

    :raises AttemptError: if it takes longer.
    """
    try:
        return await asyncio.wait_for(work, max(0.0, seconds))
    except TimeoutError:
        raise AttemptError(f"no answer in {seconds:.3f} s", Ran.MAYBE) from None
