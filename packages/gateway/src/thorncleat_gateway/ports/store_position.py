"""Positions in the store's order of changes, and leases; both are valid in a single era.

When the store is restored from an older copy, it begins a new era and reuses revisions and lease
ids, so these can only be compared together with their era.

Owns: nothing.
Relies on: the store naming its era in each answer.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A position in the store's order of changes; a position of a later era is later.

    :param era: rises each time the store is restored from a copy.
    :param revision: rises with each change within an era.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease that the store has granted.

    :param era: the era of the grant; in a later era the id may belong to another lease.
    """

    era: int
    id: int
