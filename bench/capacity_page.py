"""Computes the tables of docs/CAPACITY.md from the slopes in ``bench/slopes.json``.

``bin/bench capacity_page --write`` puts them into the page; a test compares the two.

Owns: the part of the page between its two marks.
Relies on: :mod:`bench.planned_costs` for every figure.
"""

import json
import pathlib

import fire

from .planned_costs import BUDGET_BYTES
from .planned_costs import BUDGET_CPU
from .planned_costs import BUDGET_MB
from .planned_costs import READS
from .planned_costs import WRITES
from .planned_costs import Call
from .planned_costs import Plan
from .planned_costs import Row
from .planned_costs import Slopes
from .planned_costs import calls
from .planned_costs import rows
from .slopes import SLOPES

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- computed by bin/bench capacity_page --write -->"
END = "<!-- end of what is computed -->"
# of a core, which a daemon under full load leaves free for the rest; assumed
FREE_PART = 0.2


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else "**over**"


def tables(slopes: Slopes, plan: Plan) -> str:
    """Return the computed part of the page."""
    lines = [
        "### A daemon",
        "",
        *_daemon_lines(rows(slopes, plan)),
        "",
        "### The store, for the whole fleet",
        "",
        *_store_lines(calls(plan)),
        "",
        "### Tokens",
        "",
        *_token_lines(slopes, plan),
        "",
        "### The slopes",
        "",
        "| slope | base | each | spread | sizes measured | unit | command |",
        "|---|---|---|---|---|---|---|",
        *_slope_lines(slopes),
    ]
    return "\n".join(lines)


def _daemon_lines(found: list[Row]) -> list[str]:
    lines = ["| role | part of a core | bytes/s sent | MB | mechanism |", "|---|---|---|---|---|"]
    for row in found:
        mark = "" if row.control else " (not control)"
        lines.append(
            f"| {row.role}{mark} | {row.cpu:.2%} | {row.sent:.0f} | {row.megabytes:.1f} "
            f"| {row.mechanism} |"
        )
    control = [row for row in found if row.control]
    cpu = sum(row.cpu for row in control)
    sent = sum(row.sent for row in control)
    memory = sum(row.megabytes for row in control)
    return [
        *lines,
        f"| **control, all roles in one daemon** | **{cpu:.2%}** | **{sent:.0f}** "
        f"| **{memory:.1f}** | |",
        f"| budget | {BUDGET_CPU:.2%} | {BUDGET_BYTES:.0f} | {BUDGET_MB:.0f} | |",
        f"| verdict | {_verdict(cpu, BUDGET_CPU)} | {_verdict(sent, BUDGET_BYTES)} "
        f"| {_verdict(memory, BUDGET_MB)} | |",
    ]


def _store_lines(uses: list[Call]) -> list[str]:
    lines = ["| use | writes/s | reads/s | mechanism |", "|---|---|---|---|"]
    for use in uses:
        lines.append(f"| {use.what} | {use.writes:.2f} | {use.reads:.1f} | {use.mechanism} |")
    writes, reads = sum(use.writes for use in uses), sum(use.reads for use in uses)
    return [
        *lines,
        f"| **all** | **{writes:.1f}** | **{reads:.1f}** | |",
        f"| what it takes | {WRITES:.0f} | {READS:.0f} | |",
        f"| verdict | {_verdict(writes, WRITES)} | {_verdict(reads, READS)} | |",
    ]


def _token_lines(slopes: Slopes, plan: Plan) -> list[str]:
    cost = slopes.each("token_us")
    wanted = plan.tokens / plan.daemons
    rate = 1e6 / cost
    request_part = plan.requests / plan.daemons * slopes.each("request_us") * 1e-6
    room = 1 - FREE_PART - request_part
    needed = plan.tokens / (rate * room)
    return [
        f"One loop passes on {rate:.0f} tokens a second and would have to pass on {wanted:.0f} at "
        f"the peak. With a fifth of the core left free and the requests started beside, "
        f"{needed:.0f} daemons would carry the peak; or {plan.daemons} daemons, if the engines "
        f"put {max(1.0, wanted / (rate * room)):.1f} tokens into an event.",
    ]


def _slope_lines(slopes: Slopes) -> list[str]:
    lines = []
    for name, slope in sorted(slopes.raw.items()):
        sizes = ", ".join(str(size) for size in slope["sizes"]) or "one size"
        lines.append(
            f"| {name} | {slope['base']:.4g} | {slope['each']:.4g} | {slope['spread']:.2g} "
            f"| {sizes} | {slope['unit']} | `{slope['command']}` |"
        )
    return lines


def computed() -> str:
    """Return the computed part from the recorded slopes."""
    return tables(Slopes(json.loads(SLOPES.read_text())), Plan())


def on_page() -> str:
    """Return the computed part as it stands on the page."""
    text = PAGE.read_text()
    return text.split(BEGIN, 1)[1].split(END, 1)[0].strip()


def page(write: bool = False) -> None:
    """Print the tables, or put them into the page.

    :param write: change the page.
    """
    if not write:
        print(computed())
        return
    before, rest = PAGE.read_text().split(BEGIN, 1)
    after = rest.split(END, 1)[1]
    PAGE.write_text(f"{before}{BEGIN}\n\n{computed()}\n\n{END}{after}")


if __name__ == "__main__":
    fire.Fire(page)
