"""Answering ``POST /v1/chat/completions``: whole or streamed, in one group or several."""

import asyncio
import dataclasses
import json
import typing as t

import aiohttp
import pydantic
from aiohttp import web

from thorncleat_core import routing
from thorncleat_core.configuration import Configuration
from thorncleat_core.configuration import Intent
from thorncleat_core.retries import RetryBudget

from . import clock
from . import events
from . import problems
from .callers import Caller
from .claims import ClaimClient
from .dispatch import Dispatcher
from .dispatch import Slot
from .dispatch import Wish
from .dispatch import prompt_cost
from .exceptions import RequestError
from .metrics import GOOD
from .metrics import Metrics
from .once import Answered
from .once import run_once
from .permits import PermitKeeper
from .relay import DONE
from .relay import Pieces
from .relay import whole_answer_fault
from .upstream import Upstream
from .upstream import answer_lost

PATH = "/v1/chat/completions"
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131_072
MAX_ATTEMPTS = 4
Answer = t.TypeVar("Answer")
_CLOSED = "group closed"
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}

RETRIED = frozenset(
    {
        "endpoint_unreachable",
        "answer_lost",
        "engine_refused",
        "engine_failed",
        "broken_answer",
        "group_closed",
    }
)
# the engine is not (or no longer) what the directory says, or has no room
REFUSED_BY_ENGINE = frozenset({404, 409, 429, 503})


