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
RESTORE_INTERVAL_SECONDS = (2.0, 10.0)
# that a copy is old when the store comes back to it, in seconds
BACKUP_AGE_SECONDS = (0.5, 5.0)
# for which the store is away before that, in seconds
OUTAGE_SECONDS = (0.0, 1.0)
# until the operator and the workers have written again, in seconds
REWRITE_DELAY_SECONDS = (0.0, 0.5)
# part of the restores after which the store comes back once more soon
SECOND_RESTORE_SHARE = 0.3


async def inject_restores(soak: Soak, site: SoakSite, seed: int) -> None:
    """Restore the store from time to time until the time is up."""
    rng = random.Random(f"restores {seed}")
    while not soak.is_over:
        await _pause(rng, RESTORE_INTERVAL_SECONDS)
        soak.counts["store restored"] += 1
        await _restore(site, rng)
        if rng.random() < SECOND_RESTORE_SHARE:
            await _restore(site, rng)


async def _restore(site: SoakSite, rng: random.Random) -> None:
    backup = site.store.backup()
    await _pause(rng, BACKUP_AGE_SECONDS)
    site.store.refuse = True
    await _pause(rng, OUTAGE_SECONDS)
    site.store.restore(backup)
    site.store.refuse = False
    await _pause(rng, REWRITE_DELAY_SECONDS)
    site.rewrite_entries()


async def _pause(rng: random.Random, bounds: tuple[float, float]) -> None:
    await asyncio.sleep(rng.uniform(*bounds))
