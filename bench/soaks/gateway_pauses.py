"""Soak test with pauses of sound workers, run by ``bin/soak-gateway-pauses``.

Streams run without end while the configuration changes and workers, each a process of its own,
stand still for a while. Nothing but an order to leave ends a stream in this world.

Owns: the site of one seed, from its start to its end.
Relies on: the checks of :mod:`bench.soaks.gateway_pause_checks`.
"""

import asyncio
import dataclasses
import logging
import pathlib
import random
import signal
import typing as t

import aiohttp
import fire

from .gateway_callers import Caller
from .gateway_checks import RequestKind
from .gateway_daemons import Daemon
from .gateway_pause_site import ROUTE_TIMEOUTS_SECONDS
from .gateway_pause_site import PauseSite
from .gateway_troubles import STARTUP_SECONDS
from .harness import Soak
from .harness import run_seeds
from .worker_processes import WorkerProcess

CALLERS_PER_DAEMON = 6
# Longer than any timeout of the route, so that no caller gives up first.
CALLER_TIMEOUT_SECONDS = max(ROUTE_TIMEOUTS_SECONDS) + 1.0
# Wait of a caller after a refusal or a refused connection.
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.05, 0.15
# Time between two changes of the configuration.
MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS = 3.5, 5.0
# Time from a change to the first pauses, and between two series of pauses.
PAUSE_DELAY_SECONDS = 0.5
MIN_SERIES_SECONDS, MAX_SERIES_SECONDS = 0.6, 1.0
MAX_SERIES = 2
# Within a series the pauses begin up to this time apart.
MAX_STAGGER_SECONDS = 0.1
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.5, 1.5
# Time for which a worker runs between two pauses.
MIN_RUN_SECONDS = 0.5
# Limit for the groups to open at the start, and time in which they must not change anymore.
FORMATION_TIMEOUT_SECONDS = 30.0
SETTLED_SECONDS = 2.0
# Limit for as many groups as before to be open after the death of a worker.
REPAIR_SECONDS = 8.0
# Limit for each daemon to serve a stream after the end.
RECOVERY_SECONDS = 8.0
POLL_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class PauseSoak(Soak):
    """The state of one seed.

    :param started_groups: number of groups that were open at the start.
    :param has_pauses: whether workers pause.
    :ivar tasks: the pauses of the seed.
    """

    site: PauseSite
    started_groups: int
    has_pauses: bool = True
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def start(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine beside the others of the seed."""
        self.tasks.add(asyncio.create_task(coroutine))


async def _stream_without_end(soak: PauseSoak, caller: Caller) -> None:
    """Send streams to random daemons on connections that stay open; repeat none."""
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while not soak.is_over:
            daemon = caller.rng.choice(soak.site.daemons)
            key = soak.site.valid_keys[0]
            exchange = await caller.call(client, daemon, RequestKind.STREAM, key)
            if not exchange.is_complete or exchange.status != 200:
                await asyncio.sleep(caller.rng.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS))


async def _change_and_pause(soak: PauseSoak) -> None:
    """Change the configuration, and pause workers shortly after each change."""
    changes = [soak.site.change_timeout, soak.site.change_limit, soak.site.add_route]
    while not soak.is_over:
        ends_at = asyncio.get_running_loop().time() + soak.rng.uniform(
            MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS
        )
        change = soak.rng.choice(changes)
        change()
        soak.counts[f"change {change.__name__}"] += 1
        await asyncio.sleep(PAUSE_DELAY_SECONDS)
        for _ in range(soak.rng.randint(1, MAX_SERIES)):
            _start_series(soak)
            await soak.pause(MIN_SERIES_SECONDS, MAX_SERIES_SECONDS)
        await asyncio.sleep(max(0.0, ends_at - asyncio.get_running_loop().time()))


def _start_series(soak: PauseSoak) -> None:
    """Pause one, some or all of the workers that run."""
    now = asyncio.get_running_loop().time()
    if not soak.has_pauses:
        return
    running = [
        worker
        for worker in soak.site.living
        if not worker.is_paused and now - worker.continued_at >= MIN_RUN_SECONDS
    ]
    if not running:
        return
    share = soak.rng.choice(("one", "some", "all"))
    count = {"one": 1, "some": (len(running) + 1) // 2, "all": len(running)}[share]
    soak.counts[f"series of pauses, {share}"] += 1
    for worker in soak.rng.sample(running, count):
        delay = soak.rng.uniform(0, MAX_STAGGER_SECONDS)
        seconds = soak.rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
        soak.start(_pause(soak, worker, delay, seconds))


async def _pause(soak: PauseSoak, worker: WorkerProcess, delay: float, seconds: float) -> None:
    await asyncio.sleep(delay)
    if not worker.is_alive or worker.is_paused:
        return
    soak.counts["pauses"] += 1
    soak.site.pause(worker)
    await asyncio.sleep(seconds)
    soak.site.go_on(worker)


async def _reload(soak: PauseSoak) -> None:
    """Make daemons reload their settings again and again."""
    while not soak.is_over:
        await soak.pause(1.0, 4.0)
        now = asyncio.get_running_loop().time()
        for daemon in soak.site.daemons:
            # Until its signal handlers are installed, SIGHUP can end a program.
            if now - daemon.started_at > STARTUP_SECONDS:
                daemon.send(signal.SIGHUP)
        soak.counts["reloads"] += 1


async def _stop_in_turn(soak: PauseSoak) -> None:
    """Stop one daemon after the other as planned, and start it again."""
    while not soak.is_over:
        await soak.pause(2.0, 5.0)
        daemon = soak.rng.choice(soak.site.daemons)
        soak.counts["planned stops"] += 1
        await soak.site.stop_daemon(daemon)
        await soak.site.start_daemon(daemon)
        # The next one stops only when this one serves again.
        await asyncio.sleep(STARTUP_SECONDS)


async def _kill_workers(soak: PauseSoak) -> None:
    """Kill a worker at times; its group has to serve anew, with another worker."""
    while not soak.is_over:
        await soak.pause(2.0, 4.0)
        if soak.is_over:
            return
        worker = soak.rng.choice([item for item in soak.site.living if item.group])
        await soak.site.kill(worker)
        soak.counts["deaths"] += 1
        died_at = asyncio.get_running_loop().time()
        await soak.pause(0.0, 1.0)
        await soak.site.add_worker(worker.domain)
        await _check_repair(soak, worker, died_at)


async def _check_repair(soak: PauseSoak, worker: WorkerProcess, died_at: float) -> None:
    """Check that as many groups as at the start are open some time after a death."""
    while soak.site.open_groups < soak.started_groups:
        if asyncio.get_running_loop().time() - died_at > REPAIR_SECONDS:
            soak.violations.append(
                f"REPAIR {REPAIR_SECONDS} s after the death of {worker.id}, "
                f"{soak.site.open_groups} of {soak.started_groups} groups are open"
            )
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    seconds = asyncio.get_running_loop().time() - died_at
    most = "longest repair after a death, ms"
    soak.counts[most] = max(soak.counts[most], int(seconds * 1000))


async def _wait_until_settled(site: PauseSite) -> int:
    """Wait until the number of open groups stays the same; return it."""
    loop = asyncio.get_running_loop()
    count, changed_at = 0, loop.time()
    while count == 0 or loop.time() - changed_at < SETTLED_SECONDS:
        if site.open_groups != count:
            count, changed_at = site.open_groups, loop.time()
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return count


async def _check_recovery(soak: PauseSoak) -> None:
    """Check that each daemon runs and serves a stream once the pauses are over."""
    await asyncio.gather(*(_check_daemon(soak, daemon) for daemon in soak.site.daemons))


async def _check_daemon(soak: PauseSoak, daemon: Daemon) -> None:
    caller = Caller(soak.site, f"heal-{daemon.name}", soak.rng, CALLER_TIMEOUT_SECONDS)
    if not daemon.is_running:
        soak.violations.append(f"ENDED {daemon.name} isn't running")
    elif not await _serves(soak, caller, daemon):
        soak.violations.append(f"RECOVER {daemon.name} serves no streams")


async def _serves(soak: PauseSoak, caller: Caller, daemon: Daemon) -> bool:
    deadline = asyncio.get_running_loop().time() + RECOVERY_SECONDS
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while asyncio.get_running_loop().time() < deadline:
            key = soak.site.valid_keys[0]
            exchange = await caller.call(client, daemon, RequestKind.STREAM, key)
            if exchange.status == 200 and exchange.is_complete:
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return False


def _judge(soak: PauseSoak) -> None:
    """Add the violations and the figures that show only at the end."""
    exchanges = list(soak.site.exchanges.values())
    lost = soak.site.pauses.find_lost(exchanges)
    ended = soak.site.pauses.find_ended()
    soak.violations += lost + ended
    soak.counts["requests"] = len(exchanges)
    soak.counts["streams cut (LOST)"] = len(lost)
    soak.counts["refused (503)"] = sum(item.status == 503 for item in exchanges)
    soak.counts["groups of sound workers ended"] = len(ended)
    for exchange in exchanges:
        excuse = soak.site.pauses.find_excuse(exchange)
        if excuse and not exchange.is_complete:
            soak.counts[f"streams cut and excused, {excuse}"] += 1
    soak.counts["streams broken by orders to leave"] = sum(
        leave.streams for leave in soak.site.pauses.leaves
    )


async def run(
    directory: pathlib.Path,
    seed: int,
    minutes: float,
    processes: int,
    *,
    deaths: bool = False,
    pauses: bool = True,
) -> PauseSoak:
    """Run one seed and return its result.

    :param processes: number of daemons.
    :param deaths: whether workers die among the pauses.
    :param pauses: whether workers pause; without pauses a run shows what else ends streams.
    """
    site = PauseSite(directory, processes)
    rng = random.Random(seed)
    try:
        await site.start()
        async with asyncio.timeout(FORMATION_TIMEOUT_SECONDS):
            groups = await _wait_until_settled(site)
        soak = PauseSoak(
            rng=rng,
            ends_at=asyncio.get_running_loop().time() + minutes * 60,
            fault_names=[],
            violations=site.checks.violations,
            counts=site.checks.counts,
            site=site,
            started_groups=groups,
            has_pauses=pauses,
        )
        await _run_troubles(soak, deaths)
        await _check_recovery(soak)
        _judge(soak)
        return soak
    finally:
        await site.stop()


async def _run_troubles(soak: PauseSoak, deaths: bool) -> None:
    """Send streams and make trouble until the end of the run."""
    soak.counts["groups"] = soak.started_groups
    reloads, stops = soak.rng.random() < 0.5, soak.rng.random() < 0.5
    callers = [
        Caller(soak.site, f"c{number}", random.Random(soak.rng.random()), CALLER_TIMEOUT_SECONDS)
        for number in range(CALLERS_PER_DAEMON * len(soak.site.daemons))
    ]
    coroutines = [_stream_without_end(soak, caller) for caller in callers]
    coroutines.append(_change_and_pause(soak))
    if reloads:
        coroutines.append(_reload(soak))
    if stops:
        coroutines.append(_stop_in_turn(soak))
    if deaths:
        coroutines.append(_kill_workers(soak))
    await asyncio.gather(*coroutines)
    await asyncio.gather(*soak.tasks)


def soak(
    seed: int = 1,
    minutes: float = 0.5,
    processes: int = 3,
    seeds: int = 1,
    deaths: bool = False,
    pauses: bool = True,
    logs: str = "",
) -> None:
    """Run seeds one after the other; exit with status 1 if a promise was broken.

    :param seed: the first seed.
    :param minutes: duration of each seed's run.
    :param processes: number of daemons.
    :param seeds: number of consecutive seeds.
    :param deaths: whether workers die among the pauses.
    :param pauses: whether workers pause; without pauses a run shows what else ends streams.
    :param logs: directory for the logs of all processes; a temporary one if empty.
    """
    # Silences the errors of the stand-ins' streams that faults break.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    run_seeds(
        lambda directory, number: run(
            directory, number, minutes, processes, deaths=deaths, pauses=pauses
        ),
        range(seed, seed + seeds),
        logs,
    )


if __name__ == "__main__":
    fire.Fire(soak)
