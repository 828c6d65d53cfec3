"""Keeping the groups of all fabric domains as the layout wants them.

Whoever holds the controller's lease plans from the list, where the members themselves say
which groups there are. What has to hold whatever orders are lost or come late:

- an epoch is never given twice, and a later controller's epochs are higher;
- a group is recorded in the store before its first order, and its record goes only when its
  leader surely answers no more: it has left, its process has ended, or it is neither listed
  nor heard by anyone; a member is ordered into a group only when its former one has no record;
- members are never ordered to leave, only leaders: who is in no group is free;
- an order to join names the number of orders that the engine had begun when that was so;
- a group is opened only after each member was seen ready under its name and epoch.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing as t

import mode

from thorncleat_core import formation
from thorncleat_core.exceptions import LeaseError
from thorncleat_core.exceptions import ThorncleatError
from thorncleat_core.formation import DomainView
from thorncleat_core.formation import Form
from thorncleat_core.formation import Stage
from thorncleat_core.roster import Endpoint
from thorncleat_core.roster import Group
from thorncleat_core.roster import GroupId
from thorncleat_core.roster import GroupState
from thorncleat_core.serving import Engine
from thorncleat_core.serving import EngineModel

from . import events
from .ended_groups import EndedGroups
from .exceptions import EndpointError
from .exceptions import EndpointGoneError
from .exceptions import StoreError
from .group_records import GroupRecords
from .membership import Election
from .mirror import Mirror
from .orders import Orders
from .peers import Peers
from .peers import Probe
from .peers import Suspicion
from .ports import Close
from .ports import Join
from .ports import Leave
from .ports import Load
from .ports import Open
from .ports import Outcome
from .pulse import Pulse
from .settings import GatewaySettings
from .unlisted import Unlisted

# formations that one term can number
EPOCHS_PER_TERM = 100_000
PLAN_SECONDS = 0.25
LOOK_SECONDS = 0.02
ASK_SECONDS = 0.25
EXAMINE_AGAIN_SECONDS = 0.3
# after which a group that an earlier controller began, and that doesn't stand, is ended
LEFT_OVER_SECONDS = 2.5
# after which a domain that has become smaller gets the layout of its new size
REMEMBER_SIZE_SECONDS = 15.0
# before the first request: without a new endpoint for so long the list is whole
GROWING_SECONDS = 1.0
# for a draining group's requests to end
CLOSE_SECONDS = 6.0
# in a domain where a group could not be formed
PAUSE_SECONDS = 0.3
# in which an engine that did not join a group is not asked again
REFUSED_SECONDS = 2.0
OPEN_TRIES = 5
JOIN_TRIES = 6
# part of the weight store's rate that is used
LOAD_RATE_PART = 0.9


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
        mirror: Mirror,
        election: Election,
        orders: Orders,
        groups: GroupRecords,
        pulse: Pulse,
        peers: Peers,
        ended: EndedGroups,
        clock: t.Callable[[], float],
        quiet: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._mirror = mirror
        self._election = election
        self._orders = orders
        self._groups = groups
        self._pulse = pulse
        self._peers = peers
        self._ended = ended
        self._clock = clock
        self._quiet = quiet
        self._wake = asyncio.Event()
        self._term = 0
        self._begin_term()
        self._sizes: dict[str, _Size] = {}
        self._listed = (0, clock())
        mirror.on_change(self._wake.set)
        pulse.on_suspicion(self._suspected)

    def _begin_term(self) -> None:
        self._formed = 0
        self._jobs: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._forming: dict[GroupId, Form] = {}
        self._ending: set[GroupId] = set()
        self._unreachable: set[str] = set()
        self._staging: dict[str, tuple[str, float]] = {}
        self._first_seen: dict[GroupId, float] = {}
        self._examined: dict[GroupId, float] = {}
        self._paused: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self._unlisted = Unlisted(self._mirror, self._orders, self._clock, self._start)
        self._load_tokens = 0.0
        self._loads_at = self._clock()
        self._orders.forget()
        self._groups.begin_term()

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
        configuration = self._mirror.configuration
        if configuration is None:
            return
        if self._quiet() and self._still_growing():
            return
        for group in self._ending:
            self._ended.tell(group)
        self._unlisted.look()
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine)
        for endpoint_id in list(self._unreachable):
            if endpoint_id not in self._mirror.roster.endpoints:
                self._unreachable.discard(endpoint_id)

    def _still_growing(self) -> bool:
        """Tell whether the list has grown lately: a layout for a part of it would not last."""
        now, count = self._clock(), len(self._mirror.roster.endpoints)
        if count > self._listed[0]:
            self._listed = (count, now)
        return now - self._listed[1] < GROWING_SECONDS

    def _plan_service(self, service: str, engine: Engine) -> None:
        endpoints = self._mirror.roster.of_service(service)
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
            for one in self._mirror.roster.endpoints.values()
            if one.fabric_domain
        )
        for (service, name, zone), count in counts.items():
            peak = self._sizes.get(name)
            if peak is None or count >= peak.size or now - peak.at > REMEMBER_SIZE_SECONDS:
                self._sizes[name] = _Size(service, zone, count, now)

    def _views(self, service: str, endpoints: t.Sequence[Endpoint]) -> dict[str, DomainView]:
        now = self._clock()
        self._staging = {
            key: one
            for key, one in self._staging.items()
            if one[1] > now and not self._has(key, one[0])
        }
        staging = {key: model for key, (model, _) in self._staging.items()}
        counts = collections.Counter(one.fabric_domain for one in endpoints)
        views = {
            name: DomainView(name, one.size, one.failure_domain, staging=staging)
            for name, one in self._sizes.items()
            if one.service == service and (name in counts or now - one.at < REMEMBER_SIZE_SECONDS)
        }
        for one in endpoints:
            views[one.fabric_domain].holding.update(one.staged)
        return views

    def _has(self, endpoint_id: str, model: str) -> bool:
        listed = self._mirror.roster.endpoints.get(endpoint_id)
        return listed is not None and model in listed.staged

    def _look_at_groups(
        self, service: str, engine: Engine, views: t.Mapping[str, DomainView]
    ) -> None:
        groups = self._mirror.roster.groups
        for group_id, form in self._forming.items():
            if group_id not in self._ending and form.domain in views:
                views[form.domain].standing[form.model.name] += 1
        for group in groups.values():
            first = next(iter(group.members.values()))
            if first.service != service or group.id in self._forming:
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
            if leader is None or leader.service != service or group in self._mirror.roster.groups:
                continue
            if group in self._forming or group in self._ending:
                continue
            if self._groups.may_answer(group) and self._age(group) > LEFT_OVER_SECONDS:
                self._end(group, "no member listed", [])

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
        if any(one.id in self._unreachable for one in members):
            cause = "member unreachable"
        elif any(not self._unlisted.holds(group.id, rank) for rank in missing):
            # a list that is being read may lack some members for a moment
            if age > PLAN_SECONDS and self._mirror.settled:
                cause = "member not listed"
        elif group.leader is None:
            if self._mirror.settled:
                cause = "leader not listed"
        elif group.state in (GroupState.BROKEN, GroupState.CLOSING):
            cause = f"leader {group.state.value}"
        elif group.state is not GroupState.OPEN and age > LEFT_OVER_SECONDS:
            cause = "left over"
        if cause:
            self._end(group.id, cause, members)
        elif group.leader is not None and group.leader.draining:
            cause = "leader draining"
            self._end(group.id, cause, members, graceful=True)
        return not cause

    def _all_ready(self, group: GroupId, members: t.Sequence[Endpoint]) -> bool:
        return all(self._orders.seen_ready(one, group) for one in members)

    def _is_free(self, one: Endpoint) -> bool:
        if one.id in self._busy or one.id in self._unreachable:
            return False
        if self._refused.get(one.id, 0.0) > self._clock():
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
        if self._clock() < self._paused.get(view.name, 0.0):
            return
        for form in formation.forms(view, wanted, engine.models, scarcity):
            used.update(one.id for one in form.members)
            if not form.cold or self._quiet():
                self._form(form)
                continue
            # hosts load first, so that the others stay free for whoever is back sooner
            for one in form.cold:
                if one.id not in view.staging and self._may_load(engine):
                    self._stage(Stage(one, form.model))
        spares = [one for one in view.free if one.id not in used]
        for stage in formation.stages(view, wanted, engine.models, spares):
            if self._may_load(engine):
                self._stage(stage)

    def _may_load(self, engine: Engine) -> bool:
        """Take a load out of the weight store's rate; tell whether it may begin."""
        if self._quiet():
            return True
        now = self._clock()
        rate = engine.loads_per_second * LOAD_RATE_PART
        self._load_tokens = min(
            2 * rate + engine.loads_at_once / 2, self._load_tokens + (now - self._loads_at) * rate
        )
        self._loads_at = now
        if self._load_tokens < 1:
            return False
        self._load_tokens -= 1
        return True

    # ending groups

    def _end(
        self, group: GroupId, cause: str, members: t.Sequence[Endpoint], *, graceful: bool = False
    ) -> None:
        self._ending.add(group)
        self._ended.tell(group)
        events.GROUP_ENDED.log(
            group=group.name, cause=cause, members=[one.id for one in members], graceful=graceful
        )
        self._start(self._detach(group, graceful))

    async def _detach(self, group: GroupId, graceful: bool) -> None:
        """Make sure that a group answers no more, and set its members free."""
        begun = self._clock()
        try:
            how = "no record"
            leader = self._groups.leader(group)
            if leader is not None:
                if graceful:
                    await self._drain(leader, group)
                how = await self._detach_from(leader, group)
            self._groups.end(group)
            seconds = round(self._clock() - begun, 3)
            events.GROUP_DETACHED.log(group=group.name, how=how, seconds=seconds)
        finally:
            self._ending.discard(group)

    async def _drain(self, leader: Endpoint, group: GroupId) -> None:
        """Let a leader finish its requests."""
        until = self._clock() + CLOSE_SECONDS
        try:
            await self._orders.give(leader, Close(group))
        except EndpointError:
            return
        while self._clock() < until:
            member = self._orders.listed(leader)
            if member is None or member.group != group or member.state is GroupState.READY:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def _detach_from(self, leader: Endpoint, group: GroupId) -> str:
        """Make a leader leave, or wait until it surely is no more."""
        while True:
            try:
                outcome = await self._orders.give(leader, Leave(group))
                if outcome is Outcome.BEGUN or outcome is Outcome.DONE:
                    return "left"
                if not await self._is_in(leader, group):
                    return "in no such group"
            except EndpointGoneError:
                return "process ended"
            except EndpointError:
                if await self._surely_dead(leader, group):
                    return "neither listed nor heard"
            await asyncio.sleep(ASK_SECONDS)

    async def _is_in(self, one: Endpoint, group: GroupId) -> bool:
        """Ask an engine whether it is in a group."""
        member = (await self._orders.ask(one)).membership
        return member is not None and member.group == group

    async def _surely_dead(self, leader: Endpoint, group: GroupId) -> bool:
        """Wait while a leader is silent; False as soon as it answers again."""
        while True:
            if leader.id not in self._mirror.roster.endpoints and self._mirror.age() < 2.0:
                asked_at = self._clock()
                self._peers.tell_all(Probe(leader.id))
                answers = await self._orders.answers(leader)
                await asyncio.sleep(2 * ASK_SECONDS)
                if answers:
                    return False
                unlisted = leader.id not in self._mirror.roster.endpoints
                if unlisted and not self._pulse.heard_since(leader.id, asked_at - 1.0):
                    return True
            elif await self._orders.answers(leader):
                return False
            await asyncio.sleep(ASK_SECONDS)

    # forming groups

    def _next_group(self) -> GroupId:
        self._formed += 1
        epoch = self._term * EPOCHS_PER_TERM + self._formed
        return GroupId(epoch, f"g{epoch}")

    def _form(self, form: Form) -> None:
        group = self._next_group()
        self._claim(group, form)
        events.GROUP_FORMING.log(
            group=group.name,
            model=form.model.name,
            domain=form.domain,
            members=[one.id for one in form.members],
            cold=[one.id for one in form.cold],
        )
        self._start(self._join_and_open(group, form))

    def _claim(self, group: GroupId, form: Form) -> None:
        self._forming[group] = form
        self._busy.update(one.id for one in form.members)

    def _release(self, group: GroupId, form: Form) -> None:
        self._forming.pop(group, None)
        self._busy.difference_update(one.id for one in form.members)

    async def _join_and_open(self, group: GroupId, form: Form) -> None:
        begun = self._clock()
        try:
            if not await self._recorded(group, form):
                return
            order = Join(group, form.model.name, tuple(one.id for one in form.members))
            joined = await asyncio.gather(*(self._join(one, order) for one in form.members))
            for one, taken in zip(form.members, joined, strict=True):
                if not taken:
                    self._refused[one.id] = self._clock() + REFUSED_SECONDS
            if all(joined) and await self._wait_ready(group, form):
                await self._open(group, form, begun)
                return
            seconds = round(self._clock() - begun, 3)
            events.GROUP_FAILED.log(group=group.name, step="join", joined=joined, seconds=seconds)
            self._paused[form.domain] = self._clock() + PAUSE_SECONDS
            self._end(group, "not formed", form.members)
        finally:
            self._release(group, form)

    async def _recorded(self, group: GroupId, form: Form) -> bool:
        """Write the group's record; without it no member may be ordered to join."""
        try:
            written = await self._groups.begin(group, form)
            cause = "no longer the controller"
        except StoreError as error:
            written, cause = False, str(error)
        if not written:
            self._paused[form.domain] = self._clock() + PAUSE_SECONDS
            events.GROUP_FAILED.log(group=group.name, step="record", cause=cause)
        return written

    async def _open(self, group: GroupId, form: Form, begun: float) -> None:
        leader = form.members[0]
        for _ in range(OPEN_TRIES):
            try:
                outcome = await self._orders.give(leader, Open(group))
                if outcome is Outcome.DONE or outcome is Outcome.BEGUN:
                    events.GROUP_OPENED.log(
                        group=group.name,
                        leader=leader.id,
                        model=form.model.name,
                        seconds=round(self._clock() - begun, 3),
                    )
                    await self._wait_open(leader)
                    return
                if not await self._is_in(leader, group):
                    break
            except EndpointGoneError:
                break
            except EndpointError:
                pass
            await asyncio.sleep(LOOK_SECONDS)
        events.GROUP_FAILED.log(group=group.name, step="open")
        self._end(group, "not opened", form.members)

    async def _wait_open(self, leader: Endpoint) -> None:
        """Count the group as forming until the list shows that it answers."""
        until = self._clock() + 2.0
        while self._clock() < until:
            listed = self._mirror.roster.endpoints.get(leader.id)
            if listed is None or listed.leads:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def _join(self, one: Endpoint, order: Join) -> bool:
        """Order one engine into a group, unless its former group may still answer.

        The order holds only for the state that the report before it showed.
        """
        for _ in range(JOIN_TRIES):
            try:
                report = await self._orders.ask(one)
                member = report.membership
                if member is not None and member.group == order.group:
                    return True
                if member is not None and self._groups.may_answer(member.group):
                    return False
                outcome = await self._orders.give(one, order, report.order_count)
            except EndpointGoneError:
                self._lost(one, "process ended")
                return False
            except EndpointError:
                if not await self._orders.answers(one):
                    self._lost(one, "silent")
                    return False
                continue
            if outcome is Outcome.DONE or outcome is Outcome.BEGUN:
                return True
            if outcome is not Outcome.CONFLICT:
                return False
        return False

    async def _wait_ready(self, group: GroupId, form: Form) -> bool:
        """Wait until each member was seen ready under the group's name and epoch."""
        control = self._settings.control
        begun = asked_at = self._clock()
        limit = control.form_timeout + 2 * form.model.warm
        if form.cold:
            limit += 3 * form.model.load
        while self._clock() - begun < limit:
            if self._all_ready(group, form.members):
                return True
            missing = [one for one in form.members if not self._all_ready(group, [one])]
            if any(one.id in self._unreachable for one in form.members):
                return False
            if self._clock() - asked_at > 2 * ASK_SECONDS:
                asked_at = self._clock()
                for one in missing:
                    if not await self._still_joining(one, group):
                        return False
            await asyncio.sleep(LOOK_SECONDS)
        return False

    async def _still_joining(self, one: Endpoint, group: GroupId) -> bool:
        if not await self._orders.answers(one):
            self._lost(one, "silent while joining")
            return False
        return await self._is_in(one, group)

    # spares

    def _stage(self, stage: Stage) -> None:
        one, model = stage.endpoint, stage.model
        self._staging[one.id] = (model.name, self._clock() + 3 * model.load)
        events.ENDPOINT_STAGED.log(endpoint=one.id, model=model.name, domain=one.fabric_domain)
        self._start(self._load(one, model))

    async def _load(self, one: Endpoint, model: EngineModel) -> None:
        for _ in range(JOIN_TRIES):
            try:
                await self._orders.give(one, Load(model.name))
            except EndpointGoneError:
                self._lost(one, "process ended")
            except EndpointError:
                if await self._orders.answers(one):
                    continue
                self._lost(one, "silent")
            return

    # endpoints that don't answer

    def _lost(self, one: Endpoint, cause: str) -> None:
        if one.id in self._unreachable:
            return
        self._unreachable.add(one.id)
        events.ENDPOINT_LOST.log(endpoint=one.id, cause=cause)
        self._wake.set()
        self._start(self._await_return(one))

    async def _await_return(self, one: Endpoint) -> None:
        """Use an endpoint again when it answers."""
        while one.id in self._mirror.roster.endpoints:
            await asyncio.sleep(1.0)
            if await self._orders.answers(one):
                break
        self._unreachable.discard(one.id)

    def _suspected(self, suspicion: Suspicion) -> None:
        if not self._election.leads or self._term != self._election.term:
            return
        now = self._clock()
        group = self._mirror.roster.groups.get(suspicion.group)
        if group is None or now - self._examined.get(group.id, 0.0) < EXAMINE_AGAIN_SECONDS:
            return
        if group.id in self._ending or not self._groups.may_answer(group.id):
            return
        self._examined[group.id] = now
        self._start(self._examine(list(group.members.values())))

    async def _examine(self, members: t.Sequence[Endpoint]) -> None:
        answers = await asyncio.gather(*(self._orders.answers(one) for one in members))
        for one, answered in zip(members, answers, strict=True):
            if not answered:
                self._lost(one, "silent under suspicion")
