"""Which daemons read the platform's store for the others, and whom a daemon asks.

A few daemons, the relays, follow the store themselves; the others ask one of these. So the
calls to the store grow with a small part of the fleet. All daemons that know the same members
choose the same relays, and nothing has to be agreed.

Each reader of the store is answered at each change, and with hundreds of endpoints something
changes all the time. So the more daemons there are, the longer changes gather before the next call.

Owns: nothing.
Relies on: the registered daemons (:mod:`.registration`).
"""

import collections
import dataclasses
import math
import typing as t

from thorncleat_core import rendezvous

# a relay answers each of them a few times a second, which takes a core's fifth
DAEMONS_PER_RELAY = 40
# daemons for each failure domain that has a relay of its own, which costs calls to the store and
# saves bytes between failure domains
DAEMONS_PER_LOCAL_RELAY = 16
# daemons that are asked when no relay will do, where there are many daemons: if all of them went to
# the store themselves, one relay that has lost it would cost a call of each
FALLBACK_RELAYS = 2
# daemons up to which there are no fallback relays, and changes gather for the shortest time
SMALL_FLEET = 16
# for which changes gather before the next call to the store where there are more, in
# seconds: with the pause below a change is known everywhere in 0.5 s at most
GATHER_AT_STORE_SECONDS = 0.2
# likewise before the next call to a relay
GATHER_AT_RELAY_SECONDS = 0.2


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


def _by_preference(daemons: t.Iterable[Daemon]) -> tuple[list[Daemon], int]:
    """Return the daemons in the order in which they relay, and the number of relays.

    Of each failure domain those that can carry most come first, and the failure domains in turn.
    """

    def preference(daemon: Daemon) -> tuple[float, int, str]:
        return -daemon.capacity, rendezvous.score("relay", daemon.id), daemon.id

    known = sorted(daemons, key=preference)
    places: collections.Counter[str] = collections.Counter()
    turns: dict[str, int] = {}
    for daemon in known:
        turns[daemon.id] = places[daemon.failure_domain]
        places[daemon.failure_domain] += 1
    known.sort(key=lambda daemon: turns[daemon.id])
    return known, relay_count(len(known), len(places))


def relays(daemons: t.Iterable[Daemon]) -> list[Daemon]:
    """Return the relays."""
    known, count = _by_preference(daemons)
    return known[:count]


def relay_count(daemons: int, failure_domains: int) -> int:
    """Return how many relays there are."""
    local = min(failure_domains, daemons // DAEMONS_PER_LOCAL_RELAY)
    return max(math.ceil(daemons / DAEMONS_PER_RELAY), local)


def gather_seconds(shortest: float, daemons: int, *, asks_store: bool) -> float:
    """Return the seconds for which a daemon lets changes gather before its next call.

    :param shortest: where there are few daemons.
    :param asks_store: whether that call goes to the store, and not to a relay.
    """
    if daemons <= SMALL_FLEET:
        return shortest
    return max(shortest, GATHER_AT_STORE_SECONDS if asks_store else GATHER_AT_RELAY_SECONDS)


def sources(
    daemons: t.Iterable[Daemon], own: Daemon, *, controls: bool = False
) -> tuple[Daemon, ...]:
    """Return whom a daemon asks, the preferred one first; none if it asks the store.

    The controller and the relays ask the store. The others prefer relays of their own failure
    domain, and spread over them. After all relays come the fallback relays: each asks only those
    before it, so if no relay will do, the first of them goes to the store and the others to it.

    :param controls: whether the daemon is the controller.
    """
    if controls:
        return ()
    known, count = _by_preference(daemons)
    chosen = known[: count + FALLBACK_RELAYS] if len(known) > SMALL_FLEET else known[:count]
    place = next((at for at, daemon in enumerate(chosen) if daemon.id == own.id), len(chosen))
    if place < count:
        return ()
    return (*nearest(chosen[:count], own), *chosen[count:place])


def nearest(asked: t.Iterable[Daemon], own: Daemon) -> tuple[Daemon, ...]:
    """Return relays in the order in which a daemon asks them.

    Those of its failure domain come first; among them the order differs from daemon to daemon.
    """
    by_id = {daemon.id: daemon for daemon in asked}
    ranked = [by_id[name] for name in rendezvous.rank(own.id, by_id)]
    return tuple(sorted(ranked, key=lambda daemon: daemon.failure_domain != own.failure_domain))
