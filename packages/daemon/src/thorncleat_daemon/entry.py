"""The HTTP application for callers.

Owns: the gate that limits how many requests start at the same time.
Relies on: a load balancer that checks ``/readyz``.
"""

import typing as t

from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.daemon.configuration import Configuration

from . import callers
from . import events
from . import problems
from . import retry_after
from .callers import Caller
from .completion import PATH
from .completions import Completions
from .exceptions import RequestError
from .gate import Gate
from .metrics import Metrics
from .plain import PlainServices
from .recent import RecentRequests

AnswerFunction = t.Callable[[web.Request, Caller, bytes], t.Awaitable[web.StreamResponse]]


class Entry:
    """Handles the callers' requests.

    :param not_ready_reason: returns why this daemon is not ready, or None if it is.
    :param body_limit: largest body in bytes.
    :param deadline: default deadline in seconds.
    """

    def __init__(
        self,
        configuration: t.Callable[[], Configuration],
        completions: Completions,
        services: PlainServices,
        metrics: Metrics,
        recent: RecentRequests,
        not_ready_reason: t.Callable[[], str | None],
        body_limit: int,
        deadline: float,
    ) -> None:
        self._configuration = configuration
        self._completions = completions
        self._services = services
        self._metrics = metrics
        self._recent = recent
        self._not_ready_reason = not_ready_reason
        self._body_limit = body_limit
        self._deadline = deadline
        self._gate = Gate()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=self._body_limit)
        app.router.add_post(PATH, self._complete)
        app.router.add_get("/v1/models", self._models)
        app.router.add_route("*", "/v1/services/{service}/{tail:.*}", self._call)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._show_metrics)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._answer(request, self._completions.answer, "completions")

    async def _call(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["service"]
        return await self._answer(request, self._services.answer, name)

    async def _answer(
        self, request: web.Request, answer_request: AnswerFunction, target: str
    ) -> web.StreamResponse:
        started = clock.now()
        caller: Caller | None = None
        try:
            if not await self._gate.enter():
                raise _overload_error()
            caller = callers.identify(request, self._configuration(), self._deadline)
            body = await callers.read_body(request, self._body_limit)
            with self._metrics.in_flight.track_inprogress():
                response = await answer_request(request, caller, body)
        except RequestError as error:
            return self._error_response(error, caller, target, started)
        self._recent.record_request(
            caller.id,
            clock.now() - started,
            workspace=caller.workspace.name,
            target=target,
            status=response.status,
            cause="good",
            executed="yes",
            detail="",
        )
        return response

    def _error_response(
        self, error: RequestError, caller: Caller | None, target: str, started: float
    ) -> web.Response:
        request_id = caller.id if caller else "none"
        workspace = caller.workspace.name if caller else "unknown"
        # A caller's mistake doesn't count against the service level.
        if error.cause in ("bad_request", "unauthorized", "repeat"):
            self._metrics.requests.labels(workspace, error.cause).inc()
        else:
            self._metrics.record_ended(workspace, target, error.cause)
            events.REQUEST_FAILED.log(request=request_id, cause=error.cause, detail=error.detail)
        self._recent.record_request(
            request_id,
            clock.now() - started,
            workspace=workspace,
            target=target,
            status=error.status,
            cause=error.cause,
            executed=error.executed,
            detail=error.detail,
        )
        return problems.response(error, request_id)

    async def _models(self, request: web.Request) -> web.Response:
        try:
            caller = callers.identify(request, self._configuration(), self._deadline)
        except RequestError as error:
            return problems.response(error, "none")
        models = sorted(
            {
                intent.model
                for intent in self._configuration().intents.values()
                if caller.workspace.name in intent.workspaces
            }
        )
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "thorncleat"}
            for name in models
        ]
        return web.json_response({"object": "list", "data": rows})

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        reason = self._not_ready_reason()
        if reason is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"not ready: {reason}\n")

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(), headers={"Content-Type": "text/plain; version=0.0.4"}
        )


def _overload_error() -> RequestError:
    return RequestError(
        503,
        "No room",
        "too many requests came at once",
        retry_after=retry_after.random_overload_delay(),
        cause="overload",
    )
