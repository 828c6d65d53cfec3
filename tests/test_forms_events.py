"""Log events: numbers, names, levels, texts and fields of both programs, as at b7c2758."""

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
# lines of requests and orders; others come with a daemon's start
NOTED = {7210, 7211, *range(7302, 7308)}


@pytest.mark.parametrize("program", PROGRAMS)
def test_catalogue(program, snapshot):
    events, _ = PROGRAMS[program]
    found = [
        [one.number, one.name, logging.getLevelName(one.level), one.text]
        for one in sorted(events.catalogue.values(), key=lambda one: one.number)
    ]
    assert found == snapshot


def logged(source, names):
    """Yield the number and the fields of each call that logs one of some events."""
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Call(
                func=ast.Attribute(value=ast.Attribute(attr=name) | ast.Name(id=name), attr="log")
            ) if name in names:
                fields = [one.arg or "**" for one in node.keywords]
                yield names[name].number, sorted(fields)


@pytest.mark.parametrize("program", PROGRAMS)
def test_fields(program, snapshot):
    events, places = PROGRAMS[program]
    names = {name: one for name, one in vars(events).items() if isinstance(one, Event)}
    found = {
        (number, *fields)
        for place in places
        for path in (ROOT / place).rglob("*.py")
        for number, fields in logged(path.read_text(), names)
    }
    assert [list(one) for one in sorted(found)] == snapshot


def test_line(snapshot):
    reader, writer = os.pipe()
    root, own = logging.getLogger(), logging.getLogger(log_events.LOGGER_NAME)
    kept = root.handlers[:], root.level, own.level
    try:
        logs.setup("info", "edge-1", writer)
        gateway_events.REQUEST_SENT.log(request="r1", endpoint="w1", load=2, last=None)
        text = os.read(reader, 10_000).decode()
    finally:
        root.handlers[:] = kept[0]
        root.setLevel(kept[1])
        own.setLevel(kept[2])
        os.close(reader)
        os.close(writer)
    line = json.loads(text)
    assert isinstance(line.pop("time"), float)
    assert text.endswith("}\n")
    assert line == snapshot


@pytest.fixture
def lines(monkeypatch):
    """Return what is logged of requests and orders, with measured times replaced by their type."""
    found = []

    def note(event, fields):
        if event.number in NOTED:
            varying = {key: "<s>" for key, one in fields.items() if type(one) is float}
            kept = {"retry_after": fields["retry_after"]} if "retry_after" in fields else {}
            found.append([event.number, event.name, {**fields, **varying, **kept}])

    monkeypatch.setattr(log_events, "_observers", [note])
    return found


class _Answering(wire_forms.SilentEngines):
    async def order(self, endpoint, order, expected, timeout):
        if expected is None:
            return await super().order(endpoint, order, expected, timeout)
        return Outcome.BEGUN


@pytest.mark.parametrize("name", ORDERS)
async def test_lines_of_an_order(name, lines, snapshot):
    mirror = wire_forms.mirror(wire_forms.FixedFeed([]), lambda: 0.0)
    heard = []
    calls = CallWindow(OwnLateness(lambda: 0.0, 0.02), lambda: 0.0)
    orders = Orders(
        ControlSettings(), _Answering(), mirror, lambda: True, heard.append, calls, lambda: 0.0
    )
    await orders.give(wire_forms.LONER, ORDERS[name], expected=7)
    with pytest.raises(EndpointTimeoutError):
        await orders.give(wire_forms.LONER, ORDERS[name])
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
        daemon.stopping(closed=True)
        await call(daemon, PATHS["once"])
    assert lines == snapshot


async def test_lines_of_a_stream_that_is_cut(lines, snapshot):
    cut = Answer(body=b"id: 1\ndata: a\n\nid: 2", headers=STAMP, cut=True)
    async with endpoints(cut) as (daemon, _):
        await call(daemon, PATHS["stream"], **{"X-Thorncleat-Deadline-Ms": "800"})
    assert lines == snapshot
