"""A fair queue of requests for one model.

Workspaces take turns by deficit round robin. Within a workspace, requests are ordered by priority,
deadline and arrival.

Owns: the queued requests and the rate at which they leave the queue.
Relies on: estimates of the requests' costs in tokens.
"""

import collections
import dataclasses
import heapq
import itertools
import typing as t

Item = t.TypeVar("Item")

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
# Weight of the latest interval in the smoothed drain rate.
RATE_GAIN = 0.3


@dataclasses.dataclass(frozen=True)
class QueuedRequest(t.Generic[Item]):
    """A request in the queue.

    :param cost: estimated cost in tokens.
    :param priority: priority; the highest goes first.
    :param deadline: time after which the request is dropped.
    """

    item: Item
    workspace: str
    cost: int
    priority: int
    deadline: float


class DrainRate:
    """The smoothed rate in tokens per second at which requests leave a queue."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._interval_cost = 0
        self._interval_start: float | None = None

    def record(self, cost: int, now: float) -> None:
        """Record a request that left the queue."""
        self._update(now)
        self._interval_cost += cost

    def tokens_per_second(self, now: float) -> float:
        """Return the rate; 0 until the first interval has been measured."""
        self._update(now)
        return self._rate

    def _update(self, now: float) -> None:
        if self._interval_start is None:
            self._interval_start = now
        elapsed = now - self._interval_start
        if elapsed < 1.0:
            return
        latest = self._interval_cost / elapsed
        self._rate = latest if not self._rate else self._rate + RATE_GAIN * (latest - self._rate)
        self._interval_cost = 0
        self._interval_start = now


class FairQueue(t.Generic[Item]):
    """A queue of requests that is fair between workspaces.

    :param limit: maximum queued tokens for each workspace.
    :param quantum: tokens that a workspace of weight 1 may send in a round.
    """

    def __init__(self, limit: int, quantum: int = 512) -> None:
        self._limit = limit
        self._quantum = quantum
        self._queues: dict[str, list[tuple[int, float, int, QueuedRequest[Item]]]] = {}
        self._round: collections.deque[str] = collections.deque()
        self._deficit: dict[str, float] = {}
        self._queued_tokens: collections.Counter[str] = collections.Counter()
        self._tickets = itertools.count()
        self._removed: set[int] = set()
        self.drain_rate = DrainRate()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values()) - len(self._removed)

    @property
    def queued_tokens(self) -> t.Mapping[str, int]:
        """The queued tokens of each workspace."""
        return self._queued_tokens

    def retry_after(self, request: QueuedRequest[Item], now: float) -> float | None:
        """Return None if a request can be queued, else the seconds after which to retry.

        A request is rejected if the queue of its workspace is full, or if it is expected to exceed
        its deadline in the queue.
        """
        ahead = self._queued_tokens[request.workspace]
        rate = self.drain_rate.tokens_per_second(now)
        expected_wait = ahead / rate if rate else 0.0
        is_full = ahead > 0 and ahead + request.cost > self._limit
        if not is_full and now + expected_wait <= request.deadline:
            return None
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, expected_wait))

    def add(self, request: QueuedRequest[Item]) -> int:
        """Add a request and return a ticket for :meth:`remove`."""
        ticket = next(self._tickets)
        queue = self._queues.setdefault(request.workspace, [])
        if request.workspace not in self._deficit:
            self._deficit[request.workspace] = 0.0
            self._round.append(request.workspace)
        heapq.heappush(queue, (-request.priority, request.deadline, ticket, request))
        self._queued_tokens[request.workspace] += request.cost
        return ticket

    def remove(self, ticket: int, request: QueuedRequest[Item]) -> None:
        """Remove a request whose caller has disconnected."""
        self._removed.add(ticket)
        self._queued_tokens[request.workspace] -= request.cost

    def pop_expired(self, now: float) -> list[QueuedRequest[Item]]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[QueuedRequest[Item]] = []
        for name, queue in self._queues.items():
            late_entries = [entry for entry in queue if entry[1] <= now]
            if not late_entries:
                continue
            self._queues[name] = [entry for entry in queue if entry[1] > now]
            heapq.heapify(self._queues[name])
            for _, _, ticket, request in late_entries:
                if ticket in self._removed:
                    self._removed.discard(ticket)
                    continue
                self._queued_tokens[name] -= request.cost
                expired.append(request)
        return expired

    def pop(
        self,
        may_send: t.Callable[[str, int], bool],
        weights: t.Mapping[str, float],
        now: float,
    ) -> QueuedRequest[Item] | None:
        """Remove and return the next request that can be sent, or None if there is none.

        :param may_send: function that returns whether a workspace can send a request of a cost.
        :param weights: share of each workspace.
        """
        blocked = 0
        while self._round and blocked < len(self._round):
            name = self._round[0]
            head = self._head(name)
            if head is None:
                self._remove_workspace(name)
                continue
            if not may_send(name, head.cost):
                # Resetting the deficit prevents a burst once the workspace can send again.
                self._deficit[name] = 0.0
                self._round.rotate(-1)
                blocked += 1
                continue
            if self._deficit[name] < head.cost:
                self._deficit[name] += self._quantum * weights.get(name, 1.0)
                self._round.rotate(-1)
                blocked = 0
                continue
            self._deficit[name] -= head.cost
            heapq.heappop(self._queues[name])
            self._queued_tokens[name] -= head.cost
            self.drain_rate.record(head.cost, now)
            return head
        return None

    def _head(self, name: str) -> QueuedRequest[Item] | None:
        queue = self._queues[name]
        while queue and queue[0][2] in self._removed:
            self._removed.discard(heapq.heappop(queue)[2])
        return queue[0][3] if queue else None

    def _remove_workspace(self, name: str) -> None:
        self._round.remove(name)
        del self._queues[name]
        del self._deficit[name]
        if not self._queued_tokens[name]:
            del self._queued_tokens[name]
