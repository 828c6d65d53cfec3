"""Logs unexpected errors, at a bounded rate.

An error that comes again at each pass of a loop must not fill the log, and one of another kind
must still be seen. So the lines of each kind, which is a task and a place in the code, are limited.

Owns: the counts of errors.
Relies on: nothing.
"""

import asyncio
import collections
import contextlib
import dataclasses
import traceback
import typing as t

from thorncleat_core import clock as boot_clock
from thorncleat_core.clock import Clock

from . import events

# A kind of error that goes on is logged at least this often, besides each time its count doubles.
LOG_INTERVAL_SECONDS = 60.0
# Innermost calls in a log line.
MAX_LOGGED_CALLS = 4
# Longest part of an error in a log line; it may hold a value from outside.
MAX_REASON_CHARACTERS = 300


@dataclasses.dataclass
class _Kind:
    """How often one kind of error has come.

    :ivar logged_at: time of its latest log line, in seconds.
    """

    count: int = 0
    logged_at: float = float("-inf")


class FailureLog:
    """Counts and logs unexpected errors.

    :param clock: a clock that never goes back, in seconds.
    :cvar total: number of errors of all logs of this process, logged or not, for its metric.
    """

    total: t.ClassVar[int] = 0

    def __init__(self, clock: Clock = boot_clock.now) -> None:
        self._clock = clock
        self._kinds: dict[tuple[str, str], _Kind] = collections.defaultdict(_Kind)

    def record(
        self, task: str, error: BaseException, *, request: str = "", endpoint: str = ""
    ) -> None:
        """Count an error, and log it unless errors of its kind have just been logged.

        :param task: what failed; a constant, since it is kept for good.
        :param request: id of the request that it failed for, if any.
        :param endpoint: id of the endpoint that it failed for, if any.
        """
        FailureLog.total += 1
        place = _place(error)
        kind = self._kinds[task, place]
        kind.count += 1
        now = self._clock()
        has_doubled = kind.count.bit_count() == 1
        if not has_doubled and now - kind.logged_at < LOG_INTERVAL_SECONDS:
            return
        kind.logged_at = now
        events.TASK_FAILED.log(
            task=task,
            reason=_reason(error),
            place=place,
            count=kind.count,
            request=request,
            endpoint=endpoint,
        )

    @contextlib.contextmanager
    def contain(self, task: str) -> t.Iterator[None]:
        """Log an error within the context, so that what follows goes on.

        :param task: as for :meth:`record`.
        """
        try:
            yield
        except Exception as error:
            self.record(task, error)


class LoopErrors:
    """Logs the errors of callbacks and forgotten tasks, which nobody awaits."""

    def __init__(self) -> None:
        self._failures = FailureLog()

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, t.Any]) -> None:
        """Log what an event loop passes to its exception handler."""
        error = context.get("exception") or RuntimeError(context["message"])
        self._failures.record("event loop", error)


def _reason(error: BaseException) -> str:
    """Return an error's text, or its kind if the value that it holds has no text."""
    try:
        return repr(error)[:MAX_REASON_CHARACTERS]
    except Exception:
        # The logging of an error must not end what the error itself doesn't end.
        return type(error).__name__


def _place(error: BaseException) -> str:
    """Return the innermost calls in which an error was raised, the innermost one last."""
    calls = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_CALLS:]
    return " > ".join(
        f"{call.filename.rpartition('/')[2]}:{call.lineno} {call.name}" for call in calls
    )
