"""Handler of ``POST /v1/chat/completions``: model lookup, whole answers, idempotent requests.

Owns: nothing.
Relies on: :mod:`.attempts` for running in groups, :mod:`.streams` for streamed answers,
:mod:`.once` for requests that run at most once.
"""

import json
import typing as t

import aiohttp
from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.bounded_answers import read_body
from thorncleat_core.daemon import routing
from thorncleat_core.daemon.burn import GOOD
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.configuration import Intent

from . import events
from .attempts import Attempts
from .attempts import SlotRequestFactory
from .callers import Caller
from .claims import ClaimClient
from .completion import PATH
from .completion import Completion
from .completion import check_status
from .completion import engine_headers
from .completion import engine_url
from .completion import parse
from .dispatch import Slot
from .dispatch import SlotRequest
from .dispatch import prompt_cost
from .exceptions import RequestError
from .metrics import Metrics
from .once import WholeAnswer
from .once import run_once
from .pieces import DONE
from .pieces import find_answer_fault
from .streams import Streams
from .upstream import MAX_ANSWER_BYTES
from .upstream import Upstream
from .upstream import answer_lost_error


class Completions:
    """Answers requests for completions.

    :param configuration: returns the current configuration.
    """

    def __init__(
        self,
        configuration: t.Callable[[], Configuration],
        attempts: Attempts,
        streams: Streams,
        upstream: Upstream,
        claims: ClaimClient,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._attempts = attempts
        self._streams = streams
        self._upstream = upstream
        self._claims = claims
        self._metrics = metrics

    async def answer(self, request: web.Request, caller: Caller, body: bytes) -> web.StreamResponse:
        """Answer a request.

        :raises RequestError: if it can't be answered.
        """
        completion = parse(body)
        slot_request_factory = self._make_slot_request_factory(caller, completion)
        if completion.stream and caller.repeatable:
            return await self._streams.answer(request, caller, completion, slot_request_factory)
        started = clock.now()

        async def run_attempts() -> WholeAnswer:
            return await self._attempts.run(
                caller,
                slot_request_factory,
                lambda slot: self._fetch_whole_answer(slot, caller, completion),
            )

        if caller.repeatable:
            whole_answer = await run_attempts()
        else:
            whole_answer = await run_once(self._claims, caller, "POST", PATH, body, run_attempts)
        self._record_metrics(caller, completion, clock.now() - started)
        return _response(whole_answer, caller, completion)

    def _record_metrics(self, caller: Caller, completion: Completion, seconds: float) -> None:
        self._metrics.distribution("whole_answer", completion.model).record(seconds)
        self._metrics.record_ended(caller.workspace.name, completion.model, GOOD)

    def _find_intent(self, caller: Caller, completion: Completion) -> Intent:
        intents = self._configuration().intents_for(caller.workspace.name, completion.model)
        if not intents:
            detail = f"no model {completion.model!r} for workspace {caller.workspace.name!r}"
            raise RequestError(404, "Unknown model", detail, cause="bad_request")
        return intents[0]

    def _make_slot_request_factory(
        self, caller: Caller, completion: Completion
    ) -> SlotRequestFactory:
        """Return a function from the groups to avoid to the request's requirements."""
        intent = self._find_intent(caller, completion)
        cost = prompt_cost(len(completion.text), completion.max_tokens)
        prefix = routing.prefix_identity(intent.model, intent.version, completion.text)

        def slot_request(avoid: frozenset[str]) -> SlotRequest:
            return SlotRequest(
                intent,
                caller.workspace.name,
                cost,
                caller.priority,
                caller.deadline,
                prefix,
                avoid,
            )

        return slot_request

    async def _fetch_whole_answer(
        self, slot: Slot, caller: Caller, completion: Completion
    ) -> WholeAnswer:
        url = engine_url(slot)
        async with self._upstream.call(
            "POST",
            url,
            completion.body(caller.priority, 0, stream=False),
            engine_headers(caller),
            repeatable=caller.repeatable,
            timeout=caller.timeout(),
        ) as response:
            try:
                text = await read_body(response, MAX_ANSWER_BYTES)
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost_error(url, error) from error
            check_status(response.status, text)
            self._check_whole_answer(text, caller)
        self._attempts.check_permit(slot)
        return WholeAnswer(200, "application/json", text)

    def _check_whole_answer(self, text: bytes, caller: Caller) -> None:
        try:
            fault = find_answer_fault(json.loads(text), caller.id)
        except ValueError:
            fault = "not JSON"
        if fault is None:
            return
        self._metrics.dropped.labels(fault.replace(" ", "_")).inc()
        events.PIECE_DROPPED.log(request=caller.id, reason=fault)
        raise RequestError(
            502, "Broken answer", f"answer dropped: {fault}", executed="yes", cause="broken_answer"
        )


def _response(whole_answer: WholeAnswer, caller: Caller, completion: Completion) -> web.Response:
    """Return the response for a whole answer; as a stream if the caller asked for one."""
    headers = {"X-Request-Id": caller.id}
    if whole_answer.repeated:
        headers["X-Repeated"] = "yes"
    body = whole_answer.body
    if completion.stream:
        body = _as_stream(body)
        headers["Cache-Control"] = "no-cache"
        return web.Response(body=body, content_type="text/event-stream", headers=headers)
    return web.Response(
        status=whole_answer.status,
        body=body,
        content_type=whole_answer.content_type,
        headers=headers,
    )


def _as_stream(body: bytes) -> bytes:
    """Return a whole answer as the events of a stream.

    :param body: the answer as JSON.
    """
    answer = json.loads(body)
    answer["object"] = "chat.completion.chunk"
    for choice in answer["choices"]:
        choice["delta"] = choice.pop("message")
    return b"data: " + json.dumps(answer).encode() + b"\n\n" + DONE
