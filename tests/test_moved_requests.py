"""Requests whose group has closed move, however many run in it; failing endpoints are throttled."""

import asyncio
import collections
import types

import pytest

from thorncleat_core import clock
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
