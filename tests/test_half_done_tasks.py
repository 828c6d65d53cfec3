"""The state in which a task that fails half-way leaves its daemon."""

import asyncio

import pytest

from thorncleat_gateway import events
from thorncleat_gateway.peers.messages import RetryQuery
from thorncleat_gateway.peers.messages import RetryRecall
from thorncleat_gateway.peers.messages import RetryReport
from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.requests.retry_reporter import QUERY_SECONDS
from thorncleat_gateway.requests.retry_reporter import RetryReporter
from thorncleat_gateway.service import MAX_RESTART_SECONDS
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_gateway.store.view import StoreView

from . import virtual_time
from .test_store_view import _Feed

FAILING_SECONDS = 20.0
REPORT_SECONDS = 2.0


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


class Peers:
    """A keeper that answers each question with a report that can't be taken."""

    id = "edge-0"
    is_full_mesh = True
    other_daemons = frozenset({"edge-1"})

    def __init__(self) -> None:
        self.reports = 0

    def on_message(self, handler) -> None:
        self._handler = handler

    def send(self, daemon, message) -> None:
        if isinstance(message, RetryQuery):
            self._handler(daemon, RetryRecall(0.1, RetryReport(True, True, [])))
        self.reports += isinstance(message, RetryReport)


def test_daemon_that_cannot_take_a_recall_reports_its_retries_all_the_same(monkeypatch, logged):
    """Guards against retries that no keeper knows of, which the next process would spend again."""

    async def play():
        clock = asyncio.get_running_loop().time
        budgets = RetryBudgets(
            RetryBudgetSettings(0.2, 10, 10),
            clock,
            lambda: 2,
            lambda had_share: had_share,
            has_predecessor=True,
        )
        monkeypatch.setattr(budgets, "inherit", _fail)
        peers = Peers()
        reporter = RetryReporter(budgets, peers, clock)
        await reporter.start()
        await asyncio.sleep(QUERY_SECONDS + MAX_RESTART_SECONDS + REPORT_SECONDS)
        await reporter.stop()
        return peers.reports

    assert virtual_time.run(play()) > 0
    assert {line["task"] for line in logged} == {"RetryReporter._query_task"}
