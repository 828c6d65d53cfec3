"""Upgrades and downgrades of the gateway soak's daemons under load.

Owns: the build of each daemon.
Relies on: a checkout of an older build that accepts the same settings.
"""

import asyncio
import pathlib
import random
import signal

from .gateway_daemons import PROGRAM
from .gateway_daemons import Daemon
from .gateway_site import SoakSite
from .gateway_troubles import GatewaySoak

PROGRAM_IN_CHECKOUT = "platform/run.py"


def program_of(checkout: str) -> pathlib.Path:
    """Return the path of a checkout's program; of this checkout's if the name is empty."""
    return pathlib.Path(checkout).resolve() / PROGRAM_IN_CHECKOUT if checkout else PROGRAM


async def replace_builds(soak: GatewaySoak, seed: int, older: pathlib.Path) -> None:
    """Upgrade all daemons, then downgrade and upgrade random ones; all end upgraded.

    :param older: program of the older build.
    """
    rng = random.Random(f"upgrade {seed}")
    for daemon in soak.site.daemons:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        await _replace(soak.site, daemon, PROGRAM)
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        daemon = rng.choice(soak.site.daemons)
        soak.counts["builds replaced"] += 1
        await _replace(soak.site, daemon, older if daemon.program == PROGRAM else PROGRAM)
    for daemon in soak.site.daemons:
        if daemon.program != PROGRAM:
            await _replace(soak.site, daemon, PROGRAM)


async def _replace(site: SoakSite, daemon: Daemon, program: pathlib.Path) -> None:
    """Stop a daemon gracefully and start it with another build."""
    daemon.program = program
    await daemon.end(signal.SIGTERM)
    await site.start_daemon(daemon)
