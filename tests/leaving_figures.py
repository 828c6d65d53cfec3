"""Prints how long daemons use an endpoint that has left, by situation and size of the fleet.

Run with ``python -m tests.leaving_figures [--daemons=8,24]``; the seconds are virtual time.
"""

import asyncio
import logging
import typing as t

import fire

from . import virtual_time
from .fleet_world import REWRITE_SECONDS
from .fleet_world import FleetDaemon
from .fleet_world import FleetWorld

LEAVING = "w000"
# How long the daemons are observed.
WATCHED_SECONDS = 8.0
# Seconds between the fault and the leaving.
PAUSES = (0.0, 0.3, 0.7, 1.1, 1.6, 2.2, 3.0)
OUTAGE_SECONDS = 4.0

Situation = t.Callable[[FleetWorld], t.Awaitable[None]]
SITUATIONS: dict[str, Situation] = {}


def situation(name: str) -> t.Callable[[Situation], Situation]:
    def register(function: Situation) -> Situation:
        SITUATIONS[name] = function
        return function

    return register


@situation("calm")
async def calm(world: FleetWorld) -> None:
    """No fault."""


@situation("all start")
async def all_start(world: FleetWorld) -> None:
    await world.restart_all(longest=2.0)


@situation("store away, entries run out")
async def outage(world: FleetWorld) -> None:
    world.store.down = True
    await world.pass_time(OUTAGE_SECONDS)
    world.store.down = False
    for endpoint_id in world.endpoints:
        world.expire_entry(endpoint_id)
    await world.pass_time(REWRITE_SECONDS)
    world.rewrite_entries()


@situation("store restored at once")
async def restored_at_once(world: FleetWorld) -> None:
    await world.restore(0.02)


@situation("store restored after 1 s")
async def restored(world: FleetWorld) -> None:
    await world.restore(1.0)


@situation("store restored while all start")
async def restored_while_all_start(world: FleetWorld) -> None:
    starts = await world.restart_all(longest=2.0)
    await world.restore(0.3)
    await asyncio.gather(*starts)


def _relays(world: FleetWorld) -> list[FleetDaemon]:
    return [daemon for daemon in world.daemons if not daemon.sources]


@situation("relays silent")
async def relays_silent(world: FleetWorld) -> None:
    for daemon in _relays(world):
        daemon.silent = True


@situation("relays dead")
async def relays_dead(world: FleetWorld) -> None:
    await asyncio.gather(*(daemon.kill() for daemon in _relays(world)))


@situation("relays without the store")
async def relays_cut(world: FleetWorld) -> None:
    for daemon in _relays(world):
        daemon.cut = True


async def seconds_in_use(daemons: int, name: str, pause: float) -> list[float]:
    """Return how long each daemon that reaches the store uses an endpoint after it has left."""
    world = FleetWorld(daemons)
    await world.start()
    await SITUATIONS[name](world)
    await world.pass_time(pause)
    world.leave(LEAVING)
    used = await world.seconds_in_use(LEAVING, WATCHED_SECONDS)
    await world.stop()
    return used


def show(daemons: t.Sequence[int] = (8, 24, 79, 195)) -> None:
    """Print the median, the 90th percentile and the maximum of all daemons, over all pauses."""
    logging.disable(logging.CRITICAL)
    for name in SITUATIONS:
        for count in daemons:
            samples = [virtual_time.run(seconds_in_use(count, name, pause)) for pause in PAUSES]
            used = sorted(seconds for sample in samples for seconds in sample)
            median, ninetieth = used[len(used) // 2], used[len(used) * 9 // 10]
            print(
                f"| {name} | {count} | {median:.2f} | {ninetieth:.2f} | {used[-1]:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(show)
