"""Forwards streamed requests: passes events on as they come, and resumes failed streams elsewhere.

Owns: nothing; the state of a request is in :mod:`.request`.
Relies on: :mod:`.retry_policy` to decide after a failed attempt, :mod:`..peers.failure_detector` to
leave a silent group, and :mod:`.service_endpoints` for the endpoints of the service.
"""

import asyncio

from ..exceptions import AttemptError
from ..exceptions import ConnectionBreak
from ..exceptions import EndpointNotAcceptingError
from ..exceptions import Executed
from ..exceptions import RefusalError
from ..peers.failure_detector import StreamAttempt
from ..store.roster import Endpoint
from ..timeouts import reschedule
from . import request_log
from . import retry_policy
from . import service_endpoints
from .answer_budget import HeldBytes
from .caller_response import CallerStream
from .event_stream import EventSplitter
from .exchange import MIXED
from .exchange import EndpointAnswer
from .exchange import Exchange
from .exchange import too_large
from .forwarder import Forwarder
from .passing_on import pass_on_large
from .passing_on import pass_on_whole
from .request import Request
from .retry_policy import NextStep
from .retry_policy import StreamDecision
from .service_endpoints import ServiceEndpoints
from .slow_groups import GapMeter

GROUP_POLL_INTERVAL_SECONDS = 0.05


