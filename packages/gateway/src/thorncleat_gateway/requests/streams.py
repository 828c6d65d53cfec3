"""Streamed requests: events are passed on as they come, and go on elsewhere if a group fails.

Owns: nothing beside the request at hand.
Relies on: :mod:`.retry_policy` for what follows a failed attempt,
:mod:`..peers.failure_detector` to leave a silent group, and :mod:`.endpoint_selector` for the
group.
"""

import asyncio
import typing as t

from ..exceptions import AttemptError
from ..exceptions import Broken
from ..exceptions import EndpointClosedError
from ..exceptions import Ran
from ..exceptions import RefusalError
from ..peers.failure_detector import StreamAttempt
from ..ports import Headers
from ..store.roster import Endpoint
from ..store.serving import Engine
from . import request_log
from . import retry_policy
from .endpoint_client import EndpointAnswer
from .endpoint_client import Exchange
from .event_stream import EventSplitter
from .forwarder import Forwarder
from .request import Request
from .retry_policy import WAIT_FOR_GROUP_SECONDS
from .retry_policy import NextStep
from .retry_policy import StreamDecision

# between two looks for a group to go on in, in seconds
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


class StreamForwarder(Forwarder):
    """Serves requests from the groups of a service."""

    async def serve(self, request: Request, engine: Engine, caller: CallerStream) -> None:
        """Pass an answer on until it is whole.

        :raises RefusalError: if nothing of it was passed on.
        :raises CutError: if it can't be completed.
        """
        self._count(request)
        kept: list[EndpointAnswer] = []
        try:
            await self._serve(request, engine, caller, kept)
        except RefusalError:
            if not kept or caller.begun:
                raise
            # an endpoint's own answer, though a failure, tells the caller more than one of ours
            await _pass_on(kept[-1], caller)

    async def _serve(
        self,
        request: Request,
        engine: Engine,
        caller: CallerStream,
        kept: list[EndpointAnswer],
    ) -> None:
        """Make attempts until an answer is passed on.

        :param kept: takes the answers by which endpoints say that they failed.
        """
        splitter = EventSplitter()
        while True:
            endpoint = await self._choose(request, engine, caller)
            try:
                answer = await self._attempt(request, endpoint, splitter, caller)
                if answer is None:
                    self._selector.record_result(endpoint, succeeded=True)
                    self._crash_watch.record_served(request, endpoint)
                    return
                kept.append(answer)
                self._selector.avoid(endpoint)
                raise AttemptError(f"status {answer.status}", Ran.MAYBE)
            except EndpointClosedError:
                # it has said so since it was chosen; another one is chosen now
                request.tried.add(endpoint.id)
                continue
            except AttemptError as failure:
                decision = self._after_failure(request, endpoint, failure, caller)
                if decision is not NextStep.RETRY:
                    raise decision.error() from failure
            splitter.restart()

    def _after_failure(
        self, request: Request, endpoint: Endpoint, failure: AttemptError, caller: CallerStream
    ) -> StreamDecision:
        """Note a failed attempt and decide how the request goes on."""
        heard = self._detector.heard_since(endpoint.id, request.sent_at)
        counted = retry_policy.counts_as_sent(failure, heard_since_sent=heard)
        request.record_failure(endpoint, failure, counted=counted)
        self._crash_watch.record_failure(request, endpoint, failure)
        self._selector.record_result(endpoint, succeeded=False)
        request_log.failed(request, endpoint, failure, self._clock())
        if not failure.sent:
            self._selector.avoid(endpoint)
            self._detector.suspect(endpoint, failure.cause)
        elif failure.broken is not None and not self._load_table.own[endpoint.id]:
            # all that this daemon had there broke, so the endpoint has most likely crashed; others
            # would connect in vain, and the controller would learn it from them
            self._detector.suspect(endpoint, failure.cause)
        return retry_policy.after_stream_failure(
            failure,
            request.attempts_used(self._clock()),
            request.route,
            self._token(request),
            begun=caller.begun,
        )

    async def _choose(self, request: Request, engine: Engine, caller: CallerStream) -> Endpoint:
        """Return the leader of the group for the next attempt.

        :raises RefusalError: if there is none.
        """
        until = min(request.give_up_at, self._clock() + WAIT_FOR_GROUP_SECONDS)
        service, model = request.service.name, request.meta.model
        # requests that a crash broke go to groups drawn at random, so that they don't follow its
        # cause into the next group
        randomize = self._crash_watch.is_suspect(request)
        while True:
            self._check_held(request, begun=caller.begun)
            spared = self._crash_watch.is_denied_last_endpoint(
                request, lambda: self._selector.leaders(service, model)
            )
            endpoint = self._selector.choose_leader(
                service, engine, model, request.tried, randomize=randomize
            )
            if endpoint is not None and not spared:
                return endpoint
            no_group = retry_policy.LAST_ENDPOINT if spared else self._no_group(service, model)
            decision = retry_policy.without_group(
                no_group,
                may_have_run=request.may_have_run,
                begun=caller.begun,
                waited=self._clock() >= until,
                pause_left=self._selector.pause_left(service, model),
            )
            if decision is not NextStep.WAIT_FOR_GROUP:
                raise decision.error()
            await asyncio.sleep(LOOK_SECONDS)

    def _no_group(self, service: str, model: str) -> str:
        groups = self._selector.count_groups(service, model)
        cause = f"no group for {model!r}: {groups.open} open, {groups.suspected} of them suspected"
        return f"{cause}, {groups.paused} paused" if groups.paused else cause

    async def _attempt(
        self, request: Request, endpoint: Endpoint, splitter: EventSplitter, caller: CallerStream
    ) -> EndpointAnswer | None:
        """Pass an answer on; return it instead if it says that the endpoint failed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + request.give_up_at - self._clock()
        attempt: StreamAttempt | None = None
        with self._load_table.running(endpoint.id):
            try:
                async with asyncio.timeout_at(until) as scope:
                    attempt = StreamAttempt(
                        endpoint,
                        self._clock(),
                        movable=lambda: self._movable(request),
                        leave=lambda: scope.reschedule(loop.time()),
                    )
                    self._detector.begin(attempt)
                    return await self._exchange(request, attempt, splitter, caller)
            except TimeoutError:
                leave_cause = attempt.leave_cause if attempt is not None else ""
                raise AttemptError(leave_cause or retry_policy.OUT_OF_TIME, Ran.MAYBE) from None
            finally:
                if attempt is not None:
                    self._detector.end(attempt)

    def _movable(self, request: Request) -> bool:
        """Return whether an attempt could go on in another group now."""
        return retry_policy.can_leave_group(
            request.route, request.sends
        ) and self._selector.has_other_group(
            request.service.name, request.meta.model, request.tried
        )

    async def _exchange(
        self,
        request: Request,
        attempt: StreamAttempt,
        splitter: EventSplitter,
        caller: CallerStream,
    ) -> EndpointAnswer | None:
        endpoint = attempt.leader
        request.endpoint_id = endpoint.id
        request.sent_at, request.head_at = self._clock(), 0.0
        last = splitter.last_id or request.meta.last_event_id
        meta = request.forward_meta(endpoint, self._clock(), last)
        request_log.sent(request, endpoint, self._load_table.of(endpoint.id), last)
        async with self._endpoint_client.open(endpoint, request, meta) as exchange:
            request.head_at = self._clock()
            self._detector.heard(endpoint.id, request.head_at)
            self._crash_watch.record_answer_started(endpoint, request.sent_at)
            if exchange.status != 200:
                return await self._without_stream(exchange, caller)
            await self._relay(request, exchange, attempt, splitter, caller)
            return None

    async def _relay(
        self,
        request: Request,
        exchange: Exchange,
        attempt: StreamAttempt,
        splitter: EventSplitter,
        caller: CallerStream,
    ) -> None:
        while data := await exchange.more():
            now = self._clock()
            attempt.event(now)
            self._detector.heard(attempt.leader.id, now)
            whole = splitter.feed(data)
            if not whole:
                continue
            request.record_event(now)
            if not caller.begun:
                await caller.begin(exchange.status, exchange.headers)
            attempt.held_by_caller = True
            await caller.write(whole)
            attempt.held_by_caller = False
        if splitter.mid_event or not splitter.events:
            cause = "the stream ended within an event"
            raise AttemptError(cause, Ran.MAYBE, broken=Broken.AFTER_HEAD)
        await caller.end()

    async def _without_stream(
        self, exchange: Exchange, caller: CallerStream
    ) -> EndpointAnswer | None:
        """Pass on an answer that is no stream; return it instead if another group may do better.

        :raises AttemptError: if the caller has got the head of another answer.
        """
        if caller.begun:
            raise AttemptError(f"status {exchange.status}", Ran.MAYBE)
        answer = await exchange.whole()
        if answer.failed:
            return answer
        await _pass_on(answer, caller)
        return None


async def _pass_on(answer: EndpointAnswer, caller: CallerStream) -> None:
    await caller.begin(answer.status, answer.headers)
    await caller.write(answer.body)
    await caller.end()
