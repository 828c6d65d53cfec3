"""Faults of the gateway's soak: another writer leaves odd entries among those of the workers.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: the odd entries, which are deleted at the end of the run.
Relies on: nothing listening at their addresses.
"""

import asyncio
import random

from .gateway_site import ENTRY_PREFIX
from .gateway_troubles import GatewaySoak

# Entries at once.
MAX_ENTRIES = 4
ADDRESSES = (
    f"{'a' * 64}.example:8080",
    "...:8080",
    "[::1:8080",
    ":8080",
    "a b:8080",
    "a\nb:8080",
    "a/b@c:8080",
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:",
    "",
)


async def inject_odd_entries(soak: GatewaySoak, seed: int) -> None:
    """Write and delete odd entries until the end of the run."""
    rng = random.Random(f"odd entries {seed}")
    store = soak.site.store
    keys = [f"{ENTRY_PREFIX}odd-{number}" for number in range(MAX_ENTRIES)]
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        key, address, stays = rng.choice(keys), rng.choice(ADDRESSES), rng.random() < 0.8
        if not stays:
            store.delete(key)
            continue
        soak.counts["trouble odd entry"] += 1
        store.write(key, _entry(address))
    for key in keys:
        store.delete(key)


def _entry(address: str) -> dict[str, object]:
    """Return the entry of a worker of the plain service, sound but for its address."""
    return {
        "service": "desk",
        "address": address,
        "zone": "z0",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 0,
        "phase": "unified",
        "models": [],
        "staged": [],
        "domain": "",
    }
