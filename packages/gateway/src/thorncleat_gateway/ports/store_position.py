"""Places in the store's order of changes, and leases: numbers that hold in one era only.

The store may come back from a copy some seconds old. It then begins a new era, in which it gives
the numbers that it lost again, for other changes and to others. So a number without its era
compares with nothing.

Owns: nothing.
Relies on: the store naming its era in each answer.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A place in the store's order of changes; one of a later era is later.

    :param era: rises each time the store comes back from a copy.
    :param revision: rises with each change within an era.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease that the store has granted.

    :param era: in which it was granted; in a later one its id may be another's lease.
    """

    era: int
    id: int
