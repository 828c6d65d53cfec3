"""Callers of the gateway's soak whose bodies end late in a planned stop.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: these requests, and the check of their answers.
Relies on: the watched stops of :mod:`.gateway_troubles`, which are free of other faults of it.
"""

import asyncio
import random
import typing as t

import aiohttp

from .gateway_callers import Caller
from .gateway_checks import Exchange
from .gateway_checks import RequestKind
from .gateway_daemons import Daemon
from .gateway_troubles import GatewaySoak
from .gateway_troubles import is_endless
from .gateway_troubles import is_out_of_time

REQUESTS_PER_STOP = 12
# Bounds of the times of the head and of the end of the body, from the order to stop.
HEAD_SECONDS = (0.0, 2.4)
END_SECONDS = (3.0, 5.2)
POLL_INTERVAL_SECONDS = 0.05


class LateCaller(Caller):
    """A caller whose body ends at a given time.

    :ivar ends_at: when it sends the rest of the body, on the loop's clock in seconds.
    """

    ends_at = 0.0

    def body_of(self, exchange: Exchange) -> t.AsyncIterator[bytes]:
        """Return the pieces of the body of a request."""
        return self._pieces(exchange.request_body)

    async def _pieces(self, body: bytes) -> t.AsyncIterator[bytes]:
        yield body[:1]
        await asyncio.sleep(max(0.0, self.ends_at - asyncio.get_running_loop().time()))
        yield body[1:]


async def send_late_bodies(soak: GatewaySoak, seed: int) -> None:
    """Send requests with late bodies to each daemon in a watched stop, until the end of the run."""
    rng = random.Random(f"late bodies {seed}")
    last: Daemon | None = None
    while not soak.is_over:
        daemon = soak.watched
        if daemon is not None and daemon is not last:
            number = soak.counts["stops with late bodies"]
            soak.counts["stops with late bodies"] += 1
            names = [f"late-{number}-{count}" for count in range(REQUESTS_PER_STOP)]
            await asyncio.gather(*(_send_late(soak, daemon, rng, name) for name in names))
        last = soak.watched
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _send_late(soak: GatewaySoak, daemon: Daemon, rng: random.Random, name: str) -> None:
    ordered_at = asyncio.get_running_loop().time()
    caller = LateCaller(soak.site, name, rng)
    head_after, kind = rng.uniform(*HEAD_SECONDS), rng.choice(list(RequestKind))
    caller.ends_at = ordered_at + rng.uniform(*END_SECONDS)
    await asyncio.sleep(head_after)
    async with aiohttp.ClientSession(auto_decompress=False) as client:
        exchange = await caller.call(client, daemon, kind, soak.site.valid_keys[0])
    _check(soak, exchange)


def _check(soak: GatewaySoak, exchange: Exchange) -> None:
    """Check that a request was answered; one that was never passed on may be cut at the stop."""
    soak.counts[f"late bodies {exchange.status or 'cut'}"] += 1
    runs = soak.site.checks.runs(exchange.id)
    if exchange.is_complete or is_out_of_time(exchange) or not runs:
        return
    if not is_endless(runs, soak.site.workers):
        soak.violations.append(
            f"LOST {exchange.id}, whose body ended late, was cut by a planned stop: status "
            f"{exchange.status}, {exchange.ended_at - exchange.sent_at:.3f} s, {len(runs)} runs"
        )
