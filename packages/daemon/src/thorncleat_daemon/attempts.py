"""Trying a request in one group after another, where that is safe.

Owns: the calls that run in each group, and the retries left.
Relies on: permits (:mod:`.permits`) to say whether a group may answer; errors to say whether a
request ran.
"""

import asyncio
import typing as t

from thorncleat_core import clock
from thorncleat_core.daemon.retries import RetryThrottle
from thorncleat_core.daemon.retries import may_send_again

from . import events
from . import retry_after
from .callers import Caller
from .dispatch import Dispatcher
from .dispatch import Slot
from .dispatch import SlotRequest
from .exceptions import RequestError
from .metrics import Metrics
from .permits import PermitManager

# groups that a request is tried in
MAX_ATTEMPTS = 4
RETRIED_CAUSES = frozenset(
    {
        "endpoint_unreachable",
        "answer_lost",
        "engine_refused",
        "engine_failed",
        "broken_answer",
        "group_closed",
    }
)
_GROUP_CLOSED_MESSAGE = "group closed"
Answer = t.TypeVar("Answer")
SlotRequestFactory = t.Callable[[frozenset[str]], SlotRequest]
SendToGroup = t.Callable[[Slot], t.Coroutine[t.Any, t.Any, Answer]]


def group_closed_error(slot: Slot) -> RequestError:
    """Return what ends a call in a group that may not answer any more."""
    return RequestError(
        503,
        "Group closed",
        f"group {slot.group!r} lost a member",
        executed="unknown",
        retry_after=retry_after.GROUP_CLOSED,
        cause="group_closed",
    )


class Attempts:
    """Runs requests in groups; ends a call at once when its group is closed."""

    def __init__(self, dispatcher: Dispatcher, permits: PermitManager, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._permits = permits
        self._metrics = metrics
        self._retries = RetryThrottle()
        self._running: dict[str, set[asyncio.Task[t.Any]]] = {}
        permits.on_closed(self._cancel_calls)

    async def run(
        self, caller: Caller, slot_request_factory: SlotRequestFactory, work: SendToGroup[Answer]
    ) -> Answer:
        """Run a request until it is answered or may not be tried again.

        :param slot_request_of: what the request needs, given the groups that failed it.
        :param work: sends it to a group.
        :raises RequestError: of the last attempt; it says whether the request ran.
        """
        failed: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            slot = await self._dispatcher.acquire(slot_request_factory(frozenset(failed)))
            try:
                answer = await self._run_until_closed(slot, work(slot))
                self._dispatcher.ejection.succeeded(slot.group)
                self._retries.succeeded()
                return answer
            except RequestError as error:
                self._record_failure(slot, error, failed)
                if not self._reserve_retry(caller, error, attempt):
                    raise
                events.REQUEST_MOVED.log(request=caller.id, cause=error.cause)
            finally:
                self._dispatcher.release(slot)
        raise AssertionError("the last attempt returns or raises")

    def permitted_until(self, slot: Slot) -> float:
        """Return until when the group of a call may answer; 0 if it may not now."""
        held = self._permits.permit(slot.group)
        if held and held.permit.generation == slot.generation and held.usable(clock.now()):
            return held.until
        return 0.0

    def check_permit(self, slot: Slot) -> None:
        """Make sure that a group may answer, right before its answer is passed on.

        :raises RequestError: if it may not.
        """
        if not self.permitted_until(slot):
            raise group_closed_error(slot)

    def _cancel_calls(self, group: str) -> None:
        """End the calls that run in a group which may not answer any more."""
        for task in self._running.pop(group, set()):
            task.cancel(_GROUP_CLOSED_MESSAGE)

    async def _run_until_closed(
        self, slot: Slot, work: t.Coroutine[t.Any, t.Any, Answer]
    ) -> Answer:
        task = asyncio.ensure_future(work)
        self._running.setdefault(slot.group, set()).add(task)
        try:
            return await task
        except asyncio.CancelledError as error:
            current = asyncio.current_task()
            if _GROUP_CLOSED_MESSAGE in error.args and not (current and current.cancelling()):
                raise group_closed_error(slot) from None
            task.cancel()
            raise
        finally:
            self._running.get(slot.group, set()).discard(task)

    def _record_failure(self, slot: Slot, error: RequestError, failed: set[str]) -> None:
        failed.add(slot.group)
        if error.cause in RETRIED_CAUSES:
            self._dispatcher.ejection.failed(slot.group, clock.now())

    def _reserve_retry(self, caller: Caller, error: RequestError, attempt: int) -> bool:
        if error.cause not in RETRIED_CAUSES or not may_send_again(
            error.executed,
            repeatable=caller.repeatable,
            attempt=attempt,
            most=MAX_ATTEMPTS,
            seconds_left=caller.seconds_left(),
        ):
            return False
        if not self._retries.take():
            return False
        self._metrics.retries.labels(error.cause).inc()
        return True
