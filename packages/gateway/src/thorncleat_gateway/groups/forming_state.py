"""The groups that are being formed, their members, and the pauses after failures.

Owns: the group numbers of one term, the groups being formed, and the paused domains and endpoints.
Relies on: term numbers that rise with each controller, so that no epoch is used twice.
"""

import typing as t

from ..store.roster import GroupId
from .formation import GroupPlan
from .term_number import EPOCHS_PER_TERM

# How long no group is formed in a domain after a failure there.
DOMAIN_PAUSE_SECONDS = 0.3
# Number of terms to skip when an endpoint has seen a higher epoch.
SKIPPED_TERMS = 1_000
# How long an endpoint that did not join a group is left out.
JOIN_REFUSAL_PAUSE_SECONDS = 2.0


class FormingState:
    """The groups that are being formed in one term, and the pauses after failures.

    :param term_number: number of this controller's term, from which its epochs are made.
    """

    def __init__(self, term_number: int, clock: t.Callable[[], float]) -> None:
        self._term_number = term_number
        self._clock = clock
        self._last_number = 0
        self._busy: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}
        self.under_way: dict[GroupId, GroupPlan] = {}

    def __contains__(self, group: GroupId) -> bool:
        return group in self.under_way

    def is_available(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may be ordered into a group now."""
        is_refused = self._refused_until.get(endpoint_id, 0.0) > self._clock()
        return not is_refused and endpoint_id not in self._busy

    def is_paused(self, domain: str) -> bool:
        """Return whether a domain is paused after a failure."""
        return self._clock() < self._paused_until.get(domain, 0.0)

    def pause(self, domain: str) -> None:
        """Form no group in a domain for :data:`DOMAIN_PAUSE_SECONDS`."""
        self._paused_until[domain] = self._clock() + DOMAIN_PAUSE_SECONDS

    def record_refusal(self, endpoint_id: str) -> None:
        """Record that an endpoint did not join a group, so that it is left out for a while."""
        self._refused_until[endpoint_id] = self._clock() + JOIN_REFUSAL_PAUSE_SECONDS

    def next_group(self) -> GroupId:
        """Return the id of a new group."""
        self._last_number += 1
        epoch = self._term_number * EPOCHS_PER_TERM + self._last_number
        return GroupId(epoch, f"g{epoch}")

    def skip_epochs(self) -> None:
        """Continue with higher epochs because an endpoint has refused one as too low.

        This happens after the store was restored from a copy and has lost changes.
        """
        self._term_number += SKIPPED_TERMS

    def begin(self, plan: GroupPlan) -> GroupId:
        """Return the id of a new group and mark its members as busy."""
        group = self.next_group()
        self.under_way[group] = plan
        self._busy.update(member.id for member in plan.members)
        return group

    def finish(self, group: GroupId) -> None:
        """Release the members of a group that is no longer being formed."""
        plan = self.under_way.pop(group, None)
        if plan is not None:
            self._busy.difference_update(member.id for member in plan.members)
