"""The soak of the gateway as it runs on the users' platform: ``bin/soak-gateway``.

Real processes behind loopback proxies; troubles in series and overlapping; the promises of the
users' pages checked from what callers and endpoints see.

Owns: the site of one seed, which it starts, heals and ends.
Relies on: the troubles of :mod:`bench.soaks.gateway_troubles` and the checks of
:mod:`bench.soaks.gateway_checks`.
"""

import asyncio
import logging
import pathlib
import random
import signal
import typing as t

import aiohttp
import fire

from . import gateway_fatal
from . import gateway_limits
from . import gateway_notices
from . import gateway_restores
from . import gateway_upgrade
from .gateway_callers import Caller
from .gateway_checks import RequestKind
from .gateway_site import SoakSite
from .gateway_troubles import TROUBLES_AT_ONCE
from .gateway_troubles import GatewaySoak
from .gateway_troubles import troubles
from .harness import play
from .proxy import Mode

CALLERS_PER_DAEMON = 4
# for all daemons to serve every kind of request once the faults are over
RECOVER_SECONDS = 12.0
# for the groups to stand at the start
FORM_SECONDS = 30.0
# for each daemon to have read the store at the start
READ_SECONDS = 1.0
# between two looks at processes and groups
LOOK_SECONDS = 0.1


async def _make_trouble(soak: GatewaySoak) -> None:
    while not soak.over:
        name = soak.draw.choice(soak.trouble_names)
        async with soak.slots:
            soak.counts[f"trouble {name}"] += 1
            await troubles.get(name)(soak)
        await soak.pause(0.1, 1.5)


async def _watch_ends(soak: GatewaySoak) -> None:
    """Notice processes that end though nobody ended them."""
    while not soak.over:
        for daemon in soak.site.daemons:
            if not daemon.ended and not daemon.runs:
                daemon.ended = True
                assert daemon.process is not None
                code = daemon.process.process.returncode
                soak.faults.append(f"ENDED {daemon.name} by itself with {code}")
                await soak.site.start_daemon(daemon)
        await asyncio.sleep(LOOK_SECONDS)


async def _heal(soak: GatewaySoak) -> None:
    """Undo all faults, and see that every daemon serves every kind of request again."""
    await _undo_faults(soak.site)
    until = asyncio.get_running_loop().time() + RECOVER_SECONDS
    caller = Caller(soak.site, "heal", soak.draw)
    missing = {(daemon.name, kind) for daemon in soak.site.daemons for kind in RequestKind}
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while missing and asyncio.get_running_loop().time() < until:
            missing -= await _served(soak.site, caller, client, missing)
            await asyncio.sleep(LOOK_SECONDS)
    for name, kind in sorted(missing, key=str):
        soak.faults.append(f"RECOVER {name} serves no {kind.value} requests")


async def _undo_faults(site: SoakSite) -> None:
    site.store.refuse, site.store.lose_answers = False, 0
    for worker in site.workers.values():
        worker.turns_away = None
        worker.limit = None
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
    wanted: t.Collection[tuple[str, RequestKind]],
) -> set[tuple[str, RequestKind]]:
    """Ask each daemon once for each kind that is wanted; return what was served."""
    served = set()
    for daemon in site.daemons:
        for kind in RequestKind:
            if (daemon.name, kind) not in wanted:
                continue
            exchange = await caller.call(client, daemon, kind, site.keys[0])
            if exchange.status == 200 and exchange.whole:
                served.add((daemon.name, kind))
    return served


async def _serving(site: SoakSite) -> None:
    """Wait until the groups stand and each daemon has read the store."""
    leading = 0
    while leading < 2:
        leading = sum(worker.leads for worker in site.workers.values())
        await asyncio.sleep(LOOK_SECONDS)
    await asyncio.sleep(READ_SECONDS)


async def run(
    directory: pathlib.Path,
    seed: int,
    minutes: float,
    processes: int,
    trouble_names: list[str],
    older: str = "",
) -> GatewaySoak:
    """Play one seed and return what was seen.

    :param older: a checkout whose build all daemons run at the start, and which is replaced.
    """
    site = SoakSite(directory, processes, gateway_upgrade.program_of(older))
    draw = random.Random(seed)
    try:
        await site.start()
        async with asyncio.timeout(FORM_SECONDS):
            await _serving(site)
        end = asyncio.get_running_loop().time() + minutes * 60
        played = GatewaySoak(
            draw=draw,
            end=end,
            trouble_names=trouble_names,
            faults=site.checks.faults,
            counts=site.checks.counts,
            site=site,
            callers=_callers(site, draw, CALLERS_PER_DAEMON * processes),
        )
        await _play(played, seed, older)
        await _heal(played)
        await gateway_fatal.play(site, Caller(site, "fatal", draw))
        return played
    finally:
        await site.stop()


def _callers(site: SoakSite, draw: random.Random, count: int) -> list[Caller]:
    return [Caller(site, f"c{number}", random.Random(draw.random())) for number in range(count)]


async def _play(soak: GatewaySoak, seed: int, older: str) -> None:
    """Let callers call and troubles happen until the time is up."""
    parts = [_make_trouble(soak) for _ in range(TROUBLES_AT_ONCE)]
    parts += [caller.run(soak.end) for caller in soak.callers]
    parts += [_watch_ends(soak), gateway_notices.play(soak, seed)]
    parts.append(gateway_limits.play(soak, seed))
    parts.append(gateway_restores.play(soak, soak.site, seed))
    if older:
        parts.append(gateway_upgrade.play(soak, seed, gateway_upgrade.program_of(older)))
    await asyncio.gather(*parts)


def soak(
    seed: int = 1,
    minutes: float = 1.0,
    processes: int = 4,
    seeds: int = 1,
    only: str = "",
    logs: str = "",
    older: str = "",
) -> None:
    """Play seeds one after the other; exit with 1 if anything that must hold did not.

    :param processes: daemons.
    :param seeds: how many, counted up from ``seed``.
    :param only: make this kind of trouble alone.
    :param logs: a directory for the daemons' logs; a temporary one otherwise.
    :param older: a checkout of an older build, which the daemons run at the start and which is
        replaced one by one.
    """
    trouble_names = [only] if only else troubles.names
    # the stand-ins' streams break whenever a caller or a group does
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    play(
        lambda directory, number: run(directory, number, minutes, processes, trouble_names, older),
        range(seed, seed + seeds),
        logs,
    )


if __name__ == "__main__":
    fire.Fire(soak)
