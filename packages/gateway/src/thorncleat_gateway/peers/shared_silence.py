"""Tells a silence that most groups share from the silence of single groups.

When most groups fall silent together, it isn't likely that each has died, and another group is as
silent as a stream's own. A stream that leaves would spend an attempt on a guess. Sound endpoints go
on after a second or so.

Owns: which groups fell silent together, and since when they are heard again.
Relies on: :mod:`.failure_detector` for the times of all groups in which this daemon has streams.
"""

import dataclasses
import typing as t

# Longest time for which a sound endpoint may be silent.
MAX_SOUND_SILENCE_SECONDS = 1.5
# How long a group must be heard again until the streams of those that are still silent leave.
# Groups that fell silent together aren't heard again at exactly the same time.
HEARD_AGAIN_SECONDS = 0.3
# Shortest silence that counts as shared. It stays below the shortest silence of which a group is
# suspected, since the other groups may have written an event a little later.
MIN_SHARED_SECONDS = 0.15
# The same in average gaps between the events of a group.
MIN_SHARED_GAPS = 1.5
# A daemon with streams in a single group can't compare it with others.
MIN_GROUPS = 2


@dataclasses.dataclass(frozen=True)
class GroupActivity:
    """The times of a group in which this daemon has streams that have had events.

    :param latest_at: when the group was last heard by this daemon, in seconds on its clock.
    :param gap: longest average seconds between two events of a stream; 0 if unknown.
    """

    leader_id: str
    latest_at: float
    gap: float

    def is_silent(self, now: float) -> bool:
        """Return whether the group is silent for long enough to share a silence."""
        return now - self.latest_at > max(MIN_SHARED_SECONDS, MIN_SHARED_GAPS * self.gap)


def is_shared(silent_count: int, group_count: int) -> bool:
    """Return whether most groups are silent.

    :param group_count: number of all groups in which this daemon has streams.
    """
    return group_count >= MIN_GROUPS and 2 * silent_count > group_count


class SharedSilence:
    """Whether streams stay in their silent groups, since most groups are silent."""

    def __init__(self) -> None:
        # Ids of the leaders whose groups fell silent together.
        self._leader_ids: set[str] = set()
        self._heard_since: dict[str, float] = {}
        self._shared_at = float("-inf")

    def update(self, now: float, groups: t.Iterable[GroupActivity]) -> None:
        """Record the times of all groups in which this daemon has streams with events.

        :param now: seconds on the clock of the groups' times.
        """
        recent = [group for group in groups if now - group.latest_at <= MAX_SOUND_SILENCE_SECONDS]
        silent = {group.leader_id for group in recent if group.is_silent(now)}
        if is_shared(len(silent), len(recent)):
            self._shared_at = now
            self._leader_ids |= silent
        elif now - self._shared_at > HEARD_AGAIN_SECONDS:
            self._leader_ids.clear()
        heard = {group.leader_id for group in recent} - silent
        self._heard_since = {
            leader_id: self._heard_since.get(leader_id, now)
            for leader_id in self._leader_ids & heard
        }

    def is_staying_better(self, now: float, silent_seconds: float) -> bool:
        """Return whether a stream stays in its silent group.

        :param silent_seconds: for how long its group has been silent.
        """
        if not self._leader_ids or silent_seconds > MAX_SOUND_SILENCE_SECONDS:
            return False
        return all(now - since < HEARD_AGAIN_SECONDS for since in self._heard_since.values())
