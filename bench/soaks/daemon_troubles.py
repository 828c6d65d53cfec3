"""Faults that the daemon's soak injects at random.

Owns: nothing; faults with a duration undo their effect.
Relies on: :class:`thorncleat_standins.cluster.Cluster` to control processes, and the stand-ins'
HTTP interfaces for faults.
"""

import dataclasses
import signal
import typing as t

from thorncleat_core.daemon import keys
from thorncleat_core.daemon.registry import Registry
from thorncleat_standins.cluster import Cluster

from .harness import Soak

FaultInjector = t.Callable[["DaemonSoak"], t.Awaitable[None]]
faults: Registry[FaultInjector] = Registry("trouble")


@dataclasses.dataclass(kw_only=True)
class DaemonSoak(Soak):
    """The state of one seed of the daemon's soak.

    :param reported_outcomes: outcomes reported to the caller of each call, in order.
    """

    cluster: Cluster
    reported_outcomes: dict[str, list[str]] = dataclasses.field(default_factory=dict)

    def pick_process(self, prefix: str) -> str:
        """Return the name of a random process whose name begins with a prefix."""
        names = sorted(name for name in self.cluster.processes if name.startswith(prefix))
        return self.rng.choice(names)


@faults.register("kill_a_daemon")
async def kill_a_daemon(soak: DaemonSoak) -> None:
    """Kill a daemon and start it again after a pause."""
    name = soak.pick_process("daemon-")
    await soak.cluster.processes[name].stop(signal.SIGKILL)
    await soak.pause(0, 4)
    await soak.cluster.start_daemon(name)


@faults.register("freeze_a_daemon")
async def freeze_a_daemon(soak: DaemonSoak) -> None:
    """Freeze a daemon, often for longer than its lease and its callers' timeouts."""
    process = soak.cluster.processes[soak.pick_process("daemon-")]
    process.send(signal.SIGSTOP)
    await soak.pause(0.5, 9)
    process.send(signal.SIGCONT)


@faults.register("stop_a_daemon")
async def stop_a_daemon(soak: DaemonSoak) -> None:
    """Stop a daemon gracefully and start it again."""
    name = soak.pick_process("daemon-")
    await soak.cluster.processes[name].stop()
    await soak.cluster.start_daemon(name)


@faults.register("kill_an_engine")
async def kill_an_engine(soak: DaemonSoak) -> None:
    """Kill an engine and start it again after a pause."""
    name = soak.pick_process("d0-" if soak.rng.random() < 0.5 else "d1-")
    await soak.cluster.processes[name].stop(signal.SIGKILL)
    await soak.pause(0, 4)
    await soak.cluster.start_engine(name)


@faults.register("freeze_an_engine")
async def freeze_an_engine(soak: DaemonSoak) -> None:
    """Freeze an engine for a while."""
    process = soak.cluster.processes[soak.pick_process("d0-" if soak.rng.random() < 0.5 else "d1-")]
    process.send(signal.SIGSTOP)
    await soak.pause(0.2, 4)
    process.send(signal.SIGCONT)


@faults.register("store_away")
async def store_away(soak: DaemonSoak) -> None:
    """Make the store refuse all calls for a while."""
    await soak.cluster.set_store_faults(down=True)
    await soak.pause(0.5, 6)
    await soak.cluster.set_store_faults(down=False)


@faults.register("store_slow")
async def store_slow(soak: DaemonSoak) -> None:
    """Delay the store's answers for a while."""
    await soak.cluster.set_store_faults(delay=soak.rng.uniform(0.1, 1.5))
    await soak.pause(1, 4)
    await soak.cluster.set_store_faults(delay=0.0)


@faults.register("store_loses_answers")
async def store_loses_answers(soak: DaemonSoak) -> None:
    """Make the store lose the answers to some writes that it executes."""
    await soak.cluster.set_store_faults(lose_answers=soak.rng.randint(1, 3))


@faults.register("store_cut_from_a_daemon")
async def store_cut_from_a_daemon(soak: DaemonSoak) -> None:
    """Make the store refuse the calls of one daemon for a while."""
    await soak.cluster.set_store_faults(refuse_from=[soak.pick_process("daemon-")])
    await soak.pause(1, 6)
    await soak.cluster.set_store_faults(refuse_from=[])


@faults.register("watches_mute")
async def watches_mute(soak: DaemonSoak) -> None:
    """Make the store's watches stay open without delivering changes for a while."""
    await soak.cluster.set_store_faults(mute_watches=True)
    await soak.pause(1, 4)
    await soak.cluster.set_store_faults(mute_watches=False)


@faults.register("service_breaks")
async def service_breaks(soak: DaemonSoak) -> None:
    """Make the plain service break some calls, before or after their execution."""
    break_counts = {soak.rng.choice(["break_before", "break_after"]): soak.rng.randint(1, 4)}
    await soak.cluster.call_standin("POST", soak.cluster.service, "/behaviour", **break_counts)


@faults.register("change_configuration")
async def change_configuration(soak: DaemonSoak) -> None:
    """Add a workspace through a random daemon."""
    number = soak.rng.randint(0, 10**9)
    workspace = {"name": f"w{number}", "key_digests": [keys.digest(str(number))]}
    await soak.cluster.apply({"workspaces": [workspace]}, soak.pick_process("daemon-"))
