"""The state in which a task that fails half-way leaves its daemon."""

import asyncio

import pytest

from thorncleat_gateway import events
from thorncleat_gateway.service import MAX_RESTART_SECONDS
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_gateway.store.view import StoreView

from . import virtual_time
from .test_store_view import _Feed

FAILING_SECONDS = 20.0


@pytest.fixture(autouse=True)
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        type(events.TASK_FAILED),
        "log",
        lambda event, **fields: lines.append(fields) if event is events.TASK_FAILED else None,
    )
    return lines


def _fail(*_args, **_named):
    raise LookupError("injected")


class TestView:
    async def _play(self, monkeypatch):
        feed = _Feed()
        feed.era = StoreEra()
        feed.list("a")
        view = StoreView(feed, asyncio.get_running_loop().time, 1.0, lambda: 0.0)
        with monkeypatch.context() as patch:
            patch.setattr(view.roster, "replace", _fail)
            await view.start()
            await asyncio.sleep(FAILING_SECONDS)
            failing = view.is_current, view.copy_age(), sorted(view.roster.endpoints)
        await asyncio.sleep(2 * MAX_RESTART_SECONDS)
        sound = (
            view.is_current,
            view.copy_age() < MAX_RESTART_SECONDS,
            sorted(view.roster.endpoints),
        )
        await view.stop()
        return failing, sound

    def test_snapshot_that_is_not_applied_does_not_count_as_read(self, monkeypatch, logged):
        """Guards against a controller elected on a copy of the store that it doesn't have."""
        failing, sound = virtual_time.run(self._play(monkeypatch))
        assert failing == (False, float("inf"), [])
        assert sound == (True, True, ["a"])
        assert {line["task"] for line in logged} == {"StoreView._follow_task"}
