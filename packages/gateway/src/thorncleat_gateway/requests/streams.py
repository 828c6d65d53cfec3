"""Streamed requests: events are passed on as they come, and go on elsewhere if a group fails."""

import asyncio
import typing as t

from .. import events
from ..exceptions import AttemptError
from ..exceptions import Ran
from ..exceptions import RefusalError
from ..peers.failure_detector import FailureDetector
from ..peers.failure_detector import StreamAttempt
from ..peers.load_table import LoadTable
from ..ports import HeaderCodec
from ..ports import Headers
from ..store.roster import Endpoint
from ..store.serving import Engine
from .endpoint_client import EndpointClient
from .endpoint_client import Exchange
from .endpoint_selector import EndpointSelector
from .event_stream import EventSplitter
from .request import Request
from .request import RetryBudgets
from .request import log_failed

RETRY_AFTER_SECONDS = 0.4
# how long a stream that has begun waits for a group to go on in
WAIT_FOR_GROUP_SECONDS = 2.0
LOOK_SECONDS = 0.05


class CallerStream(t.Protocol):
    """The caller's side of a streamed answer."""

    @property
    def begun(self) -> bool:
        """Whether the caller has got the head."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""
        ...

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        ...

    async def end(self) -> None:
        """End the answer as whole."""
        ...


class CutError(RefusalError):
    """An answer that has begun can't be completed; the caller's connection has to be cut."""

    def __init__(self, cause: str) -> None:
        super().__init__(502, cause)


class StreamForwarder:
    """Serves requests from the groups of a service."""

    def __init__(
        self,
        codec: HeaderCodec,
        endpoint_client: EndpointClient,
        selector: EndpointSelector,
        load_table: LoadTable,
        retry_budgets: RetryBudgets,
        detector: FailureDetector,
        clock: t.Callable[[], float],
    ) -> None:
        self._codec = codec
        self._endpoint_client = endpoint_client
        self._selector = selector
        self._load_table = load_table
        self._retry_budgets = retry_budgets
        self._detector = detector
        self._clock = clock

    async def serve(self, request: Request, engine: Engine, caller: CallerStream) -> None:
        """Pass an answer on until it is whole.

        :raises RefusalError: if nothing of it was passed on.
        :raises CutError: if it can't be completed.
        """
        splitter = EventSplitter()
        while True:
            one = await self._choose(request, engine, caller)
            try:
                await self._attempt(request, one, splitter, caller)
                self._selector.answered(one.id, well=True)
                return
            except AttemptError as error:
                request.failed(one, error, counted=not self._never_began(request, one, error))
                self._selector.answered(one.id, well=False)
                log_failed(request, one, error, self._clock())
                self._after_failure(request, one, error, caller)
            splitter.restart()

    def _never_began(self, request: Request, one: Endpoint, error: AttemptError) -> bool:
        """Tell whether a group was silent since before a request was sent to it."""
        quiet = not self._detector.heard_since(one.id, request.sent_at)
        return error.ran is Ran.MAYBE and quiet

    def _after_failure(
        self, request: Request, one: Endpoint, error: AttemptError, caller: CallerStream
    ) -> None:
        """Go on to the next attempt, or end the request.

        :raises RefusalError: to end it.
        """
        if not error.sent:
            self._selector.avoid(one.id)
            self._detector.suspect(one, error.cause)
        late = self._clock() >= request.until
        movable = error.ran is Ran.NO or request.route.resumable
        if not late and movable and self._retry_budgets.take(request):
            return
        cause = "out of time" if late else error.cause
        if caller.begun:
            raise CutError(cause)
        raise request.refusal(cause, RETRY_AFTER_SECONDS)

    async def _choose(self, request: Request, engine: Engine, caller: CallerStream) -> Endpoint:
        until = min(request.until, self._clock() + WAIT_FOR_GROUP_SECONDS)
        model = request.meta.model
        while True:
            one = self._selector.leader(request.service.name, engine, model, request.tried)
            if one is not None:
                return one
            if not caller.begun:
                groups = self._selector.known(request.service.name, model)
                cause = (
                    f"no group for {model!r}: "
                    f"{groups.open} open, {groups.suspected} of them suspected"
                )
                raise request.refusal(cause, RETRY_AFTER_SECONDS)
            if self._clock() >= until:
                raise CutError("no group to go on in")
            await asyncio.sleep(LOOK_SECONDS)

    async def _attempt(
        self, request: Request, one: Endpoint, splitter: EventSplitter, caller: CallerStream
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + request.until - self._clock()
        run: StreamAttempt | None = None
        with self._load_table.running(one.id):
            try:
                async with asyncio.timeout_at(until) as scope:
                    run = StreamAttempt(
                        one,
                        self._clock(),
                        movable=lambda: self._movable(request, caller),
                        leave=lambda: scope.reschedule(loop.time()),
                    )
                    self._detector.begin(run)
                    await self._exchange(request, run, splitter, caller)
            except TimeoutError:
                cause = "group silent" if run is not None and run.left else "out of time"
                raise AttemptError(cause, Ran.MAYBE) from None
            finally:
                if run is not None:
                    self._detector.end(run)

    def _movable(self, request: Request, caller: CallerStream) -> bool:
        """Tell whether a run could go on elsewhere, as the group's watch asks."""
        if not request.route.resumable or request.sends + 1 >= request.route.max_attempts:
            return False
        return self._selector.others(request.service.name, request.meta.model, request.tried)

    async def _exchange(
        self, request: Request, run: StreamAttempt, splitter: EventSplitter, caller: CallerStream
    ) -> None:
        one = run.leader
        request.endpoint_id = one.id
        request.sent_at = self._clock()
        last = splitter.last_id or request.meta.last_event_id
        headers = request.forwarded(self._codec, one, self._clock(), last)
        events.REQUEST_SENT.log(
            request=request.meta.id, endpoint=one.id, load=self._load_table.of(one.id), last=last
        )
        async with self._endpoint_client.open(
            one.address, request.method, request.path, headers, request.body, request.meta.id
        ) as exchange:
            self._detector.heard(one.id, self._clock())
            if exchange.status != 200:
                await self._pass_failure(exchange, caller)
                return
            await self._relay(request, exchange, run, splitter, caller)

    async def _relay(
        self,
        request: Request,
        exchange: Exchange,
        run: StreamAttempt,
        splitter: EventSplitter,
        caller: CallerStream,
    ) -> None:
        while data := await exchange.more():
            now = self._clock()
            run.event(now)
            self._detector.heard(run.leader.id, now)
            whole = splitter.feed(data)
            if not whole:
                continue
            request.event(now)
            if not caller.begun:
                await caller.begin(exchange.status, self._codec.returned(exchange.headers))
            await caller.write(whole)
        if splitter.mid_event or not splitter.events:
            raise AttemptError("the stream ended within an event", Ran.MAYBE)
        await caller.end()

    async def _pass_failure(self, exchange: Exchange, caller: CallerStream) -> None:
        """Pass a failure of the endpoint's own on."""
        if caller.begun:
            raise AttemptError(f"status {exchange.status}", Ran.MAYBE)
        body = await exchange.body()
        await caller.begin(exchange.status, self._codec.returned(exchange.headers))
        await caller.write(body)
        await caller.end()
