"""The endpoints of a request's service: the leaders of an engine's groups, or plain ones.

Owns: nothing.
Relies on: :mod:`.endpoint_selector` to choose among them, and :mod:`.retry_policy` for what counts
as an attempt.
"""

import abc

from ..exceptions import AttemptError
from ..model_key import NO_MODEL
from ..peers.silence import Allowance
from ..store.roster import Endpoint
from ..store.serving import Engine
from . import retry_policy
from .capacity_estimate import CapacityEstimate
from .endpoint_selector import EndpointSelector
from .expected_time import Work
from .expected_time import work_of
from .first_event_offsets import ExpectedTime
from .request import Request

# Without the engine's figures the size of a request isn't used.
UNKNOWN_WORK = Work(0.0, 0.0)


class ServiceEndpoints(abc.ABC):
    """The endpoints that may run one request.

    :ivar model: the model that they serve to it; empty for a plain service.
    """

    def __init__(self, request: Request, selector: EndpointSelector, model: str) -> None:
        self._request = request
        self._service = request.service.name
        self._selector = selector
        self.model = model

    @abc.abstractmethod
    def estimate_capacity(self) -> CapacityEstimate:
        """Return the capacity for requests like this one."""

    @abc.abstractmethod
    def choose(self, now: float, *, randomize: bool) -> Endpoint | None:
        """Return the endpoint for the next attempt; None if there is none.

        :param randomize: whether to choose a random one of those with free slots, if that is known.
        """

    @abc.abstractmethod
    def accepting(self) -> list[Endpoint]:
        """Return the endpoints that accept requests now, tried or not."""

    @abc.abstractmethod
    def has_other(self) -> bool:
        """Return whether one that was not tried accepts requests, and nothing speaks against it."""

    @abc.abstractmethod
    def pause_left(self) -> float:
        """Return the seconds until a pausing one accepts requests; 0 if none pauses."""

    @abc.abstractmethod
    def missing_cause(self) -> str:
        """Return the logged cause if no endpoint can take the request."""

    @abc.abstractmethod
    def expect(self, endpoint: Endpoint) -> ExpectedTime | None:
        """Return what is expected of the first attempt; None for later ones, or if unknown."""

    @abc.abstractmethod
    def silence_allowance(self) -> Allowance | None:
        """Return the silence that each stream allows; None if groups are watched as a whole."""

    @abc.abstractmethod
    def counts_as_sent(self, failure: AttemptError, *, had_contact_since_sent: bool) -> bool:
        """Return whether a failed attempt counts towards the route's limit."""


class EngineEndpoints(ServiceEndpoints):
    """The leaders of an engine's groups."""

    def __init__(self, request: Request, engine: Engine, selector: EndpointSelector) -> None:
        super().__init__(request, selector, request.meta.model)
        self._engine = engine

    def _work(self) -> Work | None:
        """Return the size of the request; None if the engine's figures aren't known."""
        times = self._engine.times
        return work_of(self._request.meta, times) if times is not None else None

    def estimate_capacity(self) -> CapacityEstimate:
        """Return the capacity of the groups."""
        work = self._work() or UNKNOWN_WORK
        return self._selector.estimate_capacity(self._service, self._engine, self.model, work)

    def choose(self, now: float, *, randomize: bool) -> Endpoint | None:
        """Return the leader of the group for the next attempt."""
        return self._selector.choose_leader(
            self._service,
            self._engine,
            self.model,
            self._request.tried,
            randomize=randomize,
            work=self._work(),
            left=self._request.target_left(now),
        )

    def accepting(self) -> list[Endpoint]:
        """Return the leaders that accept requests now."""
        return self._selector.leaders(self._service, self.model)

    def has_other(self) -> bool:
        """Return whether there is another group that isn't suspected."""
        return self._selector.has_other_group(self._service, self.model, self._request.tried)

    def pause_left(self) -> float:
        """Return the seconds until the next group accepts requests."""
        return self._selector.pause_left(self._service, self.model)

    def missing_cause(self) -> str:
        """Return why no group can take the request, with the counts of the groups."""
        if self._selector.are_all_evacuated(self._service, self.model):
            return retry_policy.EVACUATED
        count = self._selector.count_groups(self._service, self.model)
        cause = (
            f"no group for {self.model!r}: {count.open_groups} open, "
            f"{count.suspected_groups} of them suspected"
        )
        if count.paused_groups:
            cause = f"{cause}, {count.paused_groups} paused"
        evacuated = self._selector.evacuated_count(self._service, self.model)
        return f"{cause}, {evacuated} evacuated" if evacuated else cause

    def expect(self, endpoint: Endpoint) -> ExpectedTime | None:
        """Return what the engine's figures let expect of the first attempt."""
        work = self._work()
        if work is None or self._request.tried or self._request.first_event_at:
            return None
        return self._selector.expect(self._service, self._engine, self.model, work, endpoint)

    def silence_allowance(self) -> Allowance | None:
        """Return None, since a group's streams run in step."""
        return None

    def counts_as_sent(self, failure: AttemptError, *, had_contact_since_sent: bool) -> bool:
        """Return whether the group may have run the request."""
        return retry_policy.counts_as_sent(failure, had_contact_since_sent=had_contact_since_sent)


class PlainEndpoints(ServiceEndpoints):
    """The endpoints of a service without an engine."""

    def __init__(self, request: Request, selector: EndpointSelector) -> None:
        super().__init__(request, selector, NO_MODEL)

    def estimate_capacity(self) -> CapacityEstimate:
        """Return the capacity of the endpoints."""
        return self._selector.estimate_plain_capacity(self._service)

    def choose(self, now: float, *, randomize: bool) -> Endpoint | None:
        """Return the least loaded endpoint."""
        return self._selector.choose_endpoint(self._service, self._request.tried)

    def accepting(self) -> list[Endpoint]:
        """Return the endpoints that accept requests now."""
        return self._selector.endpoints(self._service)

    def has_other(self) -> bool:
        """Return whether there is another endpoint that isn't avoided."""
        return self._selector.has_other_endpoint(self._service, self._request.tried)

    def pause_left(self) -> float:
        """Return the seconds until the next endpoint accepts requests."""
        return self._selector.pause_left(self._service, None)

    def missing_cause(self) -> str:
        """Return why no endpoint can take the request."""
        if self.pause_left():
            return retry_policy.ALL_PAUSED
        if self._selector.are_all_evacuated(self._service, None):
            return retry_policy.EVACUATED
        return retry_policy.NO_ENDPOINT

    def expect(self, endpoint: Endpoint) -> ExpectedTime | None:
        """Return None, since nothing is known of the times of a plain service."""
        return None

    def silence_allowance(self) -> Allowance | None:
        """Return what the route allows: a part of its target, as for other plain requests."""
        route = self._request.route
        return Allowance(retry_policy.ATTEMPT_TARGET_FRACTION * route.target, route.gap_target)

    def counts_as_sent(self, failure: AttemptError, *, had_contact_since_sent: bool) -> bool:
        """Return whether the request may have arrived; it may run before anything is answered."""
        return failure.sent


def of(request: Request, selector: EndpointSelector) -> ServiceEndpoints:
    """Return the endpoints of a request's service."""
    engine = request.service.engine
    if engine is None:
        return PlainEndpoints(request, selector)
    return EngineEndpoints(request, engine, selector)
