"""Evaluates the groups that exist and ends the unhealthy ones.

Gathers the inputs for the rules in :mod:`.group_health`.

Owns: when this term first saw each group, and when it last examined a suspected one.
Relies on: the list, where members name their groups, and the groups' records.
"""

import typing as t

from ..store.roster import Group
from ..store.roster import GroupId
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.view import StoreView
from . import group_health
from .group_health import EndReason
from .group_health import GroupHealth
from .running_group import RunningGroup
from .slow_endpoints import SlowGroup
from .term import Term

EXAMINE_INTERVAL_SECONDS = 0.3


class GroupInspector:
    """Evaluates the groups during one term."""

    def __init__(self, view: StoreView, term: Term, clock: t.Callable[[], float]) -> None:
        self._view = view
        self._term = term
        self._clock = clock
        self._first_seen_at: dict[GroupId, float] = {}
        self._examined_at: dict[GroupId, float] = {}

    def inspect(self, service: str, engine: Engine) -> list[RunningGroup]:
        """Return the healthy groups of a service and begin to end the others.

        Groups that are being formed, warmed or ended are left out.
        """
        running = []
        for group in self._view.roster.groups.values():
            any_member = next(iter(group.members.values()))
            if any_member.service != service:
                continue
            if group.id in self._term.warming:
                continue
            if self._term.records.has_returned(group):
                self._end_returned(group)
            if not self._can_be_evaluated(group.id):
                continue
            model = engine.model(group.model)
            if model is not None and self._check_health(group, model):
                running.append(
                    RunningGroup(
                        group.id,
                        any_member.fabric_domain,
                        model.name,
                        tuple(group.members.values()),
                        group.leader is not None and group.leader.is_serving_leader,
                        self._slow_group(group, model),
                    )
                )
        self._end_unlisted(service)
        return running

    def _slow_group(self, group: Group, model: EngineModel) -> SlowGroup | None:
        members = tuple(group.members.values())
        slow_count = sum(member in self._term.slow for member in members)
        return SlowGroup(group.id, model.name, slow_count, members) if slow_count else None

    def _can_be_evaluated(self, group: GroupId) -> bool:
        """Return whether a group may answer and is neither being formed nor being ended."""
        if group in self._term.forming_state or group in self._term.ending:
            return False
        return self._term.records.can_answer(group)

    def _end_returned(self, group: Group) -> None:
        """End a group whose leader was taken for dead, once it or a member is listed again."""
        self._term.records.restore(group)
        is_back = group.leader is not None
        reason = EndReason.LEADER_IS_BACK if is_back else EndReason.LEADER_NOT_LISTED
        self._term.ending.end(group.id, reason, list(group.members.values()))

    def _check_health(self, group: Group, model: EngineModel) -> bool:
        """Return whether a group is healthy; begin to end it if not."""
        if any(member in self._term.lost for member in group.members.values()):
            self.examine(group.id)
        reason = group_health.end_reason(self._health(group, model))
        members = list(group.members.values())
        if reason is EndReason.LEADER_CLOSING and self._term.moves.is_closing(group):
            # The controller before has closed it; its requests may still finish.
            timeout = self._term.moves.drain_timeout(members[0].service)
            self._term.ending.end(group.id, EndReason.DOMAIN_MOVES, members, timeout)
        elif reason is not None:
            self._term.ending.end(group.id, reason, members)
        return reason is None

    def _health(self, group: Group, model: EngineModel) -> GroupHealth:
        """Return a group's state; an unlisted member that still answers isn't missing."""
        leader, members = group.leader, group.members
        missing = (rank for rank in range(model.size) if rank not in members)
        return GroupHealth(
            age=self._age_seconds(group.id),
            leader_state=group.state,
            is_leader_draining=leader is not None and leader.draining,
            has_lost_member=any(self._term.lost.is_dead(member) for member in members.values()),
            has_missing_member=any(
                not self._term.unlisted.has_member(group.id, rank) for rank in missing
            ),
            is_list_settled=self._view.is_settled,
        )

    def _age_seconds(self, group: GroupId) -> float:
        """Return the seconds since this term first saw a group that it isn't forming."""
        now = self._clock()
        return now - self._first_seen_at.setdefault(group, now)

    def _end_unlisted(self, service: str) -> None:
        """End groups without a listed member."""
        for group in self._term.records.groups:
            leader = self._term.records.leader(group)
            if leader is None or leader.service != service or group in self._view.roster.groups:
                continue
            if not self._can_be_evaluated(group):
                continue
            reason = group_health.end_reason_unlisted(self._age_seconds(group))
            if reason is not None:
                self._term.ending.end(group, reason, [])

    def examine(self, group_id: GroupId) -> None:
        """Probe the members of a suspected group.

        Does nothing if they were probed within :data:`EXAMINE_INTERVAL_SECONDS`.
        """
        now = self._clock()
        group = self._view.roster.groups.get(group_id)
        if group is None or now - self._examined_at.get(group_id, 0.0) < EXAMINE_INTERVAL_SECONDS:
            return
        if group_id in self._term.ending or not self._term.records.can_answer(group_id):
            return
        self._examined_at[group_id] = now
        self._term.jobs.start(self._term.examination.examine(group))
