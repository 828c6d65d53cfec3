"""Restores of the gateway soak's store from backups that are some seconds old.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: the backup.
Relies on: the site to rewrite the entries of its operator and its workers.
"""

import asyncio
import random

from .gateway_site import SoakSite
from .harness import Soak

# Bounds of the interval between two restores.
RESTORE_INTERVAL_SECONDS = (2.0, 10.0)
# Bounds of the age of the backup when the outage begins.
BACKUP_AGE_SECONDS = (0.5, 5.0)
# Bounds of the outage before the restore.
OUTAGE_SECONDS = (0.0, 1.0)
# Bounds of the delay until the operator and the workers rewrite their entries.
REWRITE_DELAY_SECONDS = (0.0, 0.5)
# Share of the restores that are followed by another one at once.
SECOND_RESTORE_SHARE = 0.3


async def inject_restores(soak: Soak, site: SoakSite, seed: int) -> None:
    """Restore the store repeatedly until the end of the run."""
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
