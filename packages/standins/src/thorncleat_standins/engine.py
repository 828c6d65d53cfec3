"""Stand-in for the model engine of an instance: streams answers and follows fenced orders.

Unlike a real engine it answers while members of its group are missing, which is the worst case
for the daemon.

Owns: the current assignment and the injected faults.
Relies on: only tests and benchmarks calling ``/behaviour``.
"""

import asyncio
import dataclasses
import time
import typing as t
import uuid

from aiohttp import web

from .batch import Batch
from .batch import Job
from .completions import Answer
from .completions import prompt_tokens
from .completions import token_text
from .served import Served

# Exceeds the timeouts of all callers.
STALL_SECONDS = 3600.0


@dataclasses.dataclass
class Behaviour:
    """Performance and faults of the engine.

    :param token_seconds: duration of a batch step.
    :param load_seconds: duration of loading a model.
    :param truncate_after: number of tokens after which answers end cleanly; 0 for never.
    :param stall_after: number of tokens after which answers stall; 0 for never.
    :param foreign_identity: whether answers carry another request's id.
    :param stamp: whether each token is replaced by its sending time, for benchmarks.
    :param spread: whether requests run independently of each other instead of in a batch.
    """

    token_seconds: float = 0.01
    load_seconds: float = 0.05
    truncate_after: int = 0
    stall_after: int = 0
    foreign_identity: bool = False
    stamp: bool = False
    spread: bool = False


@dataclasses.dataclass
class Assignment:
    """The newest order that the engine accepted."""

    epoch: int = 0
    group: str = ""
    generation: int = 0
    rank: int = -1
    model: str = ""
    version: str = ""


class Engine:
    """The engine of one instance.

    :param instance: the instance's id.
    """

    def __init__(self, instance: str, behaviour: Behaviour | None = None) -> None:
        self.instance = instance
        self.boot = uuid.uuid4().hex
        self.behaviour = behaviour or Behaviour()
        self.assignment = Assignment()
        self._ready_at = 0.0
        self._batch = Batch(self.behaviour.token_seconds)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._handle_chat),
                web.post("/v1/orders", self._handle_order),
                web.get("/v1/state", self._handle_state),
                web.post("/behaviour", self._handle_behaviour),
            ]
        )
        app.on_shutdown.append(self._stop)
        return app

    def update_behaviour(self, **changes: t.Any) -> None:
        """Change fields of the behaviour."""
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        self._batch.token_seconds = self.behaviour.token_seconds

    async def _stop(self, app: web.Application) -> None:
        self._batch.stop()

    async def _handle_behaviour(self, request: web.Request) -> web.Response:
        self.update_behaviour(**(await request.json()))
        return web.json_response(dataclasses.asdict(self.behaviour))

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = Assignment(**(await request.json()))
        stale = (order.epoch, order.generation) < (
            self.assignment.epoch,
            self.assignment.generation,
        )
        if stale:
            body = {"epoch": self.assignment.epoch}
            return web.json_response(body, status=409)
        current = (self.assignment.model, self.assignment.version, self.assignment.rank)
        if current != (order.model, order.version, order.rank):
            self._ready_at = time.monotonic() + self.behaviour.load_seconds
        self.assignment = order
        return web.json_response({"instance": self.instance})

    async def _handle_state(self, request: web.Request) -> web.Response:
        body = {
            "instance": self.instance,
            "boot": self.boot,
            "ready": time.monotonic() >= self._ready_at,
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            **dataclasses.asdict(self.assignment),
        }
        return web.json_response(body)

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.assignment.rank != 0 or body.get("model") != self.assignment.model:
            error = {"error": {"message": f"not serving {body.get('model')!r}"}}
            return web.json_response(error, status=404)
        prompt = prompt_tokens(body)
        identity = request.headers.get("X-Request-Id", uuid.uuid4().hex)
        token_count = int(body.get("max_tokens") or 16)
        next_index = int(body.get("resume_from") or 0)
        job = Job(uuid.uuid4().hex, prompt, token_count, next_index, asyncio.Queue())
        if self.behaviour.spread:
            self._batch.start_unbatched(job)
        else:
            self._batch.start(job, int(body.get("priority") or 0))
        if self.behaviour.foreign_identity:
            identity = "another-request"
        answer = Answer(f"chatcmpl-{identity}", body, prompt)
        try:
            if body.get("stream"):
                return await self._stream(request, job, answer)
            return await self._complete(job, answer)
        finally:
            self._batch.cancel(job)

    async def _token_indices(self, job: Job) -> t.AsyncIterator[int]:
        count = 0
        while (index := await job.indices.get()) is not None:
            yield index
            count += 1
            if self.behaviour.stall_after and count >= self.behaviour.stall_after:
                await asyncio.sleep(STALL_SECONDS)
            if self.behaviour.truncate_after and count >= self.behaviour.truncate_after:
                raise EOFError

    def _text(self, job: Job, index: int) -> str:
        if self.behaviour.stamp:
            return f"{time.monotonic():014.6f} "
        return token_text(job.prompt, index)

    async def _stream(self, request: web.Request, job: Job, answer: Answer) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        try:
            async for index in self._token_indices(job):
                await response.write(answer.chunk(self._text(job, index)))
            await response.write(answer.chunk("", finished=True))
            await response.write(b"data: [DONE]\n\n")
        except EOFError:
            pass
        return response

    async def _complete(self, job: Job, answer: Answer) -> web.Response:
        texts: list[str] = []
        finish_reason = "stop"
        try:
            async for index in self._token_indices(job):
                texts.append(token_text(job.prompt, index))
        except EOFError:
            finish_reason = ""
        return web.json_response(
            answer.completion("".join(texts), len(texts), finish_reason or None)
        )


async def serve(engine: Engine, host: str = "127.0.0.1", port: int = 0) -> Served:
    """Serve an engine; port 0 takes a free one."""
    return await Served.start(engine.application(), host, port)
