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
FAULTS_SHOWN = 20


@dataclasses.dataclass(kw_only=True)
class Soak:
    """One seed that is being played.

    :param draw: decides everything that is left to chance.
    :param end: when no new trouble begins, on the loop's clock in seconds.
    :param trouble_names: names of the troubles to draw from.
    :param faults: a line for each thing that must not be.
    """

    draw: random.Random
    end: float
    trouble_names: list[str]
    faults: list[str] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @property
    def over(self) -> bool:
        """Whether the time is up."""
        return asyncio.get_running_loop().time() >= self.end

    async def pause(self, least: float, most: float) -> None:
        """Wait for a drawn time.

        :param least: seconds.
        :param most: seconds.
        """
        await asyncio.sleep(self.draw.uniform(least, most))


PlaySeed = t.Callable[[pathlib.Path, int], t.Coroutine[t.Any, t.Any, Soak]]


def play(play_seed: PlaySeed, seeds: t.Iterable[int], logs: str = "") -> t.NoReturn:
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
            played = asyncio.run(play_seed(directory, seed))
        _show(seed, played)
        failed += bool(played.faults)
    raise SystemExit(1 if failed else 0)


def _show(seed: int, played: Soak) -> None:
    for what, count in sorted(played.counts.items()):
        print(f"{what}: {count}")
    for fault in played.faults[:FAULTS_SHOWN]:
        print(f"FAULT {fault}")
    verdict = "FAILED" if played.faults else "passed"
    print(f"verdict, seed {seed}: {verdict}, {len(played.faults)} faults", flush=True)
