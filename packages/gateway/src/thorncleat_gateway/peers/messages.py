"""The messages that daemons exchange by datagrams, which carry soft state.

Owns: nothing.
Relies on: :mod:`.message_codec` for their bytes.
"""

import dataclasses
import typing as t

from ..store.roster import GroupId


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The running requests of a daemon, and the endpoints that answered it recently.

    :param counts: running requests by endpoint.
    :param heard: endpoints that answered recently (:func:`.load_reporter.contact_ttl_seconds`).
    """

    counts: t.Mapping[str, int]
    heard: t.Sequence[str]


@dataclasses.dataclass(frozen=True)
class DomainLoad:
    """The running requests of all daemons of a failure domain.

    :param counts: running requests by endpoint.
    """

    failure_domain: str
    counts: t.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A notice that a group's leader is silent.

    :param fault: the faulty member if it is known, else an empty string.
    """

    leader: str
    group: GroupId
    fault: str = ""


@dataclasses.dataclass(frozen=True)
class Probe:
    """A question of the controller: which daemons have requests at an endpoint or get its answers.

    Each daemon sends a load report at once, and a second report if the endpoint answers it.
    """

    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """The answer to a :class:`Probe`: whether the endpoint answers the sender now.

    Daemons of earlier builds neither send nor accept it.

    :param reaches_others: whether endpoints of its service have answered the sender lately.
    """

    endpoint_id: str
    answered: bool
    reaches_others: bool


@dataclasses.dataclass(frozen=True)
class GroupEnded:
    """A notice that the controller is ending a group."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class GroupKept:
    """A notice that a group which the controller was ending is kept, since all its members answer.

    Daemons of earlier builds neither send nor accept it.

    :param leader: id of its leader.
    """

    group: GroupId
    leader: str


@dataclasses.dataclass(frozen=True)
class ReportedRequest:
    """A request that was running at a crash.

    :param fingerprint: see :mod:`..requests.fingerprint`.
    :param points: what the crash adds to its score, see :mod:`..requests.quarantine`.
    :param ran: seconds from the head of its answer to the crash.
    """

    fingerprint: bytes
    points: int
    ran: float


@dataclasses.dataclass(frozen=True)
class ReportedCrash:
    """An incarnation of an endpoint that ended by a crash.

    :param born: Unix milliseconds of its start; None if unknown.
    :param age: seconds since the crash.
    """

    endpoint_id: str
    born: int | None
    age: float
    requests: t.Sequence[ReportedRequest]


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A notice of crashed endpoints, with the requests that were running there."""

    crashes: t.Sequence[ReportedCrash]


@dataclasses.dataclass(frozen=True)
class CrashWithdrawal:
    """A notice that an endpoint has not crashed, or that a request causes no crashes.

    :param endpoint_id: the endpoint that answered after the crash; empty for a request.
    :param fingerprint: fingerprint of the request that was served; empty for an endpoint.
    :param age: seconds since the endpoint answered, or the request was served.
    """

    endpoint_id: str
    born: int | None
    fingerprint: bytes
    age: float


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """The rate limit that an endpoint sets for all daemons together.

    :param born: Unix milliseconds of the endpoint's start; None if unknown.
    :param limit: requests per second; None if the endpoint no longer sets a limit.
    :param sent_age: seconds since the request whose answer set the limit was sent.
    :param heard_age: seconds since that answer arrived.
    """

    endpoint_id: str
    born: int | None
    limit: float | None
    sent_age: float
    heard_age: float


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """Current rate limits of endpoints."""

    limits: t.Sequence[ReportedLimit]


@dataclasses.dataclass(frozen=True)
class WorkspaceCounts:
    """The running requests of a model's groups.

    :param model: empty for a plain service.
    :param counts: running requests by workspace.
    """

    service: str
    model: str
    counts: t.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class WorkspaceLoad:
    """The running requests of workspaces, at one daemon or in one failure domain.

    Daemons of earlier builds reject it.

    :param failure_domain: the failure domain of which this is the total; empty for the requests of
        the sender.
    """

    failure_domain: str
    loads: t.Sequence[WorkspaceCounts]


@dataclasses.dataclass(frozen=True)
class RetryUse:
    """What a daemon has used of its retry budget for a service.

    :param requests: callers' requests, by their age in whole seconds.
    :param retries: retries, by their age in whole seconds.
    """

    service: str
    requests: t.Sequence[int]
    retries: t.Sequence[int]


@dataclasses.dataclass(frozen=True)
class OwedRetries:
    """Retries that may still arrive, though attempts at an endpoint were given up.

    :param endpoint_id: id of the endpoint.
    :param born: of its incarnation; None if not reported.
    :param count: number of retries.
    """

    service: str
    endpoint_id: str
    born: int | None
    count: int


@dataclasses.dataclass(frozen=True)
class RetryReport:
    """What the sender has used of its retry budgets within the window; it may be nothing.

    Daemons of earlier builds reject it.

    :param is_complete: whether this includes what the sender's predecessor had used.
    :param has_share: whether the sender has a share of the fixed number of retries.
    :param owed: retries that may still arrive, which the uses don't contain; daemons of earlier
        builds reject a report with any.
    """

    is_complete: bool
    has_share: bool
    uses: t.Sequence[RetryUse]
    owed: t.Sequence[OwedRetries] = ()


@dataclasses.dataclass(frozen=True)
class RetryQuery:
    """The question of a daemon that has started: what its predecessor had used.

    Daemons of earlier builds reject it.
    """


@dataclasses.dataclass(frozen=True)
class RetryRecall:
    """The answer to a :class:`RetryQuery`.

    Daemons of earlier builds reject it.

    :param age: seconds since the report came.
    :param report: the latest report of the daemon that asks.
    """

    age: float
    report: RetryReport


@dataclasses.dataclass(frozen=True)
class TunnelQuery:
    """A question which daemons carry tunnels to the endpoints of a service (:mod:`..tunnels`).

    Daemons of earlier builds reject it.
    """

    service: str


@dataclasses.dataclass(frozen=True)
class TunnelOffer:
    """The answer to a :class:`TunnelQuery` of a daemon that reaches endpoints of the service.

    :param port: where it accepts tunnels.
    :param room: the number of further tunnels that it carries.
    """

    service: str
    port: int
    room: int


Message = (
    LoadReport
    | DomainLoad
    | Suspicion
    | Probe
    | ProbeResult
    | GroupEnded
    | GroupKept
    | CrashReport
    | CrashWithdrawal
    | LimitReport
    | WorkspaceLoad
    | RetryReport
    | RetryQuery
    | RetryRecall
    | TunnelQuery
    | TunnelOffer
)
