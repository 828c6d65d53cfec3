"""Invariants checked at run time.

Owns: the number of violations of each invariant.
Relies on: the modules that check an invariant where it could break.
"""

import collections
import enum
import typing as t

from . import events


class Invariant(enum.StrEnum):
    """The checked invariants."""

    ANSWER_FROM_CLOSED_GROUP = "answer_from_closed_group"
    INSTANCE_IN_TWO_GROUPS = "instance_in_two_groups"
    SECOND_RUN_OF_CLAIM = "second_run_of_claim"
    CONFIGURATION_REVERTED = "configuration_reverted"


class Invariants:
    """Counts violations; any count but 0 is a bug."""

    def __init__(self) -> None:
        self.broken: collections.Counter[Invariant] = collections.Counter()

    def check(self, holds: bool, which: Invariant, **fields: t.Any) -> None:
        """Count and log a violation unless the invariant holds."""
        if not holds:
            self.broken[which] += 1
            events.INVARIANT_BROKEN.log(invariant=str(which), **fields)
