"""Lists the causes of lost requests and groups, from the gateway's log lines.

Each file holds the output of the users' bench for a day with ``--log all``.

Owns: nothing.
Relies on: the numbers of the gateway's log events (docs/LOGS-GATEWAY.md), and log lines that follow
the day's second and the daemon's name.
"""

import collections
import dataclasses
import json
import pathlib
import re
import typing as t

import fire

LINE_PATTERN = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
SUSPECTED, DONE, FAILED, REFUSED, CUT = 7301, 7303, 7304, 7305, 7306
ENDED, DETACHED, FORMING, OPENED = 7206, 7207, 7203, 7204
# Causes of refusals that are the caller's fault and count as no loss.
EXPECTED_REFUSALS = ("no route", "unknown key")
# Losses are counted by intervals of this length, as in the bench's own table.
BUCKET_SECONDS = 2


@dataclasses.dataclass(frozen=True)
class Line:
    """A log line.

    :param at: when it was written, in seconds of the day.
    """

    at: float
    daemon: str
    event: int
    fields: t.Mapping[str, t.Any]


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that was not answered in time.

    :param at: when it was lost, in seconds of the day.
    """

    at: float
    cause: str


def read(path: pathlib.Path) -> list[Line]:
    """Return the log lines of a day; the bench's own lines are skipped."""
    lines = []
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        found = LINE_PATTERN.match(text)
        if found:
            fields = json.loads(found.group(3))
            lines.append(Line(float(found.group(1)), found.group(2), fields["event"], fields))
    return lines


def find_losses(lines: t.Iterable[Line]) -> list[Loss]:
    """Return the lost requests, each once; a late one has the cause of its first failed attempt."""
    failures: dict[str, list[str]] = collections.defaultdict(list)
    found = []
    for line in lines:
        request = line.fields.get("request", "")
        cause = str(line.fields.get("cause", ""))
        if line.event == FAILED:
            failures[request].append(cause)
        elif line.event == DONE and line.fields.get("late"):
            first_cause = failures.get(request, ["no failed attempt"])[0]
            found.append(
                Loss(line.at, f"late {line.fields['late']}: {_normalize_cause(first_cause)}")
            )
        elif line.event == REFUSED and cause not in EXPECTED_REFUSALS:
            found.append(Loss(line.at, f"refused: {_normalize_cause(cause)}"))
        elif line.event == CUT:
            found.append(Loss(line.at, f"cut: {_normalize_cause(cause)}"))
    return found


def _normalize_cause(cause: str) -> str:
    """Return a cause with ``#`` in place of numbers and quoted names."""
    return re.sub(r"'[^']*'|\d+(\.\d+)?", "#", cause)


def group_rows(lines: t.Iterable[Line]) -> list[str]:
    """Return a row for each step of a group's end and replacement."""
    suspected: dict[str, float] = {}
    ended: dict[str, float] = {}
    rows = []
    for line in lines:
        group = str(line.fields.get("group", ""))
        if line.event == SUSPECTED:
            suspected.setdefault(group, line.at)
        elif line.event == ENDED:
            ended[group] = line.at
            was_suspected = group in suspected
            delay = (
                f"{line.at - suspected[group]:.2f} s after a suspicion"
                if was_suspected
                else "at once"
            )
            rows.append(f"{line.at:8.2f} {group} ended: {line.fields['cause']}, {delay}")
        elif line.event == DETACHED and group in ended:
            rows.append(f"{line.at:8.2f} {group} over: {line.fields['how']}")
        elif line.event in (FORMING, OPENED) and line.at > 0:
            state = "forming" if line.event == FORMING else "open"
            rows.append(f"{line.at:8.2f} {group} {state}: {line.fields['model']}")
    return rows


def main(*files: str) -> None:
    """Print the losses of each day.

    :param files: files with the output of the users' bench.
    """
    for name in files:
        lines = read(pathlib.Path(name))
        found = find_losses(lines)
        answered = sum(line.event == DONE for line in lines)
        print(f"{name}: {answered} answered, {len(found)} of them late, refused or cut")
        for cause, count in collections.Counter(loss.cause for loss in found).most_common():
            print(f"  {count:6d} {cause}")
        counts = collections.Counter(
            int(loss.at // BUCKET_SECONDS) * BUCKET_SECONDS for loss in found
        )
        print("  by second:", ", ".join(f"{at}: {counts[at]}" for at in sorted(counts)))
        for row in group_rows(lines):
            print("  " + row)


if __name__ == "__main__":
    fire.Fire(t.cast(t.Any, main))
