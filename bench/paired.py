"""Extracts the figures of plays, and compares variants play by play.

Owns: nothing.
Relies on: the form of a journal entry of the users' bench.
"""

import dataclasses
import math
import statistics
import typing as t


@dataclasses.dataclass(frozen=True)
class Figures:
    """The figures of a play.

    :param worth: total worth after prices.
    :param served: share served over the whole day.
    :param worst_windows: share served in the worst windows.
    :param prices: sum of the prices.
    :param broken: names of the rules that were broken.
    """

    worth: float
    served: float
    worst_windows: float
    refused: float
    failed: float
    prices: float
    broken: tuple[str, ...] = ()


def figures(entry: t.Mapping[str, t.Any]) -> Figures:
    """Return the figures of the only day in a journal entry."""
    day = entry["days"][0]
    shares = {name: value for name, _, value in day["parts"]}
    return Figures(
        worth=day["G"],
        served=day["served"],
        worst_windows=shares["worst windows"],
        refused=day["refused"],
        failed=day["failed"],
        prices=sum(price for _, _, price in day["prices"]),
        broken=tuple(day["rules"]),
    )


@dataclasses.dataclass(frozen=True)
class Difference:
    """The mean of paired differences and its standard error; NaN if there are too few pairs."""

    mean: float
    error: float


def difference(pairs: t.Sequence[tuple[float, float]]) -> Difference:
    """Return the mean difference of the second value of each pair from the first."""
    differences = [after - before for before, after in pairs]
    mean = statistics.fmean(differences) if differences else math.nan
    error = (
        statistics.stdev(differences) / math.sqrt(len(differences))
        if len(differences) > 1
        else math.nan
    )
    return Difference(mean, error)


def table(
    title: str, plays: t.Sequence[str], results: t.Mapping[str, t.Mapping[str, Figures]]
) -> str:
    """Return a Markdown table of worth, and the differences of each variant from the first.

    :param plays: names of the plays, a row each.
    :param results: figures by variant and play; absent plays are shown as missing.
    """
    variants = list(results)
    lines = [
        f"{title}:",
        "",
        f"| play | {' | '.join(variants)} |",
        "|---" * (len(variants) + 1) + "|",
    ]
    for play in plays:
        cells = [_cell(results[variant].get(play)) for variant in variants]
        lines.append(f"| {play} | {' | '.join(cells)} |")
    lines.append("")
    for variant in variants[1:]:
        lines += _difference_lines(variants[0], variant, results)
    return "\n".join(lines)


def _cell(play: Figures | None) -> str:
    if play is None:
        return "missing"
    broken = f" **{' '.join(play.broken)}**" if play.broken else ""
    return f"{play.worth:.3f} ({play.worst_windows:.2f}; {play.prices:.3f}){broken}"


def _difference_lines(
    baseline: str, variant: str, results: t.Mapping[str, t.Mapping[str, Figures]]
) -> list[str]:
    shared_plays = [play for play in results[baseline] if play in results[variant]]
    lines = []
    for field in ("worth", "served", "worst_windows", "refused", "failed", "prices"):
        values = [
            (getattr(results[baseline][play], field), getattr(results[variant][play], field))
            for play in shared_plays
        ]
        gap = difference(values)
        text = f"{gap.mean:+.4f}, standard error {gap.error:.4f}, {len(shared_plays)} pairs"
        lines.append(f"- {variant} less {baseline}, {field}: {text}")
    return lines
