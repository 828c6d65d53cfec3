"""Plays days of the users' bench on several variants of the gateway, and compares them in pairs.

``bin/bench policy PLAN --fleetbench=PATH --sites=DIRECTORY``. A plan is a file of JSON with
comments (``bench/plans/``): which days with which seeds, and which variants. A variant is a commit,
with some constants set to other values if wanted. Plays that were done before are taken from their
results, so a plan that was cut goes on where it stopped.

Owns: a clone for each variant and the results, below ``run/policy``; and the plays that it started.
Relies on: the users' bench, which leaves an entry in the clone's journal for each play; entries are
copied to this tree's journal as they are.
"""

import asyncio
import hashlib
import json
import pathlib
import re
import shutil
import signal
import sys
import typing as t

import fire
import json5
import pydantic

from thorncleat_core.exceptions import ThorncleatError

from . import paired
from .paired import Figures

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "run" / "policy"
JOURNAL = ROOT / "journal"
SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)
# plays at once: some of eight cores stay free
JOBS = 6
_Result = t.TypeVar("_Result")


class PolicyError(ThorncleatError):
    """A plan that can't be played, or a play that left no result."""


class Play(pydantic.BaseModel, frozen=True):
    """One day of a site, with one seed; None for the day's own.

    :param small: whether the small twin of a large day is played.
    """

    site: str
    day: str
    seed: int | None = None
    small: bool = False

    @property
    def name(self) -> str:
        """As it stands in tables."""
        own = "own seed" if self.seed is None else f"seed {self.seed}"
        twin = " small" if self.small else ""
        return f"{pathlib.Path(self.site).stem}{twin} {self.day} {own}"


class Variant(pydantic.BaseModel, frozen=True, extra="forbid"):
    """A commit, with constants set to other values.

    :param constants: values as they stand in the source, by ``MODULE.NAME``.
    """

    ref: str = "HEAD"
    constants: dict[str, str] = {}


class Plan(pydantic.BaseModel, frozen=True, extra="forbid"):
    """What is compared; the first variant is the one that the others are compared with.

    :param cpu: whether processor time is counted; without, a play mostly repeats.
    """

    why: str
    plays: tuple[Play, ...]
    variants: dict[str, Variant]
    cpu: bool = False


def read_plan(path: pathlib.Path) -> Plan:
    """Return a checked plan.

    :raises PolicyError: naming what is wrong in it.
    """
    try:
        return Plan.model_validate(json5.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError) as error:
        raise PolicyError(f"{path}: {error}") from error


def set_constant(tree: pathlib.Path, name: str, value: str) -> None:
    """Set a constant of a module, or the default of a field of settings, to another value.

    :param name: ``package.module.NAME``.
    :raises PolicyError: if the module has no such name, or more than one.
    """
    module, _, constant = name.rpartition(".")
    place = module.replace(".", "/") + ".py"
    files = [*tree.glob(f"packages/*/src/{place}"), *tree.glob(f"platform/src/{place}")]
    if len(files) != 1:
        raise PolicyError(f"no module {module!r}")
    line = re.compile(rf"^(\s*{re.escape(constant)}(?:: [^=\n]+)? = ).*$", re.MULTILINE)
    text, count = line.subn(lambda found: found.group(1) + value, files[0].read_text())
    if count != 1:
        raise PolicyError(f"{module!r} sets {constant!r} {count} times, not once")
    files[0].write_text(text)


