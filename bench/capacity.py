"""Slopes behind docs/CAPACITY.md: cost against size, each at three sizes, with a fit.

``--record`` writes them to ``bench/slopes.json``, from which the page is computed.

Owns: which costs are measured at which sizes.
Relies on: an otherwise quiet machine.
"""

import asyncio
import typing as t

import fire

from thorncleat_standins.cluster import Site

from .capacity_inside import INSIDE
from .capacity_inside import Sample
from .idle_daemons import Idle
from .idle_daemons import idle
from .planned_costs import BUDGET_CPU
from .planned_costs import Plan
from .report import target
from .slopes import Slope
from .slopes import fit
from .slopes import keep

COMMAND = "bin/bench capacity --runs=3 --record"
# of a daemon's directory of groups
DIRECTORY_MB = 4.0


def slope(name: str, unit: str, sizes: list[int], sample: Sample, runs: int) -> Slope:
    """Measure a cost at some sizes, several times, and fit it."""
    fits = [fit(sizes, [sample(size) for size in sizes]) for _ in range(runs)]
    return Slope.of(name, unit, sizes, fits, COMMAND)


def _probe_cpu(instances: int, seconds: float) -> float:
    """Return the processor time a second that a holder spends on its instances."""
    site = Site(daemons=1, domains=1, instances=instances)
    return asyncio.run(idle(site, instances // 4, seconds)).cpu


def _measure(runs: int, seconds: float, quick: bool) -> list[Slope]:
    slopes = [slope(cost.name, cost.unit, cost.sizes, cost.sample, runs) for cost in INSIDE]
    if quick:
        return slopes
    probes = slope(
        "probe_cpu",
        "part of a core for each instance probed twice a second",
        [8, 24, 48],
        lambda count: _probe_cpu(count, seconds),
        runs,
    )
    return [*slopes, probes, *_against_daemons(runs, seconds)]


def _against_daemons(runs: int, seconds: float) -> list[Slope]:
    sizes = [3, 10, 30]
    found: dict[int, list[Idle]] = {size: [] for size in sizes}
    for _ in range(runs):
        for size in sizes:
            site = Site(daemons=size, domains=1, instances=4)
            found[size].append(asyncio.run(idle(site, 1, seconds)))

    def of(name: str, unit: str, value: t.Callable[[Idle, int], float]) -> Slope:
        fits = [
            fit(sizes, [value(found[size][run], size) for size in sizes]) for run in range(runs)
        ]
        return Slope.of(name, unit, sizes, fits, COMMAND)

    return [
        of("idle_cpu", "part of a core a daemon, for each daemon", lambda i, n: i.cpu / n),
        of("idle_sent", "bytes/s a daemon sends, for each daemon", lambda i, n: i.sent),
        of("private_bytes", "bytes a daemon, for each daemon", lambda i, n: i.private),
    ]


def capacity(
    runs: int = 1, seconds: float = 1.0, quick: bool = False, record: bool = False
) -> None:
    """Measure all slopes.

    :param runs: how often; the spread is over these.
    :param seconds: for each measurement of processes.
    :param quick: leave the processes out.
    :param record: keep the slopes for docs/CAPACITY.md.
    """
    slopes = _measure(runs, seconds, quick)
    print(f"{'slope':20}{'base':>12}{'each':>12}{'spread':>10}  unit")
    for found in slopes:
        numbers = f"{found.base:12.4g}{found.each:12.4g}{found.spread:10.2g}"
        print(f"{found.name:20}{numbers}  {found.unit}")
    if record:
        keep(slopes)
    by_name = {found.name: found for found in slopes}
    plan = Plan()
    if not quick:
        growth = by_name["idle_cpu"].each * plan.daemons
        target("capacity-idle-cpu-growth", growth, BUDGET_CPU)
    megabytes = by_name["directory_bytes"].each * plan.groups / 1e6
    target("capacity-directory-625-groups-mb", megabytes, DIRECTORY_MB)


if __name__ == "__main__":
    fire.Fire(capacity)
