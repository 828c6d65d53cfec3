"""Settings files that can't be read, and their reload."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_core.exceptions import DocumentError
from thorncleat_gateway import events
from thorncleat_platform import main
from thorncleat_platform import settings

SETTINGS_FILES = {
    "no text": b"\xff\xfe\x00",
    "deep": b"x = " + b"[" * 100_000,
    "deep and whole": b"x = " + b"[" * 5_000 + b"]" * 5_000,
    "long number": b"x = " + b"9" * 5_000,
    "empty": b"",
    "cut off": b"x = {",
}


@pytest.mark.parametrize("kind", [*SETTINGS_FILES, "missing", "folder"])
def test_reload_of_an_invalid_file_logs_the_problem(kind, tmp_path, monkeypatch):
    """Guards against an exception from the handler of SIGHUP."""
    path = tmp_path / "settings.toml"
    if kind in SETTINGS_FILES:
        path.write_bytes(SETTINGS_FILES[kind])
    elif kind == "folder":
        path.mkdir()
    problems = []
    monkeypatch.setattr(
        type(events.RELOADED), "log", lambda _, **fields: problems.append(fields["problem"])
    )
    main._reload(path)
    assert len(problems) == 1
    assert str(path) in problems[0]


@given(st.binary())
def test_settings_of_any_bytes(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("settings") / "settings.toml"
    path.write_bytes(data)
    with contextlib.suppress(DocumentError):
        settings.load(path)


@pytest.mark.parametrize("location", ["²/x", "x", "٣", "9" * 5_000, "70000/metrics"])
def test_odd_location_of_the_metrics(location):
    with pytest.raises(DocumentError):
        settings._metrics("10.0.0.1", location)
