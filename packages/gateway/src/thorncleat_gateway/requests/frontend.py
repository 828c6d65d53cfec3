"""The callers' side: what a request says, who sent it, and the answer it gets."""

import asyncio
import typing as t

from aiohttp import web

from ..exceptions import CutError
from ..exceptions import RefusalError
from ..ports import HeaderCodec
from ..ports import Headers
from ..ports import RequestMeta
from ..settings import GatewaySettings
from ..store.serving import Route
from ..store.serving import RouteKind
from ..store.serving import Service
from ..store.serving import ServingConfiguration
from ..store.serving import Workspace
from ..store.view import StoreView
from . import request_log
from .plain import PlainForwarder
from .request import Request
from .streams import StreamForwarder

# part of the time to take a key away in which the configuration counts as new enough
REVOKE_PART = 0.9
RETRY_AFTER_SECONDS = 0.5
# another daemon can take the request at once
STOPPING_RETRY_AFTER_SECONDS = 0.05
# before the bound itself, so that the final answer is there in time
MARGIN_SECONDS = 0.05
DEFAULT_DEADLINE_SECONDS = 60.0


class Caller:
    """The caller's side of an answer.

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
    def response(self) -> web.StreamResponse | None:
        """The answer as far as it was sent."""
        return self._response

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""
        response = web.StreamResponse(status=status)
        _fill(response, headers, self._closing())
        self._response = response
        if "Content-Length" not in response.headers and self._request.version >= (1, 1):
            response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        assert self._response is not None
        await self._response.write(data)

    async def end(self) -> None:
        """End the answer as whole."""
        assert self._response is not None
        await self._response.write_eof()

    def cut(self) -> None:
        """Break the connection, so that the answer can't be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()


class Frontend:
    """Takes callers' requests.

    :param stopping: whether this daemon is about to end.
    :param closed: whether it takes no more requests.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        view: StoreView,
        codec: HeaderCodec,
        plain: PlainForwarder,
        streams: StreamForwarder,
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._view = view
        self._codec = codec
        self._plain = plain
        self._streams = streams
        self._clock = clock
        self.stopping = False
        self.closed = False
        self.requests = 0
        self.running = 0

    def not_ready(self) -> str | None:
        """Return why this daemon should get no requests, or None if it should."""
        if self.stopping:
            return "stopping"
        if not self._view.loaded:
            return "no configuration yet"
        if not self._fresh():
            return "configuration too old"
        return None

    async def readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer whether this daemon is ready."""
        if not self._codec.is_readiness(request.method, request.path):
            return web.Response(status=404)
        reason = self.not_ready()
        return web.Response(status=503 if reason else 200, text=reason or "ready")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller's request."""
        self.requests += 1
        self.running += 1
        received_at = self._clock()
        meta = self._codec.request_head(request.headers)
        caller = Caller(request, lambda: self.stopping)
        try:
            return await self._serve(request, meta, caller, received_at)
        except CutError as error:
            request_log.cut(meta.id, error.cause)
            caller.cut()
            assert caller.response is not None
            return caller.response
        except RefusalError as error:
            return self._refused(meta, error, received_at)
        except (asyncio.CancelledError, ConnectionError):
            request_log.caller_left(meta.id, self._clock() - received_at, begun=caller.begun)
            raise
        finally:
            self.running -= 1

    def _refused(self, meta: RequestMeta, error: RefusalError, received_at: float) -> web.Response:
        request_log.refused(meta.id, error, self._clock() - received_at, self._view.age())
        response = web.Response(status=error.status, text=error.cause + "\n")
        if error.retry_after is not None:
            response.headers["Retry-After"] = f"{error.retry_after:.2f}"
        if self.stopping or (error.status == 503 and not self._fresh()):
            response.force_close()
        return response

    async def _serve(
        self, request: web.BaseRequest, meta: RequestMeta, caller: Caller, received_at: float
    ) -> web.StreamResponse:
        if self.closed:
            raise RefusalError(503, "stopping", retry_after=STOPPING_RETRY_AFTER_SECONDS)
        configuration = self._view.configuration
        if configuration is None:
            raise RefusalError(503, "no configuration yet", retry_after=RETRY_AFTER_SECONDS)
        path = request.raw_path
        route = configuration.route_for(request.headers.get("Host", ""), path.split("?", 1)[0])
        if route is None:
            raise RefusalError(404, "no route")
        workspace = self._workspace(configuration, route, meta)
        limit = configuration.limits.body_bytes
        body = await _read(request, limit)
        deadline_at = received_at + (meta.deadline or DEFAULT_DEADLINE_SECONDS)
        wanted = Request(
            meta,
            request.method,
            path,
            list(request.headers.items()),
            body,
            route,
            self._service(configuration, route),
            workspace,
            received_at,
            min(deadline_at, received_at + route.timeout) - MARGIN_SECONDS,
            deadline_at,
        )
        await self._forward(wanted, caller)
        assert caller.response is not None
        status = caller.response.status
        request_log.done(wanted, status, self._clock(), self._view.age())
        return caller.response

    async def _forward(self, wanted: Request, caller: Caller) -> None:
        if wanted.route.kind is RouteKind.STREAMING and wanted.service.engine is not None:
            await self._streams.serve(wanted, wanted.service.engine, caller)
            return
        answer = await self._plain.serve(wanted)
        await caller.begin(
            answer.status, [*answer.headers, ("Content-Length", str(len(answer.body)))]
        )
        if answer.body:
            await caller.write(answer.body)
        await caller.end()

    def _workspace(
        self, configuration: ServingConfiguration, route: Route, meta: RequestMeta
    ) -> Workspace | None:
        if route.public or not configuration.workspaces:
            return None
        if not self._fresh():
            raise RefusalError(
                503, "configuration too old for keys", retry_after=RETRY_AFTER_SECONDS
            )
        workspace = configuration.workspace_for(meta.key) if meta.key else None
        if workspace is None:
            raise RefusalError(401, "unknown key")
        return workspace

    def _fresh(self) -> bool:
        bound = self._settings.revoke_within
        return bound is None or self._view.age() < bound * REVOKE_PART

    def _service(self, configuration: ServingConfiguration, route: Route) -> Service:
        split = route.splits[0]
        if len(route.splits) > 1:
            # the next request number spreads over the parts by their weights
            total = sum(one.weight for one in route.splits)
            point = (self.requests * 0.6180339887) % 1.0 * total
            for one in route.splits:
                split = one
                point -= one.weight
                if point < 0:
                    break
        return configuration.services.get(split.service) or Service(split.service)


async def _read(request: web.BaseRequest, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while data := await request.content.readany():
        size += len(data)
        if size > limit:
            raise RefusalError(413, f"body over {limit} bytes")
        parts.append(data)
    return b"".join(parts)


def _fill(response: web.StreamResponse, headers: Headers, closing: bool) -> None:
    for name, value in headers:
        response.headers.add(name, value)
    if closing:
        response.force_close()
