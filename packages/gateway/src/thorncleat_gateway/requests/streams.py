"""Streamed requests: events are passed on as they come, and go on elsewhere if a group fails."""

import asyncio
import typing as t

from .. import events
from ..exceptions import AttemptError
from ..exceptions import Ran
from ..exceptions import RefusalError
from ..peers.loads import Loads
from ..peers.pulse import Pulse
from ..peers.pulse import Run
from ..ports import Headers
from ..ports import Wire
from ..store.roster import Endpoint
from ..store.serving import Engine
from .dispatch import Dispatcher
from .event_stream import EventCutter
from .request import Repeats
from .request import Request
from .request import log_failed
from .upstream import Exchange
from .upstream import Upstream

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


class StreamRequests:
    """Serves requests from the groups of a service."""

    def __init__(
        self,
        wire: Wire,
        upstream: Upstream,
        dispatcher: Dispatcher,
        loads: Loads,
        repeats: Repeats,
        pulse: Pulse,
        clock: t.Callable[[], float],
    ) -> None:
        self._wire = wire
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._loads = loads
        self._repeats = repeats
        self._pulse = pulse
        self._clock = clock

    async def serve(self, request: Request, engine: Engine, caller: CallerStream) -> None:
        """Pass an answer on until it is whole.

        :raises RefusalError: if nothing of it was passed on.
        :raises CutError: if it can't be completed.
        """
        cutter = EventCutter()
        while True:
            one = await self._choose(request, engine, caller)
            try:
                await self._attempt(request, one, cutter, caller)
                self._dispatcher.answered(one.id, well=True)
                return
            except AttemptError as error:
                request.failed(one, error, counted=not self._never_began(request, one, error))
                self._dispatcher.answered(one.id, well=False)
                log_failed(request, one, error, self._clock())
                self._after_failure(request, one, error, caller)
            cutter.restart()

    def _never_began(self, request: Request, one: Endpoint, error: AttemptError) -> bool:
        """Tell whether a group was silent since before a request was sent to it."""
        quiet = not self._pulse.heard_since(one.id, request.sent_at)
        return error.ran is Ran.MAYBE and quiet

    def _after_failure(
        self, request: Request, one: Endpoint, error: AttemptError, caller: CallerStream
    ) -> None:
        """Go on to the next attempt, or end the request.

        :raises RefusalError: to end it.
        """
        if not error.sent:
            self._dispatcher.avoid(one.id)
            self._pulse.suspect(one, error.cause)
        late = self._clock() >= request.until
        movable = error.ran is Ran.NO or request.route.resumable
        if not late and movable and self._repeats.take(request):
            return
        cause = "out of time" if late else error.cause
        if caller.begun:
            raise CutError(cause)
        raise request.refusal(cause, RETRY_AFTER_SECONDS)

    async def _choose(self, request: Request, engine: Engine, caller: CallerStream) -> Endpoint:
        until = min(request.until, self._clock() + WAIT_FOR_GROUP_SECONDS)
        model = request.head.model
        while True:
            one = self._dispatcher.leader(request.service.name, engine, model, request.tried)
            if one is not None:
                return one
            if not caller.begun:
                there, suspected = self._dispatcher.known(request.service.name, model)
                cause = f"no group for {model!r}: {there} open, {suspected} of them suspected"
                raise request.refusal(cause, RETRY_AFTER_SECONDS)
            if self._clock() >= until:
                raise CutError("no group to go on in")
            await asyncio.sleep(LOOK_SECONDS)

    async def _attempt(
        self, request: Request, one: Endpoint, cutter: EventCutter, caller: CallerStream
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + request.until - self._clock()
        run: Run | None = None
        with self._loads.running(one.id):
            try:
                async with asyncio.timeout_at(until) as scope:
                    run = Run(
                        one,
                        self._clock(),
                        movable=lambda: self._movable(request, caller),
                        leave=lambda: scope.reschedule(loop.time()),
                    )
                    self._pulse.begin(run)
                    await self._exchange(request, run, cutter, caller)
            except TimeoutError:
                cause = "group silent" if run is not None and run.left else "out of time"
                raise AttemptError(cause, Ran.MAYBE) from None
            finally:
                if run is not None:
                    self._pulse.end(run)

    def _movable(self, request: Request, caller: CallerStream) -> bool:
        """Tell whether a run could go on elsewhere, as the group's watch asks."""
        if not request.route.resumable or request.sends + 1 >= request.route.max_attempts:
            return False
        return self._dispatcher.others(request.service.name, request.head.model, request.tried)

    async def _exchange(
        self, request: Request, run: Run, cutter: EventCutter, caller: CallerStream
    ) -> None:
        one = run.leader
        request.endpoint_id = one.id
        request.sent_at = self._clock()
        last = cutter.last_id or request.head.last_event_id
        headers = request.forwarded(self._wire, one, self._clock(), last)
        events.REQUEST_SENT.log(
            request=request.head.id, endpoint=one.id, load=self._loads.of(one.id), last=last
        )
        async with self._upstream.open(
            one.address, request.method, request.path, headers, request.body, request.head.id
        ) as exchange:
            self._pulse.heard(one.id, self._clock())
            if exchange.status != 200:
                await self._pass_failure(exchange, caller)
                return
            await self._relay(request, exchange, run, cutter, caller)

    async def _relay(
        self,
        request: Request,
        exchange: Exchange,
        run: Run,
        cutter: EventCutter,
        caller: CallerStream,
    ) -> None:
        while data := await exchange.more():
            now = self._clock()
            run.event(now)
            self._pulse.heard(run.leader.id, now)
            whole = cutter.feed(data)
            if not whole:
                continue
            request.event(now)
            if not caller.begun:
                await caller.begin(exchange.status, self._wire.returned(exchange.headers))
            await caller.write(whole)
        if cutter.mid_event or not cutter.events:
            raise AttemptError("the stream ended within an event", Ran.MAYBE)
        await caller.end()

    async def _pass_failure(self, exchange: Exchange, caller: CallerStream) -> None:
        """Pass a failure of the endpoint's own on."""
        if caller.begun:
            raise AttemptError(f"status {exchange.status}", Ran.MAYBE)
        body = await exchange.body()
        await caller.begin(exchange.status, self._wire.returned(exchange.headers))
        await caller.write(body)
        await caller.end()
