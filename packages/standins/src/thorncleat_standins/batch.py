"""Continuous batching of a model engine's requests.

Owns: the running and waiting requests, and the tasks that produce tokens.
Relies on: readers that keep up, since the queues of tokens are unbounded.
"""

import asyncio
import dataclasses
import heapq
import itertools

MAX_BATCH_REQUESTS = 512


@dataclasses.dataclass
class Job:
    """A request in the engine.

    :param token_count: number of tokens in the whole answer.
    :param next_index: index of the next token.
    :param indices: queue of token indices, with None at the end.
    """

    id: str
    prompt: list[str]
    token_count: int
    next_index: int
    indices: "asyncio.Queue[int | None]"


class Batch:
    """Produces one token for each running request in each step.

    :param token_seconds: duration of a step.
    """

    def __init__(self, token_seconds: float) -> None:
        self._running: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._unbatched_tasks: set[asyncio.Task[None]] = set()
        self._batch_task: asyncio.Task[None] | None = None
        self.token_seconds = token_seconds

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def start(self, job: Job, priority: int) -> None:
        """Queue a request for the batch.

        :param priority: higher priorities run first.
        """
        heapq.heappush(self._waiting, (-priority, next(self._sequence), job))
        if self._batch_task is None or self._batch_task.done():
            self._batch_task = asyncio.create_task(self._run_batch())

    def start_unbatched(self, job: Job) -> None:
        """Run a request at once, independently of the batch."""
        self._running[job.id] = job
        task = asyncio.create_task(self._run_unbatched(job))
        self._unbatched_tasks.add(task)
        task.add_done_callback(self._unbatched_tasks.discard)

    def cancel(self, job: Job) -> None:
        """Remove a request."""
        self._running.pop(job.id, None)
        self._waiting = [entry for entry in self._waiting if entry[2] is not job]
        heapq.heapify(self._waiting)

    def stop(self) -> None:
        """Stop the batch."""
        if self._batch_task:
            self._batch_task.cancel()

    async def _run_batch(self) -> None:
        while self._running or self._waiting:
            while self._waiting and len(self._running) < MAX_BATCH_REQUESTS:
                job = heapq.heappop(self._waiting)[2]
                self._running[job.id] = job
            await asyncio.sleep(self.token_seconds)
            for job in list(self._running.values()):
                if job.next_index >= job.token_count:
                    job.indices.put_nowait(None)
                    del self._running[job.id]
                else:
                    job.indices.put_nowait(job.next_index)
                    job.next_index += 1

    async def _run_unbatched(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        next_token_at = loop.time()
        while job.id in self._running and job.next_index < job.token_count:
            next_token_at += self.token_seconds
            await asyncio.sleep(next_token_at - loop.time())
            job.indices.put_nowait(job.next_index)
            job.next_index += 1
        self._running.pop(job.id, None)
        job.indices.put_nowait(None)
