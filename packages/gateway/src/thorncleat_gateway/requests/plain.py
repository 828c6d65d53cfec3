"""Forwards requests of routes without streams, and passes complete answers on.

An answer is held until it is whole, so that a failed attempt leaves nothing at the caller. One that
is too large for that is passed on as it comes.

Owns: nothing; the state of a request is in :mod:`.request`.
Relies on: :mod:`.retry_policy` to decide after a failed attempt, and :mod:`.endpoint_selector` to
choose the endpoint.
"""

import asyncio
import typing as t

from ..exceptions import AnswerAbortedError
from ..exceptions import AttemptError
from ..exceptions import EndpointNotAcceptingError
from ..exceptions import Executed
from ..model_key import NO_MODEL
from ..store.roster import Endpoint
from ..timeouts import reschedule
from . import request_log
from . import retry_policy
from .answer_budget import HeldBytes
from .caller_response import CallerStream
from .exchange import EndpointAnswer
from .exchange import Exchange
from .exchange import too_large
from .forwarder import Forwarder
from .passing_on import pass_on_large
from .passing_on import pass_on_whole
from .refusal import Refusal
from .request import Request
from .retry_policy import NextStep
from .retry_policy import PlainDecision
from .service_endpoints import PlainEndpoints


class PlainForwarder(Forwarder):
    """Sends requests to the endpoints of plain services."""

    async def serve(self, request: Request, caller: CallerStream) -> None:
        """Pass an endpoint's answer on.

        :raises RefusalError: if there is none, or the request is quarantined.
        :raises AnswerAbortedError: if a part was passed on and the rest can't be.
        """
        self._admit(request)
        with self._count_request(request), self._answers.hold() as held:
            answer = await self._find_answer(request, caller, held)
            if answer.is_whole:
                await pass_on_whole(answer, caller, states_length=True)

    async def _find_answer(
        self, request: Request, caller: CallerStream, held: HeldBytes
    ) -> EndpointAnswer:
        """Make attempts until there is an answer; a large one has been passed on then.

        :param held: the memory for the answer.
        """
        answer: EndpointAnswer | None = None
        while True:
            if answer is not None and self._crash_watch.quarantine_seconds_left(request):
                # An endpoint's failed answer is more useful to the caller than a refusal.
                return answer
            self._check_quarantine(request, has_begun=False)
            self._check_stop(request, must_go_on=request.may_have_run)
            endpoint = self._choose_endpoint(request)
            if endpoint is None:
                return self._resolve(self._without_endpoint(request, answer), answer)
            try:
                answer = await self._attempt(request, endpoint, caller, held)
                self._record_answer(request, endpoint, answer)
                if not answer.is_failure or not self._can_try_elsewhere(request):
                    return answer
                failure = AttemptError(f"status {answer.status}", Executed.MAYBE)
            except EndpointNotAcceptingError:
                # The endpoint stopped accepting requests after it was chosen.
                request.tried.add(endpoint.id)
                continue
            except AttemptError as error:
                failure = error
                self._selector.record_result(endpoint, succeeded=False)
                if failure.is_unsound or (not failure.sent and not failure.is_own_fault):
                    self._selector.avoid(endpoint)
            self._record_failure(request, endpoint, failure)
            if caller.has_begun:
                raise AnswerAbortedError(failure.cause)
            decision = self._after_failure(request, failure, has_failed_answer=answer is not None)
            if decision is not NextStep.RETRY:
                return self._resolve(decision, answer)

    def _admit(self, request: Request) -> None:
        """Check before the first attempt that the endpoints have capacity for a request.

        :raises RefusalError: if it is shed.
        """
        if self._overload_control is not None:
            self._check_quarantine(request, has_begun=False)
            capacity = self._selector.estimate_plain_capacity(request.service.name)
            self._overload_control.admit(request, NO_MODEL, capacity)

    def _choose_endpoint(self, request: Request) -> Endpoint | None:
        """Return the endpoint for the next attempt; None if there is none."""
        service = request.service.name
        if self._is_denied_last_endpoint(request):
            return None
        return self._selector.choose_endpoint(service, request.tried)

    def _is_denied_last_endpoint(self, request: Request) -> bool:
        """Return whether a request must not get the last endpoint, which it may crash."""
        service = request.service.name
        return self._crash_watch.is_denied_last_endpoint(
            request, lambda: self._selector.endpoints(service)
        )

    def _without_endpoint(
        self, request: Request, failed_answer: EndpointAnswer | None
    ) -> t.Literal[NextStep.RETURN_FAILED_ANSWER] | Refusal:
        """Decide how a request ends if no endpoint can take it."""
        endpoints = PlainEndpoints(request, self._selector)
        cause = endpoints.missing_cause()
        if self._is_denied_last_endpoint(request):
            cause = retry_policy.DENIED_LAST_ENDPOINT
        return retry_policy.without_endpoint(
            may_have_run=request.may_have_run,
            has_failed_answer=failed_answer is not None,
            cause=cause,
            pause_left=endpoints.pause_left(),
        )

    def _record_answer(self, request: Request, endpoint: Endpoint, answer: EndpointAnswer) -> None:
        self._detector.record_contact(endpoint.id, self._clock())
        self._selector.record_result(endpoint, succeeded=not answer.is_failure)
        self._crash_watch.record_answer_started(endpoint, request.sent_at)
        if not answer.is_failure:
            self._record_served(request, endpoint, NO_MODEL)

    def _record_failure(self, request: Request, endpoint: Endpoint, failure: AttemptError) -> None:
        # A plain service sends nothing before its answer, so every sent attempt counts.
        request.record_failure(endpoint, failure, counted=failure.sent)
        self._crash_watch.record_failure(request, endpoint, failure)
        request_log.failed(request, endpoint, failure, self._clock())

    def _after_failure(
        self, request: Request, failure: AttemptError, *, has_failed_answer: bool
    ) -> PlainDecision:
        """Decide how a request proceeds after a failed attempt."""
        return retry_policy.after_plain_failure(
            failure,
            request.attempts_used(self._clock()),
            request.route,
            self._token_source(request),
            has_failed_answer=has_failed_answer,
        )

    @staticmethod
    def _resolve(
        decision: t.Literal[NextStep.RETURN_FAILED_ANSWER] | Refusal,
        failed_answer: EndpointAnswer | None,
    ) -> EndpointAnswer:
        """Return the failed answer, or raise the refusal."""
        if isinstance(decision, Refusal):
            raise decision.error()
        assert failed_answer is not None
        return failed_answer

    def _can_try_elsewhere(self, request: Request) -> bool:
        is_late = self._clock() >= request.give_up_at
        return retry_policy.can_try_elsewhere(request.route, request.sends, is_late=is_late)

    async def _attempt(
        self, request: Request, endpoint: Endpoint, caller: CallerStream, held: HeldBytes
    ) -> EndpointAnswer:
        """Return an answer; a large one has been passed on.

        :raises AttemptError: if there is none in time.
        """
        left = request.give_up_at - self._clock()
        elsewhere = self._can_try_elsewhere(request)
        seconds = retry_policy.attempt_seconds(request.route, left, elsewhere=elsewhere)
        ends_at = asyncio.get_running_loop().time() + left
        with self._track(request, endpoint, NO_MODEL):
            try:
                async with asyncio.timeout(max(0.0, seconds)) as scope:
                    return await self._exchange(
                        request,
                        endpoint,
                        caller,
                        held,
                        elsewhere=elsewhere,
                        extend_time=lambda: reschedule(scope, ends_at),
                    )
            except TimeoutError:
                cause = f"no answer in {seconds:.3f} s"
                if caller.has_begun:
                    cause = retry_policy.OUT_OF_TIME
                raise self._timeout_error(request, cause) from None

    async def _exchange(
        self,
        request: Request,
        endpoint: Endpoint,
        caller: CallerStream,
        held: HeldBytes,
        *,
        elsewhere: bool,
        extend_time: t.Callable[[], None],
    ) -> EndpointAnswer:
        """Return an answer; a large one has been passed on.

        :param elsewhere: whether the request could go to another endpoint.
        :param extend_time: lets the attempt take the whole time of the request.
        """
        request.sent_at = self._clock()
        meta = request.forward_meta(endpoint, request.sent_at, request.meta.last_event_id)
        async with self._endpoint_client.open(endpoint, request, meta) as exchange:
            answer = await exchange.read(held)
            if answer.is_whole:
                return answer
            if elsewhere and (answer.is_failure or self._may_be_endless(request, exchange)):
                raise too_large()
            extend_time()
            await pass_on_large(answer, exchange, caller)
            self._large_answer_services.add(request.service.name)
            return answer

    def _may_be_endless(self, request: Request, exchange: Exchange) -> bool:
        """Return whether a large answer may have no end, and reserve a retry if so.

        A request that can't be sent again gets it as it comes.
        """
        if exchange.stated_length is not None:
            return False
        if request.service.name in self._large_answer_services:
            return False
        return self._retries(request).reserve()
