"""Services whose tasks and futures fail: what goes on, and what is logged."""

import asyncio

import pytest

from thorncleat_gateway import events
from thorncleat_gateway import failures
from thorncleat_gateway import service
from thorncleat_gateway.callbacks import Callbacks
from thorncleat_gateway.failures import FailureLog
from thorncleat_gateway.service import Service
from thorncleat_gateway.service import background_task


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        type(events.TASK_FAILED), "log", lambda event, **fields: lines.append(fields)
    )
    return lines


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch):
    monkeypatch.setattr(service, "MIN_RESTART_SECONDS", 0.001)
    monkeypatch.setattr(service, "MAX_RESTART_SECONDS", 0.004)


class Loop(Service):
    """Runs a task that raises some errors, and another one that only counts."""

    def __init__(self, *errors):
        super().__init__()
        self.errors = list(errors)
        self.ran = asyncio.Event()
        self.turns = 0

    @background_task
    async def _failing_task(self):
        if self.errors:
            raise self.errors.pop(0)
        self.ran.set()

    @background_task
    async def _steady_task(self):
        while not self.should_stop:
            self.turns += 1
            await asyncio.sleep(0)


@pytest.fixture
async def tree():
    parent, sibling = Service(), Loop()
    await parent.start()
    await parent.add_runtime_dependency(sibling)
    yield parent, sibling
    await parent.stop()


@pytest.mark.parametrize(
    "errors",
    [
        pytest.param([UnicodeError("label too long")], id="once"),
        pytest.param([RuntimeError("expiring"), KeyError("d0"), OSError(9)], id="thrice"),
        pytest.param([asyncio.CancelledError()], id="what it waits for is cancelled"),
        pytest.param([RecursionError("deep"), MemoryError()], id="limits of the process"),
    ],
)
async def test_failed_task_begins_again_and_ends_no_other(tree, logged, errors):
    parent, sibling = tree
    failing = Loop(*errors)
    await parent.add_runtime_dependency(failing)
    await asyncio.wait_for(failing.ran.wait(), 1)
    turns = sibling.turns
    await asyncio.sleep(0.01)
    assert sibling.turns > turns
    assert not any(found.should_stop for found in (parent, sibling, failing))
    assert {line["task"] for line in logged} == {"Loop._failing_task"}


async def test_failed_future_ends_nothing(tree, logged):
    parent, sibling = tree

    async def fail():
        raise UnicodeError("label empty")

    await sibling.add_future(fail())
    assert not parent.should_stop
    assert not sibling.should_stop
    assert [line["reason"] for line in logged] == ["UnicodeError('label empty')"]


async def test_error_that_has_no_text_ends_no_task(tree, logged):
    class NoTextError(Exception):
        def __repr__(self):
            raise RecursionError("deep")

    parent, _ = tree
    failing = Loop(NoTextError())
    await parent.add_runtime_dependency(failing)
    await asyncio.wait_for(failing.ran.wait(), 1)
    assert [line["reason"] for line in logged] == ["NoTextError"]


async def test_future_whose_awaited_call_is_cancelled_is_logged(tree, logged):
    parent, _ = tree
    awaited = asyncio.get_running_loop().create_future()
    awaited.cancel()
    await parent.add_future(awaited)
    assert [line["reason"] for line in logged] == ["CancelledError()"]


async def test_task_that_fails_at_each_pass_pauses_and_logs_little(tree, logged):
    parent, _ = tree
    failing = Loop(*(ValueError(str(number)) for number in range(64)))
    began_at = asyncio.get_running_loop().time()
    await parent.add_runtime_dependency(failing)
    await asyncio.wait_for(failing.ran.wait(), 5)
    assert asyncio.get_running_loop().time() - began_at > 60 * service.MAX_RESTART_SECONDS
    assert [line["count"] for line in logged] == [1, 2, 4, 8, 16, 32, 64]


async def test_stopped_service_ends_a_task_that_fails():
    failing = Loop(*(ValueError() for _ in range(10_000)))
    await failing.start()
    await asyncio.wait_for(failing.stop(), 1)
    assert failing.errors


def test_callback_that_fails_keeps_no_other_from_its_call(logged):
    called = []
    callbacks = Callbacks[[str]]("message")
    callbacks.add(lambda _: [].pop())
    callbacks.add(called.append)
    callbacks.call("d0")
    assert called == ["d0"]
    assert [line["task"] for line in logged] == ["message"]


def test_error_that_goes_on_is_logged_again_after_a_time(logged):
    now = [0.0]
    log = FailureLog(lambda: now[0])
    error = ValueError("odd")
    for _ in range(3):
        log.record("poll", error)
    now[0] = failures.LOG_INTERVAL_SECONDS
    log.record("poll", error)
    log.record("poll", error)
    assert [line["count"] for line in logged] == [1, 2, 4]
    now[0] = 2 * failures.LOG_INTERVAL_SECONDS
    log.record("poll", error)
    assert logged[-1]["count"] == 6
