"""The background jobs of a controller's term.

Owns: their tasks, until they end or the term does.
Relies on: the event loop. A job that fails is logged and ends; the next plan starts what is still
needed.
"""

import asyncio
import typing as t

from thorncleat_core.exceptions import LeaseError
from thorncleat_core.exceptions import ThorncleatError

from .. import events
from ..failures import FailureLog
from ..service import is_being_cancelled

Work = t.Coroutine[t.Any, t.Any, None]
# Starts a coroutine as a background job of a term.
Start = t.Callable[[Work], None]


class Jobs:
    """Starts background jobs and cancels those that still run.

    :param wake: makes the controller plan again; called when a job has ended.
    """

    def __init__(self, wake: t.Callable[[], None]) -> None:
        self._wake = wake
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures = FailureLog()

    def start(self, work: Work) -> None:
        """Start a coroutine as a background job."""
        task = asyncio.get_running_loop().create_task(self._run_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all running jobs."""
        for task in self._tasks:
            task.cancel()

    async def _run_logged(self, work: Work) -> None:
        try:
            await work
        except LeaseError:
            # Expected at the end of a term, when the next controller takes over.
            pass
        except ThorncleatError as error:
            events.TASK_FAILED.log(task="orders", reason=str(error))
        except asyncio.CancelledError as error:
            if is_being_cancelled():
                raise
            # Something that the job waited for was cancelled, not the job.
            self._failures.record("orders", error)
        except Exception as error:
            self._failures.record("orders", error)
        self._wake()
