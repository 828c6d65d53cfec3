"""Plays days of the users' bench on several variants of the gateway, and compares them in pairs.

A plan in ``bench/plans/`` lists the plays and the variants. An interrupted plan can be resumed.

Owns: a clone for each variant with its results, below ``run/policy``, and the plays it started.
Relies on: the users' bench, which writes an entry to the clone's journal for each play.
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
CLONES = ROOT / "run" / "policy"
JOURNAL = ROOT / "journal"
SNAPSHOT_PATTERN = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)
DEFAULT_JOBS = 6
_Result = t.TypeVar("_Result")


class PolicyError(ThorncleatError):
    """A plan can't be played, or a play left no result."""


class Play(pydantic.BaseModel, frozen=True):
    """One day of a site with one seed.

    :param site: the site's file, relative to the directory of sites.
    :param seed: None for the day's own seed.
    :param small: whether the small version of a large day is played.
    """

    site: str
    day: str
    seed: int | None = None
    small: bool = False

    @property
    def name(self) -> str:
        """The play's name in tables and names of result files."""
        seed_text = "own seed" if self.seed is None else f"seed {self.seed}"
        size_text = " small" if self.small else ""
        return f"{pathlib.Path(self.site).stem}{size_text} {self.day} {seed_text}"


class Variant(pydantic.BaseModel, frozen=True, extra="forbid"):
    """A commit with some constants changed.

    :param constants: source text of the new values, by ``package.module.NAME``.
    """

    ref: str = "HEAD"
    constants: dict[str, str] = {}


class Plan(pydantic.BaseModel, frozen=True, extra="forbid"):
    """Plays and variants; the first variant is the baseline.

    :param why: title of the comparison, also written to the journal.
    :param cpu: whether the bench counts processor time, which makes plays less repeatable.
    """

    why: str
    plays: tuple[Play, ...]
    variants: dict[str, Variant]
    cpu: bool = False


def read_plan(path: pathlib.Path) -> Plan:
    """Return a plan after validation.

    :raises PolicyError: if the file can't be read or is invalid.
    """
    try:
        return Plan.model_validate(json5.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError) as error:
        raise PolicyError(f"{path}: {error}") from error


def set_constant(tree: pathlib.Path, name: str, value: str) -> None:
    """Change a module's constant, or the default of a settings field, in a working tree.

    :param name: ``package.module.NAME``.
    :param value: source text of the new value.
    :raises PolicyError: if there is no such module, or if it doesn't set the name exactly once.
    """
    module, _, constant = name.rpartition(".")
    module_path = module.replace(".", "/") + ".py"
    files = [*tree.glob(f"packages/*/src/{module_path}"), *tree.glob(f"platform/src/{module_path}")]
    if len(files) != 1:
        raise PolicyError(f"no module {module!r}")
    line = re.compile(rf"^(\s*{re.escape(constant)}(?:: [^=\n]+)? = ).*$", re.MULTILINE)
    text, count = line.subn(lambda match: match.group(1) + value, files[0].read_text())
    if count != 1:
        raise PolicyError(f"{module!r} sets {constant!r} {count} times, not once")
    files[0].write_text(text)


