"""Enforces the rate limits of endpoints for the requests of all daemons together.

An endpoint states a limit in its answers, or has one while it is cold; the lesser one holds.

Owns: the current notice of each endpoint, and when this daemon last sent to a limited one.
Relies on: :mod:`.rate_notice` for which of two notices prevails, :mod:`.rate_shares` for this
daemon's share, :mod:`.limit_reporter` for the notices that other daemons received, and
:mod:`.cold_endpoints` for the cold ones, which every daemon knows by itself.
"""

import dataclasses
import math
import typing as t

from .. import events
from ..callbacks import Callbacks
from ..exceptions import EndpointNotAcceptingError
from ..ports import AnswerMeta
from ..store.fleet_knowledge import FleetKnowledge
from ..store.relays import Daemon
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from . import rate_shares
from .cold_endpoints import ColdEndpoints
from .rate_notice import RateNotice
from .rate_notice import merge_notices

# How long the limit of an unlisted endpoint is remembered after its latest answer. An answer
# without a limit is remembered as long, so that no older notice restores the limit.
NOTICE_TTL_SECONDS = 120.0


class Fleet(t.Protocol):
    """The daemons that share a limit."""

    @property
    def own(self) -> Daemon:
        """This daemon."""
        ...

    def daemons(self) -> t.Mapping[str, Daemon]:
        """Return the registered daemons; another object once they have changed."""
        ...

    def fleet_knowledge(self) -> FleetKnowledge:
        """Return how recent this daemon's list of them is."""
        ...


class _ShareInputs(t.NamedTuple):
    """What a share was computed from."""

    limit: float
    fleet_knowledge: FleetKnowledge
    daemons: t.Mapping[str, Daemon]

    def is_same(self, other: "_ShareInputs | None") -> bool:
        """Return whether a share that was computed from other inputs is still valid."""
        if other is None or self.daemons is not other.daemons:
            return False
        return (self.limit, self.fleet_knowledge) == (other.limit, other.fleet_knowledge)


@dataclasses.dataclass
class _LimitedEndpoint:
    """An endpoint that has set a limit."""

    incarnation: Incarnation
    notice: RateNotice


@dataclasses.dataclass
class _Allowance:
    """This daemon's part of the requests to an endpoint with a limit.

    :param share: requests per second that this daemon may send.
    :param last_reserved_at: when this daemon last reserved a request or gained a share, on the
        gateway's clock.
    :param share_inputs: what the share was computed from; None before that.
    """

    endpoint: Endpoint
    share: float = 0.0
    last_reserved_at: float = 0.0
    share_inputs: _ShareInputs | None = None


class Reservation(t.NamedTuple):
    """The right to send one request to a limited endpoint.

    :param previous_at: ``last_reserved_at`` of the endpoint before this reservation.
    """

    allowance: _Allowance
    previous_at: float


Listener = t.Callable[[Incarnation, RateNotice], None]


