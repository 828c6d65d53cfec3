"""Rendezvous hashing: every daemon ranks the same candidates in the same order.

Adding or removing a candidate moves only the keys for which it ranks first.

Owns: nothing.
Relies on: xxhash, whose digests must be the same in every version of the daemons.
"""

import typing as t

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key; the highest score ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: t.Iterable[str]) -> list[str]:
    """Return all candidates, the one with the highest score first."""
    return sorted(
        candidates, key=lambda candidate: (score(key, candidate), candidate), reverse=True
    )


def rank_of(key: str, candidate: str, candidates: t.Iterable[str], limit: int) -> int | None:
    """Return a candidate's rank for a key, starting at 0; None if it is ``limit`` or more.

    Stops as soon as ``limit`` candidates with a higher score are found.
    """
    own_score = (score(key, candidate), candidate)
    higher = 0
    for other in candidates:
        if other != candidate and (score(key, other), other) > own_score:
            higher += 1
            if higher >= limit:
                return None
    return higher


def shard_of(key: str, shards: int) -> int:
    """Return the number of the shard to which a key belongs."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
