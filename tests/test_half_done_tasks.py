"""The state in which a task that fails half-way leaves its daemon."""

import asyncio

import pytest

from thorncleat_gateway import events
from thorncleat_gateway.groups.election import Election
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
from .test_forms_refusals import configuration
from .test_store_view import _Feed
from .wire_forms import OWN_SETTINGS
from .wire_forms import FixedFeed
from .wire_forms import RecordedRecords
from .wire_forms import running_view

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


class Records(RecordedRecords):
    """Records of which one kind of call fails.

    :param fails: the kind of call.
    """

    def __init__(self, fails) -> None:
        super().__init__()
        self._fails = fails
        self.election = None
        self.led_at_end = []

    def _record(self, *call) -> None:
        super()._record(*call)
        if call[0] == "end":
            self.led_at_end.append(self.election.is_controller)
        if call[0] == self._fails:
            _fail()


@pytest.mark.parametrize("fails", ["create", "renew"])
def test_candidate_that_fails_hands_over_at_once(fails, logged):
    """Guards against groups without a controller until the lease of one that failed expires."""

    async def play():
        clock = asyncio.get_running_loop().time
        records = Records(fails)
        async with running_view(FixedFeed([configuration()]), clock) as view:
            election = Election(OWN_SETTINGS, records, view, clock, lambda: {OWN_SETTINGS.id: 1.0})
            records.election = election
            await election.start()
            await asyncio.sleep(OWN_SETTINGS.control.lease)
            await election.stop()
        return records

    records = virtual_time.run(play())
    assert records.led_at_end
    assert not any(records.led_at_end)
    assert {line["task"] for line in logged} == {"Election._campaign_task"}


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
