"""Computes the tables of docs/CAPACITY.md from the slopes in ``bench/slopes.json``.

``bin/bench capacity_page --write`` puts them into the page; a test checks that they are current.

Owns: the part of the page between its begin and end marks.
Relies on: :mod:`bench.planned_costs` for every figure.
"""

import json
import pathlib

import fire

from .planned_costs import CPU_BUDGET_CORES
from .planned_costs import MEMORY_BUDGET_MB
from .planned_costs import SEND_BUDGET_BYTES_PER_SECOND
from .planned_costs import STORE_READS_PER_SECOND
from .planned_costs import STORE_WRITES_PER_SECOND
from .planned_costs import Plan
from .planned_costs import RoleCost
from .planned_costs import Slopes
from .planned_costs import StoreUse
from .planned_costs import role_costs
from .planned_costs import store_uses
from .slopes import SLOPES_PATH

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- computed by bin/bench capacity_page --write -->"
END = "<!-- end of what is computed -->"
# Share of a core that a daemon under full load leaves free.
FREE_CPU_SHARE = 0.2


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else "**over**"


def tables(slopes: Slopes, plan: Plan) -> str:
    """Return the computed part of the page.

    :param plan: the size that costs are computed for.
    """
    lines = [
        "### A daemon",
        "",
        *_daemon_table(role_costs(slopes, plan)),
        "",
        "### The store, for the whole fleet",
        "",
        *_store_table(store_uses(plan)),
        "",
        "### Tokens",
        "",
        *_token_paragraph(slopes, plan),
        "",
        "### The slopes",
        "",
        "| slope | base | each | spread | sizes measured | unit | command |",
        "|---|---|---|---|---|---|---|",
        *_slope_rows(slopes),
    ]
    return "\n".join(lines)


def _daemon_table(costs: list[RoleCost]) -> list[str]:
    lines = ["| role | part of a core | bytes/s sent | MB | mechanism |", "|---|---|---|---|---|"]
    for row in costs:
        mark = "" if row.control else " (not control)"
        lines.append(
            f"| {row.role}{mark} | {row.cpu_cores:.2%} | {row.sent_bytes_per_second:.0f} "
            f"| {row.state_megabytes:.1f} | {row.mechanism} |"
        )
    control = [row for row in costs if row.control]
    cpu = sum(row.cpu_cores for row in control)
    sent = sum(row.sent_bytes_per_second for row in control)
    memory = sum(row.state_megabytes for row in control)
    return [
        *lines,
        f"| **control, all roles in one daemon** | **{cpu:.2%}** | **{sent:.0f}** "
        f"| **{memory:.1f}** | |",
        f"| budget | {CPU_BUDGET_CORES:.2%} | {SEND_BUDGET_BYTES_PER_SECOND:.0f} "
        f"| {MEMORY_BUDGET_MB:.0f} | |",
        f"| verdict | {_verdict(cpu, CPU_BUDGET_CORES)} "
        f"| {_verdict(sent, SEND_BUDGET_BYTES_PER_SECOND)} "
        f"| {_verdict(memory, MEMORY_BUDGET_MB)} | |",
    ]


def _store_table(uses: list[StoreUse]) -> list[str]:
    lines = ["| use | writes/s | reads/s | mechanism |", "|---|---|---|---|"]
    for use in uses:
        lines.append(f"| {use.what} | {use.writes:.2f} | {use.reads:.1f} | {use.mechanism} |")
    writes, reads = sum(use.writes for use in uses), sum(use.reads for use in uses)
    return [
        *lines,
        f"| **all** | **{writes:.1f}** | **{reads:.1f}** | |",
        f"| what it takes | {STORE_WRITES_PER_SECOND:.0f} | {STORE_READS_PER_SECOND:.0f} | |",
        f"| verdict | {_verdict(writes, STORE_WRITES_PER_SECOND)} "
        f"| {_verdict(reads, STORE_READS_PER_SECOND)} | |",
    ]


def _token_paragraph(slopes: Slopes, plan: Plan) -> list[str]:
    token_microseconds = slopes.each("token_us")
    planned_rate = plan.tokens_per_second / plan.daemons
    daemon_rate = 1e6 / token_microseconds
    request_share = plan.requests_per_second / plan.daemons * slopes.each("request_us") * 1e-6
    token_share = 1 - FREE_CPU_SHARE - request_share
    daemons_needed = plan.tokens_per_second / (daemon_rate * token_share)
    return [
        f"One loop passes on {daemon_rate:.0f} tokens a second and would have to pass on "
        f"{planned_rate:.0f} at the peak. With a fifth of the core left free and the requests "
        f"started beside, {daemons_needed:.0f} daemons would carry the peak; or {plan.daemons} "
        f"daemons, if the engines put "
        f"{max(1.0, planned_rate / (daemon_rate * token_share)):.1f} tokens into an event.",
    ]


def _slope_rows(slopes: Slopes) -> list[str]:
    lines = []
    for name, slope in sorted(slopes.by_name.items()):
        sizes = ", ".join(str(size) for size in slope["sizes"]) or "one size"
        lines.append(
            f"| {name} | {slope['base']:.4g} | {slope['each']:.4g} | {slope['spread']:.2g} "
            f"| {sizes} | {slope['unit']} | `{slope['command']}` |"
        )
    return lines


def computed_part() -> str:
    """Return the computed part of the page, from the recorded slopes."""
    return tables(Slopes(json.loads(SLOPES_PATH.read_text())), Plan())


def published_part() -> str:
    """Return the part of the page between its marks."""
    text = PAGE.read_text()
    return text.split(BEGIN, 1)[1].split(END, 1)[0].strip()


def page(write: bool = False) -> None:
    """Print the tables, or put them into the page.

    :param write: write to the page instead of printing.
    """
    if not write:
        print(computed_part())
        return
    before, rest = PAGE.read_text().split(BEGIN, 1)
    after = rest.split(END, 1)[1]
    PAGE.write_text(f"{before}{BEGIN}\n\n{computed_part()}\n\n{END}{after}")


if __name__ == "__main__":
    fire.Fire(page)
