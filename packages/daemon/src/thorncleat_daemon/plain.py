"""Reverse proxy for ``/v1/services/{service}/…``, the calls to plain services.

Owns: the retry budget and the endpoints ejected after failures.
Relies on: each service's configured list of calls that may not be repeated.
"""

import dataclasses
import typing as t

import aiohttp
from aiohttp import web

from thorncleat_core import clock
from thorncleat_core import rendezvous
from thorncleat_core.bounded_answers import read_body
from thorncleat_core.daemon.burn import GOOD
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.configuration import Service
from thorncleat_core.daemon.retries import Ejection
from thorncleat_core.daemon.retries import RetryThrottle
from thorncleat_core.daemon.retries import can_retry

from .callers import Caller
from .claims import ClaimClient
from .exceptions import RequestError
from .metrics import Metrics
from .once import WholeAnswer
from .once import run_once
from .upstream import MAX_ANSWER_BYTES
from .upstream import Upstream
from .upstream import answer_lost_error
from .upstream import end_to_end_headers

MAX_ATTEMPTS = 3
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class PlainServices:
    """Forwards calls to plain services."""

    def __init__(
        self,
        configuration: t.Callable[[], Configuration],
        upstream: Upstream,
        claims: ClaimClient,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._upstream = upstream
        self._claims = claims
        self._metrics = metrics
        self._retries = RetryThrottle()
        self._ejection = Ejection()

    async def answer(self, request: web.Request, caller: Caller, body: bytes) -> web.Response:
        """Forward a call and return its answer.

        :raises RequestError: if there is no answer; it says whether the call ran.
        """
        service = self._find_service(request.match_info["service"], caller)
        path = "/" + request.match_info["tail"]
        target = request.rel_url.raw_path.split(f"/{service.name}", 1)[1] or "/"
        if request.rel_url.raw_query_string:
            target += f"?{request.rel_url.raw_query_string}"
        repeatable = caller.repeatable and service.can_repeat(request.method, path)
        headers = end_to_end_headers(request.headers) | {"X-Request-Id": caller.id}
        call = _ForwardedCall(request.method, target, body, headers, repeatable)
        if repeatable:
            whole_answer = await self._run(service, caller, call)
        else:
            whole_answer = await run_once(
                self._claims,
                caller,
                request.method,
                f"{service.name}{target}",
                body,
                lambda: self._run(service, caller, call),
            )
        self._metrics.record_ended(caller.workspace.name, service.name, GOOD)
        return _response(whole_answer, caller)

    def _find_service(self, name: str, caller: Caller) -> Service:
        service = self._configuration().services.get(name)
        if service is None or caller.workspace.name not in service.workspaces:
            detail = f"no service {name!r} for workspace {caller.workspace.name!r}"
            raise RequestError(404, "Unknown service", detail, cause="bad_request")
        return service

    async def _run(self, service: Service, caller: Caller, call: "_ForwardedCall") -> WholeAnswer:
        """Try endpoints in turn, as long as a retry is safe and within the retry budget."""
        now = clock.now()
        order = rendezvous.rank(caller.id, self._ejection.usable_endpoints(service.endpoints, now))
        for attempt, endpoint in enumerate(order[:MAX_ATTEMPTS], start=1):
            try:
                whole_answer = await self._call(endpoint, caller, call)
                self._ejection.record_success(endpoint)
                self._retries.record_success()
                return whole_answer
            except RequestError as error:
                self._ejection.record_failure(endpoint, clock.now())
                is_retryable = can_retry(
                    error.executed,
                    repeatable=call.repeatable,
                    attempt=attempt,
                    max_attempts=min(len(order), MAX_ATTEMPTS),
                    seconds_left=caller.seconds_left(),
                )
                if not is_retryable or not self._retries.try_acquire():
                    raise
                self._metrics.retries.labels(error.cause).inc()
        raise RequestError(503, "No endpoint", f"service {service.name!r} has none to use")

    async def _call(self, endpoint: str, caller: Caller, call: "_ForwardedCall") -> WholeAnswer:
        url = f"http://{endpoint}{call.target}"
        async with self._upstream.call(
            call.method,
            url,
            call.body,
            call.headers,
            repeatable=call.repeatable,
            timeout=caller.timeout(),
        ) as response:
            try:
                body = await read_body(response, MAX_ANSWER_BYTES)
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost_error(url, error) from error
            content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
            return WholeAnswer(response.status, content_type, body)


@dataclasses.dataclass(frozen=True)
class _ForwardedCall:
    """A call as it is forwarded.

    :param target: path and query.
    """

    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    repeatable: bool


def _response(whole_answer: WholeAnswer, caller: Caller) -> web.Response:
    headers = {"X-Request-Id": caller.id, "Content-Type": whole_answer.content_type}
    if whole_answer.repeated:
        headers["X-Repeated"] = "yes"
    return web.Response(status=whole_answer.status, body=whole_answer.body, headers=headers)
