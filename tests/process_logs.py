"""Keeps the output of a failed test's processes, so that no failure is without lines."""

import pathlib
import re
import shutil
import typing as t

# Below the root of the repository; not under version control.
KEPT_IN = pathlib.Path("build/failed-tests")
# Lines of each process that the report shows; the kept files are whole.
SHOWN_LINES = 40


def find(arguments: t.Mapping[str, t.Any]) -> list[pathlib.Path]:
    """Return the logs of the processes that a test's fixtures have started.

    :param arguments: the test's fixtures by name: a directory, or a lab with its cluster.
    """
    directories = []
    for argument in arguments.values():
        cluster = getattr(argument, "cluster", None)
        directory = getattr(cluster, "directory", argument)
        if isinstance(directory, pathlib.Path) and directory.is_dir():
            directories.append(directory)
    return sorted({log for directory in directories for log in directory.rglob("*.log")})


def keep(logs: t.Sequence[pathlib.Path], test: str, root: pathlib.Path) -> list[pathlib.Path]:
    """Copy logs to the folder of a test below the root, and return the copies."""
    folder = root / KEPT_IN / re.sub(r"[^\w.-]+", "_", test)
    folder.mkdir(parents=True, exist_ok=True)
    return [pathlib.Path(shutil.copy(log, folder / log.name)) for log in logs]


def tail(log: pathlib.Path) -> str:
    """Return the last lines of a log."""
    return "\n".join(log.read_text(errors="replace").splitlines()[-SHOWN_LINES:])
