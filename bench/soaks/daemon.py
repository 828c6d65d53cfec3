"""A long randomised run of real processes, which ends with a verdict: ``bin/soak``.

Daemons, engines and the store are killed, frozen and slowed at random while callers stream
and make calls that may run once, and operators change the configuration. Whatever happens,
no answer may be wrong, no call may run twice, nothing said not to have run may have run, no
daemon may see an invariant broken, and in the end every group serves again.
"""

import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import tempfile
import typing as t

import fire

from thorncleat_core.daemon import keys
from thorncleat_standins.launch import Cluster
from thorncleat_standins.launch import LaunchError
from thorncleat_standins.launch import Site
from thorncleat_standins.traffic import RepeatingCaller
from thorncleat_standins.traffic import ledger_faults
from thorncleat_standins.traffic import log_faults
from thorncleat_standins.traffic import stream_fault

from ..capacity import group_intent

KEY = "soak-key"
BROKEN_FENCE = "THORNCLEAT_TEST_BROKEN_FENCE"
CONTROL = {
    "probe": 0.2,
    "window": 1.2,
    "permit": 1.2,
    "lease": 3.0,
    "lease_margin": 0.5,
    "repair_after": 0.8,
    "member_probe": 0.3,
}
GROUPS = 2
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

    cluster: Cluster
    draw: random.Random
    end: float
    kinds: list[str]
    told: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @property
    def over(self) -> bool:
        """Whether the time is up."""
        return asyncio.get_running_loop().time() >= self.end

    def pick(self, prefix: str) -> str:
        """Return a process whose name begins so."""
        names = sorted(name for name in self.cluster.processes if name.startswith(prefix))
        return self.draw.choice(names)


@_trouble
async def _kill_a_daemon(soak: Soak) -> None:
    name = soak.pick("daemon-")
    await soak.cluster.processes[name].stop(signal.SIGKILL)
    await asyncio.sleep(soak.draw.uniform(0, 4))
    await soak.cluster.start_daemon(name)


@_trouble
async def _freeze_a_daemon(soak: Soak) -> None:
    process = soak.cluster.processes[soak.pick("daemon-")]
    process.send(signal.SIGSTOP)
    # often for longer than its lease, and than its callers' patience
    await asyncio.sleep(soak.draw.uniform(0.5, 9))
    process.send(signal.SIGCONT)


@_trouble
async def _stop_a_daemon(soak: Soak) -> None:
    name = soak.pick("daemon-")
    await soak.cluster.processes[name].stop()
    await soak.cluster.start_daemon(name)


@_trouble
async def _kill_an_engine(soak: Soak) -> None:
    name = soak.pick("d0-" if soak.draw.random() < 0.5 else "d1-")
    await soak.cluster.processes[name].stop(signal.SIGKILL)
    await asyncio.sleep(soak.draw.uniform(0, 4))
    domain = name[1]
    await soak.cluster.start_engine(name, f"fabric-{domain}", f"fd-{domain}")


@_trouble
async def _freeze_an_engine(soak: Soak) -> None:
    process = soak.cluster.processes[soak.pick("d0-" if soak.draw.random() < 0.5 else "d1-")]
    process.send(signal.SIGSTOP)
    await asyncio.sleep(soak.draw.uniform(0.2, 4))
    process.send(signal.SIGCONT)


@_trouble
async def _store_away(soak: Soak) -> None:
    await soak.cluster.store_faults(down=True)
    await asyncio.sleep(soak.draw.uniform(0.5, 6))
    await soak.cluster.store_faults(down=False)


@_trouble
async def _store_slow(soak: Soak) -> None:
    await soak.cluster.store_faults(delay=soak.draw.uniform(0.1, 1.5))
    await asyncio.sleep(soak.draw.uniform(1, 4))
    await soak.cluster.store_faults(delay=0.0)


@_trouble
async def _store_loses_answers(soak: Soak) -> None:
    await soak.cluster.store_faults(lose_answers=soak.draw.randint(1, 3))


@_trouble
async def _store_cut_from_a_daemon(soak: Soak) -> None:
    await soak.cluster.store_faults(refuse_from=[soak.pick("daemon-")])
    await asyncio.sleep(soak.draw.uniform(1, 6))
    await soak.cluster.store_faults(refuse_from=[])


@_trouble
async def _watches_mute(soak: Soak) -> None:
    await soak.cluster.store_faults(mute_watches=True)
    await asyncio.sleep(soak.draw.uniform(1, 4))
    await soak.cluster.store_faults(mute_watches=False)


@_trouble
async def _service_breaks(soak: Soak) -> None:
    faults = {soak.draw.choice(["break_before", "break_after"]): soak.draw.randint(1, 4)}
    await soak.cluster.control_call("POST", soak.cluster.service, "/behaviour", **faults)


@_trouble
async def _change_configuration(soak: Soak) -> None:
    number = soak.draw.randint(0, 10**9)
    workspace = {"name": f"w{number}", "key_digests": [keys.digest(str(number))]}
    await soak.cluster.apply({"workspaces": [workspace]}, soak.pick("daemon-"))


