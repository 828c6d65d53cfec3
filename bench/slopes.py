"""Costs fitted as straight lines over size, and the file that keeps them for docs/CAPACITY.md.

Owns: ``bench/slopes.json``.
Relies on: costs that grow in proportion to size; the spread over several runs tells how well
that holds.
"""

import dataclasses
import json
import pathlib
import statistics
import typing as t

SLOPES = pathlib.Path(__file__).with_name("slopes.json")
Fit = tuple[float, float]


@dataclasses.dataclass
class Slope:
    """A cost fitted as ``base + each * size``.

    :param spread: largest less smallest ``each`` over the runs.
    :param command: the run that measured it.
    """

    name: str
    unit: str
    base: float
    each: float
    spread: float
    sizes: list[int]
    command: str

    @classmethod
    def of(
        cls, name: str, unit: str, sizes: list[int], fits: t.Sequence[Fit], command: str
    ) -> "Slope":
        """Return the medians of the fits of several runs, and their spread."""
        each = [slope for _, slope in fits]
        base = statistics.median(base for base, _ in fits)
        spread = max(each) - min(each)
        return cls(name, unit, base, statistics.median(each), spread, sizes, command)


def fit(sizes: t.Sequence[float], costs: t.Sequence[float]) -> Fit:
    """Return base and slope of the least squares line."""
    mean_size, mean_cost = statistics.fmean(sizes), statistics.fmean(costs)
    above = sum((s - mean_size) * (c - mean_cost) for s, c in zip(sizes, costs, strict=True))
    each = above / sum((s - mean_size) ** 2 for s in sizes)
    return mean_cost - each * mean_size, each


def keep(slopes: t.Iterable[Slope]) -> None:
    """Write slopes into the file that the page is computed from."""
    known = json.loads(SLOPES.read_text()) if SLOPES.exists() else {}
    for slope in slopes:
        known[slope.name] = {
            **dataclasses.asdict(slope),
            "base": float(f"{slope.base:.4g}"),
            "each": float(f"{slope.each:.4g}"),
            "spread": float(f"{slope.spread:.3g}"),
        }
    SLOPES.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")
