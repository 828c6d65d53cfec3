"""Soak test of thorncleat's own daemon, run by ``bin/soak``.

Injects faults under load, and checks that answers are correct, that calls run at most once and as
reported, and that all groups recover.

Owns: the cluster of one seed and the outcomes reported to its callers.
Relies on: the service's ledger of executed calls, and the daemons' logs of broken invariants.
"""

import asyncio
import os
import pathlib
import random
import signal
import typing as t

import fire

from thorncleat_core.daemon import keys
from thorncleat_standins.cluster import Cluster
from thorncleat_standins.cluster import Site
from thorncleat_standins.processes import LaunchError
from thorncleat_standins.traffic import RepeatingCaller
from thorncleat_standins.traffic import ledger_faults
from thorncleat_standins.traffic import log_faults
from thorncleat_standins.traffic import stream_fault

from ..idle_daemons import group_intent
from .daemon_troubles import DaemonSoak
from .daemon_troubles import faults
from .harness import run_seeds

CALLER_KEY = "soak-key"
BROKEN_FENCE_VARIABLE = "THORNCLEAT_TEST_BROKEN_FENCE"
# Times in seconds, short so that many leases expire during a run.
CONTROL_SETTINGS = {
    "probe": 0.2,
    "window": 1.2,
    "permit": 1.2,
    "lease": 3.0,
    "lease_margin": 0.5,
    "repair_after": 0.8,
    "member_probe": 0.3,
}
GROUPS = 2
CALLERS_PER_KIND = 12
MAX_CONCURRENT_FAULTS = 2
# Limit for a fault including its end; a fault that exceeds it is counted and cancelled.
FAULT_TIMEOUT_SECONDS = 30.0
STREAM_TIMEOUT_SECONDS = 20.0


async def _inject_faults(soak: DaemonSoak) -> None:
    while not soak.is_over:
        name = soak.rng.choice(soak.fault_names)
        soak.counts[f"trouble {name}"] += 1
        try:
            await asyncio.wait_for(faults.get(name)(soak), FAULT_TIMEOUT_SECONDS)
        except Exception as error:
            # Overlapping faults can make each other fail, for example a change of the
            # configuration while the store is down.
            soak.counts[f"trouble failed {type(error).__name__}"] += 1
        await soak.pause(0.1, 1.5)


async def _make_calls(soak: DaemonSoak, number: int) -> None:
    caller = RepeatingCaller(soak.cluster, CALLER_KEY, random.Random(soak.rng.random()))
    index = 0
    while not soak.is_over:
        index += 1
        await caller.call(f"call-{number}-{index}")
    soak.reported_outcomes.update(caller.reported_outcomes)


async def _read_streams(soak: DaemonSoak, number: int) -> None:
    rng = random.Random(soak.rng.random())
    index = 0
    while not soak.is_over:
        index += 1
        text = f"turbine {number} {index}"
        daemon = rng.choice(soak.cluster.daemons)
        try:
            fault = await asyncio.wait_for(
                stream_fault(soak.cluster, CALLER_KEY, daemon, text, rng.randint(1, 60)),
                STREAM_TIMEOUT_SECONDS,
            )
        except TimeoutError:
            fault = f"refused: no answer in {STREAM_TIMEOUT_SECONDS:g} s"
        soak.counts["streams whole" if fault is None else "streams refused"] += 1
        if fault and fault.startswith("wrong"):
            soak.violations.append(fault)
        if fault:
            await asyncio.sleep(0.1)


def _configuration(cluster: Cluster) -> dict[str, t.Any]:
    return {
        **group_intent(GROUPS),
        "workspaces": [{"name": "a", "key_digests": [keys.digest(CALLER_KEY)]}],
        "services": [
            {
                "name": "telemetry",
                "endpoints": [cluster.service],
                "workspaces": ["a"],
                "not_repeatable": ["POST /alarms"],
            }
        ],
    }


async def _recover(soak: DaemonSoak) -> None:
    cluster = soak.cluster
    await cluster.set_store_faults(
        down=False, delay=0.0, lose_answers=0, mute_watches=False, refuse_from=[]
    )
    for process in list(cluster.processes.values()):
        process.send(signal.SIGCONT)
    for name, process in list(cluster.processes.items()):
        if process.is_running:
            continue
        if name.startswith("daemon-"):
            await cluster.start_daemon(name)
        elif name[0] == "d":
            await cluster.start_engine(name)
    try:
        await cluster.wait_until_ready()
        await cluster.wait_for_open_groups(GROUPS)
    except LaunchError as error:
        soak.violations.append(f"not recovered: {error}")


async def run(
    directory: pathlib.Path, seed: int, minutes: float, fault_names: list[str]
) -> DaemonSoak:
    """Run one seed and return its result."""
    site = Site(daemons=4, domains=2, instances=5, token_seconds=0.01, load_seconds=0.1)
    cluster = Cluster(directory, site, control=CONTROL_SETTINGS, requests={"stall": 2.0})
    try:
        await cluster.start()
        await cluster.wait_until_ready()
        await cluster.apply(_configuration(cluster))
        await cluster.wait_for_open_groups(GROUPS)
        ends_at = asyncio.get_running_loop().time() + minutes * 60
        result = DaemonSoak(
            rng=random.Random(seed), ends_at=ends_at, fault_names=fault_names, cluster=cluster
        )
        await asyncio.gather(
            *(_inject_faults(result) for _ in range(MAX_CONCURRENT_FAULTS)),
            *(_make_calls(result, number) for number in range(CALLERS_PER_KIND)),
            *(_read_streams(result, number) for number in range(CALLERS_PER_KIND)),
        )
        await _recover(result)
        ledger = await cluster.call_standin("GET", cluster.service, "/ledger")
        result.violations += ledger_faults(result.reported_outcomes, ledger)
        result.violations += log_faults(cluster)
        result.counts["calls"] = len(result.reported_outcomes)
        result.counts["calls done"] = sum(
            answers[-1] == "yes" for answers in result.reported_outcomes.values()
        )
        return result
    finally:
        await cluster.stop()


def soak(seed: int = 1, minutes: float = 2.0, broken_fence: bool = False, only: str = "") -> None:
    """Run a seed; exit with status 1 if a promise was broken.

    :param broken_fence: whether owners of claims act without holding their leases, which must
        make the run fail; by default this injects ``freeze_a_daemon`` only.
    :param only: the only kind of fault to inject; all kinds if empty.
    """
    if broken_fence:
        os.environ[BROKEN_FENCE_VARIABLE] = "1"
        only = only or "freeze_a_daemon"
    fault_names = [only] if only else faults.names
    run_seeds(lambda directory, number: run(directory, number, minutes, fault_names), [seed])


if __name__ == "__main__":
    fire.Fire(soak)
