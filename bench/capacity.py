"""Measures how costs grow with size, for docs/CAPACITY.md.

``--record`` writes the fitted slopes to ``bench/slopes.json``, from which the page is computed.

Owns: the choice of costs and of the sizes at which they are measured.
Relies on: a machine that is otherwise idle.
"""

import asyncio
import typing as t

import fire

from thorncleat_standins.cluster import Site

from .capacity_inside import IN_PROCESS_COSTS
from .capacity_inside import Sample
from .idle_daemons import IdleCost
from .idle_daemons import measure_idle
from .planned_costs import CPU_BUDGET_CORES
from .planned_costs import Plan
from .report import print_target
from .slopes import Slope
from .slopes import fit_line
from .slopes import record_slopes

COMMAND = "bin/bench capacity --runs=3 --record"
# Target for the memory that a daemon's directory of groups takes.
DIRECTORY_LIMIT_MB = 4.0


def measure_slope(name: str, unit: str, sizes: list[int], sample: Sample, runs: int) -> Slope:
    """Return the fitted slope of a cost.

    :param sizes: sizes at which the cost is measured.
    :param sample: returns the cost at a size.
    :param runs: number of measurements at each size.
    """
    fits = [fit_line(sizes, [sample(size) for size in sizes]) for _ in range(runs)]
    return Slope.from_fits(name, unit, sizes, fits, COMMAND)


def _probe_cpu_share(instances: int, seconds: float) -> float:
    """Return the share of a core that a daemon spends on probing its instances."""
    site = Site(daemons=1, domains=1, instances=instances)
    return asyncio.run(measure_idle(site, instances // 4, seconds)).cpu_cores


def _measure_slopes(runs: int, seconds: float, quick: bool) -> list[Slope]:
    slopes = [
        measure_slope(cost.name, cost.unit, cost.sizes, cost.sample, runs)
        for cost in IN_PROCESS_COSTS
    ]
    if quick:
        return slopes
    probes = measure_slope(
        "probe_cpu",
        "part of a core for each instance probed twice a second",
        [8, 24, 48],
        lambda count: _probe_cpu_share(count, seconds),
        runs,
    )
    return [*slopes, probes, *_measure_daemon_slopes(runs, seconds)]


def _measure_daemon_slopes(runs: int, seconds: float) -> list[Slope]:
    sizes = [3, 10, 30]
    costs: dict[int, list[IdleCost]] = {size: [] for size in sizes}
    for _ in range(runs):
        for size in sizes:
            site = Site(daemons=size, domains=1, instances=4)
            costs[size].append(asyncio.run(measure_idle(site, 1, seconds)))

    def slope_of(name: str, unit: str, value: t.Callable[[IdleCost, int], float]) -> Slope:
        fits = [
            fit_line(sizes, [value(costs[size][run], size) for size in sizes])
            for run in range(runs)
        ]
        return Slope.from_fits(name, unit, sizes, fits, COMMAND)

    return [
        slope_of(
            "idle_cpu", "part of a core a daemon, for each daemon", lambda i, n: i.cpu_cores / n
        ),
        slope_of(
            "idle_sent",
            "bytes/s a daemon sends, for each daemon",
            lambda i, n: i.sent_bytes_per_second,
        ),
        slope_of("private_bytes", "bytes a daemon, for each daemon", lambda i, n: i.private_bytes),
    ]


def capacity(
    runs: int = 1, seconds: float = 1.0, quick: bool = False, record: bool = False
) -> None:
    """Measure all slopes.

    :param runs: number of measurements at each size.
    :param seconds: duration of each measurement of daemon processes.
    :param quick: skip the measurements of daemon processes.
    :param record: write the slopes to ``bench/slopes.json``.
    """
    slopes = _measure_slopes(runs, seconds, quick)
    print(f"{'slope':20}{'base':>12}{'each':>12}{'spread':>10}  unit")
    for slope in slopes:
        numbers = f"{slope.base:12.4g}{slope.each:12.4g}{slope.spread:10.2g}"
        print(f"{slope.name:20}{numbers}  {slope.unit}")
    if record:
        record_slopes(slopes)
    by_name = {slope.name: slope for slope in slopes}
    plan = Plan()
    if not quick:
        growth = by_name["idle_cpu"].each * plan.daemons
        print_target("capacity-idle-cpu-growth", growth, CPU_BUDGET_CORES)
    megabytes = by_name["directory_bytes"].each * plan.groups / 1e6
    print_target("capacity-directory-625-groups-mb", megabytes, DIRECTORY_LIMIT_MB)


if __name__ == "__main__":
    fire.Fire(capacity)