class EndpointLimits:
    """The limits of endpoints, and the reservations of this daemon's requests to them.

    Reports and orders need no reservation, since ending a group must not wait.

    :param clock: monotonic, in seconds.
    :param cold: None to send cold endpoints as much as warm ones.
    """

    def __init__(
        self, fleet: Fleet, clock: t.Callable[[], float], cold: ColdEndpoints | None = None
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._cold = cold
        self._allowances: dict[str, _Allowance] = {}
        self._limited: dict[str, _LimitedEndpoint] = {}
        # The latest notices of endpoints of which no daemon has reported a limit.
        self._unlimited: dict[Incarnation, RateNotice] = {}
        self._listeners = Callbacks[[Incarnation, RateNotice]]("change of a limit")

    @property
    def notices(self) -> dict[Incarnation, RateNotice]:
        """The current notice of each endpoint that has set a limit, also of those that ended it."""
        return {limited.incarnation: limited.notice for limited in self._limited.values()}

    def on_change(self, listener: Listener) -> None:
        """Call a function when an answer changes the limit of an endpoint."""
        self._listeners.add(listener)

    def record_answer(self, endpoint: Endpoint, meta: AnswerMeta, sent_at: float | None) -> None:
        """Record the limit that an answer states, or that it states none.

        :param sent_at: when the request was sent; None for a report or an order, whose answer can
            set a limit but not end one.
        """
        if self._cold is not None:
            self._cold.record_answer(endpoint, meta)
        now = self._clock()
        if meta.rate_limit is not None and not meta.misdirected:
            sent = now if sent_at is None else sent_at
            notice = RateNotice(meta.rate_limit, sent, now)
        elif sent_at is not None and _is_unlimited(endpoint, meta):
            notice = RateNotice(None, sent_at, now)
        else:
            return
        if self.record_notice(endpoint.incarnation, notice):
            self._listeners.call(endpoint.incarnation, notice)

    def record_notice(self, incarnation: Incarnation, new: RateNotice) -> bool:
        """Record a notice and return whether it changes the limit of an endpoint."""
        limited = self._limited.get(incarnation.endpoint_id)
        if limited is None:
            notice = merge_notices(self._unlimited.get(incarnation), new)
            if new.limit is None and notice.limit is None:
                self._unlimited[incarnation] = notice
                return False
            # Kept also if the limit has ended, since another daemon may not know that.
            self._limited[incarnation.endpoint_id] = _LimitedEndpoint(incarnation, notice)
            return _log_change(incarnation, None, notice)
        if limited.incarnation.is_superseded_by(incarnation):
            if new.answered_at <= limited.notice.answered_at:
                return False
            del self._limited[incarnation.endpoint_id]
            return self.record_notice(incarnation, new)
        before, limited.notice = limited.notice, merge_notices(limited.notice, new)
        return _log_change(incarnation, before.limit, limited.notice)

    def available(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints to which this daemon may send a request now."""
        # Fast path, since this runs for every choice of an endpoint.
        if not self._limited and (self._cold is None or not self._cold.has_any):
            return endpoints
        return [endpoint for endpoint in endpoints if not self.wait_seconds(endpoint)]

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint limits the requests of all daemons together."""
        return self._limit(endpoint) is not None

    def wait_seconds(self, endpoint: Endpoint) -> float:
        """Return the seconds until this daemon may send a request; infinity without a share."""
        allowance = self._allowance(endpoint)
        if allowance is None:
            return 0.0
        if not allowance.share:
            return math.inf
        return max(0.0, allowance.last_reserved_at + 1 / allowance.share - self._clock())

    def fleet_rate(self, endpoint: Endpoint) -> float:
        """Return the requests per second of all daemons to an endpoint; 0 if it is unlimited."""
        limit = self._limit(endpoint)
        return 0.0 if limit is None else rate_shares.fleet_rate(limit)

    def reserve(self, endpoint: Endpoint) -> Reservation | None:
        """Reserve one request, right before it is sent.

        Unused reservations don't accumulate.

        :returns: the reservation; None if the endpoint has no limit.
        :raises EndpointNotAcceptingError: if this daemon may send none now.
        """
        allowance = self._allowance(endpoint)
        if allowance is None:
            return None
        wait = self.wait_seconds(endpoint)
        if wait:
            raise EndpointNotAcceptingError(
                f"{endpoint.id!r} takes no requests here for {wait:.3f} s"
            )
        reservation = Reservation(allowance, allowance.last_reserved_at)
        allowance.last_reserved_at = self._clock()
        return reservation

    def cancel(self, reservation: Reservation | None) -> None:
        """Cancel a reservation whose request cannot have reached the endpoint."""
        if reservation is not None:
            allowance = reservation.allowance
            allowance.last_reserved_at = min(allowance.last_reserved_at, reservation.previous_at)

    def expire(self, listed: t.Container[str]) -> None:
        """Forget the notices that are older than :data:`NOTICE_TTL_SECONDS`.

        A limit of a listed endpoint doesn't expire.

        :param listed: the ids of the listed endpoints.
        """
        begin = self._clock() - NOTICE_TTL_SECONDS
        for endpoint_id, limited in list(self._limited.items()):
            is_lasting = limited.notice.limit is not None and endpoint_id in listed
            if not is_lasting and limited.notice.answered_at < begin:
                del self._limited[endpoint_id]
        for incarnation, notice in list(self._unlimited.items()):
            if notice.answered_at < begin:
                del self._unlimited[incarnation]
        for endpoint_id, allowance in list(self._allowances.items()):
            if allowance.last_reserved_at < begin and not self.is_limited(allowance.endpoint):
                del self._allowances[endpoint_id]

    def _limit(self, endpoint: Endpoint) -> float | None:
        """Return the requests per second of all daemons that an endpoint takes; None for any."""
        stated = self._stated_limit(endpoint)
        cold = None if self._cold is None else self._cold.rate(endpoint)
        return min((limit for limit in (stated, cold) if limit is not None), default=None)

    def _stated_limit(self, endpoint: Endpoint) -> float | None:
        """Return the limit that an endpoint states in its answers; None if it states none."""
        limited = self._limited.get(endpoint.id) if self._limited else None
        if limited is None or limited.incarnation.is_superseded_by(endpoint.incarnation):
            return None
        return limited.notice.limit

    def _allowance(self, endpoint: Endpoint) -> _Allowance | None:
        """Return this daemon's part of an endpoint's limit; None if it has no limit."""
        limit = self._limit(endpoint)
        if limit is None:
            return None
        allowance = self._allowances.get(endpoint.id)
        if allowance is None or allowance.endpoint.incarnation.is_superseded_by(
            endpoint.incarnation
        ):
            allowance = self._allowances[endpoint.id] = _Allowance(endpoint)
        allowance.endpoint = endpoint
        self._update_share(allowance, limit)
        return allowance

    def _update_share(self, allowance: _Allowance, limit: float) -> None:
        inputs = _ShareInputs(limit, self._fleet.fleet_knowledge(), self._fleet.daemons())
        if inputs.is_same(allowance.share_inputs):
            return
        share = self._share(allowance.endpoint, limit, inputs.fleet_knowledge)
        if share and not allowance.share:
            # The previous holder of the share may just have used it.
            allowance.last_reserved_at = self._clock()
        allowance.share, allowance.share_inputs = share, inputs

    def _share(self, endpoint: Endpoint, limit: float, fleet_knowledge: FleetKnowledge) -> float:
        """Return the requests per second that this daemon may send to an endpoint."""
        fleet = self._fleet
        return rate_shares.share(limit, endpoint, fleet.own, fleet.daemons(), fleet_knowledge)


def _log_change(incarnation: Incarnation, before: float | None, notice: RateNotice) -> bool:
    """Log a change of an endpoint's limit; return whether there was one."""
    if notice.limit == before:
        return False
    events.ENDPOINT_LIMITED.log(
        endpoint=incarnation.endpoint_id, born=incarnation.born, limit=notice.limit, before=before
    )
    return True


def _is_unlimited(endpoint: Endpoint, meta: AnswerMeta) -> bool:
    """Return whether an answer comes from the endpoint itself and states no limit.

    A limit that can't be parsed still counts as stated.
    """
    is_own = meta.request_id is not None and (meta.signed or meta.not_run)
    is_from_other = meta.misdirected or meta.speaks_for not in (None, endpoint.id)
    return is_own and not is_from_other and not meta.names_rate_limit
