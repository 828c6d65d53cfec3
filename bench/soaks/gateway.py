"""A fault soak of the gateway as it runs on the users' platform: ``bin/soak-gateway``.

Real processes behind loopback proxies; troubles in series and overlapping; the promises of the
users' pages checked from what callers and endpoints see.
"""

import asyncio
import collections
import dataclasses
import logging
import pathlib
import random
import signal
import tempfile
import typing as t

import aiohttp
import fire

from .gateway_callers import Caller
from .gateway_checks import Kind
from .gateway_site import REVOKE_SECONDS
from .gateway_site import Daemon
from .gateway_site import SoakSite
from .gateway_site import SoakWorker
from .proxy import Mode

CALLERS_PER_DAEMON = 4
TROUBLES_AT_ONCE = 2
# after the last trouble, before a planned stop is watched
QUIET_SECONDS = 3.0
# for the interpreter and the first lines of the program, on a busy machine
START_SECONDS = 2.0
RECOVER_SECONDS = 12.0
LOOK_SECONDS = 0.1
HARMFUL = (Mode.DELAY, Mode.SILENCE, Mode.LOSE_ANSWERS, Mode.LOSE_REQUESTS, Mode.RESET)
Trouble = t.Callable[["Soak"], t.Awaitable[None]]
troubles: dict[str, Trouble] = {}


def _trouble(function: Trouble) -> Trouble:
    troubles[function.__name__.strip("_")] = function
    return function


@dataclasses.dataclass
class Soak:
    """One run.

    :param end: on the loop's clock.
    """

    site: SoakSite
    draw: random.Random
    end: float
    kinds: list[str]
    callers: list[Caller]
    slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(TROUBLES_AT_ONCE)
    )
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @property
    def over(self) -> bool:
        """Whether the time is up."""
        return asyncio.get_running_loop().time() >= self.end

    async def pause(self, least: float, most: float) -> None:
        """Wait for some time."""
        await asyncio.sleep(self.draw.uniform(least, most))

    def daemon(self) -> Daemon:
        """Return one of the daemons."""
        return self.draw.choice(self.site.daemons)

    def worker(self) -> SoakWorker:
        """Return one of the workers that live."""
        alive = [one for one in self.site.workers.values() if one.alive and not one.draining]
        return self.draw.choice(alive)


@_trouble
async def _kill(soak: Soak) -> None:
    daemon = soak.daemon()
    await daemon.end(signal.SIGKILL)
    await soak.pause(0, 3)
    await soak.site.start_daemon(daemon)


@_trouble
async def _kill_many(soak: Soak) -> None:
    most = len(soak.site.daemons)
    chosen = soak.draw.sample(soak.site.daemons, soak.draw.randint(2, most))
    await asyncio.gather(*(one.end(signal.SIGKILL) for one in chosen))
    await soak.pause(0, 2)
    await asyncio.gather(*(soak.site.start_daemon(one) for one in chosen))


@_trouble
async def _stop(soak: Soak) -> None:
    daemon = soak.daemon()
    await daemon.end(signal.SIGTERM)
    await soak.site.start_daemon(daemon)


@_trouble
async def _freeze(soak: Soak) -> None:
    daemon = soak.daemon()
    daemon.send(signal.SIGSTOP)
    await soak.pause(0.3, 6)
    daemon.send(signal.SIGCONT)


@_trouble
async def _reload(soak: Soak) -> None:
    now = asyncio.get_running_loop().time()
    for daemon in soak.site.daemons:
        # until its first lines have run, a program can do nothing about it (tests/test_run.py)
        if now - daemon.started_at > START_SECONDS:
            daemon.send(signal.SIGHUP)


@_trouble
async def _cut_from_store(soak: Soak) -> None:
    proxy = soak.daemon().proxy
    proxy.mode = soak.draw.choice(HARMFUL)
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await soak.pause(0.3, 6)
    proxy.mode = Mode.PASS


@_trouble
async def _store_away(soak: Soak) -> None:
    soak.site.store.refuse = True
    await soak.pause(0.3, 6)
    soak.site.store.refuse = False


