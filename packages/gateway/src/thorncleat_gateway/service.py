"""The base class of all services of a daemon, which live on when one of their tasks fails.

The library marks a service whose task raises as crashed, with its parents and all their children.
Each loop that asks ``should_stop`` would then end, and the process would serve on with what it
knew. Here a background task that raises is logged and begun again after a pause, and a future that
raises is logged.

Owns: the restarts of background tasks.
Relies on: each task to keep its state in its service, so that it can begin again at any point.
"""

import asyncio
import functools
import typing as t

import mode
from mode.services import ServiceTask

from .failures import FailureLog

# Pause before a failed task begins again, which doubles with each further failure.
MIN_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 5.0
# A task that has run for this long before it fails begins again after the shortest pause.
STEADY_SECONDS = 10.0

TaskFunction = t.Callable[[t.Any], t.Coroutine[t.Any, t.Any, None]]


class Service(mode.Service):
    """A service that no exception of a task or a future ends."""

    def __init__(self) -> None:
        super().__init__()
        self._failures = FailureLog()

    async def crash(self, reason: BaseException) -> None:
        """Log an exception of a future; the service goes on.

        Overrides the library, which would end the whole tree of services. An error of a start is
        raised to whoever starts the service, and doesn't come here.
        """
        self._failures.record(type(self).__name__, reason)

    def add_future(self, coro: t.Awaitable[t.Any]) -> asyncio.Future[t.Any]:
        """Run something in the background; an exception of it is logged."""
        return super().add_future(self._log_cancelled(coro))

    async def _log_cancelled(self, work: t.Awaitable[t.Any]) -> None:
        """Await a future, and log if what it waits for is cancelled, which the library hides."""
        try:
            await work
        except asyncio.CancelledError as error:
            if is_being_cancelled():
                raise
            self._failures.record(type(self).__name__, error)

    async def run_task(self, name: str, run: t.Callable[[], t.Awaitable[None]]) -> None:
        """Run a background task until it returns, which ends it for good, or this service stops.

        :param name: the task's name in the log.
        :param run: runs the task from its begin.
        """
        loop = asyncio.get_running_loop()
        pause = MIN_RESTART_SECONDS
        while not self.should_stop:
            begun_at = loop.time()
            try:
                await run()
                return
            except asyncio.CancelledError as error:
                if is_being_cancelled():
                    raise
                # Something that the task waited for was cancelled, not the task.
                self._failures.record(name, error)
            except Exception as error:
                self._failures.record(name, error)
            if loop.time() - begun_at >= STEADY_SECONDS:
                pause = MIN_RESTART_SECONDS
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RESTART_SECONDS)


def is_being_cancelled() -> bool:
    """Return whether the running task is to end, rather than something that it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def background_task(function: TaskFunction) -> ServiceTask:
    """Make a method of a :class:`Service` one of its background tasks."""

    @functools.wraps(function)
    async def run(service: Service) -> None:
        name = f"{type(service).__name__}.{function.__name__}"
        await service.run_task(name, functools.partial(function, service))

    return ServiceTask(run)
