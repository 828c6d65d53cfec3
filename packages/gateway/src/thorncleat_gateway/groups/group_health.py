"""The rule by which the controller ends a group, with the reason that is logged.

Pure: a snapshot of the group goes in, a reason comes out, or None for a group that stands.
Event 7206 (``group_ended``) carries the reason's value as ``cause``.

Owns: no state.
Relies on: :mod:`.group_inspector` for the snapshot of a group.
"""

import dataclasses
import enum

from ..store.roster import GroupState

# how long the controller has known a group before a missing member counts, in seconds: a list
# that is being read may lack some members for a moment
MISSING_MEMBER_GRACE_SECONDS = 0.25
# how long a group that an earlier controller began may take to open, in seconds
LEFT_OVER_TIMEOUT_SECONDS = 2.5


class EndReason(enum.Enum):
    """Why a group is ended."""

    MEMBER_UNREACHABLE = "member unreachable"
    MEMBER_NOT_LISTED = "member not listed"
    LEADER_NOT_LISTED = "leader not listed"
    LEADER_BROKEN = "leader broken"
    LEADER_CLOSING = "leader closing"
    LEADER_DRAINING = "leader draining"
    LEFT_OVER = "left over"
    NO_MEMBER_LISTED = "no member listed"
    # its record is gone, but its leader is listed and says that it leads it
    LEADER_IS_BACK = "leader is back"
    # it can be formed again at once, of others
    MEMBER_SLOW = "member slow"
    # of a group that this controller was forming
    NOT_FORMED = "not formed"
    NOT_OPENED = "not opened"

    @property
    def is_graceful(self) -> bool:
        """Whether the group still works, so that its requests may end first."""
        return self is EndReason.LEADER_DRAINING


@dataclasses.dataclass(frozen=True)
class GroupHealth:
    """What the controller knows of a group that it isn't forming.

    :param age: seconds for which it has known the group in this term.
    :param leader_state: None if the leader isn't listed.
    :param leader_draining: whether the leader is about to end.
    :param member_lost: whether a member did not answer the controller.
    :param member_missing: whether a member is neither listed nor known to answer.
    :param list_settled: whether an endpoint that isn't listed is gone (:attr:`.StoreView.settled`).
    """

    age: float
    leader_state: GroupState | None
    leader_draining: bool = False
    member_lost: bool = False
    member_missing: bool = False
    list_settled: bool = True


def end_reason(health: GroupHealth) -> EndReason | None:
    """Return why a group with listed members is to be ended; None if it stands."""
    reason = _failure_reason(health)
    if reason is None and health.leader_draining:
        return EndReason.LEADER_DRAINING
    return reason


def end_reason_unlisted(age: float) -> EndReason | None:
    """Return why a group of which no member is listed is to be ended.

    :param age: seconds for which the controller has known the group in this term.
    """
    return EndReason.NO_MEMBER_LISTED if age > LEFT_OVER_TIMEOUT_SECONDS else None


def _failure_reason(health: GroupHealth) -> EndReason | None:
    """Return why a group can't serve, now or soon."""
    if health.member_lost:
        return EndReason.MEMBER_UNREACHABLE
    if health.member_missing:
        confirmed = health.age > MISSING_MEMBER_GRACE_SECONDS and health.list_settled
        return EndReason.MEMBER_NOT_LISTED if confirmed else None
    match health.leader_state:
        case None:
            return EndReason.LEADER_NOT_LISTED if health.list_settled else None
        case GroupState.BROKEN:
            return EndReason.LEADER_BROKEN
        case GroupState.CLOSING:
            return EndReason.LEADER_CLOSING
        case GroupState.OPEN:
            return None
    return EndReason.LEFT_OVER if health.age > LEFT_OVER_TIMEOUT_SECONDS else None
