"""Forwards requests of routes without streams, and returns complete answers.

Owns: nothing; the state of a request is in :mod:`.request`.
Relies on: :mod:`.retry_policy` to decide after a failed attempt, and :mod:`.endpoint_selector` to
choose the endpoint.
"""

import typing as t

from ..exceptions import AttemptError
from ..exceptions import EndpointNotAcceptingError
from ..exceptions import Executed
from ..model_key import NO_MODEL
from ..store.roster import Endpoint
from . import request_log
from . import retry_policy
from .endpoint_client import EndpointAnswer
from .endpoint_client import complete_within
from .forwarder import Forwarder
from .refusal import Refusal
from .request import Request
from .retry_policy import NextStep
from .retry_policy import PlainDecision
from .service_endpoints import PlainEndpoints


class PlainForwarder(Forwarder):
    """Sends requests to the endpoints of plain services."""

    async def serve(self, request: Request) -> EndpointAnswer:
        """Return an endpoint's answer.

        :raises RefusalError: if there is none, or the request is quarantined.
        """
        self._admit(request)
        self._count_request(request)
        answer: EndpointAnswer | None = None
        while True:
            if answer is not None and self._crash_watch.quarantine_seconds_left(request):
                # An endpoint's failed answer is more useful to the caller than a refusal.
                return answer
            self._check_quarantine(request, has_begun=False)
            endpoint = self._choose_endpoint(request)
            if endpoint is None:
                return self._resolve(self._without_endpoint(request, answer), answer)
            try:
                answer = await self._attempt(request, endpoint)
                self._detector.record_contact(endpoint.id, self._clock())
                self._selector.record_result(endpoint, succeeded=not answer.is_failure)
                self._crash_watch.record_answer_started(endpoint, request.sent_at)
                if not answer.is_failure:
                    self._record_served(request, endpoint, NO_MODEL)
                    return answer
                if not self._can_try_elsewhere(request):
                    return answer
                failure = AttemptError(f"status {answer.status}", Executed.MAYBE)
            except EndpointNotAcceptingError:
                # The endpoint stopped accepting requests after it was chosen.
                request.tried.add(endpoint.id)
                continue
            except AttemptError as error:
                failure = error
                self._selector.record_result(endpoint, succeeded=False)
                if not failure.sent and not failure.is_own_fault:
                    self._selector.avoid(endpoint)
            decision = self._after_failure(
                request, endpoint, failure, has_failed_answer=answer is not None
            )
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

    def _after_failure(
        self,
        request: Request,
        endpoint: Endpoint,
        failure: AttemptError,
        *,
        has_failed_answer: bool,
    ) -> PlainDecision:
        # A plain service sends nothing before its answer, so every sent attempt counts.
        request.record_failure(endpoint, failure, counted=failure.sent)
        self._crash_watch.record_failure(request, endpoint, failure)
        request_log.failed(request, endpoint, failure, self._clock())
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

    async def _attempt(self, request: Request, endpoint: Endpoint) -> EndpointAnswer:
        left = request.give_up_at - self._clock()
        elsewhere = self._can_try_elsewhere(request)
        seconds = retry_policy.attempt_seconds(request.route, left, elsewhere=elsewhere)
        with self._track(request, endpoint, NO_MODEL):
            answer: EndpointAnswer = await complete_within(
                seconds, self._exchange(request, endpoint)
            )
        return answer

    async def _exchange(self, request: Request, endpoint: Endpoint) -> EndpointAnswer:
        request.sent_at = self._clock()
        meta = request.forward_meta(endpoint, request.sent_at, request.meta.last_event_id)
        async with self._endpoint_client.open(endpoint, request, meta) as exchange:
            return await exchange.read()