async def _run_program(directory: pathlib.Path, *command: str) -> str:
    """Run a program to its end and return its output.

    :raises PolicyError: if it failed without printing a snapshot.
    """
    process = await asyncio.create_subprocess_exec(
        *command, cwd=directory, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    try:
        output, _ = await process.communicate()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
    text = output.decode(errors="replace")
    if process.returncode and not SNAPSHOT_PATTERN.search(text):
        raise PolicyError(f"{' '.join(command)}: exit {process.returncode}: {text[-400:]}")
    return text


def _copy_installed_dependencies(tree: pathlib.Path) -> None:
    """Copy the installed dependencies of a variant with the same requirements, if there is one."""
    for marker in CLONES.glob("*/ready"):
        needed, installed = tree / "requirements.txt", marker.parent / "requirements.txt"
        if needed.read_text() == installed.read_text():
            shutil.copytree(marker.parent / "target", tree / "target", symlinks=True)
            (tree / "target" / "deps").touch()
            return


class Comparison:
    """Plays a plan.

    :param fleetbench: path of the users' bench.
    :param sites: directory of the site files.
    """

    def __init__(self, plan: Plan, fleetbench: pathlib.Path, sites: pathlib.Path) -> None:
        self._plan = plan
        self._fleetbench = fleetbench
        self._sites = sites

    async def play(self, jobs: int) -> dict[str, dict[str, Figures]]:
        """Return figures by variant and play; failed plays are left out and printed.

        :param jobs: number of plays at once.
        """
        job_slots = asyncio.Semaphore(jobs)
        trees = {name: await self._prepare_clone(name) for name in self._plan.variants}
        results: dict[str, dict[str, Figures]] = {name: {} for name in trees}

        async def play_variant(variant: str, play: Play) -> None:
            async with job_slots:
                try:
                    results[variant][play.name] = await self._play(variant, trees[variant], play)
                except PolicyError as error:
                    print(f"missing: {variant}, {play.name}: {error}", file=sys.stderr)

        await asyncio.gather(
            *(play_variant(name, play) for play in self._plan.plays for name in trees)
        )
        return results

    async def _prepare_clone(self, name: str) -> pathlib.Path:
        """Return the built clone of a variant, making it if it doesn't exist."""
        variant = self._plan.variants[name]
        commit = (await _run_program(ROOT, "git", "rev-parse", "--verify", variant.ref)).strip()
        constants = json.dumps(variant.constants, sort_keys=True)
        tree = CLONES / f"{commit[:12]}-{hashlib.sha256(constants.encode()).hexdigest()[:6]}"
        if not (tree / "ready").exists():
            shutil.rmtree(tree, ignore_errors=True)
            tree.parent.mkdir(parents=True, exist_ok=True)
            await _run_program(ROOT, "git", "clone", "--quiet", "--shared", str(ROOT), str(tree))
            await _run_program(tree, "git", "checkout", "--quiet", commit)
            for constant, value in variant.constants.items():
                set_constant(tree, constant, value)
            _copy_installed_dependencies(tree)
            await _run_program(tree, str(self._fleetbench), "build")
            (tree / ".git" / "info" / "exclude").write_text("ready\nresults/\n")
            (tree / "results").mkdir()
            (tree / "ready").touch()
        return tree

    async def _play(self, variant: str, tree: pathlib.Path, play: Play) -> Figures:
        """Return a play's figures, from its earlier result if there is one."""
        kind = "cpu" if self._plan.cpu else "no-cpu"
        result = tree / "results" / f"{play.name.replace(' ', '_')}_{kind}.json"
        if not result.exists():
            entry = await self._run_fleetbench(variant, tree, play)
            shutil.copy(entry, JOURNAL / entry.name)
            shutil.copy(entry, result)
        return paired.figures(json.loads(result.read_text()))

    async def _run_fleetbench(self, variant: str, tree: pathlib.Path, play: Play) -> pathlib.Path:
        """Play a day and return the file of its entry in the clone's journal."""
        options = [] if self._plan.cpu else ["--no-cpu"]
        if play.small:
            options.append("--small")
        if play.seed is not None:
            options += ["--seed", str(play.seed)]
        why = f"{self._plan.why}: {variant}"
        site = str(self._sites / play.site)
        bench = str(self._fleetbench)
        output = await _run_program(tree, bench, "run", site, play.day, *options, "--why", why)
        snapshot = SNAPSHOT_PATTERN.search(output)
        entries = list((tree / "journal").glob(f"*-{snapshot.group(1)}.json")) if snapshot else []
        if len(entries) != 1:
            raise PolicyError(f"no entry in the journal: {output[-400:]}")
        return entries[0]


async def _cancel_on_sigterm(work: t.Coroutine[t.Any, t.Any, _Result]) -> _Result:
    """Return the result of a coroutine; SIGTERM cancels it, so that it stops its processes."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(plan: str, fleetbench: str, sites: str, jobs: int = DEFAULT_JOBS) -> None:
    """Play a plan and print the table of paired differences.

    :param plan: file of the plan.
    :param fleetbench: path of the users' bench.
    :param sites: directory of the site files.
    :param jobs: number of plays at once.
    """
    checked_plan = read_plan(pathlib.Path(plan))
    paths: list[pathlib.Path] = [pathlib.Path(path).resolve() for path in (fleetbench, sites)]
    try:
        results = asyncio.run(_cancel_on_sigterm(Comparison(checked_plan, *paths).play(jobs)))
    except PolicyError as error:
        raise SystemExit(f"policy: {error}") from error
    except asyncio.CancelledError as error:
        raise SystemExit("policy: interrupted; the results of finished plays are kept") from error
    print(paired.table(checked_plan.why, [play.name for play in checked_plan.plays], results))


if __name__ == "__main__":
    fire.Fire(t.cast(t.Any, main))
