"""Runs the seeds of a soak and reports their verdicts.

Owns: the random generator, the counters and the violations of each seed.
Relies on: each soak for its faults and its checks.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import typing as t

# Limit for each seed, so that the verdicts of other seeds stay visible.
MAX_VIOLATIONS_SHOWN = 20


@dataclasses.dataclass(kw_only=True)
class Soak:
    """The state of one seed.

    :param rng: source of all random decisions.
    :param ends_at: end of the run on the loop's clock, in seconds; later no fault is injected.
    :param fault_names: names of the faults to choose from.
    :param violations: descriptions of broken promises; the seed passes if there are none.
    :param counts: counters of the report.
    """

    rng: random.Random
    ends_at: float
    fault_names: list[str]
    violations: list[str] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @property
    def is_over(self) -> bool:
        """Whether the end of the run is reached."""
        return asyncio.get_running_loop().time() >= self.ends_at

    async def pause(self, min_seconds: float, max_seconds: float) -> None:
        """Wait for a random time between two bounds."""
        await asyncio.sleep(self.rng.uniform(min_seconds, max_seconds))


SeedRunner = t.Callable[[pathlib.Path, int], t.Coroutine[t.Any, t.Any, Soak]]


def run_seeds(run_seed: SeedRunner, seeds: t.Iterable[int], logs: str = "") -> t.NoReturn:
    """Run seeds one after the other, print their reports, and exit.

    :param run_seed: runs one seed, given a directory for its settings and logs and the seed.
    :param logs: parent directory of the seeds' directories; a temporary one if empty.
    :raises SystemExit: with status 1 if any seed had a violation, else with 0.
    :raises FileExistsError: if the directory of a seed exists, since the daemons of two runs
        would read each other's settings.
    """
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="thorncleat-soak-") as temporary:
            directory = pathlib.Path(logs or temporary) / f"seed-{seed}"
            directory.mkdir(parents=True)
            result = asyncio.run(run_seed(directory, seed))
        _print_report(seed, result)
        failed += bool(result.violations)
    raise SystemExit(1 if failed else 0)


def _print_report(seed: int, result: Soak) -> None:
    for name, count in sorted(result.counts.items()):
        print(f"{name}: {count}")
    for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"FAULT {violation}")
    verdict = "FAILED" if result.violations else "passed"
    print(f"verdict, seed {seed}: {verdict}, {len(result.violations)} faults", flush=True)
