"""Selects the log lines about a request or a group.

Owns: nothing.
Relies on: the field names of log events, which docs/LOGS.md lists.
"""

import json
import pathlib
import sys
import typing as t

from .exceptions import UnusableDocumentError

Line = dict[str, t.Any]
# Fields that table rows leave out or show in a column of their own.
COMMON_FIELDS = frozenset({"time", "level", "message", "daemon", "event", "name"})
ENDPOINT_FIELDS = ("leader", "endpoint", "members")


def read(paths: t.Sequence[str]) -> list[Line]:
    """Return the log lines of some files in order of time.

    Skips text before a line's JSON, such as a log collector's timestamp, and lines that are not
    log events.

    :param paths: files; standard input if there are none.
    :raises UnusableDocumentError: if a file can't be read.
    """
    lines: list[Line] = []
    for path in paths or ["-"]:
        lines += _parse_lines(_read_text(path))
    return sorted(lines, key=lambda line: float(line["time"]))


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UnusableDocumentError(f"{path}: {error.strerror}") from error


def _parse_lines(text: str) -> t.Iterator[Line]:
    for line in text.splitlines():
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            parsed = json.loads(line[json_start:])
        except ValueError:
            # Collected logs also contain lines of other programs.
            continue
        if isinstance(parsed, dict) and "event" in parsed and "time" in parsed:
            yield parsed


def for_request(lines: t.Sequence[Line], request: str) -> list[Line]:
    """Return a request's lines and, from its first line to its last, those about its endpoints.

    Lines about other requests are left out.
    """
    matching = [line for line in lines if line.get("request") == request]
    if not matching:
        return []
    first_at, last_at = float(matching[0]["time"]), float(matching[-1]["time"])
    endpoints = {str(line["endpoint"]) for line in matching if line.get("endpoint")}
    related = [
        line
        for line in lines
        if first_at <= float(line["time"]) <= last_at
        and "request" not in line
        and endpoints & _endpoints(line)
    ]
    return sorted(matching + related, key=lambda line: float(line["time"]))


def for_group(lines: t.Sequence[Line], group: str) -> list[Line]:
    """Return a group's lines, and those about its members between its first and last line."""
    matching = [line for line in lines if line.get("group") == group]
    if not matching:
        return []
    first_at, last_at = float(matching[0]["time"]), float(matching[-1]["time"])
    members: set[str] = set()
    for line in matching:
        members |= _endpoints(line)
    related = [
        line
        for line in lines
        if first_at <= float(line["time"]) <= last_at
        and "request" not in line
        and "group" not in line
        and members & _endpoints(line)
    ]
    return sorted(matching + related, key=lambda line: float(line["time"]))


def _endpoints(line: Line) -> set[str]:
    endpoints: set[str] = set()
    for field in ENDPOINT_FIELDS:
        value = line.get(field)
        endpoints.update(value if isinstance(value, list) else [value] if value else [])
    return endpoints


def rows(lines: t.Sequence[Line]) -> list[tuple[str, str, str, str]]:
    """Return a table row for each line: seconds since the first, daemon, event, other fields."""
    if not lines:
        return []
    first_at = float(lines[0]["time"])
    return [
        (
            f"{float(line['time']) - first_at:.3f}",
            str(line["daemon"]),
            str(line["name"]),
            " ".join(f"{key}={value}" for key, value in line.items() if key not in COMMON_FIELDS),
        )
        for line in lines
    ]
