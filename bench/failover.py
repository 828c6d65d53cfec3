"""From a death to its consequence: of a member to its group closed everywhere, of a holder to
its shard held again, and what callers see of the second."""

import asyncio
import dataclasses
import pathlib
import signal
import tempfile
import time

import aiohttp
import fire

from thorncleat_standins.launch import Cluster
from thorncleat_standins.launch import Site

from .capacity import group_intent
from .report import quantile
from .report import target

WINDOW = 2.0
KEY = "caller-key"
STREAM_TOKENS = 20_000


@dataclasses.dataclass
class Watcher:
    """A stream through one daemon, and when its events came."""

    daemon: str
    last: float = 0.0
    longest_gap: float = 0.0
    events: int = 0

    async def watch(self, cluster: Cluster) -> None:
        """Read events until the stream ends."""
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": self.daemon}],
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {KEY}", "X-Request-Deadline": "300"}
        url = f"{cluster.callers(self.daemon)}/v1/chat/completions"
        async with aiohttp.ClientSession(headers=headers) as session:
            try:
                async with session.post(url, json=body) as response:
                    async for line in response.content:
                        if b'"content"' in line:
                            self._note(time.monotonic())
            except aiohttp.ClientError:
                return

    def _note(self, now: float) -> None:
        if self.last:
            self.longest_gap = max(self.longest_gap, now - self.last)
        self.last = now
        self.events += 1


async def _watched(
    cluster: Cluster, daemons: list[str]
) -> tuple[list[Watcher], list[asyncio.Task[None]]]:
    watchers = [Watcher(name) for name in daemons]
    tasks = [asyncio.create_task(one.watch(cluster)) for one in watchers]

    async def flowing() -> bool:
        return all(one.events > 20 for one in watchers)

    await cluster.wait_for("the streams to flow", flowing)
    return watchers, tasks


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _holder(cluster: Cluster) -> str:
    for name in cluster.daemons:
        _, body = await cluster.operate(name, "GET", "/status")
        if body["shards_held"]:
            return name
    return cluster.daemons[0]


async def _member_death(cluster: Cluster, number: signal.Signals) -> float:
    """Return the seconds from a member's death to the last event at any daemon."""
    watchers, tasks = await _watched(cluster, cluster.daemons)
    victim = cluster.processes["d0-i2"]
    at = time.monotonic()
    victim.send(number)
    await asyncio.sleep(WINDOW * 2)
    last = max(one.last for one in watchers) - at
    await _end(tasks)
    await victim.stop(signal.SIGKILL)
    await cluster.start_engine("d0-i2", "fabric-0", "fd-0")
    await cluster.wait_open(1)
    return last


async def _holder_death(cluster: Cluster) -> tuple[float, float]:
    """Return seconds until the shard is held again, and the longest gap in any stream."""
    victim = await _holder(cluster)
    others = [name for name in cluster.daemons if name != victim]
    watchers, tasks = await _watched(cluster, others)
    at = time.monotonic()
    await cluster.processes[victim].stop(signal.SIGKILL)
    cluster.processes.pop(victim)

    async def held_again() -> bool:
        for name in others:
            _, body = await cluster.operate(name, "GET", "/status")
            if body["shards_held"]:
                return True
        return False

    await cluster.wait_for("the shard to be held again", held_again)
    held = time.monotonic() - at
    await asyncio.sleep(WINDOW * 2)
    gap = max(one.longest_gap for one in watchers)
    await _end(tasks)
    await cluster.start_daemon(victim)
    await cluster.wait_loaded()
    return held, gap


async def _run(directory: pathlib.Path, daemons: int, rounds: int) -> None:
    site = Site(daemons=daemons, instances=4)
    cluster = Cluster(directory, site, control={"shards": 1, "repair_after": 30.0})
    closed: list[float] = []
    frozen: list[float] = []
    held: list[float] = []
    gaps: list[float] = []
    try:
        await cluster.start()
        await cluster.wait_loaded()
        await cluster.apply(group_intent(1))
        await cluster.wait_open(1)
        for _ in range(rounds):
            closed.append(await _member_death(cluster, signal.SIGKILL))
            frozen.append(await _member_death(cluster, signal.SIGSTOP))
            again, gap = await _holder_death(cluster)
            held.append(again)
            gaps.append(gap)
    finally:
        await cluster.stop()
    for name, values in (
        ("member killed, group closed everywhere", closed),
        ("member frozen, group closed everywhere", frozen),
        ("holder killed, shard held again", held),
        ("holder killed, longest gap in a stream", gaps),
    ):
        print(f"{name}: median {quantile(values, 0.5):.2f} s, worst {max(values):.2f} s")
    target("failover-member-killed-worst-s", max(closed), WINDOW)
    target("failover-member-frozen-worst-s", max(frozen), WINDOW * 1.05)
    target("failover-shard-held-again-worst-s", max(held), 10.0)
    target("failover-holder-downtime-worst-s", max(gaps), 1.0)


def failover(daemons: int = 5, rounds: int = 1) -> None:
    """Measure."""
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as name:
        asyncio.run(_run(pathlib.Path(name), daemons, rounds))


if __name__ == "__main__":
    fire.Fire(failover)
