"""The operations page's commands, run on the log lines that it was written from."""

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
def _at_the_root(monkeypatch):
    monkeypatch.chdir(ROOT)


def run(command, **options):
    verb, *arguments = shlex.split(command)
    getattr(main.Commands(**options), verb.replace("-", "_"))(*arguments)


def test_there_are_three_kinds_of_failed_request():
    assert sum(one.startswith("trace ") for one in COMMANDS) == 3


@pytest.mark.parametrize("command", COMMANDS)
def test_commands_of_the_page_tell_a_story(command, capsys):
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
def test_story_holds_what_the_page_says(request_id, events, capsys):
    run(f"trace {request_id} {LOG}", json=True)
    story = json.loads(capsys.readouterr().out)
    assert set(events) <= {one["name"] for one in story}
    assert [one["time"] for one in story] == sorted(one["time"] for one in story)


def test_a_collector_may_put_its_own_time_before_a_line(tmp_path):
    path = tmp_path / "collected.log"
    lines = (ROOT / LOG).read_text().splitlines()
    path.write_text("".join(f"12.5 edge-1 {line}\n" for line in lines) + "not a line\n{broken\n")
    assert logs.read([str(path)]) == logs.read([LOG])


def test_unknown_request_is_a_clear_error():
    with pytest.raises(UnusableDocumentError, match="'nobody'"):
        run(f"trace nobody {LOG}")


def test_missing_file_is_a_clear_error():
    with pytest.raises(UnusableDocumentError, match="nothing-here"):
        run("trace x nothing-here.log")
