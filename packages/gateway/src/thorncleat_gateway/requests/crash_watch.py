"""Derives from this daemon's attempts which endpoints crashed and which are alive.

Owns: nothing; what counts as a crash is a pure function.
Relies on: :mod:`.quarantine` to quarantine their causes, and a listener
(:mod:`.crash_reporter`) that reports them to the other daemons.
"""

import typing as t

from thorncleat_core import rendezvous

from ..exceptions import AttemptError
from ..exceptions import ConnectionBreak
from ..peers.failure_detector import FailureDetector
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.serving import RouteKind
from ..store.view import StoreView
from . import request_log
from .fingerprint import Fingerprint
from .quarantine import MAY_HAVE_WAITED_POINTS
from .quarantine import RAN_POINTS
from .quarantine import Involvement
from .quarantine import Quarantine
from .request import Request

# A failure after this much silence is not taken for a crash: a group that lacks a member stalls for
# seconds before its connections break.
SILENCE_SECONDS = 1.0
# How long bytes that an endpoint sent before it crashed may still arrive.
ARRIVAL_SECONDS = 0.25


def crash_points(
    broken: ConnectionBreak | None, *, streaming: bool, expected: bool, silent: bool
) -> int:
    """Return the points that a failed attempt scores against its request; 0 if it is no crash.

    An answer that isn't a stream has its head sent with it, so its request counts as running also
    without a head.

    :param streaming: whether the answer is a stream, whose head is sent when its request runs.
    :param expected: whether the endpoint was draining or no longer listed. A group that is being
        ended doesn't count, since the controller ends it right after a crash of its leader.
    :param silent: whether the endpoint had sent nothing for :data:`SILENCE_SECONDS`.
    """
    if broken is None or expected or silent:
        return 0
    if broken is ConnectionBreak.BEFORE_HEAD and streaming:
        return MAY_HAVE_WAITED_POINTS
    return RAN_POINTS


class CrashListener(t.Protocol):
    """Receives the crashes that this daemon detects, and what disproves earlier ones."""

    def report_crash(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> None:
        """Report that requests were under way at an endpoint when it crashed."""
        ...

    def report_endpoint_alive(self, incarnation: Incarnation, at: float) -> None:
        """Report that an endpoint that seemed to have crashed was alive later."""
        ...

    def report_request_served(self, fingerprint: Fingerprint, at: float) -> None:
        """Report that a request was served that had been under way at a crash."""
        ...


class CrashWatch:
    """Detects crashes from the results of this daemon's attempts.

    :param clock: monotonic, in seconds.
    :param daemons: returns the ids of the other daemons.
    :param daemon_id: id of this daemon.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        view: StoreView,
        detector: FailureDetector,
        listener: CrashListener,
        clock: t.Callable[[], float],
        daemons: t.Callable[[], t.Collection[str]] = lambda: (),
        daemon_id: str = "",
    ) -> None:
        self._quarantine = quarantine
        self._view = view
        self._detector = detector
        self._listener = listener
        self._clock = clock
        self._daemons = daemons
        self._daemon_id = daemon_id

    def quarantine_seconds_left(self, request: Request) -> float:
        """Return the seconds until a request is released; 0 if it isn't quarantined."""
        if not self._quarantine.has_quarantined:
            return 0.0
        return self._quarantine.quarantine_seconds_left(request.crash_keys)

    def may_probe(self, request: Request) -> bool:
        """Return whether a quarantined request is let through, to show whether a part is fatal."""
        if request.is_probe:
            return not request.tried
        part = self._quarantine.take_probe(request.crash_keys, self._probe_rank)
        if part is None:
            return False
        request.is_probe = True
        request_log.probed(request, part)
        return True

    def _probe_rank(self, key: Fingerprint) -> int:
        """Return the rank of this daemon among all for a key, which differs between keys."""
        return rendezvous.rank(key.hex(), {self._daemon_id, *self._daemons()}).index(
            self._daemon_id
        )

    def is_suspect(self, request: Request) -> bool:
        """Return whether a request was under way at a crash."""
        return not self._quarantine.is_empty and self._quarantine.is_suspect(request.fingerprint)

    def is_denied_last_endpoint(
        self, request: Request, endpoints: t.Callable[[], t.Iterable[Endpoint]]
    ) -> bool:
        """Return whether a request must not be sent, to protect the last endpoint left.

        Other requests would not be served otherwise until the crashed endpoints have restarted.

        :param endpoints: returns the endpoints that could serve the request; called only for a
            request with crashes.
        """
        if not self.is_suspect(request) or not self._quarantine.is_denied_last_endpoint(
            request.fingerprint
        ):
            return False
        alive = sum(
            not self._quarantine.has_crashed(endpoint.incarnation) for endpoint in endpoints()
        )
        return alive <= 1

    def record_failure(self, request: Request, endpoint: Endpoint, failure: AttemptError) -> None:
        """Record a failed attempt, which a crash of its endpoint may have ended."""
        now = self._clock()
        points = crash_points(
            failure.broken,
            streaming=request.route.kind is RouteKind.STREAMING,
            expected=self._is_leaving(endpoint),
            silent=not self._had_recent_contact(endpoint, request, now),
        )
        if not points:
            return
        run_seconds = now - request.head_at if request.head_at else 0.0
        requests = dict.fromkeys(request.crash_keys, Involvement(points, run_seconds))
        if self._quarantine.record_crash(endpoint.incarnation, now, requests):
            self._listener.report_crash(endpoint.incarnation, now, requests)

    def record_answer_started(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record that an endpoint began to answer an attempt.

        :param sent_at: when the attempt was sent; the endpoint was alive then or later.
        """
        if self._quarantine.is_empty or not self._quarantine.has_crashed(endpoint.incarnation):
            return
        if self._quarantine.record_endpoint_alive(endpoint.incarnation, sent_at):
            self._listener.report_endpoint_alive(endpoint.incarnation, sent_at)

    def record_served(self, request: Request, endpoint: Endpoint) -> None:
        """Record that an endpoint has answered a request completely."""
        if self._quarantine.is_empty:
            return
        now = self._clock()
        self.record_answer_started(endpoint, now - ARRIVAL_SECONDS)
        for key in request.crash_keys:
            if self._quarantine.record_request_served(key, now):
                self._listener.report_request_served(key, now)

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is draining or no longer listed."""
        listed = self._view.roster.endpoints.get(endpoint.id)
        return listed is None or listed.draining

    def _had_recent_contact(self, endpoint: Endpoint, request: Request, now: float) -> bool:
        begin = now - SILENCE_SECONDS
        return request.sent_at >= begin or self._detector.has_contact_since(endpoint.id, begin)
