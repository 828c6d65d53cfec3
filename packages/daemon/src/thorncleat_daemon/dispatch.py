"""Admission and group selection of requests, by the credits of the permits held.

Owns: the queue of each intent, and the outstanding work of each group.
Relies on: permits and their credits (:mod:`.permits`); each slot being released once.
"""

import asyncio
import collections
import dataclasses
import typing as t

import mode

from thorncleat_core import clock
from thorncleat_core.daemon import routing
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.configuration import Intent
from thorncleat_core.daemon.permits import HeldPermit
from thorncleat_core.daemon.queues import FairQueue
from thorncleat_core.daemon.queues import QueuedRequest
from thorncleat_core.daemon.retries import Ejection

from . import retry_after
from .exceptions import RequestError
from .permits import PermitManager

QUEUE_POLL_INTERVAL_SECONDS = 0.05
# Estimates a prompt's tokens from its length.
CHARACTERS_PER_TOKEN = 4
# Time until a new group is chosen as often as the others.
WARM_UP_SECONDS = 5.0
INITIAL_WARMTH = 0.2


@dataclasses.dataclass
class Slot:
    """A reservation for one request in one group.

    :param generation: the group's generation when the slot was assigned.
    :param leader: address to send the request to.
    :param cost: tokens charged.
    """

    group: str
    generation: int
    leader: str
    workspace: str
    cost: int


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """The requirements of a request that waits for a slot.

    :param cost: tokens charged.
    :param deadline: on the monotonic clock, in seconds.
    :param prefix: identity of the prompt's beginning, for cache affinity.
    :param avoid: groups in which an earlier attempt failed.
    """

    intent: Intent
    workspace: str
    cost: int
    priority: int
    deadline: float
    prefix: str
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass
class _SlotWaiter:
    request: SlotRequest
    future: "asyncio.Future[Slot]"


def prompt_cost(characters: int, max_tokens: int) -> int:
    """Return the tokens that a request is charged.

    :param characters: length of the prompt.
    """
    return characters // CHARACTERS_PER_TOKEN + max_tokens + 1


class OutstandingWork:
    """Counts this daemon's outstanding tokens and requests in each group."""

    def __init__(self) -> None:
        self._tokens: dict[str, collections.Counter[str]] = {}
        self._requests: collections.Counter[str] = collections.Counter()

    def requests(self, group: str) -> int:
        """Return the number of outstanding requests of a group."""
        return self._requests[group]

    def tokens(self, group: str) -> collections.Counter[str]:
        """Return the outstanding tokens of a group by workspace."""
        return self._tokens.setdefault(group, collections.Counter())

    def add(self, slot: Slot) -> None:
        """Add a request that was sent."""
        self._requests[slot.group] += 1
        self.tokens(slot.group)[slot.workspace] += slot.cost

    def remove(self, slot: Slot) -> None:
        """Remove a request that ended."""
        self._requests[slot.group] -= 1
        tokens = self.tokens(slot.group)
        tokens[slot.workspace] -= slot.cost
        if tokens[slot.workspace] <= 0:
            del tokens[slot.workspace]

    def available_tokens(self, held: HeldPermit, workspace: str) -> int:
        """Return the tokens that a workspace may still send to a group.

        The spare credits of a permit are shared by all workspaces that exceed their own.
        """
        permit = held.permit
        tokens = self.tokens(permit.group)
        own = max(0, permit.credits.get(workspace, 0) - tokens[workspace])
        borrowed = sum(
            max(0, amount - permit.credits.get(name, 0)) for name, amount in tokens.items()
        )
        return own + max(0, permit.spare - borrowed)