async def _run(directory: pathlib.Path, *command: str) -> str:
    """Run a program to its end and return what it printed.

    :raises PolicyError: if it failed without leaving a snapshot.
    """
    process = await asyncio.create_subprocess_exec(
        *command, cwd=directory, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    try:
        printed, _ = await process.communicate()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
    text = printed.decode(errors="replace")
    if process.returncode and not SNAPSHOT.search(text):
        raise PolicyError(f"{' '.join(command)}: exit {process.returncode}: {text[-400:]}")
    return text


def _copy_dependencies(tree: pathlib.Path) -> None:
    """Take over what another variant of the same requirements has installed, if there is one."""
    for other in WORK.glob("*/ready"):
        wanted, installed = tree / "requirements.txt", other.parent / "requirements.txt"
        if wanted.read_text() == installed.read_text():
            shutil.copytree(other.parent / "target", tree / "target", symlinks=True)
            (tree / "target" / "deps").touch()
            return


class Comparison:
    """Plays a plan.

    :param fleetbench: the users' bench.
    :param sites: the directory that the plays' site files are relative to.
    """

    def __init__(self, plan: Plan, fleetbench: pathlib.Path, sites: pathlib.Path) -> None:
        self._plan = plan
        self._fleetbench = fleetbench
        self._sites = sites

    async def play(self, jobs: int) -> dict[str, dict[str, Figures]]:
        """Return the figures of each variant by play; plays that failed are missing and named."""
        free = asyncio.Semaphore(jobs)
        trees = {name: await self._tree(name) for name in self._plan.variants}
        found: dict[str, dict[str, Figures]] = {name: {} for name in trees}

        async def one(variant: str, play: Play) -> None:
            async with free:
                try:
                    found[variant][play.name] = await self._play(variant, trees[variant], play)
                except PolicyError as error:
                    print(f"missing: {variant}, {play.name}: {error}", file=sys.stderr)

        await asyncio.gather(*(one(name, play) for play in self._plan.plays for name in trees))
        return found

    async def _tree(self, name: str) -> pathlib.Path:
        """Return a clone that holds a variant, built; it is made once."""
        variant = self._plan.variants[name]
        commit = (await _run(ROOT, "git", "rev-parse", "--verify", variant.ref)).strip()
        constants = json.dumps(variant.constants, sort_keys=True)
        tree = WORK / f"{commit[:12]}-{hashlib.sha256(constants.encode()).hexdigest()[:6]}"
        if not (tree / "ready").exists():
            shutil.rmtree(tree, ignore_errors=True)
            tree.parent.mkdir(parents=True, exist_ok=True)
            await _run(ROOT, "git", "clone", "--quiet", "--shared", str(ROOT), str(tree))
            await _run(tree, "git", "checkout", "--quiet", commit)
            for constant, value in variant.constants.items():
                set_constant(tree, constant, value)
            _copy_dependencies(tree)
            await _run(tree, str(self._fleetbench), "build")
            (tree / ".git" / "info" / "exclude").write_text("ready\nresults/\n")
            (tree / "results").mkdir()
            (tree / "ready").touch()
        return tree

    async def _play(self, variant: str, tree: pathlib.Path, play: Play) -> Figures:
        """Return a play's figures, from its result if it was played before."""
        kind = "cpu" if self._plan.cpu else "no-cpu"
        result = tree / "results" / f"{play.name.replace(' ', '_')}_{kind}.json"
        if not result.exists():
            entry = await self._fleetbench_run(variant, tree, play)
            shutil.copy(entry, JOURNAL / entry.name)
            shutil.copy(entry, result)
        return paired.figures(json.loads(result.read_text()))

    async def _fleetbench_run(self, variant: str, tree: pathlib.Path, play: Play) -> pathlib.Path:
        """Play a day and return its entry in the clone's journal."""
        options = [] if self._plan.cpu else ["--no-cpu"]
        if play.small:
            options.append("--small")
        if play.seed is not None:
            options += ["--seed", str(play.seed)]
        why = f"{self._plan.why}: {variant}"
        site = str(self._sites / play.site)
        bench = str(self._fleetbench)
        printed = await _run(tree, bench, "run", site, play.day, *options, "--why", why)
        snapshot = SNAPSHOT.search(printed)
        entries = list((tree / "journal").glob(f"*-{snapshot.group(1)}.json")) if snapshot else []
        if len(entries) != 1:
            raise PolicyError(f"no entry in the journal: {printed[-400:]}")
        return entries[0]


async def _until_ended(work: t.Coroutine[t.Any, t.Any, _Result]) -> _Result:
    """Return what some work returns; SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(plan: str, fleetbench: str, sites: str, jobs: int = JOBS) -> None:
    """Play a plan and print the table of paired differences.

    :param plan: its file.
    :param fleetbench: path of the users' bench.
    :param sites: directory of their site files.
    :param jobs: plays at once.
    """
    read = read_plan(pathlib.Path(plan))
    paths: list[pathlib.Path] = [pathlib.Path(path).resolve() for path in (fleetbench, sites)]
    try:
        found = asyncio.run(_until_ended(Comparison(read, *paths).play(jobs)))
    except PolicyError as error:
        raise SystemExit(f"policy: {error}") from error
    except asyncio.CancelledError as error:
        raise SystemExit("policy: ended; the plays that are whole are kept") from error
    print(paired.table(read.why, [play.name for play in read.plays], found))


if __name__ == "__main__":
    fire.Fire(t.cast(t.Any, main))