async def _make_trouble(soak: Soak) -> None:
    while not soak.over:
        name = soak.draw.choice(soak.kinds)
        soak.counts[f"trouble {name}"] += 1
        try:
            await asyncio.wait_for(troubles[name](soak), 30)
        except (LaunchError, OSError, TimeoutError) as error:
            # a change refused while the store is away, say
            soak.counts[f"trouble failed {type(error).__name__}"] += 1
        except Exception as error:
            soak.counts[f"trouble failed {type(error).__name__}"] += 1
        await asyncio.sleep(soak.draw.uniform(0.1, 1.5))


async def _call(soak: Soak, number: int) -> None:
    caller = RepeatingCaller(soak.cluster, KEY, random.Random(soak.draw.random()))
    index = 0
    while not soak.over:
        index += 1
        await caller.call(f"call-{number}-{index}")
    soak.told.update(caller.told)


async def _stream(soak: Soak, number: int) -> None:
    draw = random.Random(soak.draw.random())
    index = 0
    while not soak.over:
        index += 1
        text = f"turbine {number} {index}"
        daemon = draw.choice(soak.cluster.daemons)
        try:
            fault = await asyncio.wait_for(
                stream_fault(soak.cluster, KEY, daemon, text, draw.randint(1, 60)), 20
            )
        except TimeoutError:
            fault = "refused: no answer in 20 s"
        soak.counts["streams whole" if fault is None else "streams refused"] += 1
        if fault and fault.startswith("wrong"):
            soak.faults.append(fault)
        if fault:
            await asyncio.sleep(0.1)


def _intent(cluster: Cluster) -> dict[str, t.Any]:
    return {
        **group_intent(GROUPS),
        "workspaces": [{"name": "a", "key_digests": [keys.digest(KEY)]}],
        "services": [
            {
                "name": "telemetry",
                "endpoints": [cluster.service],
                "workspaces": ["a"],
                "not_repeatable": ["POST /alarms"],
            }
        ],
    }


async def _heal(soak: Soak) -> None:
    cluster = soak.cluster
    await cluster.store_faults(
        down=False, delay=0.0, lose_answers=0, mute_watches=False, refuse_from=[]
    )
    for process in list(cluster.processes.values()):
        process.send(signal.SIGCONT)
    for name, process in list(cluster.processes.items()):
        if process.process.returncode is None:
            continue
        if name.startswith("daemon-"):
            await cluster.start_daemon(name)
        elif name[0] == "d":
            await cluster.start_engine(name, f"fabric-{name[1]}", f"fd-{name[1]}")
    try:
        await cluster.wait_loaded()
        await cluster.wait_open(GROUPS)
    except LaunchError as error:
        soak.faults.append(f"not whole again: {error}")


async def _run(directory: pathlib.Path, seed: int, minutes: float, kinds: list[str]) -> Soak:
    site = Site(daemons=4, domains=2, instances=5, token_seconds=0.01, load_seconds=0.1)
    cluster = Cluster(directory, site, control=CONTROL, requests={"stall": 2.0})
    try:
        await cluster.start()
        await cluster.wait_loaded()
        await cluster.apply(_intent(cluster))
        await cluster.wait_open(GROUPS)
        end = asyncio.get_running_loop().time() + minutes * 60
        soak = Soak(cluster, random.Random(seed), end, kinds)
        await asyncio.gather(
            # two at once
            _make_trouble(soak),
            _make_trouble(soak),
            *(_call(soak, number) for number in range(12)),
            *(_stream(soak, number) for number in range(12)),
        )
        await _heal(soak)
        ledger = await cluster.control_call("GET", cluster.service, "/ledger")
        soak.faults += ledger_faults(soak.told, ledger)
        soak.faults += log_faults(cluster)
        soak.counts["calls"] = len(soak.told)
        soak.counts["calls done"] = sum(one[-1] == "yes" for one in soak.told.values())
        return soak
    finally:
        await cluster.stop()


def soak(seed: int = 1, minutes: float = 2.0, broken_fence: bool = False, only: str = "") -> None:
    """Run, and exit with 1 if anything that must hold did not.

    :param broken_fence: let the owners of claims act without their leases, to see the run
        fail; what a missing fence can't stand is holders that come back after their lease.
    :param only: make this kind of trouble alone.
    """
    if broken_fence:
        os.environ[BROKEN_FENCE] = "1"
        only = only or "freeze_a_daemon"
    kinds = [only] if only else sorted(troubles)
    with tempfile.TemporaryDirectory(prefix="thorncleat-soak-") as name:
        run = asyncio.run(_run(pathlib.Path(name), seed, minutes, kinds))
    for what, count in sorted(run.counts.items()):
        print(f"{what}: {count}")
    for fault in run.faults[:20]:
        print(f"FAULT {fault}")
    print(f"verdict, seed {seed}: {'FAILED' if run.faults else 'passed'}, {len(run.faults)} faults")
    raise SystemExit(1 if run.faults else 0)


if __name__ == "__main__":
    fire.Fire(soak)
