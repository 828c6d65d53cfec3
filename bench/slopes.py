"""Costs fitted as straight lines over size, and the file that records them.

Owns: ``bench/slopes.json``.
Relies on: costs that grow linearly with size; the spread over several runs shows how well this
holds.
"""

import dataclasses
import json
import pathlib
import statistics
import typing as t

SLOPES_PATH = pathlib.Path(__file__).with_name("slopes.json")
Fit = tuple[float, float]


@dataclasses.dataclass
class Slope:
    """A cost fitted as ``base + each * size``.

    :param spread: difference between the largest and the smallest ``each`` of the runs.
    :param command: command that measures the cost.
    """

    name: str
    unit: str
    base: float
    each: float
    spread: float
    sizes: list[int]
    command: str

    @classmethod
    def from_fits(
        cls, name: str, unit: str, sizes: list[int], fits: t.Sequence[Fit], command: str
    ) -> "Slope":
        """Return the slope with the medians and the spread of several fits."""
        each = [slope for _, slope in fits]
        base = statistics.median(base for base, _ in fits)
        spread = max(each) - min(each)
        return cls(name, unit, base, statistics.median(each), spread, sizes, command)


def fit_line(sizes: t.Sequence[float], costs: t.Sequence[float]) -> Fit:
    """Return base and slope of the least-squares line through some costs."""
    mean_size, mean_cost = statistics.fmean(sizes), statistics.fmean(costs)
    numerator = sum((s - mean_size) * (c - mean_cost) for s, c in zip(sizes, costs, strict=True))
    each = numerator / sum((s - mean_size) ** 2 for s in sizes)
    return mean_cost - each * mean_size, each


def record_slopes(slopes: t.Iterable[Slope]) -> None:
    """Add slopes to the recorded ones, replacing those of the same name."""
    recorded = json.loads(SLOPES_PATH.read_text()) if SLOPES_PATH.exists() else {}
    for slope in slopes:
        recorded[slope.name] = {
            **dataclasses.asdict(slope),
            "base": float(f"{slope.base:.4g}"),
            "each": float(f"{slope.each:.4g}"),
            "spread": float(f"{slope.spread:.3g}"),
        }
    SLOPES_PATH.write_text(json.dumps(recorded, indent=1, sort_keys=True) + "\n")
