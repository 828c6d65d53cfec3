"""Tables for people.

Owns: nothing.
Relies on: the answers of the operators' side; nothing is fetched here.
"""

import typing as t

from rich.console import Console
from rich.table import Table

Json = dict[str, t.Any]
# characters
WIDTH = 120


def _console() -> Console:
    return Console(width=WIDTH, highlight=False)


def _seconds(value: float) -> str:
    # minutes from ten minutes on
    return f"{value:.0f} s" if value < 600 else f"{value / 60:.0f} min"


def show(columns: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> None:
    """Print a table."""
    table = Table(*columns, box=None, pad_edge=False, header_style="bold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    _console().print(table)


def plan(answer: Json) -> None:
    """Print a plan."""
    steps = answer["plan"]["steps"]
    console = _console()
    console.print(f"plan {answer['digest'][:12]} from revision {answer['plan']['base_revision']}")
    if not steps:
        console.print("no group starts, moves or stops")
    else:
        rows = [
            (
                step["action"],
                step["group"],
                step["domain"],
                " ".join(step["members"]),
                _seconds(step["seconds"]),
                _seconds(step["downtime_seconds"]),
                f"{step['idle_accelerator_seconds'] / 3600:.1f} h",
            )
            for step in steps
        ]
        columns = ("action", "group", "domain", "instances", "takes", "downtime", "idle acc.")
        show(columns, rows)
    down = _seconds(answer["downtime_seconds"])
    idle = answer["idle_accelerator_seconds"] / 3600
    console.print(f"costs {down} of group downtime and {idle:.1f} accelerator hours idle")


def groups(answer: Json) -> None:
    """Print all groups."""
    rows = [
        (
            group["group"],
            group["state"],
            f"{group['model']} {group['version']}",
            group["domain"],
            group["generation"],
            " ".join(group["members"]),
        )
        for group in answer["groups"]
    ]
    show(("group", "state", "model", "domain", "generation", "instances"), rows)


def fields(answer: Json) -> None:
    """Print an object's fields, a line each."""
    rows = [(name, _cell(value)) for name, value in answer.items()]
    show(("what", "value"), rows)


def _cell(value: t.Any) -> str:
    if isinstance(value, list):
        return "\n".join(_cell(item) for item in value) if value else "none"
    if isinstance(value, dict):
        return ", ".join(f"{name} {inner}" for name, inner in value.items()) or "none"
    return str(value)


def burn(answer: Json) -> None:
    """Print the report on service-level burn."""
    rows = [
        (
            row["subject"]["workspace"],
            row["subject"]["target"],
            row["total"],
            *(f"{row['rates'][window]:.1f}" for window in ("5m", "1h", "6h")),
            row["alert"] or "-",
            _cell(row["causes"]),
        )
        for row in answer["rows"]
    ]
    columns = ("workspace", "target", "requests", "5m", "1h", "6h", "alert", "causes")
    show(columns, rows)
    down = {group: f"{seconds:.0f} s" for group, seconds in answer["down_seconds"].items()}
    console = _console()
    console.print(f"group downtime: {_cell(down)}")
    stranded = answer["stranded_accelerator_seconds"] / 3600
    console.print(f"stranded accelerators: {stranded:.2f} accelerator hours")
    if answer["silent"]:
        console.print(f"no figures from: {' '.join(answer['silent'])}")
