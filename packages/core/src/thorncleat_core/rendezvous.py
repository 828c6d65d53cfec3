"""Rendezvous hashing: every daemon ranks the same candidates the same way.

A candidate that comes or goes moves only the keys that it wins.
"""

import typing as t

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def ranked(key: str, candidates: t.Iterable[str]) -> list[str]:
    """Return all candidates, the preferred one first."""
    return sorted(candidates, key=lambda one: (score(key, one), one), reverse=True)


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key; it depends on the key and the number of shards alone."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
