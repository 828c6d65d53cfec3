"""Which daemons read the platform's store for the others.

A few daemons, the relays, follow the store themselves; the others ask one of these. So the
calls to the store grow with a small part of the fleet. All daemons that know the same members
choose the same relays, and nothing has to be agreed.
"""

import dataclasses
import math
import typing as t

from thorncleat_core import rendezvous

# a relay answers each of them a few times a second
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

    def preference(one: Daemon) -> tuple[float, int, str]:
        return -one.capacity, rendezvous.score("relay", one.id), one.id

    known = sorted(daemons, key=preference)
    return known[: math.ceil(len(known) / DAEMONS_PER_RELAY)]


def sources(daemons: t.Iterable[Daemon], own: Daemon) -> list[Daemon]:
    """Return the relays that a daemon asks, the preferred one first.

    A relay asks none. The others prefer their own failure domain's, and spread over them.
    """
    chosen = {one.id: one for one in relays(daemons)}
    if own.id in chosen:
        return []
    ranked = [chosen[name] for name in rendezvous.ranked(own.id, chosen)]
    return sorted(ranked, key=lambda one: one.failure_domain != own.failure_domain)
