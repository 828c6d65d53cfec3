"""The gateway's log lines, and the page that lists its log events."""

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


def test_page_lists_each_event():
    rows = re.findall(
        r"^\| (7\d+) \| `(\w+)` \| (\w+) \| (.+?) \|$",
        (ROOT / "docs/LOGS-GATEWAY.md").read_text(),
        re.MULTILINE,
    )
    listed = {int(number): (name, level, text) for number, name, level, text in rows}
    coded = {
        event.number: (event.name, logging.getLevelName(event.level).lower(), event.text)
        for event in events.catalogue.values()
    }
    assert listed == coded


def test_each_event_is_used():
    paths = [*SOURCES.rglob("*.py"), *(ROOT / "platform/src").rglob("*.py")]
    source = "".join(path.read_text() for path in paths)
    for name, value in vars(events).items():
        if isinstance(value, Event):
            assert f"events.{name}.log(" in source, name


def _record(text):
    return logging.LogRecord("thorncleat", logging.INFO, "", 0, text, None, None)


def test_lines_over_the_rate_are_dropped_and_counted():
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


def test_writer_is_not_blocked_by_a_stalled_reader():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler = logs.BoundedHandler(writer, clock=lambda: 0.0)
    for _ in range(400):
        handler.emit(_record("x" * 1000))
    assert handler.dropped > 0
    received = os.read(reader, 1_000_000)
    assert set(received.split(b"\n")[:-1]) == {b"x" * 1000}
    os.close(reader)
    os.close(writer)


def test_lines_are_json_with_number_and_fields():
    reader, writer = os.pipe()
    saved = logging.getLogger().handlers[:], logging.getLogger().level
    try:
        logs.setup("info", "edge-1", writer)
        events.REQUEST_SENT.log(request="r1", endpoint="w1", load=2, last=None)
        line = json.loads(os.read(reader, 10_000))
    finally:
        logging.getLogger().handlers[:], level = saved
        logging.getLogger().setLevel(level)
    assert line["event"] == 7302
    assert line["name"] == "request_sent"
    assert (line["daemon"], line["request"], line["load"]) == ("edge-1", "r1", 2)
