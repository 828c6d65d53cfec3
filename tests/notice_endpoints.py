"""The endpoints of :mod:`tests.notice_world`, and the connections of one daemon to them.

Each endpoint checks the requests that reach it against its own answers.
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
from thorncleat_gateway.tunnels.connector import current_path

from .fake_bodies import WholeBody

if t.TYPE_CHECKING:
    from .notice_world import NoticeWorld

ONE_WAY_SECONDS = 0.0014
# How long requests that were on their way may arrive after an answer that asks for a pause.
IN_FLIGHT_SECONDS = 0.5
# Requests that may arrive in the rest of the pause.
MAX_IN_PAUSE = 2
# How long callers' earlier requests may arrive after the answer of a draining endpoint.
DRAIN_SECONDS = 2.0
EVENT_SECONDS = 0.05
PLAIN_RUN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Size:
    """The size of a site.

    :param rate: requests per second.
    :param queue: length of an endpoint's queue.
    :param pause: seconds that an endpoint asks for when its queue is full.
    :param cold_rate: requests per second that a cold endpoint takes; 0 for any number.
    """

    daemons: int = 8
    endpoints: int = 16
    slots: int = 13
    rate: float = 60.0
    queue: int = 13
    pause: float = 3.0
    plain: bool = False
    cold_rate: float = 0.0


class Worker:
    """An endpoint, or the leader of a group, which checks what reaches it.

    :ivar decline_headers: headers beside "not run" with which every request is declined; None to
        decline requests only when the queue is full.
    :ivar extra_headers: headers of all answers.
    :ivar pauses: the pauses asked for, as their times and seconds, by daemon.
    :ivar in_pauses: requests that arrived within a pause, by daemon and time of the pause.
    :ivar late_sends: of these, the requests that were sent after the answer had arrived.
    :ivar draining_since: when each daemon first received that the endpoint drains.
    :ivar sends_to_draining: requests that were sent after their daemon had received that.
    :ivar late_to_draining: of these, the requests that their callers sent long after it.
    :ivar senders: the daemons that sent the requests in ``arrivals``.
    :ivar sent_at: when they opened the connections for them.
    :ivar limited_since: when each daemon first received a limit.
    """

    def __init__(self, world: "NoticeWorld", number: int, born: int) -> None:
        self.world = world
        self.number = number
        self.alive = True
        # Breaks the running streams.
        self.cut = asyncio.Event()
        self.decline_headers: dict[str, str] | None = None
        self.extra_headers: dict[str, str] = {}
        self.running = 0
        self.waiting: collections.deque[asyncio.Future] = collections.deque()
        self.pauses: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
        self.draining_since: dict[str, float] = {}
        self.in_pauses: collections.Counter = collections.Counter()
        self.late_sends = 0
        self.sends_to_draining = 0
        self.late_to_draining = 0
        self.arrivals: list[float] = []
        self.senders: list[str] = []
        self.sent_at: list[float] = []
        self.limited_since: dict[str, float] = {}
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
    def max_in_a_pause(self) -> int:
        return max(self.in_pauses.values(), default=0)

    def record_arrival(self, daemon: str, sent_at: float, caller_sent_at: float) -> None:
        """Check a request against the answers that its daemon got from this endpoint."""
        now = self.world.now()
        self.arrivals.append(now)
        self.senders.append(daemon)
        self.sent_at.append(sent_at)
        for asked_at, seconds in self.pauses[daemon]:
            if now > asked_at + seconds:
                continue
            if now > asked_at + IN_FLIGHT_SECONDS:
                self.in_pauses[daemon, asked_at] += 1
            if sent_at > asked_at + 2 * ONE_WAY_SECONDS:
                self.late_sends += 1
        draining_since = self.draining_since.get(daemon)
        if draining_since is not None:
            self.sends_to_draining += sent_at > draining_since
            self.late_to_draining += caller_sent_at > draining_since + DRAIN_SECONDS

    def record_answer(
        self, daemon: str, status: int, headers: dict[str, str]
    ) -> multidict.CIMultiDict:
        """Record what an answer says, and return its headers."""
        headers = {**headers, **self.extra_headers}
        now = self.world.now()
        if status == 503 and "Retry-After" in headers:
            with contextlib.suppress(ValueError):
                self.pauses[daemon].append((now, float(headers["Retry-After"])))
        if "Server-Limit" in headers:
            self.limited_since.setdefault(daemon, now + 2 * ONE_WAY_SECONDS)
        if headers.get("Server-Leaving") == "1":
            self.draining_since.setdefault(daemon, now + 2 * ONE_WAY_SECONDS)
        return multidict.CIMultiDict(headers)

    def max_in_a_span(self, begin: float, end: float = float("inf")) -> int:
        """Return the most requests within a span from daemons that know the limit.

        :param begin: start of the examined time, on the loop's clock.
        """
        counted = [
            at
            for at, daemon in zip(self.arrivals, self.senders, strict=True)
            if begin <= at <= end
            and at >= self.limited_since.get(daemon, at) + limit_rule.NOTICE_GRACE_SECONDS
        ]
        return limit_rule.max_requests_in_window(counted)

    async def acquire_slot(self) -> bool:
        """Wait for a slot; return False at once if the queue is full."""
        if self.running < self.world.size.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.world.size.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def release_slot(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Content:
    """The body of a streamed answer."""

    def __init__(self, worker: Worker, events: int) -> None:
        self._worker = worker
        self._left = events
        self._number = 0

    async def readany(self) -> bytes:
        if not self._left:
            return b""
        await asyncio.sleep(EVENT_SECONDS)
        if self._worker.cut.is_set():
            raise aiohttp.ClientPayloadError("cut")
        self._left -= 1
        self._number += 1
        return b"id: %d\ndata: x\n\n" % self._number


class Response:
    content_length = None
    connection = None

    def __init__(self, status, headers, content) -> None:
        self.status = status
        self.headers = headers
        self.content = content

    def close(self) -> None:
        pass


def _mark_connected() -> None:
    """Tell what the class of connections tells as soon as one is up."""
    path = current_path.get()
    assert path is not None
    path.is_connected = True


class Session:
    """The connections of one daemon to the endpoints."""

    def __init__(self, world: "NoticeWorld", daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    @contextlib.asynccontextmanager
    async def request(self, method, url, *, data, headers, timeout, allow_redirects):
        world, sent_at = self._world, self._world.now()
        headers = multidict.CIMultiDict(headers)
        await asyncio.sleep(world.connect_seconds)
        worker = world.at(f"{url.host}:{url.port}")
        if worker is None:
            raise aiohttp.ConnectionTimeoutError("nobody")
        _mark_connected()
        await asyncio.sleep(ONE_WAY_SECONDS)
        request_id = headers["X-Thorncleat-Attempt-Id"]
        echo = {"X-Thorncleat-Attempt-Id": request_id}
        not_run = {**echo, "X-Thorncleat-Not-Executed": "1"}
        if headers["X-Thorncleat-Expect-Instance"] != worker.endpoint.id:
            yield await self._respond(
                421, multidict.CIMultiDict({**not_run, **worker.extra_headers})
            )
            return
        worker.record_arrival(self._daemon, sent_at, world.sent_at[request_id])
        if worker.decline_headers is not None:
            worker.declined += 1
            yield await self._respond(
                503, worker.record_answer(self._daemon, 503, {**not_run, **worker.decline_headers})
            )
            return
        if not await worker.acquire_slot():
            worker.declined += 1
            pause = {"Retry-After": f"{world.size.pause:.2f}"} if world.size.pause else {}
            yield await self._respond(
                503, worker.record_answer(self._daemon, 503, {**not_run, **pause})
            )
            return
        try:
            if world.size.plain:
                await asyncio.sleep(PLAIN_RUN_SECONDS)
            signed = {**echo, "X-Thorncleat-Response-Stamp": "stamp"}
            answer_headers = worker.record_answer(self._daemon, 200, signed)
            content = Content(worker, world.events())
            if world.size.plain:
                content = WholeBody(b"whole")
            yield await self._respond(200, answer_headers, content)
        finally:
            worker.release_slot()

    async def _respond(self, status, headers, content=None) -> Response:
        await asyncio.sleep(ONE_WAY_SECONDS)
        return Response(status, headers, content)
