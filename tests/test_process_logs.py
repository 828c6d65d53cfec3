"""The output of a failed test's processes is shown and kept."""

import types

from . import process_logs


def test_logs_of_labs_and_directories_are_found(tmp_path):
    (tmp_path / "lab").mkdir()
    (tmp_path / "own").mkdir()
    of_lab, of_test = tmp_path / "lab/daemon-0.log", tmp_path / "own/edge-1.log"
    of_lab.write_text("one\n")
    of_test.write_text("two\n")
    (tmp_path / "own/settings.toml").write_text("")
    lab = types.SimpleNamespace(cluster=types.SimpleNamespace(directory=tmp_path / "lab"))
    fixtures = {"lab": lab, "tmp_path": tmp_path / "own", "number": 3}
    assert process_logs.find(fixtures) == [of_lab, of_test]


def test_kept_logs_are_whole(tmp_path):
    log = tmp_path / "daemon-0.log"
    log.write_text("\n".join(str(number) for number in range(100)))
    (kept,) = process_logs.keep([log], "tests/test_a.py::test_b[x y]", tmp_path)
    assert kept.read_text() == log.read_text()
    assert kept.parent.name == "tests_test_a.py_test_b_x_y_"


def test_last_lines_are_shown(tmp_path):
    log = tmp_path / "daemon-0.log"
    log.write_text("\n".join(str(number) for number in range(100)))
    shown = process_logs.tail(log).splitlines()
    assert len(shown) == process_logs.SHOWN_LINES
    assert shown[-1] == "99"
