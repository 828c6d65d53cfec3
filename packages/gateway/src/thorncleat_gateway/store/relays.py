"""Which daemons read the platform's store for the others, and whom a daemon asks.

A few daemons, the relays, follow the store themselves; the others ask one of these. So the
calls to the store grow with a small part of the fleet. All daemons that know the same members
choose the same relays, and nothing has to be agreed.

Owns: nothing.
Relies on: the registered daemons (:mod:`.registration`).
"""

import dataclasses
import math
import typing as t

from thorncleat_core import rendezvous

# a relay answers each of them a few times a second; chosen, not measured: b8a6914 measured a
# form with relays in each failure domain
DAEMONS_PER_RELAY = 16


@dataclasses.dataclass(frozen=True)
class Daemon:
    """What a daemon's record says of it.

    :param capacity: what it can carry; only compared with that of others.
    """

    id: str
    host: str
    port: int
    failure_domain: str = ""
    capacity: float = 1.0


def relays(daemons: t.Iterable[Daemon]) -> list[Daemon]:
    """Return the relays, those that can carry most first."""

    def preference(daemon: Daemon) -> tuple[float, int, str]:
        return -daemon.capacity, rendezvous.score("relay", daemon.id), daemon.id

    known = sorted(daemons, key=preference)
    return known[: math.ceil(len(known) / DAEMONS_PER_RELAY)]


def sources(
    daemons: t.Iterable[Daemon], own: Daemon, *, controls: bool = False
) -> tuple[Daemon, ...]:
    """Return the relays that a daemon asks, the preferred one first; none if it asks the store.

    The controller and the relays ask the store. The others prefer relays of their own failure
    domain, and spread over them.

    :param controls: whether the daemon is the controller.
    """
    if controls:
        return ()
    chosen = {relay.id: relay for relay in relays(daemons)}
    if own.id in chosen:
        return ()
    ranked = [chosen[name] for name in rendezvous.ranked(own.id, chosen)]
    return tuple(sorted(ranked, key=lambda relay: relay.failure_domain != own.failure_domain))
