"""Serves callers: admits or refuses each request, forwards it, and logs how it ended.

Owns: the counts of requests, and whether this daemon is stopping.
Relies on: :mod:`.admission` for who is admitted, :mod:`.route_split` for the service, the
forwarders for the answer, and the store's view for the configuration and its age.
"""

import asyncio
import typing as t

from aiohttp import web

from ..callers import body_budget
from ..callers.body_budget import BodyBudget
from ..callers.body_budget import HeldBody
from ..callers.body_buffer import BodyBuffer
from ..callers.bounded_log import Cause
from ..exceptions import AnswerAbortedError
from ..exceptions import CallerDroppedError
from ..exceptions import RefusalError
from ..failures import FailureLog
from ..ports import HeaderCodec
from ..ports import RequestMeta
from ..service import is_being_cancelled
from ..settings import GatewaySettings
from ..store.serving import RouteKind
from ..store.view import StoreView
from . import admission
from . import request_log
from . import retry_after
from . import retry_policy
from .admission import Admitted
from .admission import NotReady
from .caller_response import CallerResponse
from .plain import PlainForwarder
from .refusal import Refusal
from .request import Request
from .retry_policy import CutAnswer
from .route_split import service_for
from .stop_window import StopWindow
from .stop_window import WatchedRequest
from .streams import StreamForwarder

# How long before its deadline a request is given up, so that the refusal arrives in time.
DEADLINE_MARGIN_SECONDS = 0.05
# Deadline for callers that send none.
DEFAULT_DEADLINE_SECONDS = 60.0
# Logged cause of a request that a fault of this program ended.
INTERNAL_ERROR = "internal error"
SLOW_BODY = Refusal(408, Cause.SLOW_BODY.value, None)


