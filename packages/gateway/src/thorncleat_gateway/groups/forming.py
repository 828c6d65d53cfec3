"""Forming groups: a record, joins that hold only for what was seen, and opening.

- An epoch is never given twice, and a later controller's epochs are higher.
- A group is recorded in the store before its first order.
- An order to join names the number of orders that the engine had begun when it was seen free.
- A group is opened only after each member was seen ready under its name and epoch.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointGoneError
from ..exceptions import StoreError
from ..ports import Join
from ..ports import Open
from ..ports import Outcome
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.view import StoreView
from .ending import ASK_SECONDS
from .ending import LOOK_SECONDS
from .ending import GroupEnding
from .formation import Form
from .lost_endpoints import LostEndpoints
from .lost_endpoints import Start
from .orders import Orders
from .records import GroupRecords

# formations that one term can number
EPOCHS_PER_TERM = 100_000
# in a domain where a group could not be formed
PAUSE_SECONDS = 0.3
# in which an engine that did not join a group is not asked again
REFUSED_SECONDS = 2.0
OPEN_TRIES = 5
JOIN_TRIES = 6
# for the list to show that a group answers
LISTED_SECONDS = 2.0


class GroupForming:
    """Forms groups, and knows which are being formed.

    :param term: of this controller; begins its epochs.
    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        settings: ControlSettings,
        view: StoreView,
        orders: Orders,
        groups: GroupRecords,
        lost: LostEndpoints,
        ending: GroupEnding,
        term: int,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._settings = settings
        self._view = view
        self._orders = orders
        self._groups = groups
        self._lost = lost
        self._ending = ending
        self._term = term
        self._clock = clock
        self._start = start
        self._formed = 0
        self._busy: set[str] = set()
        self._paused: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self.under_way: dict[GroupId, Form] = {}

    def takes(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint may be ordered into a group now."""
        refused = self._refused.get(endpoint_id, 0.0) > self._clock()
        return not refused and endpoint_id not in self._busy

    def pauses(self, domain: str) -> bool:
        """Tell whether a domain is left alone after a failure."""
        return self._clock() < self._paused.get(domain, 0.0)

    def _next_group(self) -> GroupId:
        self._formed += 1
        epoch = self._term * EPOCHS_PER_TERM + self._formed
        return GroupId(epoch, f"g{epoch}")

    def form(self, form: Form) -> None:
        """Begin to form a group."""
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
        self.under_way[group] = form
        self._busy.update(one.id for one in form.members)

    def _release(self, group: GroupId, form: Form) -> None:
        self.under_way.pop(group, None)
        self._busy.difference_update(one.id for one in form.members)

    async def _join_and_open(self, group: GroupId, form: Form) -> None:
        begun = self._clock()
        try:
            if not await self._recorded(group, form):
                return
            order = Join(group, form.model.name, tuple(one.id for one in form.members))
            joined = await asyncio.gather(*(self.join(one, order) for one in form.members))
            for one, taken in zip(form.members, joined, strict=True):
                if not taken:
                    self._refused[one.id] = self._clock() + REFUSED_SECONDS
            if all(joined) and await self._wait_ready(group, form):
                await self._open(group, form, begun)
                return
            seconds = round(self._clock() - begun, 3)
            events.GROUP_FAILED.log(group=group.name, step="join", joined=joined, seconds=seconds)
            self._paused[form.domain] = self._clock() + PAUSE_SECONDS
            self._ending.end(group, "not formed", form.members)
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
                if not await self._orders.is_in(leader, group):
                    break
            except EndpointGoneError:
                break
            except EndpointError:
                pass
            await asyncio.sleep(LOOK_SECONDS)
        events.GROUP_FAILED.log(group=group.name, step="open")
        self._ending.end(group, "not opened", form.members)

    async def _wait_open(self, leader: Endpoint) -> None:
        """Count the group as forming until the list shows that it answers."""
        until = self._clock() + LISTED_SECONDS
        while self._clock() < until:
            listed = self._view.roster.endpoints.get(leader.id)
            if listed is None or listed.leads:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def join(self, one: Endpoint, order: Join) -> bool:
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
                self._lost.lose(one, "process ended")
                return False
            except EndpointError:
                if not await self._orders.answers(one):
                    self._lost.lose(one, "silent")
                    return False
                continue
            if outcome is Outcome.DONE or outcome is Outcome.BEGUN:
                return True
            if outcome is not Outcome.CONFLICT:
                return False
        return False

    async def _wait_ready(self, group: GroupId, form: Form) -> bool:
        """Wait until each member was seen ready under the group's name and epoch."""
        control = self._settings
        begun = asked_at = self._clock()
        limit = control.form_timeout + 2 * form.model.warm
        if form.cold:
            limit += 3 * form.model.load
        while self._clock() - begun < limit:
            if self._all_ready(group, form.members):
                return True
            missing = [one for one in form.members if not self._all_ready(group, [one])]
            if any(one.id in self._lost for one in form.members):
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
            self._lost.lose(one, "silent while joining")
            return False
        return await self._orders.is_in(one, group)

    def _all_ready(self, group: GroupId, members: t.Sequence[Endpoint]) -> bool:
        return all(self._orders.seen_ready(one, group) for one in members)
