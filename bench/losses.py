"""Where a day's worth was lost, from the gateway's log lines: ``bin/bench losses FILE...``.

Each file holds what the users' bench prints for a day with ``--log all``. Each request that was not
answered in time is counted once, under what its daemon knows of the cause; then by second, and the
groups that were lost with the seconds until each step of their replacement.

Owns: nothing.
Relies on: the gateway's log events by number (docs/LOGS-GATEWAY.md), each line after the day's
second and the daemon's name.
"""

import collections
import dataclasses
import json
import pathlib
import re
import typing as t

import fire

LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
SUSPECTED, DONE, FAILED, REFUSED, CUT = 7301, 7303, 7304, 7305, 7306
ENDED, DETACHED, FORMING, OPENED = 7206, 7207, 7203, 7204
# refusals that are no loss: the caller asked for what the configuration doesn't hold
PROPER = ("no route", "unknown key")
# seconds that are counted together; those of the bench's own table
TOGETHER = 2


@dataclasses.dataclass(frozen=True)
class Line:
    """A log line, and the second of the day in which it was written."""

    at: float
    daemon: str
    event: int
    fields: t.Mapping[str, t.Any]


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that was not answered in time."""

    at: float
    cause: str


def read(path: pathlib.Path) -> list[Line]:
    """Return the log lines of a day; other lines are the bench's own."""
    lines = []
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        found = LINE.match(text)
        if found:
            fields = json.loads(found.group(3))
            lines.append(Line(float(found.group(1)), found.group(2), fields["event"], fields))
    return lines


def losses(lines: t.Iterable[Line]) -> list[Loss]:
    """Return each loss with its cause: how it shows, and what went before it."""
    failures: dict[str, list[str]] = collections.defaultdict(list)
    found = []
    for line in lines:
        request = line.fields.get("request", "")
        cause = str(line.fields.get("cause", ""))
        if line.event == FAILED:
            failures[request].append(cause)
        elif line.event == DONE and line.fields.get("late"):
            before = failures.get(request, ["no failed attempt"])[0]
            found.append(Loss(line.at, f"late {line.fields['late']}: {_kind(before)}"))
        elif line.event == REFUSED and cause not in PROPER:
            found.append(Loss(line.at, f"refused: {_kind(cause)}"))
        elif line.event == CUT:
            found.append(Loss(line.at, f"cut: {_kind(cause)}"))
    return found


def _kind(cause: str) -> str:
    """Return a cause without the figures and names that differ from case to case."""
    return re.sub(r"'[^']*'|\d+(\.\d+)?", "#", cause)


def groups(lines: t.Iterable[Line]) -> list[str]:
    """Return a row for each group that was ended, and for each that was formed after the start."""
    suspected: dict[str, float] = {}
    ended: dict[str, float] = {}
    rows = []
    for line in lines:
        group = str(line.fields.get("group", ""))
        if line.event == SUSPECTED:
            suspected.setdefault(group, line.at)
        elif line.event == ENDED:
            ended[group] = line.at
            known = group in suspected
            since = f"{line.at - suspected[group]:.2f} s after a suspicion" if known else "at once"
            rows.append(f"{line.at:8.2f} {group} ended: {line.fields['cause']}, {since}")
        elif line.event == DETACHED and group in ended:
            rows.append(f"{line.at:8.2f} {group} over: {line.fields['how']}")
        elif line.event in (FORMING, OPENED) and line.at > 0:
            what = "forming" if line.event == FORMING else "open"
            rows.append(f"{line.at:8.2f} {group} {what}: {line.fields['model']}")
    return rows


def main(*files: str) -> None:
    """Print the losses of each day.

    :param files: what the users' bench printed.
    """
    for name in files:
        lines = read(pathlib.Path(name))
        found = losses(lines)
        answered = sum(line.event == DONE for line in lines)
        print(f"{name}: {answered} answered, {len(found)} of them late, refused or cut")
        for cause, count in collections.Counter(loss.cause for loss in found).most_common():
            print(f"  {count:6d} {cause}")
        seconds = collections.Counter(int(loss.at // TOGETHER) * TOGETHER for loss in found)
        print("  by second:", ", ".join(f"{at}: {seconds[at]}" for at in sorted(seconds)))
        for row in groups(lines):
            print("  " + row)


if __name__ == "__main__":
    fire.Fire(t.cast(t.Any, main))
