"""Admits or sheds a request before its first attempt.

Owns: the levels that compete at present, this daemon's shares, and the promised times to return.
Relies on: :mod:`.admission` for the decision, :mod:`..endpoint_selector` for the capacity, and
:mod:`...peers.workspace_loads` for the running requests of each workspace.
"""

import contextlib
import random
import typing as t

from ...model_key import ModelKey
from ...store.serving import ServingConfiguration
from .. import request_log
from ..capacity_estimate import CapacityEstimate
from ..refusal import Refusal
from ..request import Request
from . import admission
from . import fair_shares
from .admission import ShedCause
from .levels import Levels
from .pacing import Pacing
from .present_levels import PresentLevels
from .return_times import ReturnTimes
from .return_times import callback_interval
from .service_times import ServiceTimes


class RequestsByWorkspace(t.Protocol):
    """The running requests of all daemons."""

    def track_request(
        self, service: str, model: str, workspace: str
    ) -> contextlib.AbstractContextManager[None]:
        """Count a request of this daemon while the context is open."""
        ...

    def running(self, service: str, model: str) -> t.Mapping[str, int]:
        """Return the running requests of a model's groups by workspace."""
        ...


class OverloadControl:
    """Decides on each request by the same rules at all daemons, without messages between them.

    Three things keep the daemons from all admitting or all shedding at once: each admits only its
    share of the slots that come free, their load reports arrive at different times, and each draws
    its own times to return.

    :param configuration: returns the configuration in force.
    :param daemon_count: returns the number of registered daemons.
    :param clock: monotonic, in seconds.
    :param record_pressure: called with service, model and pressure at each request.
    """

    def __init__(
        self,
        configuration: t.Callable[[], ServingConfiguration | None],
        loads: RequestsByWorkspace,
        daemon_count: t.Callable[[], int],
        clock: t.Callable[[], float],
        rng: random.Random,
        record_pressure: t.Callable[[str, str, float], None] = lambda *_: None,
    ) -> None:
        self._levels = Levels(configuration)
        self._loads = loads
        self._daemon_count = daemon_count
        self._clock = clock
        self._record_pressure = record_pressure
        self._present = PresentLevels(clock)
        self._pacing = Pacing(clock, daemon_count)
        self._service_times = ServiceTimes()
        self._return_times = ReturnTimes(rng)

    @contextlib.contextmanager
    def track_request(self, request: Request, model: str) -> t.Iterator[None]:
        """Count an attempt for its workspace.

        :param model: the model of the groups; empty for a plain service.
        """
        workspace = request.workspace.name if request.workspace else ""
        with self._loads.track_request(request.service.name, model, workspace):
            yield

    def record_served(self, request: Request, model: str) -> None:
        """Record the duration of an attempt that was answered without a failure.

        Failures are left out: fast ones would make the slots seem to come free sooner.

        :param model: the model of the groups; empty for a plain service.
        """
        seconds = self._clock() - request.sent_at
        self._service_times.record((request.service.name, model), seconds)

    def admit(self, request: Request, model: str, capacity: CapacityEstimate) -> None:
        """Admit a request of which nothing was sent yet, and set its priority for engines.

        A stream that has begun at another daemon is always admitted, since a refusal would waste
        what has run.

        :param model: the model of the groups; empty for a plain service.
        :raises RefusalError: if the request is shed.
        """
        service = request.service.name
        level = self._levels.level(service, request.route, request.workspace)
        request.level_priority = self._levels.engine_priority(service, level)
        if not capacity.groups:
            # Callers may name any model, so nothing is kept of those without groups.
            return
        capacity = self._service_times.complete((service, model), capacity)
        self._record_pressure(service, model, capacity.pressure)
        self._present.record((service, model), level)
        if request.meta.last_event_id is not None:
            self._pacing.record((service, model), capacity, level, admitted=True)
            return
        is_over_share = self._is_over_share(request, model, capacity)
        cause = self._shed_cause(request, model, capacity, level)
        if cause is None and is_over_share:
            # The request counts as one level less urgent.
            level += 1
            request.level_priority = self._levels.engine_priority(service, level)
            is_shed = self._shed_cause(request, model, capacity, level) is not None
            cause = ShedCause.OVER_SHARE if is_shed else None
        self._pacing.record((service, model), capacity, level, admitted=cause is None)
        if cause is not None:
            raise self._refuse(request, model, capacity, level, cause, is_over_share).error()

    def _shed_cause(
        self, request: Request, model: str, capacity: CapacityEstimate, level: int
    ) -> ShedCause | None:
        service = request.service.name
        return admission.shed_cause(
            capacity,
            self._present.count_more_urgent((service, model), level),
            request.received_at + request.route.target - self._clock(),
            has_share=self._pacing.has_share((service, model), capacity, level),
        )

    def _is_over_share(self, request: Request, model: str, capacity: CapacityEstimate) -> bool:
        if request.workspace is None or capacity.pressure < admission.PRESSURE_THRESHOLD:
            return False
        running = self._loads.running(request.service.name, model)
        return fair_shares.is_over_share(request.workspace.name, running, capacity.slots)

    def _refuse(
        self,
        request: Request,
        model: str,
        capacity: CapacityEstimate,
        level: int,
        cause: ShedCause,
        is_over_share: bool,
    ) -> Refusal:
        """Return the refusal of a request with its time to return, and log its cause."""
        key: ModelKey = (request.service.name, model)
        seconds = self._return_times.seconds(
            key,
            self._clock(),
            callback_interval(capacity, self._daemon_count()),
            level,
            self._levels.count(request.service.name),
        )
        request_log.shed(
            request,
            model,
            capacity,
            cause=cause.value,
            level=level,
            over_share=is_over_share,
            retry_after=seconds,
        )
        return Refusal(503, cause.value, seconds)
