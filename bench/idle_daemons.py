"""Measures daemon processes that get no requests, and defines the intent of the benchmarks.

Owns: the cluster of each measurement.
Relies on: ``/proc`` for processor time and memory, and the daemons' metric of bytes sent to peers.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import tempfile
import typing as t

import aiohttp

from thorncleat_core.daemon import keys
from thorncleat_standins.cluster import Cluster
from thorncleat_standins.cluster import Site

from .report import cpu_seconds
from .report import private_bytes


@dataclasses.dataclass
class IdleCost:
    """The cost of idle daemons.

    :param cpu_cores: processor time of all daemons together, in cores.
    :param sent_bytes_per_second: mean of the daemons.
    :param private_bytes: memory, mean of the daemons.
    """

    cpu_cores: float
    sent_bytes_per_second: float
    private_bytes: float


async def _metric_value(cluster: Cluster, daemon: str, name: str) -> float:
    url = f"{cluster.callers(daemon)}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        for line in (await response.text()).splitlines():
            if line.startswith(f"thorncleat_{name} "):
                return float(line.split()[1])
    return 0.0


async def measure_idle(site: Site, groups: int, seconds: float) -> IdleCost:
    """Return the cost of idle daemons that control some groups.

    :param groups: number of groups.
    :param seconds: duration of the measurement.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as directory:
        cluster = Cluster(pathlib.Path(directory), site, control={"shards": 4})
        try:
            await cluster.start(shared_engines=True)
            await cluster.wait_until_ready()
            await cluster.apply(group_intent(groups))
            await cluster.wait_for_open_groups(groups)
            pids = [cluster.processes[name].pid for name in cluster.daemons]
            sent_before = [
                await _metric_value(cluster, name, "peer_sent_bytes") for name in cluster.daemons
            ]
            cpu_before = [cpu_seconds(pid) for pid in pids]
            await asyncio.sleep(seconds)
            cpu_used = [
                cpu_seconds(pid) - earlier for pid, earlier in zip(pids, cpu_before, strict=True)
            ]
            sent_after = [
                await _metric_value(cluster, name, "peer_sent_bytes") for name in cluster.daemons
            ]
            sent_bytes = [
                later - earlier for later, earlier in zip(sent_after, sent_before, strict=True)
            ]
            return IdleCost(
                sum(cpu_used) / seconds,
                statistics.fmean(sent_bytes) / seconds,
                statistics.fmean(private_bytes(pid) for pid in pids),
            )
        finally:
            await cluster.stop()


def group_intent(groups: int) -> dict[str, t.Any]:
    """Return a configuration change with an intent for groups of four instances.

    :param groups: number of groups.
    """
    intent = {
        "name": "narrator",
        "model": "m",
        "version": "v1",
        "workspaces": ["a"],
        "replicas": groups,
        "instances_per_replica": 4,
    }
    workspace = {"name": "a", "key_digests": [keys.digest("caller-key")]}
    return {"workspaces": [workspace], "intents": [intent]}