@_trouble
async def _store_loses_answers(soak: Soak) -> None:
    soak.site.store.lose_answers += soak.draw.randint(1, 3)


@_trouble
async def _store_forgets(soak: Soak) -> None:
    soak.site.store.forget()


@_trouble
async def _cut_worker(soak: Soak) -> None:
    proxy = soak.worker().proxy
    assert proxy is not None
    proxy.mode = soak.draw.choice(HARMFUL)
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await soak.pause(0.2, 4)
    proxy.mode = Mode.PASS


@_trouble
async def _crash_worker(soak: Soak) -> None:
    worker = soak.worker()
    await worker.crash()
    await soak.pause(0, 3)
    await soak.site.add_worker(worker.service, worker.domain)


@_trouble
async def _drain_worker(soak: Soak) -> None:
    worker = soak.worker()
    worker.draining = True
    worker.publish()
    await soak.site.add_worker(worker.service, worker.domain)
    await soak.pause(2.5, 5)
    if worker.alive:
        await worker.crash()


@_trouble
async def _take_key_away(soak: Soak) -> None:
    site = soak.site
    old = site.keys[0]
    site.keys = [f"key-{site.version}"]
    site.former_keys.append(old)
    site.configure()
    now = asyncio.get_running_loop().time()
    site.checks.revoked(old, now + REVOKE_SECONDS)
    await soak.pause(0.1, 1)


@_trouble
async def _take_key_away_unseen(soak: Soak) -> None:
    """Take a key away while no daemon can read the store."""
    for daemon in soak.site.daemons:
        daemon.proxy.mode = Mode.SILENCE
    await soak.pause(0, 0.5)
    await _take_key_away(soak)
    await soak.pause(REVOKE_SECONDS, 2 * REVOKE_SECONDS)
    for daemon in soak.site.daemons:
        daemon.proxy.mode = Mode.PASS


@_trouble
async def _configure(soak: Soak) -> None:
    for _ in range(soak.draw.randint(1, 5)):
        soak.site.configure()
        await soak.pause(0.05, 0.4)


@_trouble
async def _watched_stop(soak: Soak) -> None:
    """Stop a daemon with nothing else going on: no request may be cut."""
    for _ in range(TROUBLES_AT_ONCE - 1):
        await soak.slots.acquire()
    try:
        await asyncio.sleep(QUIET_SECONDS)
        daemon = soak.daemon()
        if daemon.runs:
            await _stop_and_look(soak, daemon)
            await soak.site.start_daemon(daemon)
    finally:
        for _ in range(TROUBLES_AT_ONCE - 1):
            soak.slots.release()


async def _stop_and_look(soak: Soak, daemon: Daemon) -> None:
    """Stop a daemon, and see that what it was answering is answered whole."""
    all_running = [one.running for one in soak.callers]
    running = [one for one in all_running if one and one.daemon == daemon.name]
    checks = soak.site.checks
    if not await daemon.end(signal.SIGTERM):
        checks.faults.append(f"LOST {daemon.name} did not stop within its grace")
    await asyncio.sleep(LOOK_SECONDS)
    for told in running:
        if not told.whole:
            checks.faults.append(
                f"LOST {told.id} was cut by a planned stop of {daemon.name}: "
                f"status {told.status}, {told.ended_at - told.sent_at:.3f} s, "
                f"{len(checks.runs(told.id))} runs"
            )
    soak.counts["requests through a planned stop"] += len(running)


async def _make_trouble(soak: Soak) -> None:
    while not soak.over:
        name = soak.draw.choice(soak.kinds)
        async with soak.slots:
            soak.counts[f"trouble {name}"] += 1
            await troubles[name](soak)
        await soak.pause(0.1, 1.5)


async def _watch_ends(soak: Soak) -> None:
    """Notice processes that end though nobody ended them."""
    while not soak.over:
        for daemon in soak.site.daemons:
            if not daemon.ended and not daemon.runs:
                daemon.ended = True
                assert daemon.process is not None
                code = daemon.process.returncode
                soak.site.checks.faults.append(f"ENDED {daemon.name} by itself with {code}")
                await soak.site.start_daemon(daemon)
        await asyncio.sleep(LOOK_SECONDS)


