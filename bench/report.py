"""What all benchmarks share: processor time of a process, and the closing lines."""

import os
import pathlib

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


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
