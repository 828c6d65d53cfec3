"""Running a request in a group and retrying it in others where that is safe.

Owns: the running calls of each group, and the retry budget.
Relies on: permits (:mod:`.permits`) for whether a group may answer; errors that say whether a
request ran.
"""

import asyncio
import typing as t

from thorncleat_core import clock
from thorncleat_core.daemon.retries import RetryThrottle
from thorncleat_core.daemon.retries import can_retry

from . import events
from . import retry_after
from .callers import Caller
from .dispatch import Dispatcher
from .dispatch import Slot
from .dispatch import SlotRequest
from .exceptions import RequestError
from .metrics import Metrics
from .permits import PermitManager

MAX_ATTEMPTS = 4
# Causes of failures after which another group is tried.
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
# Causes that take no token of the retry budget: the group has stopped the request itself, so a move
# adds no load to it, and permits limit what the others get.
UNTHROTTLED_CAUSES = frozenset({"group_closed"})
_GROUP_CLOSED_MESSAGE = "group closed"
Answer = t.TypeVar("Answer")
SlotRequestFactory = t.Callable[[frozenset[str]], SlotRequest]
SendToGroup = t.Callable[[Slot], t.Coroutine[t.Any, t.Any, Answer]]


def group_closed_error(slot: Slot) -> RequestError:
    """Return the error of a call whose group may no longer answer."""
    return RequestError(
        503,
        "Group closed",
        f"group {slot.group!r} lost a member",
        executed="unknown",
        retry_after=retry_after.GROUP_CLOSED,
        cause="group_closed",
    )


class Attempts:
    """Runs requests in groups and cancels the calls of a group as soon as it closes."""

    def __init__(self, dispatcher: Dispatcher, permits: PermitManager, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._permits = permits
        self._metrics = metrics
        self._retries = RetryThrottle()
        self._running: dict[str, set[asyncio.Task[t.Any]]] = {}
        permits.on_closed(self._cancel_calls)

    async def run(
        self,
        caller: Caller,
        slot_request_factory: SlotRequestFactory,
        work: SendToGroup[Answer],
        progress: t.Callable[[], int] = lambda: 0,
    ) -> Answer:
        """Run a request until it is answered or can't be retried.

        :param slot_request_factory: returns the request's requirements, given the groups to avoid.
        :param work: sends the request to the group of a slot.
        :param progress: returns how many events the caller has got.
        :raises RequestError: the error of the last attempt; it says whether the request ran.
        """
        failed: set[str] = set()
        attempt, events_before = 0, progress()
        while True:
            attempt += 1
            slot = await self._dispatcher.acquire(slot_request_factory(frozenset(failed)))
            try:
                answer = await self._run_until_closed(slot, work(slot))
                self._dispatcher.ejection.record_success(slot.group)
                self._retries.record_success()
                return answer
            except RequestError as error:
                self._record_failure(slot, error, failed)
                if error.cause in UNTHROTTLED_CAUSES and progress() > events_before:
                    # A long stream may outlive many groups; its deadline bounds it.
                    attempt, events_before = 1, progress()
                if not self._reserve_retry(caller, error, attempt):
                    raise
                events.REQUEST_MOVED.log(request=caller.id, cause=error.cause)
            finally:
                self._dispatcher.release(slot)

    def permitted_until(self, slot: Slot) -> float:
        """Return the end of the permit of a call's group; 0 if the group may not answer now."""
        held = self._permits.permit(slot.group)
        if held and held.permit.generation == slot.generation and held.is_usable(clock.now()):
            return held.until
        return 0.0

    def check_permit(self, slot: Slot) -> None:
        """Check that a group may answer; call this right before its answer is forwarded.

        :raises RequestError: if the group may not answer.
        """
        if not self.permitted_until(slot):
            raise group_closed_error(slot)

    def _cancel_calls(self, group: str) -> None:
        """Cancel the running calls of a group that may no longer answer."""
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
            self._dispatcher.ejection.record_failure(slot.group, clock.now())

    def _reserve_retry(self, caller: Caller, error: RequestError, attempt: int) -> bool:
        if error.cause not in RETRIED_CAUSES or not can_retry(
            error.executed,
            repeatable=caller.repeatable,
            attempt=attempt,
            max_attempts=MAX_ATTEMPTS,
            seconds_left=caller.seconds_left(),
        ):
            return False
        if error.cause not in UNTHROTTLED_CAUSES and not self._retries.try_acquire():
            return False
        self._metrics.retries.labels(error.cause).inc()
        return True
