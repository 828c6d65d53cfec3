"""The choice of relays: daemons that follow the platform's store on behalf of the others.

Relays keep the number of calls to the store small. All daemons with the same list of daemons
choose the same relays without any agreement. In larger fleets changes are coalesced for longer.

Owns: nothing.
Relies on: the registered daemons (:mod:`.registration`).
"""

import collections
import dataclasses
import math
import typing as t

from thorncleat_core import rendezvous

# A relay answers each of these a few times a second, which takes a fifth of a core.
DAEMONS_PER_RELAY = 40
# A relay per failure domain reduces traffic between domains, but costs calls to the store.
DAEMONS_PER_LOCAL_RELAY = 16
# How many further daemons are asked when no relay answers; otherwise all daemons of a failed relay
# would call the store at once.
FALLBACK_RELAYS = 2
# Up to this number of daemons there are no fallback relays, and the shortest coalescing applies.
SMALL_FLEET = 16
# In larger fleets changes are coalesced for this long before the next call; with both delays a
# change is known everywhere within 0.5 s.
STORE_COALESCING_SECONDS = 0.2
RELAY_COALESCING_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class Daemon:
    """A registered daemon as its record describes it.

    :param capacity: weight relative to the other daemons.
    """

    id: str
    host: str
    port: int
    failure_domain: str = ""
    capacity: float = 1.0


def _by_preference(daemons: t.Iterable[Daemon]) -> tuple[list[Daemon], int]:
    """Return the daemons in the order in which they become relays, and the number of relays.

    The failure domains take turns, each with its daemon of the highest capacity first.
    """

    def preference(daemon: Daemon) -> tuple[float, int, str]:
        return -daemon.capacity, rendezvous.score("relay", daemon.id), daemon.id

    ordered = sorted(daemons, key=preference)
    domain_sizes: collections.Counter[str] = collections.Counter()
    turns: dict[str, int] = {}
    for daemon in ordered:
        turns[daemon.id] = domain_sizes[daemon.failure_domain]
        domain_sizes[daemon.failure_domain] += 1
    ordered.sort(key=lambda daemon: turns[daemon.id])
    return ordered, relay_count(len(ordered), len(domain_sizes))


def relays(daemons: t.Iterable[Daemon]) -> list[Daemon]:
    """Return the relays of a fleet."""
    ordered, count = _by_preference(daemons)
    return ordered[:count]


def relay_count(daemons: int, failure_domains: int) -> int:
    """Return how many relays a fleet has."""
    local = min(failure_domains, daemons // DAEMONS_PER_LOCAL_RELAY)
    return max(math.ceil(daemons / DAEMONS_PER_RELAY), local)


def coalescing_seconds(shortest: float, daemons: int, *, asks_store: bool) -> float:
    """Return the seconds for which a daemon coalesces changes before its next call.

    :param shortest: seconds in a small fleet.
    :param asks_store: whether the call goes to the store, and not to a relay.
    """
    if daemons <= SMALL_FLEET:
        return shortest
    return max(shortest, STORE_COALESCING_SECONDS if asks_store else RELAY_COALESCING_SECONDS)


def sources(
    daemons: t.Iterable[Daemon], own: Daemon, *, is_controller: bool = False
) -> tuple[Daemon, ...]:
    """Return the daemons that a daemon asks, the preferred one first; none if it asks the store.

    The controller and the relays ask the store. Other daemons ask the relays, those of their own
    failure domain first, and then the fallback relays. Each fallback relay asks only those before
    it, so the first one asks the store if no relay answers.

    :param is_controller: whether the daemon is the controller.
    """
    if is_controller:
        return ()
    ordered, count = _by_preference(daemons)
    chosen = ordered[: count + FALLBACK_RELAYS] if len(ordered) > SMALL_FLEET else ordered[:count]
    own_index = next(
        (index for index, daemon in enumerate(chosen) if daemon.id == own.id), len(chosen)
    )
    if own_index < count:
        return ()
    return (*order_by_proximity(chosen[:count], own), *chosen[count:own_index])


def order_by_proximity(candidates: t.Iterable[Daemon], own: Daemon) -> tuple[Daemon, ...]:
    """Return relays in the order in which a daemon asks them.

    Relays of its own failure domain come first. The order differs between daemons, which spreads
    the load.
    """
    by_id = {daemon.id: daemon for daemon in candidates}
    ranked = [by_id[name] for name in rendezvous.rank(own.id, by_id)]
    return tuple(sorted(ranked, key=lambda daemon: daemon.failure_domain != own.failure_domain))
