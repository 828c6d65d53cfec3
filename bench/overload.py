"""Twice the load that a group can take: what is still answered, how fast the rest is refused,
and how soon all is well again."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

import aiohttp
import fire

from thorncleat_standins.launch import Cluster
from thorncleat_standins.launch import Site

from .capacity import group_intent
from .report import quantile
from .report import target

KEY = "caller-key"
TOKENS = 50
TOKEN_SECONDS = 0.01
SLOTS = 24
DEADLINE = 2.0
COST = TOKENS + 2
CAPACITY_RATE = SLOTS / (TOKENS * TOKEN_SECONDS) * 0.85


@dataclasses.dataclass
class Answer:
    """What came of a request.

    :param at: when it was sent.
    """

    at: float
    seconds: float
    status: int
    retry_after: bool


async def _send(session: aiohttp.ClientSession, url: str, answers: list[Answer]) -> None:
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": "now"}],
        "max_tokens": TOKENS,
        "stream": False,
    }
    began = time.monotonic()
    try:
        async with session.post(url, json=body) as response:
            await response.read()
            status, again = response.status, "Retry-After" in response.headers
    except aiohttp.ClientError:
        status, again = 0, False
    answers.append(Answer(began, time.monotonic() - began, status, again))


async def _phase(
    cluster: Cluster, rate: float, seconds: float, draw: random.Random
) -> list[Answer]:
    answers: list[Answer] = []
    tasks: list[asyncio.Task[None]] = []
    urls = [f"{cluster.callers(name)}/v1/chat/completions" for name in cluster.daemons]
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Deadline": str(DEADLINE)}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        due = time.monotonic()
        end = due + seconds
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(_send(session, draw.choice(urls), answers)))
            due += draw.expovariate(rate)
        await asyncio.gather(*tasks)
    return answers


def _good(answers: list[Answer]) -> list[Answer]:
    return [one for one in answers if one.status == 200 and one.seconds <= DEADLINE]


def _recovery(answers: list[Answer], usual: float) -> float:
    """Return the seconds from the first request until all are answered in the usual time."""
    began = min(one.at for one in answers)
    slow = [one.at - began for one in answers if one.status != 200 or one.seconds > 2 * usual]
    return max(slow, default=0.0)


async def _run(directory: pathlib.Path, seconds: float, seed: int) -> None:
    draw = random.Random(seed)
    site = Site(daemons=3, instances=4, token_seconds=TOKEN_SECONDS)
    requests = {"group_tokens": SLOTS * COST, "queue_tokens": 8 * COST}
    cluster = Cluster(directory, site, requests=requests)
    try:
        await cluster.start(shared_engines=True)
        await cluster.wait_loaded()
        await cluster.apply(group_intent(1))
        await cluster.wait_open(1)
        await _phase(cluster, CAPACITY_RATE / 2, 2.0, draw)
        one = await _phase(cluster, CAPACITY_RATE, seconds, draw)
        two = await _phase(cluster, 2 * CAPACITY_RATE, seconds, draw)
        after = await _phase(cluster, CAPACITY_RATE / 2, seconds, draw)
    finally:
        await cluster.stop()
    usual = quantile([found.seconds for found in _good(one)], 0.95)
    for name, answers in (("capacity", one), ("twice", two), ("afterwards", after)):
        refused = [found.seconds for found in answers if found.status == 503]
        print(
            f"{name:11} {len(answers) / seconds:6.1f} requests/s, "
            f"{len(_good(answers)) / seconds:6.1f} answered in time, {len(refused)} refused, "
            f"refusals p50 {quantile(refused, 0.5) * 1e3:.1f} ms "
            f"p95 {quantile(refused, 0.95) * 1e3:.1f} ms"
        )
    turned_away = [found for found in two if found.status == 503]
    slowest = quantile([found.seconds for found in turned_away], 0.95) * 1e3
    target("overload-goodput", len(_good(two)) / len(_good(one)), 0.9, at_least=True)
    target("overload-refusal-p95-ms", slowest, 10)
    told = sum(found.retry_after for found in turned_away) / max(1, len(turned_away))
    target("overload-refusals-with-retry-after", told, 1.0, at_least=True)
    target("overload-recovery-s", _recovery(after, usual), 5.0)


def overload(seconds: float = 8.0, seed: int = 1) -> None:
    """Measure.

    :param seconds: for each phase.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as name:
        asyncio.run(_run(pathlib.Path(name), seconds, seed))


if __name__ == "__main__":
    fire.Fire(overload)
