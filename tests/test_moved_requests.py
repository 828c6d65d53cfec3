"""Requests whose group has closed move, however many run in it; failing endpoints are throttled."""

import asyncio
import collections
import types

import pytest

from thorncleat_core import clock
from thorncleat_daemon.attempts import MAX_ATTEMPTS
from thorncleat_daemon.attempts import Attempts
from thorncleat_daemon.callers import Caller
from thorncleat_daemon.dispatch import Slot
from thorncleat_daemon.exceptions import RequestError
from thorncleat_daemon.upstream import answer_lost_error

# More than the retries that a daemon has saved up.
REQUESTS = 30
DEADLINE_SECONDS = 60.0


class _Permits:
    """Permits of one group at a time, which a test can close."""

    def __init__(self) -> None:
        self._listeners = []

    def on_closed(self, listener) -> None:
        self._listeners.append(listener)

    def close(self, group: str) -> None:
        for listener in self._listeners:
            listener(group)


class _Dispatcher:
    """Assigns the group that is open."""

    def __init__(self) -> None:
        self.open_group = "g-0"
        self.ejection = types.SimpleNamespace(
            record_success=lambda group: None, record_failure=lambda group, now: None
        )

    async def acquire(self, avoid: frozenset[str]) -> Slot:
        return Slot(self.open_group, 1, "leader:1", "growers", 1)

    def release(self, slot: Slot) -> None:
        pass


class _Metrics:
    def __init__(self) -> None:
        self.counts = collections.Counter()
        self.retries = types.SimpleNamespace(labels=self._counter)

    def _counter(self, cause: str):
        return types.SimpleNamespace(inc=lambda: self.counts.update([cause]))


def _caller(number: int) -> Caller:
    return Caller(f"r{number}", None, clock.now() + DEADLINE_SECONDS, 5, True, None)


async def _run(attempts: Attempts, work) -> list[object]:
    """Run the requests together; return their answers and errors."""
    calls = [attempts.run(_caller(number), lambda avoid: avoid, work) for number in range(REQUESTS)]
    return await asyncio.gather(*calls, return_exceptions=True)


async def _group_closes() -> tuple[list[object], _Metrics]:
    permits, dispatcher, metrics = _Permits(), _Dispatcher(), _Metrics()
    attempts = Attempts(dispatcher, permits, metrics)
    running = asyncio.Event()
    started = []

    async def work(slot: Slot) -> str:
        if slot.group == "g-1":
            return slot.group
        started.append(slot)
        if len(started) == REQUESTS:
            running.set()
        return await asyncio.Event().wait()

    answers = asyncio.ensure_future(_run(attempts, work))
    await running.wait()
    dispatcher.open_group = "g-1"
    permits.close("g-0")
    return await answers, metrics


async def test_all_requests_of_a_closed_group_move():
    """Of 20 streams of a daemon only 10 moved, and the others ended within their answers."""
    answers, metrics = await _group_closes()
    assert answers == ["g-1"] * REQUESTS
    assert metrics.counts == {"group_closed": REQUESTS}


async def test_requests_of_a_failing_endpoint_are_throttled():
    attempts = Attempts(_Dispatcher(), _Permits(), _Metrics())
    sends = []

    async def work(slot: Slot) -> str:
        sends.append(slot)
        raise answer_lost_error("http://leader:1", TimeoutError())

    answers = await _run(attempts, work)
    assert all(isinstance(answer, RequestError) for answer in answers)
    assert len(sends) == pytest.approx(REQUESTS + 10)


async def _groups_close(closings: int, *, events_in_each: int) -> tuple[object, int]:
    """Close each group that a stream comes to; return its result and its number of groups.

    :param events_in_each: events that its caller gets in each group.
    """
    permits, dispatcher = _Permits(), _Dispatcher()
    attempts = Attempts(dispatcher, permits, _Metrics())
    events, groups = [], []

    async def work(slot: Slot) -> str:
        groups.append(slot.group)
        events.extend([slot.group] * events_in_each)
        if len(groups) <= closings:
            asyncio.get_running_loop().call_soon(permits.close, slot.group)
            await asyncio.Event().wait()
        return "whole"

    call = attempts.run(_caller(0), lambda avoid: avoid, work, lambda: len(events))
    (result,) = await asyncio.gather(call, return_exceptions=True)
    return result, len(groups)


async def test_stream_that_goes_on_outlives_many_groups():
    """A long stream ended within its answer when its fourth group closed."""
    result, groups = await _groups_close(12, events_in_each=1)
    assert result == "whole"
    assert groups == 13


async def test_stream_that_gets_no_event_ends_after_four_groups():
    result, groups = await _groups_close(12, events_in_each=0)
    assert isinstance(result, RequestError)
    assert result.cause == "group_closed"
    assert groups == MAX_ATTEMPTS
