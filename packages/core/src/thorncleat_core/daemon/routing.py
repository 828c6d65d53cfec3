"""The choice of the group for a request.

Owns: nothing.
Relies on: callers to pass only groups for which the daemon has a usable permit.
"""

import dataclasses
import typing as t

import xxhash

from .. import rendezvous
from .registry import Registry

# Maximum load of a group relative to the mean, up to which a request follows its prefix.
MAX_RELATIVE_LOAD = 1.25
# Lower bound of the warmth, which keeps the load finite.
MIN_WARMTH = 0.05
# Number of leading characters that identify a prompt.
PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A group to which a request can be sent.

    :param outstanding: tokens that this daemon has in flight in the group.
    :param warmth: 1 for a warm group, less for one that has started recently.
    """

    group: str
    outstanding: int
    warmth: float = 1.0

    @property
    def load(self) -> float:
        """The outstanding tokens, weighted higher while the group is cold."""
        return self.outstanding / max(self.warmth, MIN_WARMTH)


class RoutingPolicy(t.Protocol):
    """A function that chooses a group."""

    def __call__(self, prefix: str, cost: int, candidates: list[Candidate]) -> str:
        """Return the id of the group for a request.

        :param prefix: identity of the prompt's prefix. Equal prefixes can share a cache.
        :param cost: cost of the request in tokens.
        :param candidates: one or more groups.
        """
        ...


routing_policies: Registry[RoutingPolicy] = Registry("routing choice")


def prefix_identity(model: str, version: str, text: str) -> str:
    """Return the identity of a prompt's prefix.

    It covers the model and version too, since engines reuse cached state only if all of them match.
    """
    head = text[:PREFIX_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(f"{model}\0{version}\0{head}".encode())


@routing_policies.register("bounded_affinity")
def bounded_affinity(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Choose the group with the highest rank for the prefix that is not overloaded."""
    by_name = {candidate.group: candidate for candidate in candidates}
    total = sum(candidate.load for candidate in candidates) + cost
    max_load = MAX_RELATIVE_LOAD * total / len(candidates)
    for name in rendezvous.rank(prefix, by_name):
        if by_name[name].load <= max_load:
            return name
    return least_outstanding(prefix, cost, candidates)


@routing_policies.register("least_outstanding")
def least_outstanding(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Choose the group with the lowest load; the prefix decides between equal loads."""
    chosen = min(
        candidates,
        key=lambda candidate: (candidate.load, rendezvous.score(prefix, candidate.group)),
    )
    return chosen.group


# Used only if the setting ``requests.routing`` names it.
@routing_policies.register("prefix_hash")
def prefix_hash(prefix: str, cost: int, candidates: list[Candidate]) -> str:
    """Choose the group with the highest rank for the prefix, regardless of its load."""
    return rendezvous.rank(prefix, [candidate.group for candidate in candidates])[0]


def attached_groups(daemon: str, groups: t.Mapping[str, int], limit: int) -> list[str]:
    """Return the subset of groups that a daemon uses, which spreads the daemons evenly.

    The groups of a shard are taken together, so that few holders issue the permits for them.

    :param daemon: id of the daemon.
    :param groups: shard of each group.
    :param limit: maximum number of groups.
    """
    shards = rendezvous.rank(f"attach/{daemon}", {str(shard) for shard in groups.values()})
    shard_ranks = {shard: index for index, shard in enumerate(shards)}
    ranked = sorted(
        groups,
        key=lambda group: (shard_ranks[str(groups[group])], -rendezvous.score(daemon, group)),
    )
    return ranked[:limit]
