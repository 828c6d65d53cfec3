"""Settings of one daemon, which the platform's adapter fills in.

Owns: the defaults of the times and limits that may differ between deployments.
Relies on: nothing.
"""

import dataclasses

from .requests.retry_budget import RetryBudgetSettings

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of the group controller; times in seconds.

    :param lease: TTL of the controller's lease.
    :param margin: how long before the lease expires the controller stops acting, which covers an
        order that is on its way to an endpoint.
    :param order_timeout: timeout of an order to an endpoint.
    :param probe_timeout: timeout of a call for an endpoint's report.
    :param form_timeout: timeout of the formation of a group whose hosts hold the model.
    :param load_window: window in which the weight store counts started loads.
    :param load_overage: the loads that may start in this window, as a multiple of the store's rate.
    :param stall: time after which a group that lacks a member is broken.
    """

    lease: float = 2.0
    margin: float = 0.3
    order_timeout: float = 0.4
    probe_timeout: float = 0.15
    form_timeout: float = 5.0
    load_window: float = 5.0
    load_overage: float = 1.1
    stall: float = 5.0


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """When a group counts as silent and its streams leave it; times in seconds.

    :param gaps: timeout between two events, as a multiple of the average gap between events.
    :param least_silence: minimum of this timeout, so that streams wait while a group reads a
        prompt.
    :param most_silence: maximum of this timeout.
    :param first_event: timeout of the first event, before which the prompt is read.
    :param queued_first_event: the same timeout at a group whose slots are all taken, where a
        request may wait for one first. It stays below the time after which an engine ends requests
        that stand still.
    :param suspected: timeout between two events if the group is suspected already.
    :param suspicion: duration of a suspicion.
    """

    gaps: float = 3.0
    least_silence: float = 0.32
    most_silence: float = 0.6
    first_event: float = 0.45
    queued_first_event: float = 1.2
    suspected: float = 0.07
    suspicion: float = 1.0


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Settings for reading changes of the store from another daemon; times in seconds.

    A relay that has lost the store is abandoned after ``oldest`` plus one ``wait``, one that does
    not answer after ``wait`` plus ``patience``. Both must stay below the time in which a
    configuration has to take effect at every daemon.

    :param wait: how long a relay may hold a call for changes.
    :param patience: how much longer to wait for the answer.
    :param oldest: maximum age of a relay's data.
    :param avoid: how long a relay that failed is not called.
    """

    wait: float = 0.5
    patience: float = 0.3
    oldest: float = 1.1
    avoid: float = 2.0


@dataclasses.dataclass(frozen=True)
class EvacuationSettings:
    """Settings of the evacuation of failure domains; times in seconds.

    :param within: how long after the operator's request no endpoint there gets requests any more.
    """

    within: float


@dataclasses.dataclass(frozen=True)
class ColdSettings:
    """How far requests may exceed the rate of a cold endpoint.

    :param overage: requests in a second that are tolerated, as a multiple of the endpoint's rate.
    :param slack: requests in a second on top of these.
    """

    overage: float
    slack: float


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one daemon; addresses are ``(host, port)``, times in seconds.

    :param id: id of this daemon, unique among all running daemons.
    :param callers: address for callers' requests.
    :param readiness: address for the load balancer's health check.
    :param peers: address for other daemons: datagrams over UDP, answers of a relay over TCP.
    :param tunnels: address at which other daemons may open tunnels to endpoints; None to carry
        none.
    :param retry: retry budget of all daemons together.
    :param revoke_within: how long a key may still be accepted after its revocation; None to accept
        keys at any age of the configuration.
    :param grace: time from the order to stop to the kill.
    :param connect_timeout: timeout of a connection to an endpoint.
    :param metrics: address at which metrics are served; None to serve none.
    :param capacity: weight of this daemon relative to the others.
    :param watch: how long the store may hold a call for changes, which bounds the age of the data
        of an idle daemon.
    :param coalesce: delay between two calls to the store, in which changes accumulate.
    :param quick_coalesce: the same delay for calls to a relay, and at relays and the controller.
    :param evacuation: None to ignore requests to evacuate a failure domain.
    :param cold: None to send cold endpoints as much as warm ones.
    :param overload_control: whether requests are admitted by expected time, level and fair shares,
        for fleets that get more than they can serve at times.
    :param memory: bytes that the process may use; None if unknown.
    :param descriptors: how many descriptors the process may have open; None if unknown.
    """

    id: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    retry: RetryBudgetSettings
    revoke_within: float | None = None
    grace: float = 8.0
    connect_timeout: float = 0.25
    metrics: Address | None = None
    tunnels: Address | None = None
    capacity: float = 1.0
    watch: float = 0.4
    coalesce: float = 0.2
    quick_coalesce: float = 0.05
    control: ControlSettings = ControlSettings()
    relay: RelaySettings = RelaySettings()
    streams: StreamSettings = StreamSettings()
    evacuation: EvacuationSettings | None = None
    cold: ColdSettings | None = None
    overload_control: bool = False
    memory: int | None = None
    descriptors: int | None = None
