"""Requests to plain services: the whole answer, or a refusal that says whether it ran.

Owns: nothing beside the request at hand.
Relies on: :mod:`.retry_policy` for what follows a failed attempt, and on
:mod:`.endpoint_selector` for the endpoint.
"""

import typing as t

from ..exceptions import AttemptError
from ..exceptions import EndpointClosedError
from ..exceptions import Ran
from ..store.roster import Endpoint
from . import request_log
from . import retry_policy
from .endpoint_client import EndpointAnswer
from .endpoint_client import within
from .forwarder import Forwarder
from .refusal import Refusal
from .request import Request
from .retry_policy import NextStep
from .retry_policy import PlainDecision


class PlainForwarder(Forwarder):
    """Sends requests to the endpoints of plain services."""

    async def serve(self, request: Request) -> EndpointAnswer:
        """Return an endpoint's answer.

        :raises RefusalError: if there is none.
        """
        self._count(request)
        kept: EndpointAnswer | None = None
        while True:
            if kept is not None and self._crash_watch.quarantine_seconds_left(request):
                # an endpoint's own answer, though a failure, tells the caller more than one of ours
                return kept
            self._check_held(request, begun=False)
            endpoint = self._choose(request)
            if endpoint is None:
                return self._end(self._without_endpoint(request, kept), kept)
            try:
                kept = await self._attempt(request, endpoint)
                self._detector.heard(endpoint.id, self._clock())
                self._selector.record_result(endpoint, succeeded=not kept.failed)
                self._crash_watch.record_answer_started(endpoint, request.sent_at)
                if not kept.failed:
                    self._crash_watch.record_served(request, endpoint)
                    return kept
                if not self._can_try_elsewhere(request):
                    return kept
                failure = AttemptError(f"status {kept.status}", Ran.MAYBE)
            except EndpointClosedError:
                # it has said so since it was chosen; another one is chosen now
                request.tried.add(endpoint.id)
                continue
            except AttemptError as error:
                failure = error
                self._selector.record_result(endpoint, succeeded=False)
                if not failure.sent:
                    self._selector.avoid(endpoint)
            decision = self._after_failure(
                request, endpoint, failure, has_failed_answer=kept is not None
            )
            if decision is not NextStep.RETRY:
                return self._end(decision, kept)

    def _choose(self, request: Request) -> Endpoint | None:
        """Return the endpoint for the next attempt; None if there is none."""
        service = request.service.name
        if self._is_spared(request):
            return None
        return self._selector.choose_endpoint(service, request.tried)

    def _is_spared(self, request: Request) -> bool:
        """Return whether a request is kept from the last endpoint, which it may end."""
        service = request.service.name
        return self._crash_watch.is_denied_last_endpoint(
            request, lambda: self._selector.endpoints(service)
        )

    def _without_endpoint(
        self, request: Request, kept: EndpointAnswer | None
    ) -> t.Literal[NextStep.RETURN_FAILED_ANSWER] | Refusal:
        """Return how a request ends that no endpoint can take."""
        pause_left = self._selector.pause_left(request.service.name, None)
        cause = retry_policy.ALL_PAUSED if pause_left else retry_policy.NO_ENDPOINT
        if self._is_spared(request):
            cause = retry_policy.LAST_ENDPOINT
        return retry_policy.without_endpoint(
            may_have_run=request.may_have_run,
            has_failed_answer=kept is not None,
            cause=cause,
            pause_left=pause_left,
        )

    def _after_failure(
        self,
        request: Request,
        endpoint: Endpoint,
        failure: AttemptError,
        *,
        has_failed_answer: bool,
    ) -> PlainDecision:
        # a plain service gives no sign of life but its answer, so whatever was sent counts
        request.record_failure(endpoint, failure, counted=failure.sent)
        self._crash_watch.record_failure(request, endpoint, failure)
        request_log.failed(request, endpoint, failure, self._clock())
        return retry_policy.after_plain_failure(
            failure,
            request.attempts_used(self._clock()),
            request.route,
            self._token(request),
            has_failed_answer=has_failed_answer,
        )

    @staticmethod
    def _end(
        decision: t.Literal[NextStep.RETURN_FAILED_ANSWER] | Refusal, kept: EndpointAnswer | None
    ) -> EndpointAnswer:
        """Return the answer that was kept, or raise the refusal."""
        if isinstance(decision, Refusal):
            raise decision.error()
        assert kept is not None
        return kept

    def _can_try_elsewhere(self, request: Request) -> bool:
        late = self._clock() >= request.give_up_at
        return retry_policy.can_try_elsewhere(request.route, request.sends, late=late)

    async def _attempt(self, request: Request, endpoint: Endpoint) -> EndpointAnswer:
        left = request.give_up_at - self._clock()
        elsewhere = self._can_try_elsewhere(request)
        seconds = retry_policy.attempt_seconds(request.route, left, elsewhere=elsewhere)
        with self._load_table.running(endpoint.id):
            answer: EndpointAnswer = await within(seconds, self._exchange(request, endpoint))
        return answer

    async def _exchange(self, request: Request, endpoint: Endpoint) -> EndpointAnswer:
        request.sent_at = self._clock()
        meta = request.forward_meta(endpoint, request.sent_at, None)
        async with self._endpoint_client.open(endpoint, request, meta) as exchange:
            return await exchange.whole()
