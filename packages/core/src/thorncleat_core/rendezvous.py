"""Rendezvous hashing: every daemon ranks the same candidates the same way.

A candidate that comes or goes moves only the keys that it wins.

Owns: nothing.
Relies on: xxhash; daemons of two builds must rank alike, so the hash is a part of the protocol.
"""

import typing as t

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: t.Iterable[str]) -> list[str]:
    """Return all candidates, the preferred one first."""
    return sorted(
        candidates, key=lambda candidate: (score(key, candidate), candidate), reverse=True
    )


def rank_of(key: str, mine: str, candidates: t.Iterable[str], limit: int) -> int | None:
    """Return a candidate's place for a key, counted from 0; None from ``limit`` on.

    It stops at the first ``limit`` that are preferred, which for most candidates are found
    after a few, however many there are.
    """
    own = (score(key, mine), mine)
    before = 0
    for candidate in candidates:
        if candidate != mine and (score(key, candidate), candidate) > own:
            before += 1
            if before >= limit:
                return None
    return before


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key; it depends on the key and the number of shards alone."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
