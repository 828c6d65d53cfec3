"""The batch of a model engine: the requests that run, those that wait, and their tokens.

Owns: both, and the tasks that make tokens.
Relies on: whoever reads a job's queue; nothing holds a job back while its reader is slow.
"""

import asyncio
import dataclasses
import heapq
import itertools

# requests that one batch step advances
BATCH_REQUESTS = 512


@dataclasses.dataclass
class Job:
    """A request in the engine.

    :param wanted: tokens of the whole answer.
    :param sent: index of the next token.
    :param out: where indices of tokens come out, and None at the end.
    """

    id: str
    prompt: list[str]
    wanted: int
    sent: int
    out: "asyncio.Queue[int | None]"


class Batch:
    """Continuous batching: each step makes one token for each request that runs.

    :param token_seconds: time of one step.
    """

    def __init__(self, token_seconds: float) -> None:
        self._running: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._alone: set[asyncio.Task[None]] = set()
        self._stepper: asyncio.Task[None] | None = None
        self.token_seconds = token_seconds

    @property
    def running(self) -> int:
        """How many requests run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def start(self, job: Job, priority: int) -> None:
        """Let a request run, or wait for its turn.

        :param priority: higher ones run first.
        """
        heapq.heappush(self._waiting, (-priority, next(self._sequence), job))
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._step())

    def start_alone(self, job: Job) -> None:
        """Let a request run at once with steps of its own."""
        self._running[job.id] = job
        task = asyncio.create_task(self._step_alone(job))
        self._alone.add(task)
        task.add_done_callback(self._alone.discard)

    def cancel(self, job: Job) -> None:
        """Forget a request."""
        self._running.pop(job.id, None)
        self._waiting = [entry for entry in self._waiting if entry[2] is not job]
        heapq.heapify(self._waiting)

    def stop(self) -> None:
        """Make no more tokens."""
        if self._stepper:
            self._stepper.cancel()

    async def _step(self) -> None:
        while self._running or self._waiting:
            while self._waiting and len(self._running) < BATCH_REQUESTS:
                job = heapq.heappop(self._waiting)[2]
                self._running[job.id] = job
            await asyncio.sleep(self.token_seconds)
            for job in list(self._running.values()):
                if job.sent >= job.wanted:
                    job.out.put_nowait(None)
                    del self._running[job.id]
                else:
                    job.out.put_nowait(job.sent)
                    job.sent += 1

    async def _step_alone(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while job.id in self._running and job.sent < job.wanted:
            due += self.token_seconds
            await asyncio.sleep(due - loop.time())
            job.out.put_nowait(job.sent)
            job.sent += 1
        self._running.pop(job.id, None)
        job.out.put_nowait(None)
