"""Choosing the group for a request among those that this daemon may use.

Owns: nothing.
Relies on: candidates that the daemon has a usable permit for.
"""

import dataclasses
import typing as t

import xxhash

from .. import rendezvous
from .registry import Registry

# how far above the mean a group may be loaded before affinity yields
BOUND = 1.25
# least warmth that a group is reckoned with, so that a load stays finite
MIN_WARMTH = 0.05
# leading characters of a prompt that make its identity
PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A group that may take a request.

    :param outstanding: tokens that this daemon has in it.
    :param warmth: 1 for a warmed-up group, less for one that has just come up.
    """

    group: str
    outstanding: int
    warmth: float = 1.0

    @property
    def load(self) -> float:
        """Own work, which weighs more while the group is cold."""
        return self.outstanding / max(self.warmth, MIN_WARMTH)


class RoutingPolicy(t.Protocol):
    """A way to choose."""

    def __call__(self, prefix: str, cost: int, candidates: list[Candidate]) -> str:
        """Return the group for a request.

        :param prefix: identity of the prompt's beginning; equal prefixes may share a cache.
        :param candidates: at least one.
        """
        ...


routing_policies: Registry[RoutingPolicy] = Registry("routing choice")


def prefix_identity(model: str, version: str, text: str) -> str:
    """Return the identity of a prompt's beginning.

    It is exact over model, version and the leading characters, after the skippy-cache
    README's rule that state is reused only where all of these match.
    """
    head = text[:PREFIX_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(f"{model}\0{version}\0{head}".encode())


@routing_policies.register("bounded_affinity")
def bounded_affinity(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Prefer the group that the prefix hashes to, unless it is loaded above the bound."""
    by_name = {candidate.group: candidate for candidate in candidates}
    total = sum(candidate.load for candidate in candidates) + cost
    bound = BOUND * total / len(candidates)
    for name in rendezvous.rank(prefix, by_name):
        if by_name[name].load <= bound:
            return name
    return least_outstanding(prefix, cost, candidates)


@routing_policies.register("least_outstanding")
def least_outstanding(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Take the least loaded group; the prefix decides between equals."""
    best = min(
        candidates,
        key=lambda candidate: (candidate.load, rendezvous.score(prefix, candidate.group)),
    )
    return best.group


# reached by its name alone, which settings may hold as ``requests.routing``
@routing_policies.register("prefix_hash")
def prefix_hash(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Take the group that the prefix hashes to, whatever its load."""
    return rendezvous.rank(prefix, [candidate.group for candidate in candidates])[0]


def attached_groups(daemon: str, groups: t.Mapping[str, int], limit: int) -> list[str]:
    """Return the groups that a daemon uses: a bounded subset, spread evenly over daemons.

    They are taken shard by shard, so that the permits for them come from few holders.

    :param groups: the shard of each group.
    """
    shards = rendezvous.rank(f"attach/{daemon}", {str(shard) for shard in groups.values()})
    place = {name: number for number, name in enumerate(shards)}
    order = sorted(
        groups, key=lambda group: (place[str(groups[group])], -rendezvous.score(daemon, group))
    )
    return order[:limit]
