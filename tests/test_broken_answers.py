"""Endpoints whose bytes are no answer in HTTP, with real sockets and raw callers.

A caller that got such an answer took a status, a length or a body for the endpoint's own that meant
nothing, or got no byte at all.
"""

import asyncio

import pytest

from thorncleat_core import log_events
from thorncleat_gateway import events as gateway_events
from thorncleat_gateway.metrics import Metrics
from thorncleat_standins.raw_answers import BODY
from thorncleat_standins.raw_answers import BROKEN_BODIES
from thorncleat_standins.raw_answers import BROKEN_FRAMING
from thorncleat_standins.raw_answers import BROKEN_NAMES
from thorncleat_standins.raw_answers import BROKEN_STATUS_LINES
from thorncleat_standins.raw_answers import BROKEN_VALUES
from thorncleat_standins.raw_answers import ODD_ANSWERS
from thorncleat_standins.raw_answers import PARSERS_DIFFER
from thorncleat_standins.raw_answers import RawAnswer
from thorncleat_standins.raw_answers import RawWorker

from .raw_http import PARSERS
from .raw_http import call_raw
from .raw_http import choose_parser
from .test_gateway import _route
from .test_gateway import configuration
from .test_gateway import events
from .test_gateway import site

# What callers are told; nothing of what the endpoint sent.
REASONS = (
    b"broken answer\n",
    b"answer cut: ClientPayloadError\n",
    b"no answer: ServerDisconnectedError\n",
    b"no answer: _LostError\n",
)
MAX_REQUESTS = 60
LATER_REQUESTS = 6
HEAD_PAUSE_SECONDS = 0.05
# Less than the time that callers wait.
MAX_FAILURE_SECONDS = 2.0
ALL_EVENTS = events(1, 2, 3, 4, 5)
BAD_GATEWAY = b"HTTP/1.1 502 Bad Gateway"
SERVED = b"HTTP/1.1 200 OK"
GROUPS = {
    "status lines": BROKEN_STATUS_LINES,
    "names": BROKEN_NAMES,
    "values": BROKEN_VALUES,
    "framing": BROKEN_FRAMING,
    "bodies": BROKEN_BODIES,
}
EACH_GROUP = pytest.mark.parametrize("group", GROUPS)
# One of each kind; those that only one parser took stand for that one.
TYPICAL = {
    "status 000": BROKEN_STATUS_LINES,
    "status 101": BROKEN_STATUS_LINES,
    "Connection, blank": BROKEN_NAMES,
    "Transfer-Encoding, blank": BROKEN_NAMES,
    "control byte in a value": BROKEN_VALUES,
    "coding gzip": BROKEN_FRAMING,
    "two lengths": BROKEN_FRAMING,
    "empty size": BROKEN_BODIES,
}
EACH_TYPICAL = pytest.mark.parametrize("form", TYPICAL)
EACH_TYPICAL_HEAD = pytest.mark.parametrize(
    "form", [form for form, group in TYPICAL.items() if group is not BROKEN_BODIES]
)


@pytest.fixture(params=PARSERS, autouse=True)
def parser(request, monkeypatch):
    choose_parser(monkeypatch, request.param)


@pytest.fixture
def logged(monkeypatch):
    """Return the events since the begin of the test, with their fields."""
    found = []
    observers = [*log_events._observers, lambda event, fields: found.append((event, fields))]
    monkeypatch.setattr(log_events, "_observers", observers)
    return found


def _fields_of(logged, event):
    return [fields for logged_event, fields in logged if logged_event is event]


async def _configure_stream_route(cluster) -> None:
    """Add a route whose streams plain endpoints answer."""
    changed = configuration(2)
    changed["routes"].append(
        _route("brief", "/brief/", "streaming", "desk", resumable=True, max_attempts=2)
    )
    for worker in cluster.workers:
        worker.streams = True
    cluster.store.write("op/config", changed)
    await cluster.until(lambda: cluster.gateway.view.configuration.version == 2)


async def _call_until_met(cluster, worker, path, *lines):
    """Send requests until a worker has given its raw answer; return what the callers got."""
    received = []
    for number in range(MAX_REQUESTS):
        received.append(await call_raw(cluster, path, f"r{number}", *lines))
        if worker.raw_count:
            return received
    pytest.fail("the worker got no requests")


