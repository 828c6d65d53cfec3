"""The choice of the fabric domain and the instances for a new group.

Owns: nothing.
Relies on: the platform's list of instances, which may be out of date until a plan is confirmed.
"""

import collections
import dataclasses
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ..exceptions import PlacementError
from .configuration import Intent
from .fleet import Fleet
from .fleet import Instance
from .fleet import InstanceState
from .journal import Placement


@dataclasses.dataclass(frozen=True)
class FreeInstances:
    """The free instances of a fabric domain.

    :param domain: fabric domain.
    :param free: instances sorted by id.
    """

    domain: str
    failure_domain: str
    free: tuple[Instance, ...]


def find_free_instances(fleet: Fleet, taken: t.Container[str]) -> list[FreeInstances]:
    """Return the free instances of each fabric domain.

    :param taken: ids of instances that are in use or must not be used.
    """
    by_domain: dict[str, list[Instance]] = collections.defaultdict(list)
    for instance in fleet.endpoints():
        if instance.id not in taken and instance.state is InstanceState.LIVE:
            by_domain[instance.fabric_domain].append(instance)
    return [
        FreeInstances(domain, free[0].failure_domain, tuple(free))
        for domain, free in sorted(by_domain.items())
    ]


def _can_place(candidate: FreeInstances, intent: Intent) -> bool:
    allowed = not intent.failure_domains or candidate.failure_domain in intent.failure_domains
    return allowed and len(candidate.free) >= intent.instances_per_replica + intent.spares


def place_group(
    intent: Intent,
    group: str,
    candidates: list[FreeInstances],
    used: t.Mapping[str, int],
) -> Result[Placement, PlacementError]:
    """Return the placement of a new group, or the error if there is no suitable domain.

    Failure domains with fewer groups of the intent are preferred, then the tightest fit.

    :param group: id of the new group.
    :param candidates: free instances of each fabric domain.
    :param used: number of groups of the intent in each failure domain.
    """
    fitting = [candidate for candidate in candidates if _can_place(candidate, intent)]
    if not fitting:
        max_free = max((len(candidate.free) for candidate in candidates), default=0)
        text = (
            f"group {group!r} needs {intent.instances_per_replica} free instances and "
            f"{intent.spares} spares in one fabric domain; the most that is free is {max_free}"
        )
        return Failure(PlacementError(text))
    size = intent.instances_per_replica
    counts = collections.Counter(dict(used))
    chosen = min(
        fitting,
        key=lambda candidate: (
            counts[candidate.failure_domain],
            len(candidate.free),
            candidate.domain,
        ),
    )
    members = tuple(instance.id for instance in chosen.free[:size])
    return Success(Placement(group, intent.name, chosen.domain, members))
