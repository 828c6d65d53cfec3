"""Choosing instances for new groups: which fabric domain, and which instances in it.

Owns: nothing.
Relies on: the platform's list for what is free; a choice is checked again when a plan is
confirmed.
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

    :param free: sorted by id.
    """

    domain: str
    failure_domain: str
    free: tuple[Instance, ...]


def find_free_instances(fleet: Fleet, taken: t.Container[str]) -> list[FreeInstances]:
    """Return the free instances of each fabric domain.

    :param taken: instances that are in use or must not be used.
    """
    rooms: dict[str, list[Instance]] = collections.defaultdict(list)
    for instance in fleet.endpoints():
        if instance.id not in taken and instance.state is InstanceState.LIVE:
            rooms[instance.fabric_domain].append(instance)
    return [
        FreeInstances(domain, free[0].failure_domain, tuple(free))
        for domain, free in sorted(rooms.items())
    ]


def _fits(room: FreeInstances, intent: Intent) -> bool:
    allowed = not intent.failure_domains or room.failure_domain in intent.failure_domains
    return allowed and len(room.free) >= intent.instances_per_replica + intent.spares


def place_group(
    intent: Intent,
    group: str,
    rooms: list[FreeInstances],
    used: t.Mapping[str, int],
) -> Result[Placement, PlacementError]:
    """Choose the instances of one new group.

    Failure domains with few groups of the intent come first, then the tightest fit.

    :param rooms: free instances of each domain.
    :param used: groups of the intent for each failure domain.
    :return: the placement, or why there is none.
    """
    fitting = [room for room in rooms if _fits(room, intent)]
    if not fitting:
        most = max((len(room.free) for room in rooms), default=0)
        text = (
            f"group {group!r} needs {intent.instances_per_replica} free instances and "
            f"{intent.spares} spares in one fabric domain; the most that is free is {most}"
        )
        return Failure(PlacementError(text))
    size = intent.instances_per_replica
    counted = collections.Counter(dict(used))
    room = min(
        fitting, key=lambda room: (counted[room.failure_domain], len(room.free), room.domain)
    )
    members = tuple(instance.id for instance in room.free[:size])
    return Success(Placement(group, intent.name, room.domain, members))