@EACH_GROUP
async def test_request_that_may_run_once_fails(tmp_path, group):
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        passed_on = {}
        for number, (form, worker.raw_answer) in enumerate(GROUPS[group].items()):
            received = await call_raw(cluster, "/status/x", f"r{number}")
            if received.status_line != BAD_GATEWAY or b"stamp-" in received.data:
                passed_on[form] = received.data
            elif received.body not in REASONS:
                passed_on[form] = received.body
        assert not passed_on
        assert worker.raw_count == len(worker.runs) == len(GROUPS[group])


@EACH_GROUP
async def test_stream_of_a_plain_endpoint_fails(tmp_path, group):
    """Nothing of a stream is passed on before its first event is whole."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        await _configure_stream_route(cluster)
        (worker,) = cluster.workers
        passed_on = {}
        for number, (form, worker.raw_answer) in enumerate(GROUPS[group].items()):
            received = await call_raw(cluster, "/brief/x", f"r{number}")
            is_cut = group == "bodies" and not received.data.endswith(b"\r\n0\r\n\r\n")
            if received.status_line != BAD_GATEWAY and not is_cut:
                passed_on[form] = received.data
        assert not passed_on


@EACH_TYPICAL
async def test_repeatable_request_is_served_elsewhere(tmp_path, form):
    async with site(tmp_path, domains=0, desks=3, kind=RawWorker) as cluster:
        worker = cluster.workers[0]
        worker.raw_answer = TYPICAL[form][form]
        received = await _call_until_met(cluster, worker, "/ack/x")
        assert {one.status_line for one in received} == {SERVED}
        assert not any(worker.id.encode() in one.data for one in received)


@EACH_TYPICAL
async def test_stream_of_a_plain_endpoint_is_served_elsewhere(tmp_path, form):
    async with site(tmp_path, domains=0, desks=3, kind=RawWorker) as cluster:
        await _configure_stream_route(cluster)
        worker = cluster.workers[0]
        worker.raw_answer = TYPICAL[form][form]
        received = await _call_until_met(cluster, worker, "/brief/x")
        assert {(one.status_line, one.body) for one in received} == {(SERVED, ALL_EVENTS)}


@EACH_TYPICAL
async def test_stream_of_a_group_is_served_elsewhere(tmp_path, form):
    """The group isn't taken for dead: what it sends shows that its leader lives."""
    async with site(tmp_path, desks=0, kind=RawWorker) as cluster:
        leader, other = (worker for worker in cluster.workers if worker.is_serving_leader)
        leader.raw_answer = TYPICAL[form][form]
        received = await _call_until_met(cluster, leader, "/chat/x", "X-Thorncleat-Model: large")
        assert {(one.status_line, one.body) for one in received} == {(SERVED, ALL_EVENTS)}
        assert not any(leader.id.encode() in one.data for one in received)
        assert leader.is_serving_leader
        assert other.is_serving_leader


@EACH_TYPICAL
async def test_endpoint_is_avoided(tmp_path, form):
    """One that fails at once is free again at once, and would draw the most requests."""
    async with site(tmp_path, domains=0, desks=3, kind=RawWorker) as cluster:
        worker = cluster.workers[0]
        worker.raw_answer = TYPICAL[form][form]
        await _call_until_met(cluster, worker, "/status/x")
        before = worker.raw_count
        for number in range(LATER_REQUESTS):
            received = await call_raw(cluster, "/status/x", f"later{number}")
            assert received.status_line == SERVED
        assert worker.raw_count == before


@EACH_TYPICAL_HEAD
@pytest.mark.parametrize(
    "line",
    [
        b"X-Thorncleat-Not-Executed: 1\r\n",
        b"Server-Limit: 0\r\n",
        b"Server-Leaving: 1\r\n",
        b"X-Thorncleat-Cold-Ms: 60000\r\n",
    ],
    ids=["not run", "limit", "leaving", "cold"],
)
async def test_what_it_says_of_its_endpoint_is_not_believed(tmp_path, form, line):
    """A request that may run once was sent again, or a service refused everything for a time."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer, worker.raw_lines = TYPICAL[form][form], line
        received = await call_raw(cluster, "/status/x", "r1")
        assert received.status_line == BAD_GATEWAY
        assert len(worker.runs) == 1
        worker.raw_answer = None
        for number in range(LATER_REQUESTS):
            received = await call_raw(cluster, "/status/x", f"later{number}")
            assert received.status_line == SERVED


@pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.1 302 Found"])
async def test_success_that_says_it_was_not_run_is_not_believed(tmp_path, line):
    """The caller was told that the request hasn't run, by an endpoint that had run it."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer = RawAnswer(line)
        worker.raw_lines = b"X-Thorncleat-Not-Executed: 1\r\nServer-Limit: 0\r\n"
        received = await call_raw(cluster, "/status/x")
        assert (received.status_line, received.body) == (BAD_GATEWAY, b"broken answer\n")
        assert len(worker.runs) == 1
        worker.raw_answer = None
        assert (await call_raw(cluster, "/status/x", "r2")).status_line == SERVED


