"""Replacing the build of the soak's daemons under load, one after the other, and back.

Owns: which build each daemon runs.
Relies on: a checkout of the older build, whose program takes the same settings.
"""

import asyncio
import pathlib
import random
import signal

from .gateway_daemons import PROGRAM
from .gateway_daemons import Daemon
from .gateway_site import SoakSite
from .gateway_troubles import GatewaySoak

# of a checkout
PROGRAM_IN_CHECKOUT = "platform/run.py"


def program_of(checkout: str) -> pathlib.Path:
    """Return the program of a checkout; that of this one if it isn't named."""
    return pathlib.Path(checkout).resolve() / PROGRAM_IN_CHECKOUT if checkout else PROGRAM


async def replace_builds(soak: GatewaySoak, seed: int, older: pathlib.Path) -> None:
    """Replace each daemon's build, then some again, this way and back; all are new at the end."""
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
    """Stop a daemon as planned, and start it with another build."""
    daemon.program = program
    await daemon.end(signal.SIGTERM)
    await site.start_daemon(daemon)
