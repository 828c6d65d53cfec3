"""Which daemons read the platform's store for the others, and whom a daemon asks.

A few daemons, the relays, follow the store themselves; the others ask one of these. So the
calls to the store grow with a small part of the fleet. All daemons that know the same members
choose the same relays, and nothing has to be agreed.

Owns: nothing.
Relies on: the registered daemons (:mod:`.registration`).
"""

import dataclasses
import enum
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


class SourceReason(enum.Enum):
    """Why a daemon asks relays, or the store."""

    CONTROLLER = "the controller reads the store itself"
    IS_RELAY = "a relay reads the store itself"
    NO_DAEMONS = "no daemon is registered that could relay"
    ASKS_RELAYS = "the relays read the store for this daemon"


@dataclasses.dataclass(frozen=True)
class Sources:
    """Whom a daemon asks.

    :param relays: the preferred one first; none to ask the store.
    """

    relays: tuple[Daemon, ...]
    reason: SourceReason


def relays(daemons: t.Iterable[Daemon]) -> list[Daemon]:
    """Return the relays, those that can carry most first."""

    def preference(daemon: Daemon) -> tuple[float, int, str]:
        return -daemon.capacity, rendezvous.score("relay", daemon.id), daemon.id

    known = sorted(daemons, key=preference)
    return known[: math.ceil(len(known) / DAEMONS_PER_RELAY)]


def sources(daemons: t.Iterable[Daemon], own: Daemon, *, controls: bool = False) -> Sources:
    """Return whom a daemon asks.

    Daemons that ask a relay prefer those of their own failure domain, and spread over them.

    :param controls: whether the daemon is the controller.
    """
    if controls:
        return Sources((), SourceReason.CONTROLLER)
    chosen = {relay.id: relay for relay in relays(daemons)}
    if own.id in chosen:
        return Sources((), SourceReason.IS_RELAY)
    ranked = [chosen[name] for name in rendezvous.ranked(own.id, chosen)]
    ranked.sort(key=lambda relay: relay.failure_domain != own.failure_domain)
    reason = SourceReason.ASKS_RELAYS if ranked else SourceReason.NO_DAEMONS
    return Sources(tuple(ranked), reason)
