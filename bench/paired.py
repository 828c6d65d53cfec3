"""The figures of a play, and tables that compare variants play by play.

Owns: nothing; all is pure.
Relies on: the form of an entry in the journal of the users' bench.
"""

import dataclasses
import math
import statistics
import typing as t


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a play came to.

    :param worth: the whole, less prices.
    :param served: of the whole day.
    :param worst_windows: of the worst seconds.
    :param prices: taken off the worth, as a sum.
    :param broken: names of the rules that broke.
    """

    worth: float
    served: float
    worst_windows: float
    refused: float
    failed: float
    prices: float
    broken: tuple[str, ...] = ()


def figures(entry: t.Mapping[str, t.Any]) -> Figures:
    """Return the figures of a journal entry that holds one day."""
    day = entry["days"][0]
    parts = {name: value for name, _, value in day["parts"]}
    return Figures(
        worth=day["G"],
        served=day["served"],
        worst_windows=parts["worst windows"],
        refused=day["refused"],
        failed=day["failed"],
        prices=sum(price for _, _, price in day["prices"]),
        broken=tuple(day["rules"]),
    )


@dataclasses.dataclass(frozen=True)
class Difference:
    """The mean of paired differences, with its standard error; NaN where it takes more pairs."""

    mean: float
    error: float


def difference(pairs: t.Sequence[tuple[float, float]]) -> Difference:
    """Return how far the second of each pair lies above the first."""
    apart = [after - before for before, after in pairs]
    mean = statistics.fmean(apart) if apart else math.nan
    error = statistics.stdev(apart) / math.sqrt(len(apart)) if len(apart) > 1 else math.nan
    return Difference(mean, error)


def table(
    title: str, plays: t.Sequence[str], found: t.Mapping[str, t.Mapping[str, Figures]]
) -> str:
    """Return a table in Markdown: worth by play and variant, then the differences to the first.

    :param found: figures by variant and play; a play that is missing shows as such.
    """
    names = list(found)
    lines = [f"{title}:", "", f"| play | {' | '.join(names)} |", "|---" * (len(names) + 1) + "|"]
    for play in plays:
        cells = [_cell(found[name].get(play)) for name in names]
        lines.append(f"| {play} | {' | '.join(cells)} |")
    lines.append("")
    for name in names[1:]:
        lines += _differences(names[0], name, found)
    return "\n".join(lines)


def _cell(play: Figures | None) -> str:
    if play is None:
        return "missing"
    broken = f" **{' '.join(play.broken)}**" if play.broken else ""
    return f"{play.worth:.3f} ({play.worst_windows:.2f}; {play.prices:.3f}){broken}"


def _differences(
    first: str, name: str, found: t.Mapping[str, t.Mapping[str, Figures]]
) -> list[str]:
    both = [play for play in found[first] if play in found[name]]
    lines = []
    for field in ("worth", "served", "worst_windows", "refused", "failed", "prices"):
        values = [
            (getattr(found[first][play], field), getattr(found[name][play], field)) for play in both
        ]
        apart = difference(values)
        text = f"{apart.mean:+.4f}, standard error {apart.error:.4f}, {len(both)} pairs"
        lines.append(f"- {name} less {first}, {field}: {text}")
    return lines
