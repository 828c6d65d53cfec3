"""Keeping the groups of all fabric domains as the layout wants them.

Whoever holds the controller's lease plans from the list, where the members themselves say
which groups there are. How groups are formed and ended, whatever orders are lost or come late,
stands in :mod:`.forming` and :mod:`.ending`.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing as t

import mode

from thorncleat_core.exceptions import LeaseError
from thorncleat_core.exceptions import ThorncleatError

from .. import events
from ..peers.datagrams import PeerChannel
from ..peers.datagrams import Suspicion
from ..peers.failure_detector import FailureDetector
from ..settings import GatewaySettings
from ..store.roster import Endpoint
from ..store.roster import Group
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.view import StoreView
from . import formation
from .election import Election
from .ended import EndedGroups
from .ending import GroupEnding
from .formation import DomainView
from .formation import Stage
from .forming import GroupForming
from .lost_endpoints import LostEndpoints
from .model_loader import ModelLoader
from .orders import Orders
from .records import GroupRecords
from .unlisted_endpoints import UnlistedEndpoints

PLAN_SECONDS = 0.25
EXAMINE_AGAIN_SECONDS = 0.3
# after which a group that an earlier controller began, and that doesn't stand, is ended
LEFT_OVER_SECONDS = 2.5
# after which a domain that has become smaller gets the layout of its new size
REMEMBER_SIZE_SECONDS = 15.0
# before the first request: without a new endpoint for so long the list is whole
GROWING_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class _Size:
    """How many endpoints a fabric domain had at most, and when."""

    service: str
    failure_domain: str
    size: int
    at: float


class Controller(mode.Service):
    """Plans, and carries plans out, while this daemon holds the controller's lease.

    :param quiet: whether no caller has sent anything yet since the very first start.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        view: StoreView,
        election: Election,
        orders: Orders,
        groups: GroupRecords,
        detector: FailureDetector,
        peers: PeerChannel,
        ended: EndedGroups,
        clock: t.Callable[[], float],
        quiet: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._view = view
        self._election = election
        self._orders = orders
        self._groups = groups
        self._detector = detector
        self._peers = peers
        self._ended = ended
        self._clock = clock
        self._quiet = quiet
        self._wake = asyncio.Event()
        self._term = 0
        self._begin_term()
        self._sizes: dict[str, _Size] = {}
        self._listed = (0, clock())
        view.on_change(self._wake.set)
        detector.on_suspicion(self._suspected)

    def _begin_term(self) -> None:
        settings, clock, orders = self._settings.control, self._clock, self._orders
        view, groups = self._view, self._groups
        self._jobs: set[asyncio.Task[None]] = set()
        self._first_seen: dict[GroupId, float] = {}
        self._examined: dict[GroupId, float] = {}
        self._unlisted = UnlistedEndpoints(view, orders, clock, self._start)
        self._lost = LostEndpoints(view, orders, self._start, self._wake.set)
        self._ending = GroupEnding(
            view, orders, groups, self._ended, self._detector, self._peers, clock, self._start
        )
        self._forming = GroupForming(
            settings,
            view,
            orders,
            groups,
            self._lost,
            self._ending,
            self._term,
            clock,
            self._start,
        )
        self._loader = ModelLoader(view, orders, self._lost, clock, self._start)
        orders.forget()
        groups.begin_term()

    @mode.Service.task
    async def _plan_task(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), PLAN_SECONDS)
            self._wake.clear()
            self._observe()
            if not self._election.leads:
                continue
            if self._term != self._election.term:
                self._cancel()
                self._term = self._election.term
                self._begin_term()
            try:
                self._plan()
            except Exception as error:
                events.TASK_FAILED.log(task="plan", reason=repr(error))

    async def on_stop(self) -> None:
        """End what is under way."""
        self._cancel()

    def _cancel(self) -> None:
        for task in self._jobs:
            task.cancel()

    def _start(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._guarded(work))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    async def _guarded(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        try:
            await work
        except LeaseError:
            pass
        except ThorncleatError as error:
            events.TASK_FAILED.log(task="orders", reason=str(error))
        except Exception as error:
            events.TASK_FAILED.log(task="orders", reason=repr(error))
        self._wake.set()

    # planning

    def _plan(self) -> None:
        configuration = self._view.configuration
        if configuration is None:
            return
        if self._quiet() and self._still_growing():
            return
        self._ending.tell()
        self._unlisted.look()
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine)
        self._lost.forget_unlisted()

    def _still_growing(self) -> bool:
        """Tell whether the list has grown lately: a layout for a part of it would not last."""
        now, count = self._clock(), len(self._view.roster.endpoints)
        if count > self._listed[0]:
            self._listed = (count, now)
        return now - self._listed[1] < GROWING_SECONDS

    def _plan_service(self, service: str, engine: Engine) -> None:
        endpoints = self._view.roster.of_service(service)
        views = self._views(service, endpoints)
        self._look_at_groups(service, engine, views)
        for one in endpoints:
            if self._is_free(one):
                view = views[one.fabric_domain]
                (view.weak if one.draining else view.free).append(one)
        for one in self._unlisted.of_service(service):
            if one.fabric_domain in views and self._is_free(one):
                views[one.fabric_domain].weak.append(one)
        wanted = formation.layout(list(views.values()), engine.models)
        total = sum((view.standing for view in views.values()), collections.Counter[str]())
        goal = sum(wanted.values(), collections.Counter[str]())

        def scarcity(model: EngineModel) -> float:
            return 1 - total[model.name] / max(1, goal[model.name])

        for view in sorted(views.values(), key=lambda one: one.name):
            self._plan_domain(view, wanted[view.name], engine, scarcity)

    def _observe(self) -> None:
        """Remember how large the domains are, for when this daemon becomes the controller."""
        now = self._clock()
        counts: collections.Counter[tuple[str, str, str]] = collections.Counter(
            (one.service, one.fabric_domain, one.failure_domain)
            for one in self._view.roster.endpoints.values()
            if one.fabric_domain
        )
        for (service, name, zone), count in counts.items():
            peak = self._sizes.get(name)
            if peak is None or count >= peak.size or now - peak.at > REMEMBER_SIZE_SECONDS:
                self._sizes[name] = _Size(service, zone, count, now)

    def _views(self, service: str, endpoints: t.Sequence[Endpoint]) -> dict[str, DomainView]:
        now = self._clock()
        staging = self._loader.staging()
        counts = collections.Counter(one.fabric_domain for one in endpoints)
        views = {
            name: DomainView(name, one.size, one.failure_domain, staging=staging)
            for name, one in self._sizes.items()
            if one.service == service and (name in counts or now - one.at < REMEMBER_SIZE_SECONDS)
        }
        for one in endpoints:
            views[one.fabric_domain].holding.update(one.staged)
        return views

    def _look_at_groups(
        self, service: str, engine: Engine, views: t.Mapping[str, DomainView]
    ) -> None:
        groups = self._view.roster.groups
        for group_id, form in self._forming.under_way.items():
            if group_id not in self._ending and form.domain in views:
                views[form.domain].standing[form.model.name] += 1
        for group in groups.values():
            first = next(iter(group.members.values()))
            if first.service != service or group.id in self._forming.under_way:
                continue
            if group.id in self._ending or not self._groups.may_answer(group.id):
                continue
            model = engine.model(group.model)
            if model is not None and self._stands(group, model):
                views[first.fabric_domain].standing[model.name] += 1
        self._end_unseen(service)

    def _end_unseen(self, service: str) -> None:
        """End groups of which no member is listed any more."""
        for group in self._groups.groups:
            leader = self._groups.leader(group)
            if leader is None or leader.service != service or group in self._view.roster.groups:
                continue
            if group in self._forming.under_way or group in self._ending:
                continue
            if self._groups.may_answer(group) and self._age(group) > LEFT_OVER_SECONDS:
                self._ending.end(group, "no member listed", [])

    def _age(self, group: GroupId) -> float:
        """Return for how many seconds this term has seen a group that it isn't forming."""
        now = self._clock()
        return now - self._first_seen.setdefault(group, now)

    def _stands(self, group: Group, model: EngineModel) -> bool:
        """Tell whether a group serves or may soon; if it can't, begin to end it."""
        age = self._age(group.id)
        members = list(group.members.values())
        missing = [rank for rank in range(model.size) if rank not in group.members]
        cause = ""
        if any(one.id in self._lost for one in members):
            cause = "member unreachable"
        elif any(not self._unlisted.holds(group.id, rank) for rank in missing):
            # a list that is being read may lack some members for a moment
            if age > PLAN_SECONDS and self._view.settled:
                cause = "member not listed"
        elif group.leader is None:
            if self._view.settled:
                cause = "leader not listed"
        elif group.state in (GroupState.BROKEN, GroupState.CLOSING):
            cause = f"leader {group.state.value}"
        elif group.state is not GroupState.OPEN and age > LEFT_OVER_SECONDS:
            cause = "left over"
        if cause:
            self._ending.end(group.id, cause, members)
        elif group.leader is not None and group.leader.draining:
            cause = "leader draining"
            self._ending.end(group.id, cause, members, graceful=True)
        return not cause

    def _is_free(self, one: Endpoint) -> bool:
        if one.id in self._lost or not self._forming.takes(one.id):
            return False
        member = self._orders.listed(one)
        return member is None or not self._groups.may_answer(member.group)

    def _plan_domain(
        self,
        view: DomainView,
        wanted: collections.Counter[str],
        engine: Engine,
        scarcity: t.Callable[[EngineModel], float],
    ) -> None:
        used: set[str] = set()
        if self._forming.pauses(view.name):
            return
        for form in formation.forms(view, wanted, engine.models, scarcity):
            used.update(one.id for one in form.members)
            if not form.cold or self._quiet():
                self._forming.form(form)
                continue
            # hosts load first, so that the others stay free for whoever is back sooner
            for one in form.cold:
                if one.id not in view.staging and self._may_load(engine):
                    self._loader.stage(Stage(one, form.model))
        model_loader = [one for one in view.free if one.id not in used]
        for stage in formation.stages(view, wanted, engine.models, model_loader):
            if self._may_load(engine):
                self._loader.stage(stage)

    def _may_load(self, engine: Engine) -> bool:
        """Tell whether a load may begin; those before the first request are not counted."""
        return self._quiet() or self._loader.may_load(engine)

    def _suspected(self, suspicion: Suspicion) -> None:
        if not self._election.leads or self._term != self._election.term:
            return
        now = self._clock()
        group = self._view.roster.groups.get(suspicion.group)
        if group is None or now - self._examined.get(group.id, 0.0) < EXAMINE_AGAIN_SECONDS:
            return
        if group.id in self._ending or not self._groups.may_answer(group.id):
            return
        self._examined[group.id] = now
        self._start(self._lost.examine(list(group.members.values())))
