"""Suspicions of groups, with probation and exponential backoff.

A suspicion expires by itself. The group is then on probation, with one request of this daemon at a
time, until its leader answers. If it is silent again, the next suspicion lasts longer.

Owns: the suspicions, by leader.
Relies on: :mod:`.failure_detector` to add suspicions and to remove them when an endpoint answers.
"""

import dataclasses
import typing as t

from ..store.roster import Endpoint
from ..store.roster import GroupId

# Factor by which a suspicion lasts longer than the previous one of a group without a contact since.
DURATION_GROWTH = 2.0
MAX_DURATION_SECONDS = 8.0
# How long a suspicion is remembered after it has expired.
EXPIRED_TTL_SECONDS = 30.0


@dataclasses.dataclass
class _Entry:
    """A suspicion of a group whose leader has not answered since the suspicion began.

    :param ends_at: when the suspicion expires and the probation begins.
    :param seconds: duration of the suspicion.
    :param is_local: whether this daemon itself found the group silent.
    :param service: of the group, if this daemon found it silent.
    """

    group: GroupId | None
    ends_at: float
    seconds: float
    is_local: bool
    service: str = ""


class Suspicions:
    """The suspected groups and those on probation, by leader.

    :param seconds: duration of the first suspicion of a group.
    """

    def __init__(self, seconds: float, clock: t.Callable[[], float]) -> None:
        self._first_seconds = seconds
        self._clock = clock
        self._by_leader: dict[str, _Entry] = {}

    def add(
        self, leader_id: str, group: GroupId | None, *, is_local: bool, service: str = ""
    ) -> None:
        """Suspect a group, for longer if it was on probation.

        :param is_local: whether this daemon itself found the group silent.
        :param service: of the group, if this daemon found it silent.
        """
        now = self._clock()
        seconds = self._first_seconds
        previous = self._by_leader.get(leader_id)
        if previous is not None and previous.group == group:
            # Reports of several daemons about the same silence count as one suspicion.
            is_on_probation = now >= previous.ends_at
            seconds = min(
                previous.seconds * (DURATION_GROWTH if is_on_probation else 1.0),
                MAX_DURATION_SECONDS,
            )
            is_local = is_local or (previous.is_local and not is_on_probation)
            service = service or previous.service
        self._by_leader[leader_id] = _Entry(group, now + seconds, seconds, is_local, service)
        self._remove_expired(now)

    def _remove_expired(self, now: float) -> None:
        oldest = now - EXPIRED_TTL_SECONDS
        self._by_leader = {
            leader_id: entry
            for leader_id, entry in self._by_leader.items()
            if entry.ends_at >= oldest
        }

    def remove(self, leader_id: str) -> None:
        """Remove the suspicion of a leader's group, since the leader has answered."""
        self._by_leader.pop(leader_id, None)

    def remove_adopted_before(self, leader_id: str, instant: float) -> None:
        """Remove the suspicion of a leader's group if only other daemons had it before an instant.

        It counts from its latest report.
        """
        entry = self._by_leader.get(leader_id)
        if entry is not None and not entry.is_local and entry.ends_at - entry.seconds < instant:
            del self._by_leader[leader_id]

    def forget_own_since(self, service: str, since: float) -> None:
        """Forget the suspicions of a service's groups that this daemon has had since an instant."""
        self._by_leader = {
            leader_id: entry
            for leader_id, entry in self._by_leader.items()
            if not entry.is_local
            or entry.service != service
            or entry.ends_at - entry.seconds < since
        }

    def is_suspected(self, leader: Endpoint) -> bool:
        """Return whether a leader's group is suspected."""
        entry = self._find(leader)
        return entry is not None and self._clock() < entry.ends_at

    def is_suspected_locally(self, leader: Endpoint) -> bool:
        """Return whether this daemon itself suspects a leader's group."""
        entry = self._find(leader)
        return entry is not None and entry.is_local and self._clock() < entry.ends_at

    def is_on_probation(self, leader: Endpoint) -> bool:
        """Return whether a suspicion of a leader's group has expired without a contact since."""
        entry = self._find(leader)
        return entry is not None and self._clock() >= entry.ends_at

    def _find(self, leader: Endpoint) -> _Entry | None:
        """Return the suspicion of a leader's current group."""
        entry = self._by_leader.get(leader.id)
        group = leader.membership.group if leader.membership else None
        return entry if entry is not None and entry.group == group else None
