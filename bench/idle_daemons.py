"""Costs of daemons as processes, without requests; and the intent that benchmarks use.

Owns: the cluster of each measurement.
Relies on: ``/proc`` for processor time and memory, and the daemons' own counter of bytes sent.
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
class Idle:
    """What one daemon costs without requests."""

    cpu: float
    sent: float
    private: float


async def _figure(cluster: Cluster, daemon: str, name: str) -> float:
    url = f"{cluster.callers(daemon)}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        for line in (await response.text()).splitlines():
            if line.startswith(f"thorncleat_{name} "):
                return float(line.split()[1])
    return 0.0


async def idle(site: Site, groups: int, seconds: float) -> Idle:
    """Return what daemons cost that hold some groups and get no requests.

    :param seconds: that are measured.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as directory:
        cluster = Cluster(pathlib.Path(directory), site, control={"shards": 4})
        try:
            await cluster.start(shared_engines=True)
            await cluster.wait_until_ready()
            await cluster.apply(group_intent(groups))
            await cluster.wait_for_open_groups(groups)
            pids = [cluster.processes[name].pid for name in cluster.daemons]
            sent = [await _figure(cluster, name, "peer_sent_bytes") for name in cluster.daemons]
            before = [cpu_seconds(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used = [cpu_seconds(pid) - old for pid, old in zip(pids, before, strict=True)]
            now = [await _figure(cluster, name, "peer_sent_bytes") for name in cluster.daemons]
            bytes_sent = [new - old for new, old in zip(now, sent, strict=True)]
            return Idle(
                sum(used) / seconds,
                statistics.fmean(bytes_sent) / seconds,
                statistics.fmean(private_bytes(pid) for pid in pids),
            )
        finally:
            await cluster.stop()


def group_intent(groups: int) -> dict[str, t.Any]:
    """Return a change that wants some groups of four."""
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
