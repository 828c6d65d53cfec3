"""Helpers of the benchmarks: a process's processor time and memory, quantiles, closing lines.

Owns: nothing.
Relies on: Linux's ``/proc``.
"""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def private_bytes(pid: int) -> int:
    """Return the anonymous resident memory of a process, in bytes.

    Pages of programs and libraries are left out, since processes share them.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def print_target(name: str, value: float, wanted: float, *, at_least: bool = False) -> None:
    """Print the closing line of a target.

    :param wanted: the bound; an upper one unless ``at_least`` is set.
    :param at_least: whether ``wanted`` is a lower bound.
    """
    is_met = value >= wanted if at_least else value <= wanted
    sign = ">=" if at_least else "<="
    verdict = "met" if is_met else "missed"
    print(f"target {name}: {value:.3g} (wanted {sign} {wanted:g}): {verdict}")


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of some values, or 0 if there are none.

    :param fraction: share of the values below the quantile, from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0
