"""What must always hold, checked inside the running daemon and counted when it does not.

Owns: how often each invariant was broken.
Relies on: checks that stand where the thing happens.
"""

import collections
import enum
import typing as t

from . import events


class Invariant(enum.StrEnum):
    """The invariants that are checked."""

    ANSWER_FROM_CLOSED_GROUP = "answer_from_closed_group"
    INSTANCE_IN_TWO_GROUPS = "instance_in_two_groups"
    SECOND_RUN_OF_CLAIM = "second_run_of_claim"
    CONFIGURATION_REVERTED = "configuration_reverted"


class Invariants:
    """Counts broken invariants; any count but 0 is a fault of the program."""

    def __init__(self) -> None:
        self.broken: collections.Counter[Invariant] = collections.Counter()

    def check(self, holds: bool, which: Invariant, **fields: t.Any) -> None:
        """Count and log an invariant unless it holds."""
        if not holds:
            self.broken[which] += 1
            events.INVARIANT_BROKEN.log(invariant=str(which), **fields)
