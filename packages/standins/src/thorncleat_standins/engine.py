"""A model engine of one instance: batches continuously, streams, takes fenced orders.

The engine answers callers also while other members of its group are gone, which a real one
could not: the worst case for the daemon, which has to close the group itself.
"""

import asyncio
import dataclasses
import hashlib
import heapq
import itertools
import json
import time
import typing as t
import uuid

from aiohttp import web

from .served import Served

# requests that one batch step advances; chosen, not measured
BATCH_REQUESTS = 512


@dataclasses.dataclass
class Behaviour:
    """How the engine performs and misbehaves.

    :param token_seconds: time of one batch step.
    :param load_seconds: time to load a model.
    :param truncate_after: end each answer cleanly after so many tokens; 0 for never.
    :param stall_after: go silent after so many tokens; 0 for never.
    :param foreign_identity: answer with another request's identity.
    :param spread: let each request have steps of its own instead of all at once.
    :param stamp: put the time of sending into each token, for benchmarks.
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
    """The newest order that the engine follows."""

    epoch: int = 0
    group: str = ""
    generation: int = 0
    rank: int = -1
    model: str = ""
    version: str = ""


@dataclasses.dataclass
class Job:
    """A request in the engine."""

    id: str
    prompt: list[str]
    wanted: int
    sent: int
    out: "asyncio.Queue[int | None]"


def token_text(prompt: list[str], index: int) -> str:
    """Return the token at an index of the answer; any replica gives the same one."""
    seed = hashlib.blake2b(" ".join(prompt).encode() + index.to_bytes(4, "big"), digest_size=3)
    return f"{seed.hexdigest()} "


def _prompt_tokens(body: dict[str, t.Any]) -> list[str]:
    texts = [str(message.get("content", "")) for message in body.get("messages", [])]
    return " ".join(texts).split()


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
        self._running: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._alone: set[asyncio.Task[None]] = set()
        self._stepper: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._chat),
                web.post("/v1/orders", self._order),
                web.get("/v1/state", self._state),
                web.post("/behaviour", self._behave),
            ]
        )
        app.on_shutdown.append(self._stop)
        return app

    def change(self, **changes: t.Any) -> None:
        """Change how the engine behaves from now on."""
        self.behaviour = dataclasses.replace(self.behaviour, **changes)

    async def _stop(self, app: web.Application) -> None:
        if self._stepper:
            self._stepper.cancel()

    async def _behave(self, request: web.Request) -> web.Response:
        self.change(**(await request.json()))
        return web.json_response(dataclasses.asdict(self.behaviour))

    async def _order(self, request: web.Request) -> web.Response:
        order = Assignment(**(await request.json()))
        stale = (order.epoch, order.generation) < (
            self.assignment.epoch,
            self.assignment.generation,
        )
        if stale:
            body = {"epoch": self.assignment.epoch}
            return web.json_response(body, status=409)
        loaded = (self.assignment.model, self.assignment.version, self.assignment.rank)
        if loaded != (order.model, order.version, order.rank):
            self._ready_at = time.monotonic() + self.behaviour.load_seconds
        self.assignment = order
        return web.json_response({"instance": self.instance})

    async def _state(self, request: web.Request) -> web.Response:
        body = {
            "instance": self.instance,
            "boot": self.boot,
            "ready": time.monotonic() >= self._ready_at,
            "running": len(self._running),
            "waiting": len(self._waiting),
            **dataclasses.asdict(self.assignment),
        }
        return web.json_response(body)

    async def _step_alone(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while job.id in self._running and job.sent < job.wanted:
            due += self.behaviour.token_seconds
            await asyncio.sleep(due - loop.time())
            job.out.put_nowait(job.sent)
            job.sent += 1
        self._running.pop(job.id, None)
        job.out.put_nowait(None)

    async def _step(self) -> None:
        while self._running or self._waiting:
            while self._waiting and len(self._running) < BATCH_REQUESTS:
                job = heapq.heappop(self._waiting)[2]
                self._running[job.id] = job
            await asyncio.sleep(self.behaviour.token_seconds)
            for job in list(self._running.values()):
                if job.sent >= job.wanted:
                    job.out.put_nowait(None)
                    del self._running[job.id]
                else:
                    job.out.put_nowait(job.sent)
                    job.sent += 1

    def _start(self, job: Job, priority: int) -> None:
        if self.behaviour.spread:
            self._running[job.id] = job
            task = asyncio.create_task(self._step_alone(job))
            self._alone.add(task)
            task.add_done_callback(self._alone.discard)
            return
        heapq.heappush(self._waiting, (-priority, next(self._sequence), job))
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._step())

    def _cancel(self, job: Job) -> None:
        self._running.pop(job.id, None)
        self._waiting = [entry for entry in self._waiting if entry[2] is not job]
        heapq.heapify(self._waiting)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.assignment.rank != 0 or body.get("model") != self.assignment.model:
            message = {"error": {"message": f"not serving {body.get('model')!r}"}}
            return web.json_response(message, status=404)
        prompt = _prompt_tokens(body)
        identity = request.headers.get("X-Request-Id", uuid.uuid4().hex)
        wanted = int(body.get("max_tokens") or 16)
        first = int(body.get("resume_from") or 0)
        job = Job(uuid.uuid4().hex, prompt, wanted, first, asyncio.Queue())
        self._start(job, int(body.get("priority") or 0))
        if self.behaviour.foreign_identity:
            identity = "another-request"
        answer = Answer(f"chatcmpl-{identity}", body, prompt)
        try:
            if body.get("stream"):
                return await self._stream(request, job, answer)
            return await self._whole(job, answer)
        finally:
            self._cancel(job)

    async def _tokens(self, job: Job) -> t.AsyncIterator[int]:
        count = 0
        while (index := await job.out.get()) is not None:
            yield index
            count += 1
            if self.behaviour.stall_after and count >= self.behaviour.stall_after:
                await asyncio.sleep(3600)
            if self.behaviour.truncate_after and count >= self.behaviour.truncate_after:
                raise EOFError

    def _text(self, job: Job, index: int) -> str:
        if self.behaviour.stamp:
            return f"{time.monotonic():014.6f} "
        return token_text(job.prompt, index)

    async def _stream(self, request: web.Request, job: Job, answer: "Answer") -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        try:
            async for index in self._tokens(job):
                await response.write(answer.chunk(self._text(job, index)))
            await response.write(answer.chunk("", finished=True))
            await response.write(b"data: [DONE]\n\n")
        except EOFError:
            pass
        return response

    async def _whole(self, job: Job, answer: "Answer") -> web.Response:
        texts: list[str] = []
        finish = "stop"
        try:
            async for index in self._tokens(job):
                texts.append(token_text(job.prompt, index))
        except EOFError:
            finish = ""
        return web.json_response(answer.whole("".join(texts), len(texts), finish or None))


class Answer:
    """Formats an answer in the OpenAI form."""

    def __init__(self, identity: str, body: dict[str, t.Any], prompt: list[str]) -> None:
        self._head = {"id": identity, "created": int(time.time()), "model": body["model"]}
        self._prompt_tokens = len(prompt)

    def chunk(self, text: str, finished: bool = False) -> bytes:
        """Return one server-sent event."""
        delta = {} if finished else {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": "stop" if finished else None}
        body = {**self._head, "object": "chat.completion.chunk", "choices": [choice]}
        return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"

    def whole(self, text: str, count: int, finish: str | None) -> dict[str, t.Any]:
        """Return a whole answer."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish}
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self._prompt_tokens + count,
        }
        return {**self._head, "object": "chat.completion", "choices": [choice], "usage": usage}


async def serve(engine: Engine, host: str = "127.0.0.1", port: int = 0) -> Served:
    """Start an engine on a port; 0 takes a free one."""
    return await Served.start(engine.application(), host, port)
