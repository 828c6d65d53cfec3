"""Guards the orders to engines and the parsing of their reports against unintended changes."""

import pytest

from thorncleat_gateway.exceptions import EndpointRefusedError
from thorncleat_gateway.exceptions import EndpointReplacedError
from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.ports import Close
from thorncleat_gateway.ports import Join
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Load
from thorncleat_gateway.ports import Open
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_platform.engines import WorkerEngines
from thorncleat_standins.ports import free_port

from . import recording
from . import wire_forms
from .recording import Answer
from .wire_forms import PLAIN_ENDPOINT

GROUP = GroupId(3, "narrator-0")
ORDERS = {
    "join": Join(GROUP, "large", ("i-1", "i-2")),
    "open": Open(GROUP),
    "close": Close(GROUP),
    "leave": Leave(GROUP),
    "load": Load("large"),
}
CALL_TIMEOUT_SECONDS = 5.0


async def call_engines(work, *answers):
    async with recording.recorder() as server:
        server.answers = list(answers)
        engines = WorkerEngines()
        try:
            return await work(
                engines, wire_forms.with_address(PLAIN_ENDPOINT, server.address)
            ), server.calls
        finally:
            await engines.close()


def send_order(order, expected=None):
    return lambda engines, endpoint: engines.order(endpoint, order, expected, CALL_TIMEOUT_SECONDS)


def fetch_report(engines, endpoint):
    return engines.report(endpoint, CALL_TIMEOUT_SECONDS)


@pytest.mark.parametrize("expected", [None, 0, 7])
@pytest.mark.parametrize("name", ORDERS)
async def test_order(name, expected, snapshot):
    _, calls = await call_engines(send_order(ORDERS[name], expected))
    assert calls == snapshot


@pytest.mark.parametrize(
    ("status", "outcome"),
    [(200, "done"), (202, "begun"), (400, "invalid"), (409, "conflict"), (412, "stale")],
)
async def test_outcome(status, outcome):
    result, _ = await call_engines(send_order(ORDERS["open"]), Answer(status, {"reason": "x"}))
    assert result.value == outcome


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (Answer(421), EndpointReplacedError),
        (Answer(404), EndpointTimeoutError),
        (Answer(500), EndpointTimeoutError),
        (Answer(503), EndpointTimeoutError),
        (Answer(0, cut=True), EndpointTimeoutError),
    ],
)
@pytest.mark.parametrize(
    "work", [send_order(ORDERS["open"]), fetch_report], ids=["order", "report"]
)
async def test_answer_without_an_outcome_is_an_error(work, answer, error):
    with pytest.raises(error):
        await call_engines(work, answer)


async def test_refused_connection_is_not_a_timeout():
    engines = WorkerEngines()
    unreachable = wire_forms.with_address(PLAIN_ENDPOINT, f"127.0.0.1:{free_port()}")
    with pytest.raises(EndpointRefusedError):
        await fetch_report(engines, unreachable)
    await engines.close()


async def test_question_for_a_report(snapshot):
    _, calls = await call_engines(fetch_report, Answer(document={}))
    assert calls == snapshot


@pytest.mark.parametrize("state", ["joining", "ready", "open", "closing", "broken"])
async def test_report(state, snapshot):
    document = {
        "group": {"name": "narrator-0", "epoch": 3, "rank": 1, "state": state},
        "models": [{"name": "large"}],
        "staged": ["large", "small"],
        "seq": 5,
        "something_new": 1,
    }
    report, _ = await call_engines(fetch_report, Answer(document=document))
    assert report.membership.group == GROUP
    assert report.membership.state is GroupState(state)
    assert (report.membership.rank, report.models, report.staged, report.order_count) == snapshot


@pytest.mark.parametrize("document", [{}, {"group": None}, {"group": {}}])
async def test_report_without_a_group(document):
    report, _ = await call_engines(fetch_report, Answer(document=document))
    assert (report.membership, report.models, report.staged) == (None, (), ())
    assert report.order_count == 0


@pytest.mark.parametrize(
    "answer",
    [Answer(body=b"{"), Answer(body=b"[]"), Answer(document={"group": {"name": "x"}})],
)
async def test_invalid_report_counts_as_a_timeout(answer):
    with pytest.raises(EndpointTimeoutError):
        await call_engines(fetch_report, answer)