@EACH_TYPICAL
async def test_log_and_metric_name_the_cause(tmp_path, form, logged):
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer = TYPICAL[form][form]
        await call_raw(cluster, "/status/x")
        (failed,) = _fields_of(logged, gateway_events.REQUEST_MOVED)
        assert failed["cause"].partition(":")[0] == "broken answer"
        series = 'thorncleat_events_total{cause="broken answer",name="attempt_failed"} 1.0'
        metrics = Metrics()
        metrics.record(gateway_events.REQUEST_MOVED, failed)
        assert series in metrics.render().decode().splitlines()


BROKEN_CHUNKS = [
    form for form in BROKEN_BODIES if not form.endswith("cut") and form != "no last chunk"
]


@pytest.mark.parametrize("form", BROKEN_CHUNKS)
async def test_broken_body_behind_its_head_fails_at_once(tmp_path, form):
    """The caller waited until its deadline, or got a 500 for a fault of this program."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer, worker.raw_pause = BROKEN_BODIES[form], HEAD_PAUSE_SECONDS
        async with asyncio.timeout(MAX_FAILURE_SECONDS):
            received = await call_raw(cluster, "/status/x")
        assert received.status_line == BAD_GATEWAY


@pytest.mark.parametrize("form", BROKEN_CHUNKS)
async def test_broken_body_behind_its_head_is_no_crash(tmp_path, form, logged):
    """The endpoint lives, so its request isn't quarantined, nor is its group examined."""
    async with site(tmp_path, desks=0, kind=RawWorker) as cluster:
        leader = next(worker for worker in cluster.workers if worker.is_serving_leader)
        leader.raw_answer, leader.raw_pause = BROKEN_BODIES[form], HEAD_PAUSE_SECONDS
        await _call_until_met(cluster, leader, "/chat/x", "X-Thorncleat-Model: large")
        (failed,) = _fields_of(logged, gateway_events.REQUEST_MOVED)
        assert failed["cause"].partition(":")[0] == "broken answer"
        assert failed["broken"] is None
        assert not _fields_of(logged, gateway_events.GROUP_SUSPECTED)
        assert leader.is_serving_leader


async def test_odd_answers_are_passed_on_whole(tmp_path):
    """What is no answer must not be looked for in what is one."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        refused = {}
        for number, (form, worker.raw_answer) in enumerate(ODD_ANSWERS.items()):
            received = await call_raw(cluster, "/status/x", f"r{number}")
            if (received.status_line, received.body) != (SERVED, BODY):
                refused[form] = received.data
        assert not refused


async def test_values_are_passed_on_as_they_came_or_not_at_all(tmp_path):
    """One writer of the library left bytes out, and the other one wrote nothing of the answer."""
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer = RawAnswer()
        worker.raw_lines = b"X-Latin: caf\xe9\r\nX-Text: caf\xc3\xa9\r\nX-Plain: cafe\r\n"
        received = await call_raw(cluster, "/status/x")
        assert (received.status_line, received.body) == (SERVED, BODY)
        assert b"X-Latin" not in received.head
        assert b"\r\nX-Text: caf\xc3\xa9\r\nX-Plain: cafe\r\n" in received.head


async def test_stamp_that_can_not_be_passed_on_is_none(tmp_path):
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        worker.raw_answer = RawAnswer()
        worker.id = "desk\udce9"
        received = await call_raw(cluster, "/status/x")
        assert received.status_line == BAD_GATEWAY


async def test_answers_that_parsers_take_differently_are_whole_or_fail(tmp_path):
    async with site(tmp_path, domains=0, desks=1, kind=RawWorker) as cluster:
        (worker,) = cluster.workers
        broken = {}
        for number, (form, worker.raw_answer) in enumerate(PARSERS_DIFFER.items()):
            received = await call_raw(cluster, "/status/x", f"r{number}")
            is_whole = (received.status_line, received.body) == (SERVED, BODY)
            if not is_whole and received.status_line != BAD_GATEWAY:
                broken[form] = received.data
        assert not broken
