"""The store of the gateway's soak comes back from a copy some seconds old, again and again.

It is a trouble of its own, beside those that :mod:`.gateway_troubles` draws: a further one there
would change what each kept seed draws.

Owns: the copy that the store comes back to.
Relies on: the site writing again what its operator and its workers had written.
"""

import asyncio
import random

from .gateway_site import SoakSite
from .harness import Soak

# between two restores, in seconds
CALM_SECONDS = (2.0, 10.0)
# that a copy is old when the store comes back to it, in seconds
LOST_SECONDS = (0.5, 5.0)
# for which the store is away before that, in seconds
AWAY_SECONDS = (0.0, 1.0)
# until the operator and the workers have written again, in seconds
REWRITE_SECONDS = (0.0, 0.5)
# part of the restores after which the store comes back once more soon
TWICE = 0.3


async def play(soak: Soak, site: SoakSite, seed: int) -> None:
    """Restore the store from time to time until the time is up."""
    draw = random.Random(f"restores {seed}")
    while not soak.over:
        await _pause(draw, CALM_SECONDS)
        soak.counts["store restored"] += 1
        await _restore(site, draw)
        if draw.random() < TWICE:
            await _restore(site, draw)


async def _restore(site: SoakSite, draw: random.Random) -> None:
    copy = site.store.backup()
    await _pause(draw, LOST_SECONDS)
    site.store.refuse = True
    await _pause(draw, AWAY_SECONDS)
    site.store.restore(copy)
    site.store.refuse = False
    await _pause(draw, REWRITE_SECONDS)
    site.write_again()


async def _pause(draw: random.Random, bounds: tuple[float, float]) -> None:
    await asyncio.sleep(draw.uniform(*bounds))
