"""What all benchmarks share: processor time and memory of a process, and the closing lines.

Owns: nothing.
Relies on: Linux's ``/proc``.
"""

import os
import pathlib

_TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def private_bytes(pid: int) -> int:
    """Return the memory that a process has to itself: resident and not of a file.

    Pages of programs and libraries are left out; all processes of a machine share them.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def target(name: str, value: float, wanted: float, *, at_least: bool = False) -> None:
    """Print the closing line of a target, met or not."""
    met = value >= wanted if at_least else value <= wanted
    sign = ">=" if at_least else "<="
    verdict = "met" if met else "missed"
    print(f"target {name}: {value:.3g} (wanted {sign} {wanted:g}): {verdict}")


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of some values; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