class _Completion(pydantic.BaseModel):
    """What the daemon needs of a request; the engine checks the rest."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=128)
    messages: list[dict[str, t.Any]] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int = pydantic.Field(default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS)


@dataclasses.dataclass(frozen=True)
class Completion:
    """A request for a completion, as far as the daemon reads it.

    :param raw: all of its fields, for the engine.
    """

    model: str
    text: str
    stream: bool
    max_tokens: int
    raw: t.Mapping[str, t.Any]

    def body(self, priority: int, resume_from: int) -> bytes:
        """Return the body for the engine.

        :param resume_from: events that the caller has already.
        """
        fields = {**self.raw, "max_tokens": self.max_tokens, "priority": priority}
        if resume_from:
            fields["resume_from"] = resume_from
        return json.dumps(fields).encode()


def parse(body: bytes) -> Completion:
    """Parse and validate a body.

    :raises RequestError: naming what is wrong.
    """
    try:
        found = _Completion.model_validate_json(body)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(step) for step in fault["loc"]) or "body"
        detail = f"{path}: {fault['msg']}"
        raise RequestError(400, "Bad request", detail, cause="bad_request") from error
    text = "\n".join(str(message.get("content", "")) for message in found.messages)
    raw = found.model_dump()
    return Completion(found.model, text, found.stream, found.max_tokens, raw)


class _Attempts:
    """What one request has tried so far."""

    def __init__(self) -> None:
        self.count = 0
        self.failed: set[str] = set()


class Completions:
    """Serves completions.

    :param configuration: the one in force.
    """

    def __init__(
        self,
        configuration: t.Callable[[], Configuration],
        dispatcher: Dispatcher,
        permits: PermitKeeper,
        upstream: Upstream,
        claims: ClaimClient,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._permits = permits
        self._upstream = upstream
        self._claims = claims
        self._metrics = metrics
        self._retries = RetryBudget()
        self._streams: dict[str, set[asyncio.Task[t.Any]]] = {}
        permits.on_closed(self._cut)

    def _cut(self, group: str) -> None:
        """End the calls that run in a group which may not answer any more."""
        for task in self._streams.pop(group, set()):
            task.cancel(_CLOSED)

    async def answer(self, request: web.Request, caller: Caller, body: bytes) -> web.StreamResponse:
        """Answer a request.

        :raises RequestError: if it can't be answered.
        """
        completion = parse(body)
        intent = self._intent(caller, completion)
        if completion.stream and caller.repeatable:
            return await self._stream(request, caller, completion, intent)
        if caller.repeatable:
            answered = await self._whole(caller, completion, intent)
        else:
            answered = await run_once(
                self._claims,
                caller,
                "POST",
                PATH,
                body,
                lambda: self._whole(caller, completion, intent),
            )
        return _response(answered, caller, completion)

    def _intent(self, caller: Caller, completion: Completion) -> Intent:
        found = self._configuration().intents_for(caller.workspace.name, completion.model)
        if not found:
            detail = f"no model {completion.model!r} for workspace {caller.workspace.name!r}"
            raise RequestError(404, "Unknown model", detail, cause="bad_request")
        return found[0]

    def _wish(
        self, caller: Caller, completion: Completion, intent: Intent, attempts: _Attempts
    ) -> Wish:
        cost = prompt_cost(len(completion.text), completion.max_tokens)
        prefix = routing.prefix_identity(intent.model, intent.version, completion.text)
        return Wish(
            intent,
            caller.workspace.name,
            cost,
            caller.priority,
            caller.deadline,
            prefix,
            frozenset(attempts.failed),
        )

    def _may_retry(self, caller: Caller, error: RequestError, attempts: _Attempts) -> bool:
        if error.cause not in RETRIED or attempts.count >= MAX_ATTEMPTS or caller.left() <= 0:
            return False
        if not caller.repeatable and error.executed != "no":
            return False
        if not self._retries.take():
            return False
        self._metrics.retries.labels(error.cause).inc()
        return True

    # whole answers

    async def _whole(self, caller: Caller, completion: Completion, intent: Intent) -> Answered:
        attempts = _Attempts()
        while True:
            slot = await self._dispatcher.acquire(self._wish(caller, completion, intent, attempts))
            attempts.count += 1
            try:
                answered = await self._guarded(slot, self._whole_in(slot, caller, completion))
                self._succeeded(slot, answered)
                return answered
            except RequestError as error:
                self._failed(slot, error, attempts)
                if not self._may_retry(caller, error, attempts):
                    raise
            finally:
                self._dispatcher.release(slot)

    async def _whole_in(self, slot: Slot, caller: Caller, completion: Completion) -> Answered:
        url = f"http://{slot.leader}{PATH}"
        raw = {**completion.raw, "stream": False}
        body = dataclasses.replace(completion, raw=raw).body(caller.priority, 0)
        async with self._upstream.call(
            "POST",
            url,
            body,
            _headers(caller),
            repeatable=caller.repeatable,
            timeout=max(0.01, caller.left()),
        ) as response:
            try:
                text = await response.read()
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost(url, error) from error
            self._check_status(response.status, text)
            self._check_whole(text, caller)
        self._check_permit(slot)
        return Answered(200, "application/json", text)

    def _check_status(self, status: int, text: bytes) -> None:
        if status == 200:
            return
        detail = f"the engine answered {status!r}: {text[:200]!r}"
        if status in REFUSED_BY_ENGINE:
            raise RequestError(502, "Engine refused", detail, cause="engine_refused")
        if 400 <= status < 500:
            raise RequestError(status, "Bad request", detail, cause="bad_request")
        raise RequestError(502, "Engine failed", detail, executed="unknown", cause="engine_failed")

    def _check_whole(self, text: bytes, caller: Caller) -> None:
        try:
            fault = whole_answer_fault(json.loads(text), caller.id)
        except ValueError:
            fault = "not JSON"
        if fault is None:
            return
        self._metrics.dropped.labels(fault.replace(" ", "_")).inc()
        events.PIECE_DROPPED.log(request=caller.id, reason=fault)
        raise RequestError(
            502, "Broken answer", f"answer dropped: {fault}", executed="yes", cause="broken_answer"
        )

    def _check_permit(self, slot: Slot) -> None:
        """Make sure that the group may still answer, right before its answer is passed on."""
        held = self._permits.permit(slot.group)
        now = clock.now()
        if held and held.usable(now) and held.permit.generation == slot.generation:
            return
        raise _group_closed(slot)

    async def _guarded(self, slot: Slot, work: t.Coroutine[t.Any, t.Any, Answer]) -> Answer:
        """Run a call so that it ends at once when its group is closed."""
        task = asyncio.ensure_future(work)
        self._streams.setdefault(slot.group, set()).add(task)
        try:
            return await task
        except asyncio.CancelledError as error:
            current = asyncio.current_task()
            if _CLOSED in error.args and not (current and current.cancelling()):
                raise _group_closed(slot) from None
            task.cancel()
            raise
        finally:
            self._streams.get(slot.group, set()).discard(task)

    def _succeeded(self, slot: Slot, answered: Answered) -> None:
        self._dispatcher.ejection.succeeded(slot.group)
        self._retries.succeeded()

    def _failed(self, slot: Slot, error: RequestError, attempts: _Attempts) -> None:
        attempts.failed.add(slot.group)
        if error.cause in RETRIED:
            self._dispatcher.ejection.failed(slot.group, clock.now())

    # streams

    async def _stream(
        self, request: web.Request, caller: Caller, completion: Completion, intent: Intent
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**STREAM_HEADERS, "X-Request-Id": caller.id})
        attempts = _Attempts()
        pieces = Pieces(caller.id)
        flow = _Flow(request, response, pieces, caller, clock.now())
        while not pieces.done:
            try:
                await self._stream_once(flow, completion, intent, attempts)
            except RequestError as error:
                if self._may_retry(caller, error, attempts):
                    events.REQUEST_MOVED.log(request=caller.id, delivered=pieces.events)
                    pieces.forget_rest()
                    continue
                if not response.prepared:
                    raise
                await self._end_broken(flow, error, completion.model)
                return response
        await flow.write(DONE)
        await response.write_eof()
        self._note_stream(flow, completion.model, GOOD)
        return response

    async def _stream_once(
        self, flow: "_Flow", completion: Completion, intent: Intent, attempts: _Attempts
    ) -> None:
        wish = self._wish(flow.caller, completion, intent, attempts)
        slot = await self._dispatcher.acquire(wish)
        attempts.count += 1
        try:
            await self._guarded(slot, self._copy(flow, slot, completion))
            self._dispatcher.ejection.succeeded(slot.group)
            self._retries.succeeded()
        except RequestError as error:
            self._failed(slot, error, attempts)
            raise
        finally:
            self._dispatcher.release(slot)

    async def _copy(self, flow: "_Flow", slot: Slot, completion: Completion) -> None:
        """Copy one engine's answer to the caller, from where the caller's copy ends."""
        caller, pieces = flow.caller, flow.pieces
        url = f"http://{slot.leader}{PATH}"
        body = completion.body(caller.priority, pieces.events)
        async with self._upstream.call(
            "POST",
            url,
            body,
            _headers(caller),
            repeatable=True,
            timeout=max(0.01, caller.left()),
        ) as response:
            if response.status != 200:
                self._check_status(response.status, await response.read())
            held = self._permits.permit(slot.group)
            try:
                async for chunk in response.content.iter_any():
                    own = pieces.feed(chunk)
                    if held is None or clock.now() >= held.until:
                        # permits are replaced when they are renewed
                        self._check_permit(slot)
                        held = self._permits.permit(slot.group)
                    if own:
                        await flow.write(own)
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost(url, error) from error
        if pieces.truncated:
            raise RequestError(
                502,
                "Truncated answer",
                "the engine's answer ended before its end",
                executed="yes",
                cause="broken_answer",
            )

    async def _end_broken(self, flow: "_Flow", error: RequestError, model: str) -> None:
        """Tell the caller in the stream that the answer is not whole, and end without DONE."""
        events.REQUEST_FAILED.log(request=flow.caller.id, cause=error.cause, detail=error.detail)
        await flow.write(problems.stream_event(error, flow.caller.id))
        await flow.response.write_eof()
        self._note_stream(flow, model, error.cause)

    def _note_stream(self, flow: "_Flow", model: str, cause: str) -> None:
        workspace = flow.caller.workspace.name
        self._metrics.tokens.labels(workspace, model).inc(flow.pieces.events)
        for reason, count in flow.pieces.dropped.items():
            self._metrics.dropped.labels(reason).inc(count)
            events.PIECE_DROPPED.log(request=flow.caller.id, reason=reason, count=count)
        if flow.first_at:
            seconds = flow.first_at - flow.started_at
            self._metrics.distribution("first_token", model).note(seconds)
            if flow.pieces.events > 1:
                gap = (flow.last_at - flow.first_at) / (flow.pieces.events - 1)
                self._metrics.distribution("between_tokens", model).note(gap)
            if cause == GOOD and seconds > flow.caller.workspace.first_token_seconds:
                cause = "late"
        self._metrics.ended(workspace, model, cause)


class _Flow:
    """The caller's side of a stream; its head is sent with the first piece."""

    def __init__(
        self,
        request: web.Request,
        response: web.StreamResponse,
        pieces: Pieces,
        caller: Caller,
        started_at: float,
    ) -> None:
        self.request = request
        self.response = response
        self.pieces = pieces
        self.caller = caller
        self.started_at = started_at
        self.first_at = 0.0
        self.last_at = 0.0

    async def write(self, data: bytes) -> None:
        """Send a piece."""
        if not self.response.prepared:
            await self.response.prepare(self.request)
            self.first_at = clock.now()
        await self.response.write(data)
        self.last_at = clock.now()


