"""Which groups are being formed, of whom, and who is left alone for a while after a failure.

Owns: the numbers of the groups of one term, their members while they are formed, and the pauses.
Relies on: the term's rising with each controller; an epoch is never given twice, and a later
controller's epochs are higher.
"""

import typing as t

from ..store.roster import GroupId
from .formation import GroupPlan
from .term_number import EPOCHS_PER_TERM

# in which no group is formed in a domain after a failure there, in seconds
DOMAIN_PAUSE_SECONDS = 0.3
# terms that are passed over when an endpoint has seen a higher epoch: several seconds of the
# store's changes
SKIPPED_TERMS = 1_000
# in which an endpoint that did not join a group is not asked again, in seconds
JOIN_REFUSAL_PAUSE_SECONDS = 2.0


class FormingState:
    """What is being formed, in one term.

    :param term: number of this controller's term; begins its epochs.
    """

    def __init__(self, term: int, clock: t.Callable[[], float]) -> None:
        self._term = term
        self._clock = clock
        self._formed = 0
        self._busy: set[str] = set()
        self._paused: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self.under_way: dict[GroupId, GroupPlan] = {}

    def __contains__(self, group: GroupId) -> bool:
        return group in self.under_way

    def is_available(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may be ordered into a group now."""
        refused = self._refused.get(endpoint_id, 0.0) > self._clock()
        return not refused and endpoint_id not in self._busy

    def is_paused(self, domain: str) -> bool:
        """Return whether a domain is left alone after a failure."""
        return self._clock() < self._paused.get(domain, 0.0)

    def pause(self, domain: str) -> None:
        """Leave a domain alone for a while."""
        self._paused[domain] = self._clock() + DOMAIN_PAUSE_SECONDS

    def record_refusal(self, endpoint_id: str) -> None:
        """Leave an endpoint alone that did not join a group."""
        self._refused[endpoint_id] = self._clock() + JOIN_REFUSAL_PAUSE_SECONDS

    def next_group(self) -> GroupId:
        """Return the name of a new group."""
        self._formed += 1
        epoch = self._term * EPOCHS_PER_TERM + self._formed
        return GroupId(epoch, f"g{epoch}")

    def skip_epochs(self) -> None:
        """Go on with higher epochs, since an endpoint refused one of this term as too low.

        The store may have lost more changes than anybody here knows of.
        """
        self._term += SKIPPED_TERMS

    def begin(self, plan: GroupPlan) -> GroupId:
        """Number a new group, and keep its members from being used twice."""
        group = self.next_group()
        self.under_way[group] = plan
        self._busy.update(member.id for member in plan.members)
        return group

    def finish(self, group: GroupId) -> None:
        """Set the members of a group free that is no longer being formed."""
        plan = self.under_way.pop(group, None)
        if plan is not None:
            self._busy.difference_update(member.id for member in plan.members)