class StreamForwarder(Forwarder):
    """Serves streamed requests from the groups or the plain endpoints of a service."""

    async def serve(self, request: Request, caller: CallerStream) -> None:
        """Pass an answer on until it is complete.

        :raises RefusalError: if nothing of it was passed on.
        :raises AnswerAbortedError: if a part was passed on and the rest can't be.
        """
        endpoints = service_endpoints.of(request, self._selector)
        self._admit(request, endpoints)
        failed_answers: list[EndpointAnswer] = []
        with self._count_request(request), self._answers.hold() as held:
            try:
                await self._serve(request, endpoints, caller, held, failed_answers)
            except RefusalError:
                if not failed_answers or caller.has_begun:
                    raise
                # An endpoint's failed answer is more useful to the caller than a refusal.
                await pass_on_whole(failed_answers[-1], caller, states_length=False)

    def _admit(self, request: Request, endpoints: ServiceEndpoints) -> None:
        """Check before the first attempt that the endpoints have capacity for a request.

        :raises RefusalError: if it is shed.
        """
        if self._overload_control is None:
            return
        self._check_quarantine(request, has_begun=False)
        self._overload_control.admit(request, endpoints.model, endpoints.estimate_capacity())

    async def _serve(
        self,
        request: Request,
        endpoints: ServiceEndpoints,
        caller: CallerStream,
        held: HeldBytes,
        failed_answers: list[EndpointAnswer],
    ) -> None:
        """Make attempts until an answer is passed on.

        :param held: the memory for what isn't passed on yet.
        :param failed_answers: collects the answers with a failure status.
        """
        splitter = EventSplitter()
        while True:
            endpoint = await self._choose_endpoint(request, endpoints, caller)
            self._check_stop(request, must_go_on=caller.has_begun)
            request.expected = endpoints.expect(endpoint)
            try:
                answer = await self._attempt(request, endpoint, endpoints, splitter, caller, held)
                if answer is None:
                    self._selector.record_result(endpoint, succeeded=True)
                    self._record_served(request, endpoint, endpoints.model)
                    return
                failed_answers.append(answer)
                self._selector.avoid(endpoint)
                raise AttemptError(f"status {answer.status}", Executed.MAYBE)
            except EndpointNotAcceptingError:
                # The endpoint stopped accepting requests after it was chosen.
                request.tried.add(endpoint.id)
                continue
            except AttemptError as failure:
                decision = self._after_failure(request, endpoint, endpoints, failure, caller)
                if decision is not NextStep.RETRY:
                    raise decision.error() from failure
            splitter.restart()

    def _after_failure(
        self,
        request: Request,
        endpoint: Endpoint,
        endpoints: ServiceEndpoints,
        failure: AttemptError,
        caller: CallerStream,
    ) -> StreamDecision:
        """Record a failed attempt and decide how the request proceeds."""
        has_contact = self._detector.has_contact_since(endpoint.id, request.sent_at)
        is_counted = endpoints.counts_as_sent(failure, had_contact_since_sent=has_contact)
        request.record_failure(endpoint, failure, counted=is_counted)
        self._crash_watch.record_failure(request, endpoint, failure)
        self._selector.record_result(endpoint, succeeded=False)
        request_log.failed(request, endpoint, failure, self._clock())
        if failure.is_own_fault:
            # The failure says nothing of the endpoint.
            pass
        elif failure.is_unsound:
            self._selector.avoid(endpoint)
        elif not failure.sent:
            self._selector.avoid(endpoint)
            self._detector.suspect(endpoint, failure.cause)
        elif failure.broken is not None and not self._load_table.local_counts[endpoint.id]:
            # All requests of this daemon to the endpoint broke, so it has most likely crashed.
            # Suspecting it spares the other daemons failed connections and informs the controller.
            self._detector.suspect(endpoint, failure.cause)
        return retry_policy.after_stream_failure(
            failure,
            request.attempts_used(self._clock()),
            request.route,
            self._token_source(request),
            has_begun=caller.has_begun,
        )

    async def _choose_endpoint(
        self, request: Request, endpoints: ServiceEndpoints, caller: CallerStream
    ) -> Endpoint:
        """Return the endpoint of the next attempt; a stream that has begun waits for one.

        :raises RefusalError: if there is none, or the request is quarantined.
        :raises AnswerAbortedError: in these cases, if the caller has got the head of the answer.
        """
        started_at = self._clock()
        endpoint = self._find_endpoint(request, endpoints, caller, started_at)
        if endpoint is not None:
            return endpoint
        while endpoint is None:
            await asyncio.sleep(GROUP_POLL_INTERVAL_SECONDS)
            endpoint = self._find_endpoint(request, endpoints, caller, started_at)
        return endpoint

    def _find_endpoint(
        self,
        request: Request,
        endpoints: ServiceEndpoints,
        caller: CallerStream,
        started_at: float,
    ) -> Endpoint | None:
        """Return the endpoint of the next attempt; None if the stream goes on waiting for one.

        :param started_at: when it began to wait.
        :raises RefusalError: if nothing of the answer was passed on.
        :raises AnswerAbortedError: if a part was passed on, and the wait is over.
        """
        self._check_quarantine(request, has_begun=caller.has_begun)
        is_denied = self._crash_watch.is_denied_last_endpoint(request, endpoints.accepting)
        # Requests that a crash broke go to random groups, so that they don't meet its cause again.
        randomize = self._crash_watch.is_suspect(request)
        endpoint = endpoints.choose(self._clock(), randomize=randomize)
        if endpoint is not None and not is_denied:
            return endpoint
        cause = retry_policy.DENIED_LAST_ENDPOINT if is_denied else endpoints.missing_cause()
        self._check_wait(request, endpoints, caller, cause, started_at)
        return None

    def _check_wait(
        self,
        request: Request,
        endpoints: ServiceEndpoints,
        caller: CallerStream,
        cause: str,
        started_at: float,
    ) -> None:
        """Check that a request for which there is no endpoint goes on waiting for one.

        :param cause: why there is none.
        :param started_at: when it began to wait.
        :raises RefusalError: if nothing of the answer was passed on.
        :raises AnswerAbortedError: if a part was passed on, and the wait is over.
        """
        now = self._clock()
        pause_left = endpoints.pause_left()
        left = request.give_up_at - now
        decision = retry_policy.without_group(
            cause,
            may_have_run=request.may_have_run,
            has_begun=caller.has_begun,
            waited=retry_policy.has_waited(now - started_at, pause_left, left),
            pause_left=pause_left,
            is_late=left <= 0,
        )
        if decision is not NextStep.WAIT_FOR_GROUP:
            raise decision.error()

    async def _attempt(
        self,
        request: Request,
        endpoint: Endpoint,
        endpoints: ServiceEndpoints,
        splitter: EventSplitter,
        caller: CallerStream,
        held: HeldBytes,
    ) -> EndpointAnswer | None:
        """Pass an answer on, or return it if it has a failure status."""
        loop = asyncio.get_running_loop()
        until = loop.time() + request.give_up_at - self._clock()
        attempt: StreamAttempt | None = None
        with self._track(request, endpoint, endpoints.model):
            try:
                async with asyncio.timeout_at(until) as scope:
                    attempt = StreamAttempt(
                        endpoint,
                        self._clock(),
                        reserve_retry=lambda: self._reserve_retry(request, endpoints),
                        abort=lambda: reschedule(scope, loop.time()),
                        allowance=endpoints.silence_allowance(),
                    )
                    self._detector.watch(attempt)
                    return await self._exchange(request, attempt, splitter, caller, held)
            except TimeoutError:
                abort_cause = attempt.abort_cause if attempt is not None else ""
                cause = abort_cause or retry_policy.OUT_OF_TIME
                raise self._timeout_error(request, cause) from None
            finally:
                if attempt is not None:
                    self._detector.unwatch(attempt)

    def _reserve_retry(self, request: Request, endpoints: ServiceEndpoints) -> bool:
        """Reserve a retry of a stream whose endpoint is silent; return whether there is one.

        Without one it stays: its answer would be cut, though the endpoint may go on.
        """
        can_leave = retry_policy.can_leave_group(request.route, request.sends)
        retries = self._retries(request)
        return can_leave and endpoints.has_other() and retries.can_reserve() and retries.reserve()

    async def _exchange(
        self,
        request: Request,
        attempt: StreamAttempt,
        splitter: EventSplitter,
        caller: CallerStream,
        held: HeldBytes,
    ) -> EndpointAnswer | None:
        endpoint = attempt.leader
        request.endpoint_id = endpoint.id
        request.sent_at, request.head_at = self._clock(), 0.0
        last_event_id = splitter.last_id or request.meta.last_event_id
        meta = request.forward_meta(endpoint, self._clock(), last_event_id)
        request_log.sent(
            request, endpoint, self._load_table.request_count(endpoint.id), last_event_id
        )
        async with self._endpoint_client.open(endpoint, request, meta) as exchange:
            request.head_at = self._clock()
            self._detector.record_contact(endpoint.id, request.head_at)
            self._crash_watch.record_answer_started(endpoint, request.sent_at)
            if exchange.status != 200:
                return await self._pass_on_other(exchange, caller, held)
            await self._relay(request, exchange, attempt, splitter, caller, held)
            return None

    async def _relay(
        self,
        request: Request,
        exchange: Exchange,
        attempt: StreamAttempt,
        splitter: EventSplitter,
        caller: CallerStream,
        held: HeldBytes,
    ) -> None:
        """Pass events on as they come."""
        gaps = GapMeter()
        while data := await exchange.read_chunk():
            now = self._clock()
            earlier_events = splitter.event_count
            events = self._split(data, attempt, splitter, held, now)
            if not events:
                continue
            if exchange.may_hold_another_answer(events):
                request.needs_new_connection = True
                raise AttemptError(MIXED, Executed.MAYBE)
            self._record_times(
                request, attempt, gaps.record(now, splitter.event_count - earlier_events), now
            )
            request.record_event(now)
            if not caller.has_begun:
                await caller.begin(exchange.status, exchange.headers)
            attempt.is_blocked_by_caller = True
            await caller.write(events)
            attempt.is_blocked_by_caller = False
            gaps.record_write(self._clock() - now)
        if splitter.is_mid_event or not splitter.event_count:
            cause = "the stream ended within an event"
            raise AttemptError(cause, Executed.MAYBE, broken=ConnectionBreak.AFTER_HEAD)
        await caller.end()

    def _split(
        self,
        data: bytes,
        attempt: StreamAttempt,
        splitter: EventSplitter,
        held: HeldBytes,
        now: float,
    ) -> bytes:
        """Return the whole events that may be passed on, and hold the rest.

        Only whole events show that the endpoint goes on with the stream; one that is out of order
        may send bytes for as long as somebody reads them.

        :raises AttemptError: if the rest is larger than an event may be.
        """
        earlier_events = splitter.whole_count
        events = splitter.feed(data)
        if splitter.whole_count > earlier_events:
            attempt.record_event(now)
            self._detector.record_contact(attempt.leader.id, now)
        if not held.resize(splitter.incomplete_size):
            raise too_large()
        return events

    def _record_times(
        self, request: Request, attempt: StreamAttempt, gap: float | None, now: float
    ) -> None:
        """Record the time until the first event, and the mean seconds between some later ones."""
        model, engine = request.meta.model, request.service.engine
        if not request.first_event_at and request.expected is not None:
            seconds = now - request.sent_at
            self._selector.record_first_event(
                request.service.name, model, request.expected, seconds
            )
        if gap is not None and engine is not None:
            self._selector.record_gap(attempt.leader, engine, model, gap)

    async def _pass_on_other(
        self, exchange: Exchange, caller: CallerStream, held: HeldBytes
    ) -> EndpointAnswer | None:
        """Pass on an answer that isn't a stream, or return it if it has a failure status.

        :raises AttemptError: if the caller has got the head of another answer.
        """
        if caller.has_begun:
            raise AttemptError(f"status {exchange.status}", Executed.MAYBE)
        answer = await exchange.read(held)
        if answer.is_failure and not answer.is_whole:
            raise too_large()
        if answer.is_failure:
            return answer
        if answer.is_whole:
            await pass_on_whole(answer, caller, states_length=False)
        else:
            await pass_on_large(answer, exchange, caller)
        return None
