"""The endpoints of :mod:`tests.notice_world`, and the connections of one daemon to them.

Each endpoint checks what reaches it against what it has answered to whom.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing as t

import aiohttp
import multidict
from bench import limit_rule

from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

if t.TYPE_CHECKING:
    from .notice_world import NoticeWorld

# one way, in seconds
WAY = 0.0014
# after an answer that asks for no requests, for what was on its way to the endpoint
IN_FLIGHT = 0.5
# that may still reach it in the rest of the time that it asked for
MOST_IN_PAUSE = 2
# after an answer by an endpoint that drains, for callers' requests that were sent before
DRAIN = 2.0
EVENT = 0.05
PLAIN_RUN = 0.05


@dataclasses.dataclass(frozen=True)
class Size:
    """A site.

    :param rate: requests a second.
    :param queue: requests that wait at an endpoint at most.
    :param pause: seconds that an endpoint asks for when its queue is full.
    """

    daemons: int = 8
    endpoints: int = 16
    slots: int = 13
    rate: float = 60.0
    queue: int = 13
    pause: float = 3.0
    plain: bool = False


class Worker:
    """An endpoint, or the leader of a group, which checks what reaches it.

    :ivar declines: headers beside "not run" with which it declines every request; None if it
        declines only when its queue is full.
    :ivar says: headers of all its answers.
    :ivar in_pauses: requests that reached it in a pause that it had asked for, by daemon and by
        when it had asked.
    :ivar late_sends: of these, how many were sent after the answer had come.
    :ivar sends_to_draining: requests that were sent to it after the daemon had its word.
    """

    def __init__(self, world: "NoticeWorld", number: int, born: int) -> None:
        self.world = world
        self.number = number
        self.alive = True
        # breaks the streams that it runs
        self.cut = asyncio.Event()
        self.declines: dict[str, str] | None = None
        self.says: dict[str, str] = {}
        self.running = 0
        self.waiting: collections.deque[asyncio.Future] = collections.deque()
        self.asked: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
        self.told: dict[str, float] = {}
        self.in_pauses: collections.Counter = collections.Counter()
        self.late_sends = 0
        self.sends_to_draining = 0
        self.late_to_draining = 0
        self.arrivals: list[float] = []
        # by whom they were sent; and when each daemon was first told of a limit
        self.senders: list[str] = []
        self.told_limit: dict[str, float] = {}
        self.declined = 0
        group = Membership(GroupId(born, f"g{number}"), 0, GroupState.OPEN)
        self.endpoint = Endpoint(
            f"w{number}",
            "narrator",
            f"10.0.0.{number}:1",
            f"z{number % 3}",
            models=() if world.size.plain else ("m",),
            membership=None if world.size.plain else group,
            born=born,
        )

    @property
    def most_in_a_pause(self) -> int:
        return max(self.in_pauses.values(), default=0)

    def arrives(self, daemon: str, sent_at: float, caller_sent_at: float) -> None:
        """Check a request against what this endpoint has answered to its daemon."""
        now = self.world.now()
        self.arrivals.append(now)
        self.senders.append(daemon)
        for asked_at, seconds in self.asked[daemon]:
            if now > asked_at + seconds:
                continue
            if now > asked_at + IN_FLIGHT:
                self.in_pauses[daemon, asked_at] += 1
            if sent_at > asked_at + 2 * WAY:
                self.late_sends += 1
        told_at = self.told.get(daemon)
        if told_at is not None:
            self.sends_to_draining += sent_at > told_at
            self.late_to_draining += caller_sent_at > told_at + DRAIN

    def answer(self, daemon: str, status: int, headers: dict[str, str]) -> multidict.CIMultiDict:
        """Note what an answer says, and return its headers."""
        headers = {**headers, **self.says}
        now = self.world.now()
        if status == 503 and "Retry-After" in headers:
            with contextlib.suppress(ValueError):
                self.asked[daemon].append((now, float(headers["Retry-After"])))
        if "Server-Limit" in headers:
            self.told_limit.setdefault(daemon, now + 2 * WAY)
        if headers.get("Server-Leaving") == "1":
            self.told.setdefault(daemon, now + 2 * WAY)
        return multidict.CIMultiDict(headers)

    def most_in_a_span(self, begin: float, end: float = float("inf")) -> int:
        """Return how many requests reached it in some span, of daemons that it had told.

        :param begin: of the time that is looked at, on the loop's clock.
        """
        counted = [
            at
            for at, daemon in zip(self.arrivals, self.senders, strict=True)
            if begin <= at <= end
            and at >= self.told_limit.get(daemon, at) + limit_rule.NOTICE_GRACE_SECONDS
        ]
        return limit_rule.max_requests_in_window(counted)

    async def slot(self) -> bool:
        """Wait for a place; return whether there is one, or room to wait."""
        if self.running < self.world.size.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.world.size.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def free(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Content:
    """The body of an answer, as it comes."""

    def __init__(self, worker: Worker, events: int) -> None:
        self._worker = worker
        self._left = events
        self._number = 0

    async def readany(self) -> bytes:
        if not self._left:
            return b""
        await asyncio.sleep(EVENT)
        if self._worker.cut.is_set():
            raise aiohttp.ClientPayloadError("cut")
        self._left -= 1
        self._number += 1
        return b"id: %d\ndata: x\n\n" % self._number


class Response:
    def __init__(self, status, headers, content) -> None:
        self.status = status
        self.headers = headers
        self.content = content

    async def read(self) -> bytes:
        return b"whole"

    def close(self) -> None:
        pass


class Session:
    """The connections of one daemon to the endpoints."""

    def __init__(self, world: "NoticeWorld", daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    @contextlib.asynccontextmanager
    async def request(self, method, url, *, data, headers, timeout, allow_redirects):
        world, sent_at = self._world, self._world.now()
        headers = multidict.CIMultiDict(headers)
        await asyncio.sleep(world.connecting)
        worker = world.at(f"{url.host}:{url.port}")
        if worker is None:
            raise aiohttp.ConnectionTimeoutError("nobody")
        await asyncio.sleep(WAY)
        request_id = headers["X-Thorncleat-Attempt-Id"]
        echo = {"X-Thorncleat-Attempt-Id": request_id}
        not_run = {**echo, "X-Thorncleat-Not-Executed": "1"}
        if headers["X-Thorncleat-Expect-Instance"] != worker.endpoint.id:
            yield await self._back(421, multidict.CIMultiDict({**not_run, **worker.says}))
            return
        worker.arrives(self._daemon, sent_at, world.sent_at[request_id])
        if worker.declines is not None:
            worker.declined += 1
            yield await self._back(
                503, worker.answer(self._daemon, 503, {**not_run, **worker.declines})
            )
            return
        if not await worker.slot():
            worker.declined += 1
            pause = {"Retry-After": f"{world.size.pause:.2f}"} if world.size.pause else {}
            yield await self._back(503, worker.answer(self._daemon, 503, {**not_run, **pause}))
            return
        try:
            if world.size.plain:
                await asyncio.sleep(PLAIN_RUN)
            signed = {**echo, "X-Thorncleat-Response-Stamp": "stamp"}
            answered = worker.answer(self._daemon, 200, signed)
            yield await self._back(200, answered, Content(worker, world.events()))
        finally:
            worker.free()

    async def _back(self, status, headers, content=None) -> Response:
        await asyncio.sleep(WAY)
        return Response(status, headers, content)