def _group_closed(slot: Slot) -> RequestError:
    detail = f"group {slot.group!r} lost a member"
    return RequestError(
        503,
        "Group closed",
        detail,
        executed="unknown",
        retry_after=1.0,
        cause="group_closed",
    )


def _headers(caller: Caller) -> dict[str, str]:
    return {"Content-Type": "application/json", "X-Request-Id": caller.id}


def _response(answered: Answered, caller: Caller, completion: Completion) -> web.Response:
    """Return a whole answer; of an earlier run, or for a caller that wanted a stream, too."""
    headers = {"X-Request-Id": caller.id}
    if answered.repeated:
        headers["X-Repeated"] = "yes"
    body = answered.body
    if completion.stream:
        body = _as_stream(body)
        headers["Cache-Control"] = "no-cache"
        return web.Response(body=body, content_type="text/event-stream", headers=headers)
    return web.Response(
        status=answered.status, body=body, content_type=answered.content_type, headers=headers
    )


def _as_stream(body: bytes) -> bytes:
    """Return a whole answer as the events of a stream."""
    answer = json.loads(body)
    answer["object"] = "chat.completion.chunk"
    for choice in answer["choices"]:
        choice["delta"] = choice.pop("message")
    return b"data: " + json.dumps(answer).encode() + b"\n\n" + DONE
