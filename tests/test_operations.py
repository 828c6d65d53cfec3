"""The commands on the operations page, run on the log lines that the page describes."""

import json
import pathlib
import re
import shlex

import pytest

from thorncleat_client import logs
from thorncleat_client import main
from thorncleat_client.exceptions import UnusableDocumentError

ROOT = pathlib.Path(__file__).parent.parent
LOG = "tests/data/incident-riga.log"
PAGE = (ROOT / "docs/OPERATIONS.md").read_text()
COMMANDS = re.findall(r"^thorncleat (.+)$", PAGE, re.MULTILINE)


@pytest.fixture(autouse=True)
def _in_project_root(monkeypatch):
    monkeypatch.chdir(ROOT)


def run(command, **options):
    verb, *arguments = shlex.split(command)
    getattr(main.Commands(**options), verb.replace("-", "_"))(*arguments)


def test_there_are_three_kinds_of_failed_request():
    assert sum(command.startswith("trace ") for command in COMMANDS) == 3


@pytest.mark.parametrize("command", COMMANDS)
def test_commands_of_the_page_show_log_lines(command, capsys):
    run(command)
    assert command.split()[1] in capsys.readouterr().out


@pytest.mark.parametrize(
    ("request_id", "events"),
    [
        ("f0d60af67a823ba3", ["request_sent", "attempt_failed", "group_ended", "request_cut"]),
        ("b5e1fc533044991b", ["request_refused"]),
        ("0497efc420a8ba8f", ["attempt_failed", "request_refused"]),
    ],
)
def test_trace_shows_the_events_on_the_page(request_id, events, capsys):
    run(f"trace {request_id} {LOG}", json=True)
    lines = json.loads(capsys.readouterr().out)
    assert set(events) <= {line["name"] for line in lines}
    assert [line["time"] for line in lines] == sorted(line["time"] for line in lines)


def test_text_before_the_json_of_a_line_is_skipped(tmp_path):
    path = tmp_path / "collected.log"
    lines = (ROOT / LOG).read_text().splitlines()
    path.write_text("".join(f"12.5 edge-1 {line}\n" for line in lines) + "not a line\n{broken\n")
    assert logs.read([str(path)]) == logs.read([LOG])


def test_unknown_request_is_reported():
    with pytest.raises(UnusableDocumentError, match="'nobody'"):
        run(f"trace nobody {LOG}")


def test_missing_file_is_reported():
    with pytest.raises(UnusableDocumentError, match="nothing-here"):
        run("trace x nothing-here.log")
