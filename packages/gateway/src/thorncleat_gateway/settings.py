"""Settings of one daemon, as data; the platform's adapter fills them in.

Owns: the defaults of all times and limits that a deployment does not give itself.
Relies on: nothing. A figure that stands with a rule and never differs between deployments is a
constant beside that rule instead.
"""

import dataclasses

from .requests.retry_budget import RetryBudgetSettings

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Group control; times in seconds.

    :param lease: time to live of the controller's lease.
    :param margin: before the lease's end, when the controller stops acting.
    :param order_timeout: for an answer to an order.
    :param probe_timeout: for a report.
    :param form_timeout: for a group whose hosts hold the model.
    :param load_window: in which the weight store counts the loads that begin.
    :param load_overage: times its rate that it lets begin in that window.
    """

    # the absence of a controller costs repairs only, so 2 s are enough
    lease: float = 2.0
    # for the way of an order that was checked just before
    margin: float = 0.3
    order_timeout: float = 0.4
    probe_timeout: float = 0.15
    form_timeout: float = 5.0
    # the adapter fills both in from the deployment's bounds; these are the values of today's three
    load_window: float = 5.0
    load_overage: float = 1.1


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """When a silent group is suspected and left; times in seconds.

    :param gaps: usual gaps between events after which silence is evidence.
    :param least_silence: silence that is never evidence.
    :param most_silence: silence that always is, once events have come.
    :param first_event: silence before the first event.
    :param suspected: silence that suffices when another daemon suspects the group.
    :param suspicion: for which a suspicion lasts.
    """

    gaps: float = 3.0
    # with less, streams leave groups that only read a prompt
    least_silence: float = 0.32
    # as least_silence
    most_silence: float = 0.6
    # prompts are read before it
    first_event: float = 0.45
    suspected: float = 0.07
    suspicion: float = 1.0


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Learning what the store says from another daemon; times in seconds.

    A relay that has lost the store is left after ``oldest`` and one ``wait``, a silent one after
    ``wait`` and ``patience``: 1.6 s and 0.8 s, below the 2 s in which a configuration has to be
    effective at every daemon.

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
    :param callers: listener for callers' requests.
    :param readiness: listener for the balancer's question.
    :param peers: for other daemons: datagrams over UDP, a relay's answers over TCP.
    :param retry: the budget for sending requests again, of all daemons together.
    :param revoke_within: after which a key that was taken away must not work; None to serve
        on whatever the age of the configuration.
    :param grace: between the order to stop and the end by force.
    :param connect_timeout: for a connection to an endpoint to come up.
    :param metrics: address at which metrics are served; None for nowhere.
    :param capacity: what this daemon can carry, compared with others.
    :param watch: that a call for changes waits at the store.
    :param coalesce: to let changes gather before the next call to the store.
    :param quick_coalesce: likewise where the call goes to a relay, and at relays and the
        controller.
    """

    id: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    retry: RetryBudgetSettings
    revoke_within: float | None = None
    # the adapter fills it in from the deployment's bounds; this is the value of today's two
    grace: float = 8.0
    connect_timeout: float = 0.25
    metrics: Address | None = None
    capacity: float = 1.0
    # it bounds how old an idle daemon's knowledge gets
    watch: float = 0.4
    # saves calls to the store
    coalesce: float = 0.2
    quick_coalesce: float = 0.05
    control: ControlSettings = ControlSettings()
    relay: RelaySettings = RelaySettings()
    streams: StreamSettings = StreamSettings()
