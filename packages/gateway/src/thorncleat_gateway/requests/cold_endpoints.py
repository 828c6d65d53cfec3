"""Which endpoints are cold, so that all daemons together must send them few requests.

A cold endpoint runs few requests a second and crashes well above that rate, for some seconds after
a start and whenever it turns cold again. Every daemon derives the same from the list, so daemons
don't tell each other. An endpoint whose entry says that it is warm gets as much as any other, so
that the start of a whole system isn't slowed down.

Owns: until when each endpoint is cold.
Relies on: :mod:`..store.view` for the endpoints' entries and the configuration,
:mod:`.evacuations` for the ends of evacuations, and :mod:`.endpoint_limits` to keep to the rate.
"""

import dataclasses
import math
import typing as t

from .. import events
from ..ports import AnswerMeta
from ..ports import Changes
from ..ports import EndpointListed
from ..ports import Position
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.serving import Service
from ..store.view import StoreView

# Longest time that an endpoint counts as cold by one entry or answer, so that a time in the wrong
# unit doesn't slow it down for good. Each heartbeat of an endpoint writes its entry again.
MAX_COLD_SECONDS = 60.0


@dataclasses.dataclass
class _ColdEndpoint:
    """An endpoint that is or was cold; times are on the gateway's clock.

    :param entry: the latest entry that was read.
    :param entry_until: until when it is cold by that entry.
    :param answer_until: until when it is cold by its answers.
    """

    incarnation: Incarnation
    entry: Endpoint | None = None
    entry_until: float = -math.inf
    answer_until: float = -math.inf

    @property
    def until(self) -> float:
        """The end of the time in which the endpoint is cold."""
        return max(self.entry_until, self.answer_until)


class ColdEndpoints:
    """The endpoints that are cold, and the rates that they take then.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, view: StoreView, clock: t.Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._endpoints: dict[str, _ColdEndpoint] = {}
        # When the evacuation of a failure domain ended.
        self._evacuation_ended_at: dict[str, float] = {}
        # No endpoint is cold from then on, unless one is recorded before.
        self._all_warm_at = -math.inf
        view.on_batch(self._on_batch)

    def count(self) -> int:
        """Return the number of endpoints that are cold by their entries or answers."""
        now = self._clock()
        return sum(cold.until > now for cold in self._endpoints.values())

    @property
    def has_any(self) -> bool:
        """Whether any endpoint may be cold."""
        return self._clock() < self._all_warm_at

    def rate(self, endpoint: Endpoint) -> float | None:
        """Return the requests per second that an endpoint takes; None if it isn't cold."""
        service = self._services().get(endpoint.service) if self.has_any else None
        if service is None or service.cold_rate <= 0:
            return None
        until = (
            self._evacuation_ended_at.get(endpoint.failure_domain, -math.inf) + service.cold_start
        )
        cold = self._endpoints.get(endpoint.id)
        if cold is not None and not cold.incarnation.is_superseded_by(endpoint.incarnation):
            until = max(until, cold.until)
        return service.cold_rate if until > self._clock() else None

    def record_answer(self, endpoint: Endpoint, meta: AnswerMeta) -> None:
        """Record that an answer of an endpoint says that it is cold.

        No answer ends this early, since the endpoint may have turned cold after it. Answers of
        another incarnation than the one that was listed last are ignored.
        """
        if not meta.cold_for or meta.misdirected or meta.speaks_for not in (None, endpoint.id):
            return
        known = self._endpoints.get(endpoint.id)
        if known is not None and known.incarnation.is_superseded_by(endpoint.incarnation):
            return
        until = self._clock() + min(meta.cold_for, MAX_COLD_SECONDS)
        cold = self._find_or_add(endpoint.incarnation)
        self._record(cold, until)
        cold.answer_until = max(cold.answer_until, until)

    def record_evacuation_end(self, failure_domain: str) -> None:
        """Record that the evacuation of a failure domain has ended.

        Its endpoints may have turned cold shortly before, which their entries show only later.
        """
        now = self._evacuation_ended_at[failure_domain] = self._clock()
        longest = max((service.cold_start for service in self._services().values()), default=0.0)
        self._all_warm_at = max(self._all_warm_at, now + longest)

    def _on_batch(self, _since: Position | None, answer: Changes) -> None:
        for change in answer.changes:
            if isinstance(change, EndpointListed):
                self._record_entry(change.endpoint)
        now = self._clock()
        for endpoint_id, cold in list(self._endpoints.items()):
            if cold.until <= now and endpoint_id not in self._view.roster.endpoints:
                del self._endpoints[endpoint_id]

    def _record_entry(self, entry: Endpoint) -> None:
        if not entry.cold_for and entry.id not in self._endpoints:
            return
        cold = self._find_or_add(entry.incarnation)
        # A snapshot may repeat an entry long after it was written.
        if cold.entry == entry:
            return
        until = self._clock() + min(entry.cold_for, MAX_COLD_SECONDS)
        self._record(cold, until)
        cold.entry, cold.entry_until = entry, until

    def _find_or_add(self, incarnation: Incarnation) -> _ColdEndpoint:
        cold = self._endpoints.get(incarnation.endpoint_id)
        if cold is None or cold.incarnation.is_superseded_by(incarnation):
            cold = self._endpoints[incarnation.endpoint_id] = _ColdEndpoint(incarnation)
        return cold

    def _record(self, cold: _ColdEndpoint, until: float) -> None:
        now = self._clock()
        self._all_warm_at = max(self._all_warm_at, until)
        if cold.until <= now < until:
            endpoint_id, seconds = cold.incarnation.endpoint_id, round(until - now, 3)
            events.ENDPOINT_COLD.log(endpoint=endpoint_id, seconds=seconds)

    def _services(self) -> t.Mapping[str, Service]:
        configuration = self._view.configuration
        return {} if configuration is None else configuration.services