async def _heal(soak: Soak) -> None:
    """Undo all faults, and see that every daemon serves every kind of request again."""
    await _undo_faults(soak.site)
    until = asyncio.get_running_loop().time() + RECOVER_SECONDS
    caller = Caller(soak.site, "heal", soak.draw)
    missing = {(daemon.name, kind) for daemon in soak.site.daemons for kind in Kind}
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while missing and asyncio.get_running_loop().time() < until:
            missing -= await _served(soak.site, caller, client, missing)
            await asyncio.sleep(LOOK_SECONDS)
    for name, kind in sorted(missing, key=str):
        soak.site.checks.faults.append(f"RECOVER {name} serves no {kind.value} requests")


async def _undo_faults(site: SoakSite) -> None:
    site.store.refuse, site.store.lose_answers = False, 0
    for worker in site.workers.values():
        if worker.proxy is not None:
            worker.proxy.mode = Mode.PASS
    for daemon in site.daemons:
        daemon.proxy.mode = Mode.PASS
        daemon.send(signal.SIGCONT)
        await site.start_daemon(daemon)


async def _served(
    site: SoakSite,
    caller: Caller,
    client: aiohttp.ClientSession,
    wanted: t.Collection[tuple[str, Kind]],
) -> set[tuple[str, Kind]]:
    """Ask each daemon once for each kind that is wanted; return what was served."""
    served = set()
    for daemon in site.daemons:
        for kind in Kind:
            if (daemon.name, kind) not in wanted:
                continue
            told = await caller.call(client, daemon, kind, site.keys[0])
            if told.status == 200 and told.whole:
                served.add((daemon.name, kind))
    return served


async def _serving(site: SoakSite) -> None:
    """Wait until the groups stand and each daemon has read the store."""
    leading = 0
    while leading < 2:
        leading = sum(one.leads for one in site.workers.values())
        await asyncio.sleep(LOOK_SECONDS)
    await asyncio.sleep(1.0)


async def run(
    directory: pathlib.Path, seed: int, minutes: float, processes: int, kinds: list[str]
) -> Soak:
    """Play one seed and return what was seen."""
    site = SoakSite(directory, processes)
    draw = random.Random(seed)
    try:
        await site.start()
        async with asyncio.timeout(30):
            await _serving(site)
        end = asyncio.get_running_loop().time() + minutes * 60
        callers = [
            Caller(site, f"c{number}", random.Random(draw.random()))
            for number in range(CALLERS_PER_DAEMON * processes)
        ]
        soak = Soak(site, draw, end, kinds, callers)
        await asyncio.gather(
            *(_make_trouble(soak) for _ in range(TROUBLES_AT_ONCE)),
            *(one.run(end) for one in callers),
            _watch_ends(soak),
        )
        await _heal(soak)
        return soak
    finally:
        await site.stop()


def soak(
    seed: int = 1,
    minutes: float = 1.0,
    processes: int = 4,
    seeds: int = 1,
    only: str = "",
    logs: str = "",
) -> None:
    """Play seeds one after the other; exit with 1 if anything that must hold did not.

    :param processes: daemons.
    :param seeds: how many, counted up from ``seed``.
    :param only: make this kind of trouble alone.
    :param logs: a directory for the daemons' logs; a temporary one otherwise.
    """
    kinds = [only] if only else sorted(troubles)
    # the stand-ins' streams break whenever a caller or a group does
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="thorncleat-soak-") as name:
            directory = pathlib.Path(logs or name) / f"seed-{number}"
            directory.mkdir(parents=True, exist_ok=True)
            played = asyncio.run(run(directory, number, minutes, processes, kinds))
        checks = played.site.checks
        for what, count in sorted((checks.counts + played.counts).items()):
            print(f"{what}: {count}")
        for fault in checks.faults[:20]:
            print(f"FAULT {fault}")
        failed += bool(checks.faults)
        verdict = "FAILED" if checks.faults else "passed"
        print(f"verdict, seed {number}: {verdict}, {len(checks.faults)} faults", flush=True)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
