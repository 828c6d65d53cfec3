"""Which groups are suspected, and for how long: longer each time a trial finds one silent again.

A suspicion ends by itself, since nobody may be left who would hear the group. Then the group is
on trial: it gets one request of this daemon at a time, until it is heard. If it is silent once
more, it is suspected for twice as long as before, so that a group that is not ended (its
controller may be cut off) costs few requests.

Owns: the suspicions, by leader.
Relies on: :mod:`.silence` for what begins one, and on whoever hears an endpoint to end one.
"""

import dataclasses
import typing as t

from ..store.roster import Endpoint
from ..store.roster import GroupId

# by which each suspicion of a group that was not heard since is longer than the one before
GROWTH = 2.0
# seconds that a suspicion lasts at most
LONGEST_SECONDS = 8.0
# seconds after its end for which a suspicion is remembered
REMEMBER_SECONDS = 30.0


@dataclasses.dataclass
class _Suspected:
    """A group that was silent, and was not heard since.

    :param until: when the suspicion ends, and the group is on trial.
    :param seconds: that the suspicion lasts.
    :param own: whether this daemon found the group silent itself.
    """

    group: GroupId | None
    until: float
    seconds: float
    own: bool


class Suspicions:
    """Suspected groups.

    :param seconds: that the first suspicion of a group lasts.
    """

    def __init__(self, seconds: float, clock: t.Callable[[], float]) -> None:
        self._seconds = seconds
        self._clock = clock
        self._by_leader: dict[str, _Suspected] = {}

    def add(self, leader_id: str, group: GroupId | None, *, own: bool) -> None:
        """Suspect a group, for longer if it failed its trial.

        :param own: whether this daemon found it silent itself.
        """
        now = self._clock()
        seconds = self._seconds
        before = self._by_leader.get(leader_id)
        if before is not None and before.group == group:
            # words of several daemons on the same silence are one suspicion
            on_trial = now >= before.until
            seconds = min(before.seconds * (GROWTH if on_trial else 1.0), LONGEST_SECONDS)
            own = own or (before.own and not on_trial)
        self._by_leader[leader_id] = _Suspected(group, now + seconds, seconds, own)
        self._forget(now)

    def _forget(self, now: float) -> None:
        begin = now - REMEMBER_SECONDS
        self._by_leader = {
            leader_id: suspected
            for leader_id, suspected in self._by_leader.items()
            if suspected.until >= begin
        }

    def end(self, leader_id: str) -> None:
        """Trust a leader's group, since the leader was heard."""
        self._by_leader.pop(leader_id, None)

    def holds(self, leader: Endpoint) -> bool:
        """Return whether a leader's group is suspected."""
        suspected = self._of(leader)
        return suspected is not None and self._clock() < suspected.until

    def holds_here(self, leader: Endpoint) -> bool:
        """Return whether a leader's group is suspected by this daemon itself."""
        suspected = self._of(leader)
        return suspected is not None and suspected.own and self._clock() < suspected.until

    def is_on_probation(self, leader: Endpoint) -> bool:
        """Return whether a suspicion of a leader's group has ended and the group wasn't heard."""
        suspected = self._of(leader)
        return suspected is not None and self._clock() >= suspected.until

    def _of(self, leader: Endpoint) -> _Suspected | None:
        """Return the suspicion of the group that a leader has now."""
        suspected = self._by_leader.get(leader.id)
        group = leader.membership.group if leader.membership else None
        return suspected if suspected is not None and suspected.group == group else None