class Frontend:
    """Answers callers' requests.

    :param stopping: whether this daemon is about to stop.
    :param stop_window: the time that a planned stop leaves; None for one of its own.
    :param requests: number of requests since the start.
    :param running: number of requests that are being answered.
    :param bodies: the memory for callers' bodies.
    :param has_way: returns whether endpoints can be reached, directly or by way of another daemon.
    :param memory: bytes that this process may use; None for no bound of the bodies.
    :param record_bounded: called with the cause if a caller's body was given up.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        view: StoreView,
        codec: HeaderCodec,
        plain: PlainForwarder,
        streams: StreamForwarder,
        clock: t.Callable[[], float],
        has_way: t.Callable[[], bool] = lambda: True,
        stop_window: StopWindow | None = None,
        memory: int | None = None,
        record_bounded: t.Callable[[Cause], None] = lambda cause: None,
    ) -> None:
        self._settings = settings
        self._view = view
        self._codec = codec
        self._plain = plain
        self._streams = streams
        self._clock = clock
        self._has_way = has_way
        self.bodies = BodyBudget(memory, clock)
        self._record_bounded = record_bounded
        self._stop_window = stop_window or StopWindow(clock)
        self.stopping = False
        self.requests = 0
        self.running = 0
        self._was_ready = False
        self._failures = FailureLog()

    @property
    def closed(self) -> bool:
        """Whether this daemon accepts no more requests."""
        return self._stop_window.is_closed

    @closed.setter
    def closed(self, closed: bool) -> None:
        self._stop_window.is_closed = closed

    @property
    def ends_at(self) -> float:
        """When this daemon stops, on its clock; infinite without an order to stop."""
        return self._stop_window.ends_at

    @ends_at.setter
    def ends_at(self, ends_at: float) -> None:
        self._stop_window.ends_at = ends_at

    @property
    def is_known(self) -> bool:
        """Whether a load balancer may send requests, as it was told that this daemon is ready."""
        return self._was_ready or self.requests > 0

    async def readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer whether this daemon is ready."""
        if not self._codec.is_readiness(request.method, request.path):
            return web.Response(status=404)
        reason = self._not_ready_reason()
        if reason is not None:
            return web.Response(status=503, text=reason.value)
        self._was_ready = True
        return web.Response(status=200, text="ready")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller's request."""
        self.requests += 1
        self.running += 1
        received_at = self._clock()
        caller = CallerResponse(request, lambda: self.stopping)
        meta = RequestMeta(id="", key=None, deadline=None, model="")
        try:
            meta = self._codec.read_request(request.headers)
            return await self._serve(request, meta, caller, received_at)
        except AnswerAbortedError as error:
            request_log.cut(meta.id, error.cause)
            caller.cut()
            return caller.sent
        except RefusalError as error:
            return self._refusal_response(meta, error, received_at)
        except asyncio.CancelledError as error:
            if not is_being_cancelled():
                # Something that the request waited for was cancelled; its caller still waits.
                return self._fault_response(meta, error, caller, received_at)
            self._log_caller_left(meta, caller, received_at)
            raise
        except ConnectionError:
            self._log_caller_left(meta, caller, received_at)
            raise
        except Exception as error:
            return self._fault_response(meta, error, caller, received_at)
        finally:
            self.running -= 1

    def _log_caller_left(
        self, meta: RequestMeta, caller: CallerResponse, received_at: float
    ) -> None:
        request_log.caller_left(meta.id, self._clock() - received_at, has_begun=caller.has_begun)

    def _fault_response(
        self, meta: RequestMeta, error: BaseException, caller: CallerResponse, received_at: float
    ) -> web.StreamResponse:
        """Log a fault of this daemon, and refuse the request or cut its answer."""
        self._failures.record("request", error, request=meta.id)
        if not caller.has_begun:
            return self._refusal_response(meta, RefusalError(500, INTERNAL_ERROR), received_at)
        request_log.cut(meta.id, INTERNAL_ERROR)
        caller.cut()
        return caller.sent

    def _not_ready_reason(self) -> NotReady | None:
        """Return why this daemon should get no requests, or None if it should."""
        return admission.why_not_ready(
            is_stopping=self.stopping,
            is_loaded=self._view.is_loaded,
            is_current=self._is_current(),
            has_way=self._has_way(),
        )

    def _is_current(self) -> bool:
        return admission.is_current(self._view.age(), self._settings.revoke_within)

    def _refusal_response(
        self, meta: RequestMeta, error: RefusalError, received_at: float
    ) -> web.Response:
        request_log.refused(meta.id, error, self._clock() - received_at, self._view.age())
        response = web.Response(status=error.status, text=error.cause + "\n")
        if error.retry_after is not None:
            response.headers["Retry-After"] = f"{error.retry_after:.2f}"
        # The caller's next connection may reach a daemon that can serve it.
        is_unable = not self._is_current() or not self._has_way()
        if self.stopping or (error.status == 503 and is_unable):
            response.force_close()
        return response

    async def _serve(
        self,
        request: web.BaseRequest,
        meta: RequestMeta,
        caller: CallerResponse,
        received_at: float,
    ) -> web.StreamResponse:
        admitted = admission.admit(
            self._view.configuration,
            request.headers.get("Host", ""),
            request.raw_path.split("?", 1)[0],
            meta.key,
            is_closed=self.closed,
            is_current=self._is_current(),
        )
        if isinstance(admitted, Refusal):
            raise admitted.error()
        give_up_at = _give_up_at(meta, admitted, received_at)
        scope = asyncio.timeout(None)
        with self._stop_window.watch(scope, give_up_at, lambda: caller.has_begun) as watched:
            try:
                async with scope:
                    forwarded = await self._read_and_forward(
                        request, meta, admitted, caller, received_at, watched
                    )
            except TimeoutError:
                if not scope.expired():
                    raise
                raise _stopped(watched).error() from None
        request_log.done(forwarded, caller.sent.status, self._clock(), self._view.age())
        return caller.sent

    async def _read_and_forward(
        self,
        request: web.BaseRequest,
        meta: RequestMeta,
        admitted: Admitted,
        caller: CallerResponse,
        received_at: float,
        watched: WatchedRequest,
    ) -> Request:
        """Read the body and pass an answer on; return the request."""
        with self.bodies.hold(
            lambda: body_budget.is_most_urgent(
                admitted.configuration, admitted.route, admitted.workspace
            ),
            lambda: request.content.set_exception(CallerDroppedError(Cause.BODY_MEMORY.value)),
        ) as held:
            give_up_at = _give_up_at(meta, admitted, received_at)
            limit = admitted.configuration.limits.body_bytes
            body = await self._read_body(request, limit, held, give_up_at)
            watched.is_read = True
            forwarded = self._create_request(request, meta, admitted, body, received_at)
            await self._forward(forwarded, caller)
        return forwarded

    async def _read_body(
        self, request: web.BaseRequest, limit: int, held: HeldBody, give_up_at: float
    ) -> bytes:
        """Return the complete body.

        :raises RefusalError: if it is too large, doesn't come in time, or there is no room for it.
        """
        seconds = max(0.0, give_up_at - self._clock())
        try:
            async with asyncio.timeout(seconds) as reading:
                return await _read_body(request, limit, held)
        except TimeoutError:
            if not reading.expired():
                raise
            self._record_bounded(Cause.SLOW_BODY)
            refusal = retry_policy.refuse_stopping(may_have_run=False)
            raise (refusal if self.stopping else SLOW_BODY).error() from None
        except CallerDroppedError as error:
            raise Refusal(503, error.cause, retry_after.PLAIN_SECONDS).error() from error
        except RefusalError as error:
            if error.cause == Cause.BODY_MEMORY.value:
                self._record_bounded(Cause.BODY_MEMORY)
            raise

    def _create_request(
        self,
        request: web.BaseRequest,
        meta: RequestMeta,
        admitted: Admitted,
        body: bytes,
        received_at: float,
    ) -> Request:
        route = admitted.route
        return Request(
            meta=meta,
            method=request.method,
            path=request.raw_path,
            headers=list(request.headers.items()),
            body=body,
            route=route,
            service=service_for(admitted.configuration, route, self.requests),
            workspace=admitted.workspace,
            received_at=received_at,
            give_up_at=_give_up_at(meta, admitted, received_at),
            deadline_at=_deadline_at(meta, received_at),
        )

    async def _forward(self, request: Request, caller: CallerResponse) -> None:
        if request.route.kind is RouteKind.STREAMING:
            await self._streams.serve(request, caller)
            return
        await self._plain.serve(request, caller)


