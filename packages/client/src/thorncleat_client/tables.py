"""Prints the operator API's answers as tables.

Owns: nothing.
Relies on: the form of the operator API's answers.
"""

import typing as t

from rich.console import Console
from rich.table import Table

Json = dict[str, t.Any]
WIDTH_CHARACTERS = 120


def _console() -> Console:
    return Console(width=WIDTH_CHARACTERS, highlight=False)


def _duration(value: float) -> str:
    # Durations of ten minutes and more are shown in minutes.
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
                _duration(step["seconds"]),
                _duration(step["downtime_seconds"]),
                f"{step['idle_accelerator_seconds'] / 3600:.1f} h",
            )
            for step in steps
        ]
        columns = ("action", "group", "domain", "instances", "takes", "downtime", "idle acc.")
        show(columns, rows)
    downtime = _duration(answer["downtime_seconds"])
    idle_hours = answer["idle_accelerator_seconds"] / 3600
    console.print(f"costs {downtime} of group downtime and {idle_hours:.1f} accelerator hours idle")


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
    """Print an object's fields, one a row."""
    rows = [(name, _cell_text(value)) for name, value in answer.items()]
    show(("what", "value"), rows)


def _cell_text(value: t.Any) -> str:
    if isinstance(value, list):
        return "\n".join(_cell_text(item) for item in value) if value else "none"
    if isinstance(value, dict):
        return ", ".join(f"{name} {item}" for name, item in value.items()) or "none"
    return str(value)


def burn(answer: Json) -> None:
    """Print the error budget report, and the daemons that sent no figures."""
    rows = [
        (
            row["subject"]["workspace"],
            row["subject"]["target"],
            row["total"],
            *(f"{row['rates'][window]:.1f}" for window in ("5m", "1h", "6h")),
            row["alert"] or "-",
            _cell_text(row["causes"]),
        )
        for row in answer["rows"]
    ]
    columns = ("workspace", "target", "requests", "5m", "1h", "6h", "alert", "causes")
    show(columns, rows)
    downtime = {group: f"{seconds:.0f} s" for group, seconds in answer["down_seconds"].items()}
    console = _console()
    console.print(f"group downtime: {_cell_text(downtime)}")
    stranded_hours = answer["stranded_accelerator_seconds"] / 3600
    console.print(f"stranded accelerators: {stranded_hours:.2f} accelerator hours")
    if answer["silent"]:
        console.print(f"no figures from: {' '.join(answer['silent'])}")
