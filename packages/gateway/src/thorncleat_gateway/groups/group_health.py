"""The rules by which the controller ends a group, and the reason that is logged.

Event 7206 (``group_ended``) carries the reason's value as ``cause``.

Owns: no state.
Relies on: :mod:`.group_inspector` for the state of a group.
"""

import dataclasses
import enum

from ..store.roster import GroupState

# How long ago a group must have been seen first for a missing member to count; a list that is still
# being read may lack some members.
MISSING_MEMBER_GRACE_SECONDS = 0.25
# How long a group from an earlier term may take to open or to be listed.
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
    # The group has no record, but its leader is listed with it.
    LEADER_IS_BACK = "leader is back"
    # A group without the slow members can be formed at once.
    MEMBER_SLOW = "member slow"
    # The group's domain moves to another model (:mod:`.domain_moves`).
    DOMAIN_MOVES = "domain moves"
    # The remaining reasons apply to groups that this controller was forming.
    NOT_FORMED = "not formed"
    NOT_OPENED = "not opened"

    @property
    def is_graceful(self) -> bool:
        """Whether the leader may still work, so that its requests may finish first."""
        return self in (
            EndReason.LEADER_CLOSING,
            EndReason.LEADER_DRAINING,
            EndReason.LEADER_NOT_LISTED,
            EndReason.NO_MEMBER_LISTED,
            EndReason.DOMAIN_MOVES,
        )

    @property
    def is_revocable(self) -> bool:
        """Whether the group is kept if all its members answer before its leader has left."""
        return self is EndReason.MEMBER_UNREACHABLE


@dataclasses.dataclass(frozen=True)
class GroupHealth:
    """State of a group that the controller isn't forming.

    :param age: seconds since the controller first saw the group in this term.
    :param leader_state: state that the leader reports; None if the leader isn't listed.
    :param is_leader_draining: whether the leader is draining.
    :param has_lost_member: whether a member did not answer the controller.
    :param has_missing_member: whether a member is neither listed nor responding.
    :param is_list_settled: whether an endpoint missing from the list has certainly ended
        (:attr:`.StoreView.is_settled`).
    """

    age: float
    leader_state: GroupState | None
    is_leader_draining: bool = False
    has_lost_member: bool = False
    has_missing_member: bool = False
    is_list_settled: bool = True


def end_reason(health: GroupHealth) -> EndReason | None:
    """Return why a group with listed members must end; None if it is healthy."""
    reason = _failure_reason(health)
    if reason is None and health.is_leader_draining:
        return EndReason.LEADER_DRAINING
    return reason


def end_reason_unlisted(age: float) -> EndReason | None:
    """Return why a group without a listed member must end; None if it may still be listed.

    :param age: seconds since the controller first saw the group in this term.
    """
    return EndReason.NO_MEMBER_LISTED if age > LEFT_OVER_TIMEOUT_SECONDS else None


def _failure_reason(health: GroupHealth) -> EndReason | None:
    """Return why a group can't serve; None if it can, or may soon."""
    if health.has_lost_member:
        return EndReason.MEMBER_UNREACHABLE
    if health.has_missing_member:
        is_confirmed = health.age > MISSING_MEMBER_GRACE_SECONDS and health.is_list_settled
        return EndReason.MEMBER_NOT_LISTED if is_confirmed else None
    match health.leader_state:
        case None:
            return EndReason.LEADER_NOT_LISTED if health.is_list_settled else None
        case GroupState.BROKEN:
            return EndReason.LEADER_BROKEN
        case GroupState.CLOSING:
            return EndReason.LEADER_CLOSING
        case GroupState.OPEN:
            return None
    return EndReason.LEFT_OVER if health.age > LEFT_OVER_TIMEOUT_SECONDS else None
