"""Finds endpoints without a group that may have left one which still answers.

A leader goes on for the stall after a member has left. The controller that ordered the member to
leave knows this, but the next one, or a daemon that has just started, does not: it sees an endpoint
without a group.

Owns: no state.
Relies on: the roster for since when an endpoint is listed without a group, and the records for the
groups that are over.
"""

import typing as t

from ..store.roster import Endpoint
from ..store.roster import Group
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Ungrouped
from ..store.serving import Engine
from ..store.view import StoreView
from .records import GroupRecords
from .separation import seconds_until_broken


def may_have_left_open_group(
    ungrouped: Ungrouped,
    now: float,
    stall: float,
    *,
    is_former_over: t.Callable[[GroupId], bool],
    has_unknown_members: bool,
) -> bool:
    """Return whether an endpoint may have left a group that still answers.

    :param ungrouped: since when it is listed without a group; times on the gateway's clock.
    :param stall: seconds after which a group that lacks a member is broken.
    :param is_former_over: returns whether a group no longer answers.
    :param has_unknown_members: whether a group may have lost members before the list showed them.
    """
    if now >= ungrouped.since + seconds_until_broken(stall):
        return False
    if ungrouped.former is not None:
        return not is_former_over(ungrouped.former)
    return has_unknown_members


class RecentMembers:
    """The endpoints that may have left a group which still answers, in one term.

    :param stall: seconds after which a group that lacks a member is broken.
    """

    def __init__(
        self,
        view: StoreView,
        records: GroupRecords,
        stall: float,
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._records = records
        self._stall = stall
        self._clock = clock
        self._known_at = clock() + seconds_until_broken(stall)
        self._has_unknown_members = False

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may not be used yet, although it is in no group."""
        roster = self._view.roster
        removed = roster.removed.get(endpoint.id)
        if removed is not None and removed.endpoint.membership is not None:
            # It has left that group since its entry has lapsed.
            return not self._records.is_over(removed.endpoint.membership.group)
        ungrouped = roster.ungrouped.get(endpoint.id)
        return ungrouped is not None and may_have_left_open_group(
            ungrouped,
            self._clock(),
            self._stall,
            is_former_over=self._records.is_over,
            has_unknown_members=self._has_unknown_members,
        )

    def refresh(self, service: str, engine: Engine) -> None:
        """Determine whether a group of a service may have lost members unseen.

        An earlier controller may have ordered them to leave until this term began.
        """
        self._has_unknown_members = self._clock() < self._known_at and any(
            self._may_lack_members(group, service, engine) for group in self._records.groups
        )

    def _may_lack_members(self, group_id: GroupId, service: str, engine: Engine) -> bool:
        """Return whether a group of a service may answer and isn't listed with all members."""
        leader = self._records.leader(group_id)
        if leader is None or leader.service != service or self._records.is_over(group_id):
            return False
        listed = self._view.roster.endpoints.get(leader.id)
        if listed is not None and not _may_answer(listed, group_id):
            return False
        group = self._view.roster.groups.get(group_id)
        return group is None or not _is_complete(group, engine)


def _may_answer(leader: Endpoint, group: GroupId) -> bool:
    """Return whether a listed leader may answer for a group, by its own entry."""
    membership = leader.membership
    return (
        membership is not None
        and membership.group == group
        and membership.state is not GroupState.BROKEN
    )


def _is_complete(group: Group, engine: Engine) -> bool:
    """Return whether all members of a group are listed in it."""
    model = engine.model(group.model)
    return model is not None and all(rank in group.members for rank in range(model.size))
