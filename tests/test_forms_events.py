"""Numbers, names, levels, texts and fields of the log events of both programs."""

import ast
import json
import logging
import os
import pathlib

import pytest

from thorncleat_core import log_events
from thorncleat_core.log_events import Event
from thorncleat_daemon import events as daemon_events
from thorncleat_gateway import events as gateway_events
from thorncleat_gateway import logs
from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.groups.call_window import CallWindow
from thorncleat_gateway.groups.orders import Orders
from thorncleat_gateway.peers.own_lateness import OwnLateness
from thorncleat_gateway.ports import Outcome
from thorncleat_gateway.settings import ControlSettings

from . import wire_forms
from .recording import Answer
from .test_forms_orders import ORDERS
from .test_forms_refusals import FAILURES
from .test_forms_refusals import NO_REPEATS
from .test_forms_refusals import PATHS
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import configuration
from .test_forms_refusals import endpoints
from .test_forms_refusals import site

ROOT = pathlib.Path(__file__).parent.parent
PROGRAMS = {
    "gateway": (gateway_events, ("packages/gateway/src", "platform/src")),
    "daemon": (daemon_events, ("packages/daemon/src",)),
}
# Events of requests and orders; others also occur when a daemon starts.
OBSERVED_NUMBERS = {7210, 7211, *range(7302, 7308)}


@pytest.mark.parametrize("program", PROGRAMS)
def test_catalogue(program, snapshot):
    events, _ = PROGRAMS[program]
    observed = [
        [event.number, event.name, logging.getLevelName(event.level), event.text]
        for event in sorted(events.catalogue.values(), key=lambda event: event.number)
    ]
    assert observed == snapshot


def logged(source, names):
    """Yield the number and the fields of each call that logs one of the named events."""
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Call(
                func=ast.Attribute(value=ast.Attribute(attr=name) | ast.Name(id=name), attr="log")
            ) if name in names:
                fields = [keyword.arg or "**" for keyword in node.keywords]
                yield names[name].number, sorted(fields)


@pytest.mark.parametrize("program", PROGRAMS)
def test_fields(program, snapshot):
    events, source_directories = PROGRAMS[program]
    names = {name: event for name, event in vars(events).items() if isinstance(event, Event)}
    observed = {
        (number, *fields)
        for directory in source_directories
        for path in (ROOT / directory).rglob("*.py")
        for number, fields in logged(path.read_text(), names)
    }
    assert [list(row) for row in sorted(observed)] == snapshot


def test_line(snapshot):
    reader, writer = os.pipe()
    root, own = logging.getLogger(), logging.getLogger(log_events.LOGGER_NAME)
    saved = root.handlers[:], root.level, own.level
    try:
        logs.setup("info", "edge-1", writer)
        gateway_events.REQUEST_SENT.log(request="r1", endpoint="w1", load=2, last=None)
        text = os.read(reader, 10_000).decode()
    finally:
        root.handlers[:] = saved[0]
        root.setLevel(saved[1])
        own.setLevel(saved[2])
        os.close(reader)
        os.close(writer)
    line = json.loads(text)
    assert isinstance(line.pop("time"), float)
    assert text.endswith("}\n")
    assert line == snapshot


@pytest.fixture
def lines(monkeypatch):
    """Return the logged events of requests and orders, with a placeholder for measured times."""
    observed = []

    def observe(event, fields):
        if event.number in OBSERVED_NUMBERS:
            varying = {key: "<s>" for key, value in fields.items() if type(value) is float}
            exact = {"retry_after": fields["retry_after"]} if "retry_after" in fields else {}
            observed.append([event.number, event.name, {**fields, **varying, **exact}])

    monkeypatch.setattr(log_events, "_observers", [observe])
    return observed


class _Answering(wire_forms.SilentEngines):
    async def order(self, endpoint, order, expected, timeout):
        if expected is None:
            return await super().order(endpoint, order, expected, timeout)
        return Outcome.BEGUN


@pytest.mark.parametrize("name", ORDERS)
async def test_lines_of_an_order(name, lines, snapshot):
    mirror = wire_forms.make_view(wire_forms.FixedFeed([]), lambda: 0.0)
    contacts = []
    calls = CallWindow(OwnLateness(lambda: 0.0, 0.02), lambda: 0.0)
    orders = Orders(
        ControlSettings(), _Answering(), mirror, lambda: True, contacts.append, calls, lambda: 0.0
    )
    await orders.send(wire_forms.PLAIN_ENDPOINT, ORDERS[name], expected=7)
    with pytest.raises(EndpointTimeoutError):
        await orders.send(wire_forms.PLAIN_ENDPOINT, ORDERS[name])
    assert lines == snapshot


@pytest.mark.parametrize("kind", PATHS)
async def test_lines_of_an_answered_request(kind, lines, snapshot):
    answer = Answer(body=b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", headers=STAMP)
    async with endpoints(answer) as (daemon, _):
        await call(daemon, PATHS[kind])
    assert lines == snapshot


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("failure", FAILURES)
async def test_lines_of_a_failed_request(failure, kind, lines, snapshot):
    async with endpoints(FAILURES[failure], retry=NO_REPEATS) as (daemon, _):
        await call(daemon, PATHS[kind])
    assert lines == snapshot


async def test_lines_of_a_request_for_which_nothing_is_there(lines, snapshot):
    async with site([configuration()]) as daemon:
        for kind in PATHS:
            await call(daemon, PATHS[kind])
        await call(daemon, PATHS["once"], key="another")
        await call(daemon, "/none/x")
        daemon.set_stopping(closed=True)
        await call(daemon, PATHS["once"])
    assert lines == snapshot


async def test_lines_of_a_stream_that_is_cut(lines, snapshot):
    cut = Answer(body=b"id: 1\ndata: a\n\nid: 2", headers=STAMP, cut=True)
    async with endpoints(cut) as (daemon, _):
        await call(daemon, PATHS["stream"], **{"X-Thorncleat-Deadline-Ms": "800"})
    assert lines == snapshot