def _deadline_at(meta: RequestMeta, received_at: float) -> float:
    """Return when the caller gives a request up."""
    return received_at + (meta.deadline or DEFAULT_DEADLINE_SECONDS)


def _give_up_at(meta: RequestMeta, admitted: Admitted, received_at: float) -> float:
    """Return when the gateway gives a request up."""
    ends_at = min(_deadline_at(meta, received_at), received_at + admitted.route.timeout)
    return ends_at - DEADLINE_MARGIN_SECONDS


def _stopped(watched: WatchedRequest) -> Refusal | CutAnswer:
    """Return how a request ends to which the planned stop leaves no time."""
    if watched.has_begun():
        return CutAnswer(admission.STOPPING.cause)
    return retry_policy.refuse_stopping(may_have_run=watched.is_read)


async def _read_body(request: web.BaseRequest, limit: int, held: HeldBody) -> bytes:
    """Return the complete body.

    :param limit: bytes that a body may have.
    :param held: the memory for it, checked before the body is read if its length is known.
    :raises RefusalError: as soon as more bytes than that are stated or received, or the memory for
        bodies is used up.
    """
    stated = request.content_length or 0
    _check_size(stated, limit)
    held.require(stated)
    body = BodyBuffer()
    try:
        while data := await request.content.readany():
            size = body.size + len(data)
            _check_size(size, limit)
            held.reserve(size)
            body.add(data)
        held.finish()
        return body.join()
    finally:
        body.clear()


def _check_size(size: int, limit: int) -> None:
    refusal = admission.body_refusal(size, limit)
    if refusal is not None:
        raise refusal.error()
