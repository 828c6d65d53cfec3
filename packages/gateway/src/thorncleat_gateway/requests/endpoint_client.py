"""Sends attempts to endpoints and classifies their failures.

Owns: the connections to endpoints, one for each attempt.
Relies on: aiohttp as its client library, the platform's adapter (:class:`~..ports.HeaderCodec`) for
the names of headers, and :mod:`.connection_pool` for connections that carry several attempts.
"""

import asyncio
import contextlib
import functools
import typing as t

import aiohttp
from yarl import URL

from thorncleat_core.answer_connection import TooManyHeadsError
from thorncleat_core.answer_heads import BrokenAnswerError
from thorncleat_core.single_send import is_connection_lost

from ..exceptions import AttemptError
from ..exceptions import ConnectionBreak
from ..exceptions import EndpointNotAcceptingError
from ..exceptions import Executed
from ..failures import FailureLog
from ..peers.reach import Reach
from ..ports import ForwardMeta
from ..ports import HeaderCodec
from ..store.roster import Endpoint
from ..tunnels.connector import AttemptPath
from ..tunnels.connector import current_path
from . import kept_connections
from .connection_pool import ConnectionPool
from .connection_pool import ConnectionUse
from .endpoint_connection import EndpointConnection
from .endpoint_connection import open_session
from .endpoint_limits import EndpointLimits
from .endpoint_notices import EndpointNotices
from .evacuations import Evacuations
from .exchange import MAX_ANSWER_BYTES
from .exchange import MIXED
from .exchange import Exchange
from .exchange import broken_answer
from .exchange import contradictory_answer
from .exchange import too_large
from .request import Request

# Options of a connector for a session that opens a new connection for each request.
CONNECTOR_OPTIONS: t.Mapping[str, t.Any] = {
    "limit": 0,
    "force_close": True,
    "happy_eyeballs_delay": None,
}
# Errors by which a connection or an answer fails; any other is a fault of this program.
EXPECTED_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
# Answers with this status or a higher one carry no result, so they need no signature.
MIN_UNSIGNED_STATUS = 400
# A lower status says that the request has run.
MIN_DECLINE_STATUS = 400


