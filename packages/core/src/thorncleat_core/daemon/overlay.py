"""The overlay network, which determines the peers of each daemon.

The members form a ring, ordered by the hash of their ids. Each one is connected to the members at
distances 1, 2, 4 and so on, so the number of connections and hops is logarithmic.

Owns: nothing.
Relies on: all daemons having about the same list of members.
"""

import typing as t

import xxhash


def ring(members: t.Iterable[str]) -> list[str]:
    """Return the members in ring order."""
    return sorted(
        set(members), key=lambda member: (xxhash.xxh3_64_intdigest(member.encode()), member)
    )


def neighbours(own_id: str, members: t.Iterable[str]) -> list[str]:
    """Return the members at the distances 1, 2, 4, ... after this one, the closest first."""
    order = ring([*members, own_id])
    index = order.index(own_id)
    selected: list[str] = []
    distance = 1
    while distance < len(order):
        selected.append(order[(index + distance) % len(order)])
        distance *= 2
    return selected
