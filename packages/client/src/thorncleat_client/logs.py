"""The story of a request or of a group, read out of the daemons' log lines.

Owns: nothing.
Relies on: the names of log events' fields, which docs/LOGS.md lists.
"""

import json
import pathlib
import sys
import typing as t

from .exceptions import UnusableDocumentError

Line = dict[str, t.Any]
# what every line has, and the story need not repeat
COMMON = frozenset({"time", "level", "message", "daemon", "event", "name"})
MEMBER_FIELDS = ("leader", "endpoint", "members")


def read(paths: t.Sequence[str]) -> list[Line]:
    """Return all log lines of some files, by time; standard input if none is named.

    What stands before a line's JSON, as a collector's own time, is passed over, and so is
    what is no log line.

    :raises UnusableDocumentError: if a file can't be read.
    """
    lines: list[Line] = []
    for path in paths or ["-"]:
        lines += _parsed(_text(path))
    return sorted(lines, key=lambda line: float(line["time"]))


def _text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UnusableDocumentError(f"{path}: {error.strerror}") from error


def _parsed(text: str) -> t.Iterator[Line]:
    for line in text.splitlines():
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            parsed = json.loads(line[begin:])
        except ValueError:
            # not a line of ours: collectors mix in others
            continue
        if isinstance(parsed, dict) and "event" in parsed and "time" in parsed:
            yield parsed


def of_request(lines: t.Sequence[Line], request: str) -> list[Line]:
    """Return a request's lines, and what was believed of the endpoints it was sent to.

    Of an endpoint's group the lines count that fall into the request's time.
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    begin, end = float(own[0]["time"]), float(own[-1]["time"])
    used = {str(line["endpoint"]) for line in own if line.get("endpoint")}
    around = [
        line
        for line in lines
        if begin <= float(line["time"]) <= end and "request" not in line and used & _endpoints(line)
    ]
    return sorted(own + around, key=lambda line: float(line["time"]))


def of_group(lines: t.Sequence[Line], group: str) -> list[Line]:
    """Return the lines about a group, and those about its members while it was there."""
    own = [line for line in lines if line.get("group") == group]
    if not own:
        return []
    begin, end = float(own[0]["time"]), float(own[-1]["time"])
    members: set[str] = set()
    for line in own:
        members |= _endpoints(line)
    around = [
        line
        for line in lines
        if begin <= float(line["time"]) <= end
        and "request" not in line
        and "group" not in line
        and members & _endpoints(line)
    ]
    return sorted(own + around, key=lambda line: float(line["time"]))


def _endpoints(line: Line) -> set[str]:
    found: set[str] = set()
    for field in MEMBER_FIELDS:
        value = line.get(field)
        found.update(value if isinstance(value, list) else [value] if value else [])
    return found


def rows(lines: t.Sequence[Line]) -> list[tuple[str, str, str, str]]:
    """Return table rows: seconds since the first line, daemon, event, and its fields."""
    if not lines:
        return []
    begin = float(lines[0]["time"])
    return [
        (
            f"{float(line['time']) - begin:.3f}",
            str(line["daemon"]),
            str(line["name"]),
            " ".join(f"{key}={value}" for key, value in line.items() if key not in COMMON),
        )
        for line in lines
    ]
