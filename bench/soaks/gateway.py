"""Soak test of the gateway on the users' platform, run by ``bin/soak-gateway``.

Injects faults into real processes behind proxies, and checks what callers and endpoints observe.

Owns: the site of one seed, from its start to its end.
Relies on: the faults of :mod:`bench.soaks.gateway_troubles` and the checks of
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

from . import gateway_broken_faults
from . import gateway_cut_faults
from . import gateway_endless_faults
from . import gateway_fatal
from . import gateway_late_bodies
from . import gateway_limit_faults
from . import gateway_notice_faults
from . import gateway_odd_entries
from . import gateway_restores
from . import gateway_retry_faults
from . import gateway_stop_faults
from . import gateway_unbounded_callers
from . import gateway_upgrade
from .gateway_callers import Caller
from .gateway_checks import RequestKind
from .gateway_evacuations import ZONES
from .gateway_site import SoakSite
from .gateway_troubles import MAX_CONCURRENT_FAULTS
from .gateway_troubles import GatewaySoak
from .gateway_troubles import faults
from .harness import run_seeds
from .proxy import Mode

CALLERS_PER_DAEMON = 4
# Limit for all daemons to serve all kinds of requests after the faults have ended.
RECOVERY_TIMEOUT_SECONDS = 12.0
# Limit for the groups to open at the start.
FORMATION_TIMEOUT_SECONDS = 30.0
# Lets each daemon read the store at the start.
STORE_READ_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.1


async def _inject_faults(soak: GatewaySoak) -> None:
    while not soak.is_over:
        name = soak.rng.choice(soak.fault_names)
        async with soak.fault_slots:
            soak.counts[f"trouble {name}"] += 1
            await faults.get(name)(soak)
        await soak.pause(0.1, 1.5)


async def _watch_exits(soak: GatewaySoak) -> None:
    """Report and restart daemons that exit unexpectedly."""
    while not soak.is_over:
        for daemon in soak.site.daemons:
            if not daemon.ended_by_soak and not daemon.is_running:
                daemon.ended_by_soak = True
                assert daemon.process is not None
                code = daemon.process.process.returncode
                soak.violations.append(
                    f"ENDED {daemon.name} exited unexpectedly with status {code}"
                )
                await soak.site.start_daemon(daemon)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _recover(soak: GatewaySoak, name: str) -> None:
    """Undo all faults and check that every daemon serves every kind of request again.

    :param name: unique prefix of the ids of its requests.
    """
    await _undo_faults(soak.site)
    deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_SECONDS
    caller = Caller(soak.site, name, soak.rng)
    missing = {(daemon.name, kind) for daemon in soak.site.daemons for kind in RequestKind}
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        while missing and asyncio.get_running_loop().time() < deadline:
            missing -= await _find_served(soak.site, caller, client, missing)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    for name, kind in sorted(missing, key=str):
        soak.violations.append(f"RECOVER {name} serves no {kind.value} requests")


async def _undo_faults(site: SoakSite) -> None:
    site.store.refuse, site.store.lose_answers = False, 0
    for zone in ZONES:
        site.evacuations.end(zone)
        site.store.end_evacuation(zone)
    for worker in site.workers.values():
        worker.refusal_retry_after = None
        worker.limit = None
        worker.form = ""
        if worker.proxy is not None:
            worker.proxy.mode = Mode.PASS
    for daemon in site.daemons:
        daemon.proxy.mode = Mode.PASS
        daemon.send(signal.SIGCONT)
        await site.start_daemon(daemon)


async def _find_served(
    site: SoakSite,
    caller: Caller,
    client: aiohttp.ClientSession,
    missing: t.Collection[tuple[str, RequestKind]],
) -> set[tuple[str, RequestKind]]:
    """Send one request for each missing daemon and kind; return those that were served."""
    served = set()
    for daemon in site.daemons:
        for kind in RequestKind:
            if (daemon.name, kind) not in missing:
                continue
            exchange = await caller.call(client, daemon, kind, site.valid_keys[0])
            if exchange.status == 200 and exchange.is_complete:
                served.add((daemon.name, kind))
    return served


async def wait_until_serving(site: SoakSite) -> None:
    """Wait until the groups are open and the daemons have read the store."""
    leader_count = 0
    while leader_count < 2:
        leader_count = sum(worker.is_serving_leader for worker in site.workers.values())
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    await asyncio.sleep(STORE_READ_SECONDS)


async def run(
    directory: pathlib.Path,
    seed: int,
    minutes: float,
    processes: int,
    fault_names: list[str],
    older: str = "",
) -> GatewaySoak:
    """Run one seed and return its result.

    :param processes: number of daemons.
    :param older: checkout of an older build that the daemons run at the start and that is
        replaced during the run; empty for none.
    """
    site = SoakSite(directory, processes, gateway_upgrade.program_of(older))
    if older:
        site.retries.ignore_older_builds()
    rng = random.Random(seed)
    try:
        await site.start()
        async with asyncio.timeout(FORMATION_TIMEOUT_SECONDS):
            await wait_until_serving(site)
        ends_at = asyncio.get_running_loop().time() + minutes * 60
        result = GatewaySoak(
            rng=rng,
            ends_at=ends_at,
            fault_names=fault_names,
            violations=site.checks.violations,
            counts=site.checks.counts,
            site=site,
            callers=_callers(site, rng, CALLERS_PER_DAEMON * processes),
        )
        await _run_callers_and_faults(result, seed, older)
        await _recover(result, "heal")
        await _run_last_phases(result, seed)
        return result
    finally:
        await site.stop()


async def _run_last_phases(soak: GatewaySoak, seed: int) -> None:
    """Run the phases that need a site without other faults."""
    site, rng = soak.site, soak.rng
    await gateway_stop_faults.stop_workers(site, soak.callers, seed)
    await _recover(soak, "heal-stopped")
    await gateway_retry_faults.decline_while_daemons_restart(site, soak.callers, seed)
    await _recover(soak, "heal-again")
    await gateway_fatal.send_fatal_parts(site, Caller(site, "part", rng))
    await gateway_fatal.send_fatal_requests(site, Caller(site, "fatal", rng))


def _callers(site: SoakSite, rng: random.Random, count: int) -> list[Caller]:
    return [Caller(site, f"c{number}", random.Random(rng.random())) for number in range(count)]


async def _run_callers_and_faults(soak: GatewaySoak, seed: int, older: str) -> None:
    """Send requests and inject faults until the end of the run."""
    coroutines = [_inject_faults(soak) for _ in range(MAX_CONCURRENT_FAULTS)]
    coroutines += [caller.run(soak.ends_at) for caller in soak.callers]
    coroutines += [_watch_exits(soak), gateway_notice_faults.inject_notices(soak, seed)]
    coroutines.append(gateway_limit_faults.inject_limits(soak, seed))
    coroutines.append(gateway_endless_faults.inject_endless_answers(soak, seed))
    coroutines.append(gateway_endless_faults.watch_memory(soak, soak.site))
    coroutines.append(gateway_odd_entries.inject_odd_entries(soak, seed))
    coroutines.append(gateway_late_bodies.send_late_bodies(soak, seed))
    coroutines.append(gateway_cut_faults.inject_cuts(soak, seed))
    coroutines.append(gateway_unbounded_callers.send_crowds(soak, seed))
    coroutines.append(gateway_unbounded_callers.watch_descriptors(soak))
    coroutines.append(gateway_restores.inject_restores(soak, soak.site, seed))
    if not older:
        # Daemons of earlier builds pass such answers on.
        coroutines.append(gateway_broken_faults.inject_broken_answers(soak, seed))
    if older:
        coroutines.append(
            gateway_upgrade.replace_builds(soak, seed, gateway_upgrade.program_of(older))
        )
    await asyncio.gather(*coroutines)


def _chosen_faults(only: str | tuple[str, ...]) -> list[str]:
    """Return the names of the kinds of faults to inject.

    :param only: as on the command line, where several names arrive as a tuple.
    :raises SystemExit: if a kind is unknown.
    """
    names = [only] if isinstance(only, str) else list(only)
    chosen = [name for name in names if name]
    unknown = sorted(set(chosen) - set(faults.names))
    if unknown:
        raise SystemExit(f"unknown kinds of faults: {', '.join(unknown)}")
    return chosen or faults.names


def soak(
    seed: int = 1,
    minutes: float = 1.0,
    processes: int = 4,
    seeds: int = 1,
    only: str | tuple[str, ...] = "",
    logs: str = "",
    older: str = "",
) -> None:
    """Run seeds one after the other; exit with status 1 if a promise was broken.

    :param seed: the first seed.
    :param minutes: duration of each seed's run.
    :param processes: number of daemons.
    :param seeds: number of consecutive seeds.
    :param only: the kinds of faults to inject, separated by commas; all kinds if empty.
    :param logs: directory for the daemons' logs; a temporary one if empty.
    :param older: checkout of an older build that the daemons run at the start and that is
        replaced during the run; empty for none.
    """
    fault_names = _chosen_faults(only)
    # Silences the errors of the stand-ins' streams that faults break.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    run_seeds(
        lambda directory, number: run(directory, number, minutes, processes, fault_names, older),
        range(seed, seed + seeds),
        logs,
    )


if __name__ == "__main__":
    fire.Fire(soak)
