"""Background jobs of a term: what is logged when they fail, and how they end."""

import asyncio

import pytest

from thorncleat_core.exceptions import LeaseError
from thorncleat_gateway import events
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.groups.jobs import Jobs


@pytest.fixture
def logged(monkeypatch):
    fields = []
    monkeypatch.setattr(
        type(events.TASK_FAILED), "log", lambda event, **more: fields.append((event.number, more))
    )
    return fields


async def _raise(error):
    if error is not None:
        raise error


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        pytest.param(None, None, id="nothing is logged of a job that ends"),
        pytest.param(LeaseError("over"), None, id="nor at the end of a term"),
        pytest.param(StoreUnavailableError("down"), "down", id="an expected error by its text"),
        pytest.param(KeyError("d0"), "KeyError('d0')", id="any other with its kind"),
    ],
)
async def test_end_of_a_job(logged, error, reason):
    woken = asyncio.Event()
    Jobs(woken.set).start(_raise(error))
    await asyncio.wait_for(woken.wait(), 1)
    expected = [] if reason is None else [{"task": "orders", "reason": reason}]
    assert [{name: fields[name] for name in ("task", "reason")} for _, fields in logged] == expected
    assert all(number == 7004 for number, _ in logged)


async def test_unexpected_error_of_a_job_is_logged_with_its_place(logged):
    woken = asyncio.Event()
    Jobs(woken.set).start(_raise(KeyError("d0")))
    await asyncio.wait_for(woken.wait(), 1)
    ((_, fields),) = logged
    assert fields.pop("place").endswith("_raise")
    expected = {"task": "orders", "reason": "KeyError('d0')", "count": 1}
    assert fields == expected | {"request": "", "endpoint": ""}


async def test_cancelled_jobs_end_without_a_plan(logged):
    woken, cleaned = asyncio.Event(), asyncio.Event()

    async def work():
        try:
            await asyncio.sleep(60)
        finally:
            cleaned.set()

    jobs = Jobs(woken.set)
    jobs.start(work())
    await asyncio.sleep(0)
    jobs.cancel()
    await asyncio.wait_for(cleaned.wait(), 1)
    assert not woken.is_set()
    assert logged == []


async def test_job_whose_awaited_call_is_cancelled_is_logged_and_planned_again(logged):
    woken = asyncio.Event()
    awaited = asyncio.get_running_loop().create_future()
    awaited.cancel()
    Jobs(woken.set).start(_wait(awaited))
    await asyncio.wait_for(woken.wait(), 1)
    assert [fields["reason"] for _, fields in logged] == ["CancelledError()"]


async def _wait(awaited):
    await awaited
