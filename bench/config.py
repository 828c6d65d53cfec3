"""From the acceptance of a configuration to its being in force on every daemon."""

import asyncio
import datetime
import json
import pathlib
import tempfile

import fire

from thorncleat_core.daemon import keys
from thorncleat_standins.launch import Cluster
from thorncleat_standins.launch import Site

from .report import quantile
from .report import target

IN_FORCE_SECONDS = 6.0
CALLS_A_CHANGE = 8.0
IN_FORCE = 3001


def _in_force(directory: pathlib.Path, changes: int) -> dict[int, list[float]]:
    """Return when each revision came into force, over all daemons, from their logs.

    A daemon that takes in several entries at once logs the last: then all are in force.
    """
    found: dict[int, list[float]] = {number: [] for number in range(1, changes + 1)}
    for path in directory.glob("daemon-*.log"):
        reached = 0
        for line in path.read_text().splitlines():
            entry = json.loads(line) if line.startswith("{") else {}
            if entry.get("event") != IN_FORCE:
                continue
            at = datetime.datetime.strptime(entry["time"], "%Y-%m-%d %H:%M:%S,%f").timestamp()
            for revision in range(reached + 1, entry["revision"] + 1):
                found[revision].append(at)
            reached = max(reached, entry["revision"])
    return found


async def _change(cluster: Cluster, number: int, daemon: str) -> None:
    workspace = {"name": f"w{number}", "key_digests": [keys.digest(str(number))]}
    await cluster.apply({"workspaces": [workspace]}, daemon)


async def _run(
    directory: pathlib.Path, daemons: int, changes: int, burst: int
) -> tuple[list[float], float, int]:
    cluster = Cluster(directory, Site(daemons=daemons, instances=4))
    try:
        await cluster.start(shared_engines=True)
        await cluster.wait_loaded()
        # long enough for the neighbours to have met
        await asyncio.sleep(3.0)
        before = await cluster.control_call("GET", cluster.store, "/calls")
        for number in range(changes):
            await _change(cluster, number, cluster.daemons[number % daemons])
            if number % burst == burst - 1:
                await asyncio.sleep(1.0)
        await asyncio.sleep(3.0)
        after = await cluster.control_call("GET", cluster.store, "/calls")
    finally:
        await cluster.stop()
    called = sum(
        after.get(name, 0) - before.get(name, 0)
        for name in ("write:config", "read:config", "read:watch")
    )
    moments = _in_force(directory, changes)
    whole = [times for times in moments.values() if len(times) == daemons]
    return [max(times) - min(times) for times in whole], called / changes, len(whole)


def config(daemons: int = 9, changes: int = 60, burst: int = 10) -> None:
    """Measure.

    :param burst: changes that follow each other at once.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as name:
        spans, called, whole = asyncio.run(_run(pathlib.Path(name), daemons, changes, burst))
    print(f"{changes} changes, {whole} in force on all {daemons} daemons")
    print(
        "acceptance to in force everywhere: "
        + ", ".join(f"p{int(part * 100)} {quantile(spans, part):.3f} s" for part in (0.5, 0.95, 1))
    )
    print(f"calls to the store for configuration, a change: {called:.1f}")
    target("config-in-force-worst-s", max(spans, default=99.0), IN_FORCE_SECONDS)
    target("config-everywhere-part", whole / changes, 1.0, at_least=True)
    target("config-store-calls-a-change", called, CALLS_A_CHANGE)


if __name__ == "__main__":
    fire.Fire(config)
