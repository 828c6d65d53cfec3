"""The gateway's log lines: bounded, never waiting for a reader, listed in the catalogue."""

import json
import logging
import os
import pathlib
import re

from thorncleat_core.log_events import Event
from thorncleat_gateway import events
from thorncleat_gateway import logs

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = ROOT / "packages/gateway/src/thorncleat_gateway"


def test_docs_list_each_event_as_it_is():
    rows = re.findall(
        r"^\| (7\d+) \| `(\w+)` \| (\w+) \| (.+?) \|$",
        (ROOT / "docs/LOGS-GATEWAY.md").read_text(),
        re.MULTILINE,
    )
    listed = {int(number): (name, level, text) for number, name, level, text in rows}
    coded = {
        one.number: (one.name, logging.getLevelName(one.level).lower(), one.text)
        for one in events.catalogue.values()
    }
    assert listed == coded


def test_each_event_is_used():
    places = [*SOURCES.rglob("*.py"), *(ROOT / "platform/src").rglob("*.py")]
    source = "".join(one.read_text() for one in places)
    for name, value in vars(events).items():
        if isinstance(value, Event):
            assert f"events.{name}.log(" in source, name


def _record(text):
    return logging.LogRecord("thorncleat", logging.INFO, "", 0, text, None, None)


def test_lines_over_the_rate_are_left_out_and_counted():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    now = [0.0]
    handler = logs.BoundedHandler(writer, clock=lambda: now[0])
    for number in range(logs.MAX_BURST_LINES + 50):
        handler.emit(_record(f"line {number}"))
    assert handler.dropped == 50
    now[0] = 1.0
    handler.emit(_record("later"))
    assert os.read(reader, 1_000_000).endswith(b"later\n")
    os.close(reader)
    os.close(writer)


def test_a_reader_that_does_not_read_never_holds_the_writer_up():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler = logs.BoundedHandler(writer, clock=lambda: 0.0)
    for _ in range(400):
        handler.emit(_record("x" * 1000))
    assert handler.dropped > 0
    taken = os.read(reader, 1_000_000)
    assert set(taken.split(b"\n")[:-1]) == {b"x" * 1000}
    os.close(reader)
    os.close(writer)


def test_lines_are_json_with_number_and_fields():
    reader, writer = os.pipe()
    kept = logging.getLogger().handlers[:], logging.getLogger().level
    try:
        logs.setup("info", "edge-1", writer)
        events.REQUEST_SENT.log(request="r1", endpoint="w1", load=2, last=None)
        line = json.loads(os.read(reader, 10_000))
    finally:
        logging.getLogger().handlers[:], level = kept
        logging.getLogger().setLevel(level)
    assert line["event"] == 7302
    assert line["name"] == "request_sent"
    assert (line["daemon"], line["request"], line["load"]) == ("edge-1", "r1", 2)
