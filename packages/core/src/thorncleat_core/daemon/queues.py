"""The queue of one daemon before one model: short, and fair between workspaces.

Between workspaces deficit round robin by tokens; inside a workspace by priority, then by
deadline, then by arrival.

Owns: the requests that wait, and how fast they have left lately.
Relies on: costs in tokens that are estimated before the request runs.
"""

import collections
import dataclasses
import heapq
import itertools
import typing as t

Item = t.TypeVar("Item")

# shortest seconds after which to come back
MIN_RETRY_AFTER = 0.5
# longest
MAX_RETRY_AFTER = 30.0
# weight of the newest second in the measured drain rate
RATE_GAIN = 0.3


@dataclasses.dataclass(frozen=True)
class QueuedRequest(t.Generic[Item]):
    """A request in the queue.

    :param cost: tokens that it is charged with.
    :param priority: higher goes first.
    :param deadline: when it is of no use any more.
    """

    item: Item
    workspace: str
    cost: int
    priority: int
    deadline: float


class DrainRate:
    """Tokens a second that leave the queue, smoothed."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._bucket = 0
        self._since: float | None = None

    def record(self, cost: int, now: float) -> None:
        """Count work that was sent on."""
        self._roll(now)
        self._bucket += cost

    def tokens_per_second(self, now: float) -> float:
        """Return the rate in tokens a second; 0 while nothing is known."""
        self._roll(now)
        return self._rate

    def _roll(self, now: float) -> None:
        if self._since is None:
            self._since = now
        elapsed = now - self._since
        if elapsed < 1.0:
            return
        newest = self._bucket / elapsed
        self._rate = newest if not self._rate else self._rate + RATE_GAIN * (newest - self._rate)
        self._bucket = 0
        self._since = now


class FairQueue(t.Generic[Item]):
    """Requests that wait for room.

    :param limit: tokens that may wait for each workspace.
    :param quantum: tokens that a workspace of weight 1 may send a round.
    """

    def __init__(self, limit: int, quantum: int = 512) -> None:
        self._limit = limit
        self._quantum = quantum
        self._queues: dict[str, list[tuple[int, float, int, QueuedRequest[Item]]]] = {}
        self._round: collections.deque[str] = collections.deque()
        self._deficit: dict[str, float] = {}
        self._waiting_cost: collections.Counter[str] = collections.Counter()
        self._sequence = itertools.count()
        self._dropped: set[int] = set()
        self.drain_rate = DrainRate()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values()) - len(self._dropped)

    @property
    def waiting_cost(self) -> t.Mapping[str, int]:
        """Tokens that wait, for each workspace."""
        return self._waiting_cost

    def retry_after(self, waiting: QueuedRequest[Item], now: float) -> float | None:
        """Return None if a request may wait, else after how many seconds to come back.

        It may not if its workspace's queue is full, or if at the rate measured it would
        not leave the queue before its deadline.
        """
        ahead = self._waiting_cost[waiting.workspace]
        rate = self.drain_rate.tokens_per_second(now)
        expected = ahead / rate if rate else 0.0
        full = ahead > 0 and ahead + waiting.cost > self._limit
        if not full and now + expected <= waiting.deadline:
            return None
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, expected))

    def add(self, waiting: QueuedRequest[Item]) -> int:
        """Put a request into the queue; return a ticket for :meth:`remove`."""
        ticket = next(self._sequence)
        queue = self._queues.setdefault(waiting.workspace, [])
        if waiting.workspace not in self._deficit:
            self._deficit[waiting.workspace] = 0.0
            self._round.append(waiting.workspace)
        heapq.heappush(queue, (-waiting.priority, waiting.deadline, ticket, waiting))
        self._waiting_cost[waiting.workspace] += waiting.cost
        return ticket

    def remove(self, ticket: int, waiting: QueuedRequest[Item]) -> None:
        """Take a request out, whose caller has gone."""
        self._dropped.add(ticket)
        self._waiting_cost[waiting.workspace] -= waiting.cost

    def pop_expired(self, now: float) -> list[QueuedRequest[Item]]:
        """Take out and return the requests whose deadline has passed."""
        found: list[QueuedRequest[Item]] = []
        for name, queue in self._queues.items():
            late = [entry for entry in queue if entry[1] <= now]
            if not late:
                continue
            self._queues[name] = [entry for entry in queue if entry[1] > now]
            heapq.heapify(self._queues[name])
            for _, _, ticket, waiting in late:
                if ticket in self._dropped:
                    self._dropped.discard(ticket)
                    continue
                self._waiting_cost[name] -= waiting.cost
                found.append(waiting)
        return found

    def pop(
        self,
        may_send: t.Callable[[str, int], bool],
        weights: t.Mapping[str, float],
        now: float,
    ) -> QueuedRequest[Item] | None:
        """Take out the next request that may be sent; None if there is none.

        :param may_send: whether a workspace has room for a request of a cost.
        """
        blocked = 0
        while self._round and blocked < len(self._round):
            name = self._round[0]
            head = self._head(name)
            if head is None:
                self._retire(name)
                continue
            if not may_send(name, head.cost):
                # a workspace without room keeps no deficit to burst with later
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
            self._waiting_cost[name] -= head.cost
            self.drain_rate.record(head.cost, now)
            return head
        return None

    def _head(self, name: str) -> QueuedRequest[Item] | None:
        queue = self._queues[name]
        while queue and queue[0][2] in self._dropped:
            self._dropped.discard(heapq.heappop(queue)[2])
        return queue[0][3] if queue else None

    def _retire(self, name: str) -> None:
        self._round.remove(name)
        del self._queues[name]
        del self._deficit[name]
        if not self._waiting_cost[name]:
            del self._waiting_cost[name]
