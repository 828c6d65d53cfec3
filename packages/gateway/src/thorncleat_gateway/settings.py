"""Settings of the gateway, as data; the platform's adapter fills them in."""

import dataclasses

from .requests.retry_budget import RetryBudgetSettings


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Group control; times in seconds.

    :param lease: time to live of the controller's lease.
    :param margin: before the lease's end, when the controller stops acting.
    :param order_timeout: for an answer to an order.
    :param probe_timeout: for a report.
    :param stall: after which an engine's leader notices that a member is missing.
    :param form_timeout: for a group whose hosts hold the model.
    """

    lease: float = 2.0
    margin: float = 0.3
    order_timeout: float = 0.4
    probe_timeout: float = 0.15
    stall: float = 5.0
    form_timeout: float = 5.0


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """When a silent group is left; times in seconds.

    :param gaps: usual gaps between events after which silence is evidence.
    :param least_silence: silence that is never evidence.
    :param most_silence: silence that always is, once events have come.
    :param first_event: silence before the first event.
    :param suspected: silence that suffices when another daemon suspects the group.
    """

    gaps: float = 3.0
    least_silence: float = 0.25
    most_silence: float = 0.45
    first_event: float = 0.45
    suspected: float = 0.07
    suspicion: float = 1.0


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Learning what the store says from another daemon; times in seconds.

    Together they keep well below the bound for a configuration to be in force: a relay that
    has lost the store is left after ``oldest`` and one ``wait``, a silent one after ``wait``
    and ``patience``.

    :param wait: that a call for changes waits at a relay.
    :param patience: for an answer beyond that.
    :param oldest: how old what a relay knows may be.
    :param avoid: for which a relay that failed is not asked.
    """

    wait: float = 0.5
    patience: float = 0.3
    oldest: float = 1.1
    avoid: float = 2.0


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """One daemon's settings; addresses are ``(host, port)``, times in seconds.

    :param id: of this daemon, unique among those that run.
    :param revoke_within: after which a key that was taken away must not work; None to serve
        on whatever the age of the configuration.
    :param metrics: address at which metrics are served; None for nowhere.
    :param capacity: what this daemon can carry, compared with others.
    :param watch: that a call for changes waits at the store.
    :param coalesce: to let changes gather before the next call to the store.
    :param quick_coalesce: likewise where the call goes to a relay, and at relays and the
        controller.
    :param grace: between the order to stop and the end by force.
    """

    id: str
    failure_domain: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    peers: tuple[str, int]
    retry: RetryBudgetSettings
    revoke_within: float | None = None
    grace: float = 8.0
    daemons: int = 1
    connect_timeout: float = 0.25
    metrics: tuple[str, int] | None = None
    capacity: float = 1.0
    watch: float = 0.4
    coalesce: float = 0.2
    quick_coalesce: float = 0.05
    control: ControlSettings = ControlSettings()
    relay: RelaySettings = RelaySettings()
    streams: StreamSettings = StreamSettings()
