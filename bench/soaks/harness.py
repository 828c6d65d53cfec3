"""What the soaks share: the state of one seed, and playing seeds to a verdict.

Owns: the draw, the counts and the faults found of each seed.
Relies on: each soak's own troubles, which its modules register by decorator, and on a seed's
faults being lines of text; no fault means that the seed passed.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import typing as t

# of each seed, so that one cause does not push the verdicts of others off the screen
MAX_VIOLATIONS_SHOWN = 20


@dataclasses.dataclass(kw_only=True)
class Soak:
    """One seed that is being played.

    :param draw: decides everything that is left to chance.
    :param ends_at: when no new trouble begins, on the loop's clock in seconds.
    :param trouble_names: names of the troubles to draw from.
    :param faults: a line for each thing that must not be.
    """

    rng: random.Random
    ends_at: float
    fault_names: list[str]
    violations: list[str] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @property
    def is_over(self) -> bool:
        """Whether the time is up."""
        return asyncio.get_running_loop().time() >= self.ends_at

    async def pause(self, min_seconds: float, max_seconds: float) -> None:
        """Wait for a drawn time.

        :param least: seconds.
        :param most: seconds.
        """
        await asyncio.sleep(self.rng.uniform(min_seconds, max_seconds))


SeedRunner = t.Callable[[pathlib.Path, int], t.Coroutine[t.Any, t.Any, Soak]]


def run_seeds(run_seed: SeedRunner, seeds: t.Iterable[int], logs: str = "") -> t.NoReturn:
    """Play seeds one after the other, print what was seen, and exit.

    :param play_seed: plays one seed with a directory for its logs.
    :param logs: a directory for the logs of all seeds; a temporary one if empty.
    :raises SystemExit: with 1 if any seed had a fault, else with 0.
    :raises FileExistsError: if the directory has a run of a seed: the daemons of two runs would
        read each other's settings there.
    """
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="thorncleat-soak-") as name:
            directory = pathlib.Path(logs or name) / f"seed-{seed}"
            directory.mkdir(parents=True)
            result = asyncio.run(run_seed(directory, seed))
        _show(seed, result)
        failed += bool(result.violations)
    raise SystemExit(1 if failed else 0)


def _show(seed: int, result: Soak) -> None:
    for what, count in sorted(result.counts.items()):
        print(f"{what}: {count}")
    for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"FAULT {violation}")
    verdict = "FAILED" if result.violations else "passed"
    print(f"verdict, seed {seed}: {verdict}, {len(result.violations)} faults", flush=True)