class Dispatcher(mode.Service):
    """Assigns slots in groups to waiting requests, fairly across workspaces.

    :param routing_choice: name of the routing policy.
    :param queue_tokens: limit of queued tokens for each workspace and intent.
    """

    def __init__(
        self,
        permits: PermitManager,
        configuration: t.Callable[[], Configuration],
        routing_choice: str,
        queue_tokens: int,
        now: clock.Clock = clock.now,
    ) -> None:
        super().__init__()
        self._clock = now
        self._permits = permits
        self._configuration = configuration
        self._choose_group = routing.routing_policies.get(routing_choice)
        self._queue_tokens = queue_tokens
        self._queues: dict[str, FairQueue[_SlotWaiter]] = {}
        self._outstanding = OutstandingWork()
        self._first_used_at: dict[tuple[str, int], float] = {}
        self.ejection = Ejection()
        permits.usage = self
        permits.on_renewed(self._serve_all_queues)

    def in_flight(self, group: str) -> int:
        """Return the number of requests running in a group."""
        return self._outstanding.requests(group)

    def demand(self, group: str) -> dict[str, int]:
        """Return the tokens running in a group or queued for it, by workspace."""
        demand = collections.Counter(self._outstanding.tokens(group))
        intent = group.rsplit("-", 1)[0]
        queue = self._queues.get(intent)
        if queue:
            configured_intent = self._configuration().intents.get(intent)
            groups = (
                self._permits.groups(intent, configured_intent.model) if configured_intent else []
            )
            # Queued requests are assumed to spread evenly over the groups; rounded up.
            for workspace, waiting in queue.queued_tokens.items():
                demand[workspace] += -(-waiting // max(1, len(groups)))
        return {name: amount for name, amount in demand.items() if amount > 0}

    @property
    def waiting(self) -> int:
        """The number of requests in all queues."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot and return it; the caller must :meth:`release` it.

        :raises RequestError: if the queue is full or the deadline passes. The request was not run.
        """
        queue = self._queues.setdefault(request.intent.name, FairQueue(self._queue_tokens))
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        waiting = QueuedRequest(
            _SlotWaiter(request, future),
            request.workspace,
            request.cost,
            request.priority,
            request.deadline,
        )
        retry_seconds = queue.retry_after(waiting, self._clock())
        if retry_seconds is not None:
            raise _overload_error(request, retry_seconds)
        ticket = queue.add(waiting)
        self._serve_queue(request.intent.name)
        if not future.done():
            await self._permits.renew_early()
            self._serve_queue(request.intent.name)
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel_wait(queue, ticket, waiting)
            raise

    def _cancel_wait(
        self, queue: FairQueue[_SlotWaiter], ticket: int, waiting: QueuedRequest[_SlotWaiter]
    ) -> None:
        future = waiting.item.future
        if future.done() and not future.cancelled() and future.exception() is None:
            # The slot was assigned just before the cancellation.
            self.release(future.result())
        else:
            queue.remove(ticket, waiting)

    def release(self, slot: Slot) -> None:
        """Release a slot and serve the queue of its intent."""
        self._outstanding.remove(slot)
        self._serve_queue(slot.group.rsplit("-", 1)[0])

    @mode.Service.task
    async def _tick_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(QUEUE_POLL_INTERVAL_SECONDS)
            self._fail_expired()
            self._serve_all_queues()
            if self.waiting:
                # A renewal may bring more credits.
                await self._permits.renew_early()

    def _fail_expired(self) -> None:
        now = self._clock()
        for queue in self._queues.values():
            for waiting in queue.pop_expired(now):
                if not waiting.item.future.done():
                    error = _overload_error(
                        waiting.item.request,
                        retry_after.EXPIRED_IN_QUEUE,
                        "deadline passed in the queue",
                    )
                    waiting.item.future.set_exception(error)

    def _serve_all_queues(self) -> None:
        for name in self._queues:
            self._serve_queue(name)

    def _serve_queue(self, name: str) -> None:
        queue = self._queues.get(name)
        intent = self._configuration().intents.get(name)
        if not queue or intent is None:
            return
        now = self._clock()
        usable = self._permits.usable(name, intent.model)
        while usable:
            waiting = queue.pop(
                lambda workspace, cost: bool(self._permits_with_capacity(usable, workspace, cost)),
                self._configuration().shares,
                now,
            )
            if waiting is None:
                return
            if not waiting.item.future.done():
                self._assign_slot(waiting.item, usable, now)

    def _permits_with_capacity(
        self, usable: list[HeldPermit], workspace: str, cost: int
    ) -> list[HeldPermit]:
        return [
            held
            for held in usable
            if self._outstanding.available_tokens(held, workspace) >= cost
            # A request that exceeds any credit runs alone instead of waiting forever.
            or (not self._outstanding.requests(held.permit.group) and held.permit.spare > 0)
        ]

    def _assign_slot(self, waiter: _SlotWaiter, usable: list[HeldPermit], now: float) -> None:
        request = waiter.request
        with_capacity = self._permits_with_capacity(usable, request.workspace, request.cost)
        names = self.ejection.usable_endpoints([held.permit.group for held in with_capacity], now)
        preferred = [name for name in names if name not in request.avoid] or names
        by_name = {held.permit.group: held.permit for held in with_capacity}
        candidates = [
            self._routing_candidate(name, by_name[name].generation, now) for name in preferred
        ]
        permit = by_name[self._choose_group(request.prefix, request.cost, candidates)]
        slot = Slot(permit.group, permit.generation, permit.leader, request.workspace, request.cost)
        self._outstanding.add(slot)
        waiter.future.set_result(slot)

    def _routing_candidate(self, group: str, generation: int, now: float) -> routing.Candidate:
        since = self._first_used_at.setdefault((group, generation), now)
        # Groups first used together are equally warm, so their order doesn't change.
        warmth = min(1.0, INITIAL_WARMTH + (now - since) / WARM_UP_SECONDS)
        return routing.Candidate(group, self._outstanding.tokens(group).total(), warmth=warmth)


def _overload_error(
    request: SlotRequest, seconds: float, reason: str = "no room in time"
) -> RequestError:
    return RequestError(
        503,
        "No room",
        f"{reason} for model {request.intent.model!r}",
        retry_after=retry_after.with_jitter(seconds),
        cause="overload",
    )