def create_session(connector: aiohttp.TCPConnector | None = None) -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each request.

    Thus no answer can be taken for another request's, and no idle connection can be closed by the
    endpoint while a request is being sent on it.

    :param connector: opens the connections; None to open them directly.
    """
    connector = connector or aiohttp.TCPConnector(**CONNECTOR_OPTIONS)
    loop = asyncio.get_running_loop()
    return open_session(connector, functools.partial(EndpointConnection, loop=loop))


class EndpointClient:
    """Opens exchanges with endpoints that accept requests.

    :param client: the session that opens a connection for each request.
    :param connect_timeout: seconds; also bounds the time from the check that an endpoint accepts
        requests to the sending.
    :param evacuations: None to ignore evacuations.
    :param pool: keeps connections; None to open one for each attempt.
    :param reach: records whether connections to endpoints come up; None to record nothing.
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        codec: HeaderCodec,
        notices: EndpointNotices,
        limits: EndpointLimits,
        connect_timeout: float,
        evacuations: Evacuations | None = None,
        pool: ConnectionPool | None = None,
        reach: Reach | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._client = client
        self._codec = codec
        self._notices = notices
        self._limits = limits
        self._connect_timeout = connect_timeout
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout)
        self._pool = pool
        self._reach = reach
        self._failures = FailureLog()

    def has_idle_connection(self, endpoint: Endpoint) -> bool:
        """Return whether there is an idle connection to an endpoint."""
        return self._pool is not None and self._pool.has_idle(endpoint)

    @contextlib.asynccontextmanager
    async def open(
        self, endpoint: Endpoint, request: Request, meta: ForwardMeta
    ) -> t.AsyncIterator[Exchange]:
        """Send a request and yield the exchange once the head of the answer is received.

        :param meta: sent to the endpoint in addition to the caller's own headers.
        :raises EndpointNotAcceptingError: if the endpoint accepts none now; nothing is sent.
        :raises AttemptError: if there is no answer to this request.
        """
        async with contextlib.AsyncExitStack() as stack:
            path = AttemptPath(endpoint, request.meta.id)
            stack.callback(path.uses.close)
            request.begin_attempt(endpoint)
            if self._pool is None or not self._may_use_pool(request, endpoint):
                response = await self._send(stack, request, meta, path)
                yield Exchange(response, self._codec, path)
                return
            use = self._pool.begin(endpoint)
            stack.callback(self._pool.end, use)
            response = await self._send_on_kept(stack, self._pool, use, request, meta, path)
            yield Exchange(response, self._codec, path, use)
            # The caller has the answer already; a fault here must not end it.
            with self._failures.contain("kept connection"):
                self._settle(use, response, request)

    def _may_use_pool(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether a request may use a kept connection, which is always direct."""
        is_cut_off = self._reach is not None and self._reach.is_cut_off(endpoint.service)
        return (
            self._pool is not None
            and not is_cut_off
            and not request.needs_new_connection
            and _may_use_kept(request)
            and self._pool.can_use(endpoint)
        )

    async def _send_on_kept(
        self,
        stack: contextlib.AsyncExitStack,
        pool: ConnectionPool,
        use: ConnectionUse,
        request: Request,
        meta: ForwardMeta,
        path: AttemptPath,
    ) -> aiohttp.ClientResponse:
        """Send a request on a kept connection if there is one.

        If the endpoint had closed it, the request is sent again on a new one.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            return await self._send(stack, request, meta, path, use)
        except AttemptError as failure:
            seconds = loop.time() - sent_at
            if use.is_reused and use.is_unacknowledged:
                pool.record_reset(use, seconds)
                raise AttemptError("no acknowledgement", Executed.MAYBE) from failure
            if not use.is_reused or not kept_connections.was_closed_while_idle(
                use.received_bytes, seconds, self._connect_timeout
            ):
                raise
        pool.record_reset(use, seconds)
        # That an idle connection was closed doesn't mean that the endpoint has crashed.
        lost = AttemptError("kept connection closed", Executed.MAYBE)
        if not pool.take_token(request.service.name):
            raise lost
        try:
            return await self._send(stack, request, meta, path)
        except EndpointNotAcceptingError:
            raise lost from None
        except AttemptError as failure:
            raise _failure_after_reset(failure) from failure

    async def _send(
        self,
        stack: contextlib.AsyncExitStack,
        request: Request,
        meta: ForwardMeta,
        path: AttemptPath,
        use: ConnectionUse | None = None,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the answer to it once its head is received.

        :param stack: closes the answer.
        :param path: records how the attempt is connected.
        :param use: records the pool's connection; None to open one for this request alone.
        """
        endpoint = path.endpoint
        if self._evacuations is not None:
            self._evacuations.check(endpoint)
        self._notices.check(endpoint)
        reservation = self._limits.reserve(endpoint)
        path.is_connected = False
        try:
            response = await self._call(stack, request, meta, path, use)
        except asyncio.CancelledError:
            if not path.is_connected:
                self._limits.cancel(reservation)
            raise
        except Exception as error:
            if not path.is_connected:
                self._limits.cancel(reservation)
            raise self._failure(request, path, use, error) from error
        finally:
            # An earlier sending of the same attempt, on a kept connection, counts too.
            if path.is_connected:
                request.record_sent()
        self._count(use)
        if self._reach is not None and use is not None and not use.is_reused:
            self._reach.record_success(endpoint)
        stack.callback(response.close)
        self._check_answer(response, endpoint, request, use)
        return response

    async def _call(
        self,
        stack: contextlib.AsyncExitStack,
        request: Request,
        meta: ForwardMeta,
        path: AttemptPath,
        use: ConnectionUse | None,
    ) -> aiohttp.ClientResponse:
        """Connect to an endpoint, send a request, and return the answer; as :meth:`_send`."""
        send = self._client.request if use is None else use.request
        has_body = request.body or request.method not in ("GET", "HEAD")
        token = current_path.set(path)
        try:
            response = send(
                request.method,
                URL(f"http://{path.endpoint.address}{request.path}", encoded=True),
                data=request.body if has_body else None,
                headers=self._codec.for_endpoint(request.headers, meta),
                timeout=self._timeout,
                allow_redirects=False,
            )
            return await stack.enter_async_context(response)
        finally:
            current_path.reset(token)

    def _failure(
        self, request: Request, path: AttemptPath, use: ConnectionUse | None, error: Exception
    ) -> AttemptError:
        """Return the error of an attempt that got no head of an answer."""
        if not isinstance(error, EXPECTED_ERRORS):
            self._failures.record(
                "attempt", error, request=request.meta.id, endpoint=path.endpoint.id
            )
        if not path.is_connected:
            return self._unsent_error(path, error)
        self._count(use)
        return _unanswered_error(path, error)

    def _unsent_error(self, path: AttemptPath, error: Exception) -> AttemptError:
        """Return the error of an attempt that was never connected."""
        is_own_fault = False
        if self._reach is not None:
            self._reach.record_failure(path.endpoint)
            is_cut_off = self._reach.is_cut_off(path.endpoint.service)
            is_own_fault = is_cut_off and not path.is_endpoints_fault
        return AttemptError(
            f"no connection: {type(error).__name__}",
            Executed.NO,
            sent=False,
            is_own_fault=is_own_fault,
            is_hopeless=is_own_fault and not path.has_carrier,
        )

    def _count(self, use: ConnectionUse | None) -> None:
        if self._pool is not None:
            self._pool.count(use)

    def _check_answer(
        self,
        response: aiohttp.ClientResponse,
        endpoint: Endpoint,
        request: Request,
        use: ConnectionUse | None,
    ) -> None:
        meta = self._codec.read_answer(response.status, response.headers)
        if meta.not_run and response.status < MIN_DECLINE_STATUS:
            # A result and the statement that there is none: either may be wrong.
            raise contradictory_answer(response.status)
        if meta.request_id is not None and meta.request_id != request.meta.id:
            raise AttemptError(MIXED, Executed.MAYBE)
        # On a used connection, an answer without an id may be a second one to an earlier request.
        # What the endpoint says of itself holds nonetheless, but it doesn't end a limit.
        is_doubtful = use is not None and use.is_reused and meta.request_id is None
        self._notices.record_answer(endpoint, meta)
        self._limits.record_answer(endpoint, meta, None if is_doubtful else request.sent_at)
        if use is not None:
            use.is_answered = meta.request_id is not None and not meta.misdirected
        if self._pool is not None and meta.request_id is None and not meta.misdirected:
            self._pool.record_missing_id(endpoint)
        if is_doubtful:
            raise AttemptError(MIXED, Executed.MAYBE, retry_after=meta.retry_after)
        request.record_answer(endpoint)
        if meta.not_run:
            if use is not None:
                self._settle(use, response, request)
            cause = f"declined with {response.status}"
            raise AttemptError(cause, Executed.NO, retry_after=meta.retry_after)
        if meta.encoded or (not meta.signed and response.status < MIN_UNSIGNED_STATUS):
            raise AttemptError("not the endpoint's own answer", Executed.MAYBE)
        if request.method != "HEAD" and (response.content_length or 0) > MAX_ANSWER_BYTES:
            raise too_large()

    def _settle(
        self, use: ConnectionUse, response: aiohttp.ClientResponse, request: Request
    ) -> None:
        """Keep the connection of an answer to the request, if the answer is complete."""
        use.pool.settle(use, list(response.headers.items()), request.service.max_connections)


def _unanswered_error(path: AttemptPath, error: Exception) -> AttemptError:
    """Return the error of an attempt that was sent and got no head of an answer."""
    if isinstance(error, BrokenAnswerError):
        return broken_answer(error)
    is_lost = is_connection_lost(error) and not path.is_carrier_lost
    return AttemptError(
        f"no answer: {type(error).__name__}",
        Executed.MAYBE,
        broken=ConnectionBreak.BEFORE_HEAD if is_lost else None,
        is_unsound=isinstance(error, TooManyHeadsError),
    )


def _may_use_kept(request: Request) -> bool:
    return kept_connections.may_use_kept(
        request.route,
        request.method,
        request.meta.id,
        len(request.body),
        has_engine=request.service.engine is not None,
    )


def _failure_after_reset(failure: AttemptError) -> AttemptError:
    """Return the failure of a request that was sent again, and may have run the first time.

    An endpoint that has closed a kept connection and refuses a new one has probably crashed.
    """
    is_refused = isinstance(failure.__cause__, aiohttp.ClientConnectorError)
    broken = ConnectionBreak.BEFORE_HEAD if is_refused else failure.broken
    return AttemptError(
        failure.cause,
        Executed.MAYBE,
        broken=broken,
        retry_after=failure.retry_after,
        is_unsound=failure.is_unsound,
        detail=failure.detail,
    )
