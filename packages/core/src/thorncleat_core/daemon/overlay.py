"""The overlay: the few peers that a daemon probes and passes records on to.

Members stand on a ring by the hash of their ids, and each is joined to those 1, 2, 4, ...
places on. A flood reaches all of 980 members in ten hops at most while every daemon keeps
about twenty connections, where a mesh would need 979.

Owns: nothing.
Relies on: all daemons having about the same list.
"""

import typing as t

import xxhash


def ring(members: t.Iterable[str]) -> list[str]:
    """Return the members in ring order."""
    return sorted(
        set(members), key=lambda member: (xxhash.xxh3_64_intdigest(member.encode()), member)
    )


def neighbours(me: str, members: t.Iterable[str]) -> list[str]:
    """Return the members at distances of 1, 2, 4, ... after this one, nearest first."""
    order = ring([*members, me])
    place = order.index(me)
    found: list[str] = []
    step = 1
    while step < len(order):
        found.append(order[(place + step) % len(order)])
        step *= 2
    return found
