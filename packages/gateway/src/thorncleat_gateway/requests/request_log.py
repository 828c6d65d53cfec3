"""The log lines of a request, one function for each.

Owns: nothing.
Relies on: :mod:`..events` for the numbers and names of the lines.
"""

import math
import typing as t

from .. import events
from ..exceptions import AttemptError
from ..exceptions import RefusalError
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from .capacity_estimate import CapacityEstimate
from .fingerprint import Fingerprint
from .request import Request
from .retry_budget import RetryAccount

# Endpoints in one log line.
MAX_ENDPOINTS = 8


def sent(request: Request, endpoint: Endpoint, load: int, last_event_id: str | None) -> None:
    """Log an attempt of a streamed request.

    :param load: requests running on the endpoint.
    """
    events.REQUEST_SENT.log(
        request=request.meta.id, endpoint=endpoint.id, load=load, last=last_event_id
    )


def failed(request: Request, endpoint: Endpoint, failure: AttemptError, now: float) -> None:
    """Log a failed attempt."""
    events.REQUEST_MOVED.log(
        request=request.meta.id,
        endpoint=endpoint.id,
        cause=f"{failure.cause}: {failure.detail}" if failure.detail else failure.cause,
        ran=failure.ran.value,
        broken=failure.broken.value if failure.broken else None,
        fingerprint=request.fingerprint.hex() if failure.broken else None,
        retry_after=failure.retry_after,
        sends=request.sends,
        after=round(now - request.received_at, 3),
    )


def retry_denied(request: Request, account: RetryAccount) -> None:
    """Log that a request isn't sent again for want of a token, with the account that shows why."""
    events.RETRY_DENIED.log(
        request=request.meta.id,
        service=request.service.name,
        requests=account.requests,
        retries=account.retries,
        owed=account.owed,
        allowed=account.allowed,
        daemons=account.daemons,
        uptime=round(account.uptime, 3),
    )


def done(request: Request, status: int, now: float, config_age: float) -> None:
    """Log an answer that was passed on completely.

    :param config_age: seconds for which a newer configuration may have been in force.
    """
    missed_target = request.missed_target(now)
    events.REQUEST_DONE.log(
        request=request.meta.id,
        route=request.route.name,
        workspace=request.workspace.name if request.workspace else None,
        status=status,
        sends=request.sends + 1,
        endpoint=request.endpoint_id,
        first_event=round(max(0.0, request.first_event_at - request.received_at), 3),
        longest_pause=round(request.longest_pause, 3),
        seconds=round(now - request.received_at, 3),
        late=missed_target.value if missed_target else None,
        config_age=round(config_age, 3),
    )


def refused(request_id: str, refusal: RefusalError, after: float, config_age: float) -> None:
    """Log a refusal.

    :param after: seconds since the request came.
    :param config_age: seconds for which a newer configuration may have been in force.
    """
    events.REQUEST_REFUSED.log(
        request=request_id,
        status=refusal.status,
        cause=refusal.cause,
        retry_after=refusal.retry_after,
        after=round(after, 3),
        config_age=round(config_age, 3),
    )


def shed(
    request: Request,
    model: str,
    capacity: CapacityEstimate,
    *,
    cause: str,
    level: int,
    over_share: bool,
    retry_after: float,
) -> None:
    """Log why overload control shed a request, beside the line of the refusal.

    :param level: number of more urgent levels of the service.
    :param over_share: whether the workspace has more than its fair share.
    :param retry_after: seconds after which the caller is asked to come back.
    """
    events.REQUEST_SHED.log(
        request=request.meta.id,
        service=request.service.name,
        model=model,
        workspace=request.workspace.name if request.workspace else None,
        cause=cause,
        level=level,
        over_share=over_share,
        pressure=_finite(capacity.pressure),
        first_event=_finite(capacity.first_event),
        slots=capacity.slots,
        free_slots=capacity.free_slots,
        report_age=round(capacity.report_age, 3),
        retry_after=round(retry_after, 3),
    )


def _finite(value: float) -> float | None:
    """Return a rounded number, or None for infinity, which JSON can't express."""
    return round(value, 3) if math.isfinite(value) else None


def quarantined(
    fingerprint: Fingerprint, incarnations: t.Sequence[Incarnation], seconds: float
) -> None:
    """Log that a request is quarantined.

    :param incarnations: the endpoints that crashed with the request.
    :param seconds: until its release, unless it crashes another endpoint.
    """
    events.QUARANTINED.log(
        fingerprint=fingerprint.hex(),
        endpoints=[incarnation.endpoint_id for incarnation in incarnations[:MAX_ENDPOINTS]],
        crashes=len(incarnations),
        seconds=round(seconds, 1),
    )


def released(fingerprint: Fingerprint, cause: str) -> None:
    """Log that a request is released from quarantine."""
    events.RELEASED.log(fingerprint=fingerprint.hex(), cause=cause)


def probed(request: Request, part: Fingerprint) -> None:
    """Log that a quarantined request is let through to show whether a part is fatal."""
    events.QUARANTINE_PROBED.log(request=request.meta.id, fingerprint=part.hex())


def cut(request_id: str, cause: str) -> None:
    """Log an answer that was cut."""
    events.REQUEST_CUT.log(request=request_id, cause=cause)


def caller_left(request_id: str, after: float, *, has_begun: bool) -> None:
    """Log that a caller has disconnected.

    :param after: seconds since the request came.
    :param has_begun: whether the caller had got the head of the answer.
    """
    events.REQUEST_LEFT.log(request=request_id, after=round(after, 3), begun=has_begun)
