"""Computes the load of one daemon and of the store at the planned size, from the recorded slopes.

Owns: nothing.
Relies on: ``bench/slopes.json``, on costs that stay linear beyond the measured sizes, and on the
assumptions that docs/CAPACITY.md lists.
"""

import dataclasses
import typing as t

# Budget of a daemon's control work, from docs/DEVELOPERS.md.
CPU_BUDGET_CORES = 0.046
MEMORY_BUDGET_MB = 64.0
SEND_BUDGET_BYTES_PER_SECOND = 4000.0
# Calls that the store can serve, from docs/DEVELOPERS.md.
STORE_WRITES_PER_SECOND = 100.0
STORE_READS_PER_SECOND = 2000.0
SECONDS_PER_DAY = 86_400.0
# Size of a configuration change of one workspace.
CHANGE_BYTES = 500.0
# Headers of a frame between daemons: CURVE, ZMTP, TCP and IP.
FRAME_HEADER_BYTES = 110.0
RECORDS_PER_FAILURE = 4


@dataclasses.dataclass(frozen=True)
class Plan:
    """The planned size of the fleet, and the settings assumed at that size.

    The size is that of docs/DEVELOPERS.md; docs/CAPACITY.md lists the settings.

    :param flood_peers: daemons to which a daemon forwards a record.
    :param burn_subjects: pairs of workspace and target for which a daemon counts burn.
    """

    daemons: int = 980
    instances: int = 10_000
    group_size: int = 16
    requests_per_second: float = 59_000.0
    tokens_per_second: float = 28e6
    changes_per_day: float = 33_000.0
    failures_per_day: float = 966.0
    flood_peers: int = 10
    # The fields below are assumptions and settings, not figures of the planned size.
    workspaces: int = 1000
    groups_used_per_daemon: int = 16
    shards: int = 128
    probe_interval_seconds: float = 1.0
    permit_renewal_interval_seconds: float = 1.0
    lease_seconds: float = 12.0
    claims_per_second: float = 100.0
    claim_seconds: float = 28_800.0
    burn_subjects: int = 50
    report_interval_seconds: float = 600.0

    @property
    def groups(self) -> float:
        """Number of serving groups."""
        return self.instances / self.group_size

    @property
    def holders_asked(self) -> float:
        """Number of shard holders from which a daemon gets permits.

        A daemon uses groups shard by shard, so that it asks few holders.
        """
        return self.groups_used_per_daemon / (self.groups / self.shards)


@dataclasses.dataclass(frozen=True)
class RoleCost:
    """The cost of one role for one daemon.

    :param cpu_cores: processor time as a share of a core.
    :param sent_bytes_per_second: bytes sent; a daemon receives about as many.
    :param control: whether the role counts against the budget of control work.
    """

    role: str
    cpu_cores: float
    sent_bytes_per_second: float
    state_megabytes: float
    mechanism: str
    control: bool = True


class Slopes:
    """The recorded slopes.

    :param by_name: the recorded fields of each slope.
    """

    def __init__(self, by_name: dict[str, dict[str, t.Any]]) -> None:
        self._by_name = by_name

    @property
    def by_name(self) -> dict[str, dict[str, t.Any]]:
        """The recorded fields of each slope."""
        return self._by_name

    def each(self, name: str) -> float:
        """Return the cost that each unit of size adds."""
        return float(self._by_name[name]["each"])

    def base(self, name: str) -> float:
        """Return the cost at size 0."""
        return float(self._by_name[name]["base"])

    def cost_at(self, name: str, size: float) -> float:
        """Return the cost at a size; never negative."""
        return max(0.0, self.base(name) + self.each(name) * size)


def role_costs(slopes: Slopes, plan: Plan) -> list[RoleCost]:
    """Return what each role costs a daemon at the planned size."""
    return [
        *_request_costs(slopes, plan),
        _permit_costs(slopes, plan),
        _shard_holder_costs(slopes, plan),
        _member_costs(slopes, plan),
        _record_costs(slopes, plan),
        _configuration_costs(slopes, plan),
        _claim_costs(slopes, plan),
        _reporter_costs(slopes, plan),
        RoleCost(
            "the rest: timers, lists, leases",
            slopes.base("idle_cpu"),
            0,
            slopes.base("private_bytes") / 1e6,
            "interpreter and libraries, all loops",
        ),
    ]


def _smallest_exchange_cost(slopes: Slopes) -> tuple[float, float]:
    """Return processor seconds and bytes of the smallest exchange between daemons."""
    return slopes.base("permit_us") * 1e-6, slopes.base("permit_bytes")


def _request_costs(slopes: Slopes, plan: Plan) -> list[RoleCost]:
    starting_cpu = plan.requests_per_second / plan.daemons * slopes.each("request_us") * 1e-6
    relaying_cpu = plan.tokens_per_second / plan.daemons * slopes.each("token_us") * 1e-6
    return [
        RoleCost("entry: starts requests", starting_cpu, 0, 0, "gate, dispatcher", control=False),
        RoleCost("relay: passes tokens on", relaying_cpu, 0, 0, "splice", control=False),
    ]


def _permit_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    groups_each = plan.groups_used_per_daemon / plan.holders_asked
    exchanges = plan.holders_asked / plan.permit_renewal_interval_seconds
    return RoleCost(
        "user and giver of permits",
        exchanges * slopes.cost_at("permit_us", groups_each) * 1e-6,
        exchanges * slopes.cost_at("permit_bytes", groups_each),
        plan.groups_used_per_daemon * 0.002,
        "permits from few holders, shard by shard",
    )


def _shard_holder_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    instances_probed = plan.instances / plan.shards
    # The slope is for two probes a second.
    cpu_per_probe = slopes.each("probe_cpu") / 2
    mechanism = "one of 128 shards; at most 128 daemons hold one"
    cpu = instances_probed / plan.probe_interval_seconds * cpu_per_probe
    return RoleCost("holder of a shard: probes", cpu, 0, instances_probed * 0.004, mechanism)


def _member_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    cpu, sent = _smallest_exchange_cost(slopes)
    mechanism = "ring with fingers, one neighbour a second"
    return RoleCost("member: probes a neighbour", cpu, sent, plan.daemons * 0.0005, mechanism)


def _record_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    heads = plan.changes_per_day / SECONDS_PER_DAY
    groups = plan.failures_per_day * RECORDS_PER_FAILURE / SECONDS_PER_DAY
    head_bytes = slopes.each("config_record_bytes") + FRAME_HEADER_BYTES
    group_bytes = slopes.each("group_record_bytes") + FRAME_HEADER_BYTES
    return RoleCost(
        "passer-on of records",
        (heads + groups) * plan.flood_peers * _smallest_exchange_cost(slopes)[0],
        plan.flood_peers * (heads * head_bytes + groups * group_bytes),
        slopes.cost_at("directory_bytes", plan.groups) / 1e6,
        "flood over ten neighbours",
    )


def _configuration_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    changes = plan.changes_per_day / SECONDS_PER_DAY
    cpu, sent = _smallest_exchange_cost(slopes)
    return RoleCost(
        "configuration: fetches and applies",
        changes * (cpu + slopes.cost_at("journal_apply_us", plan.workspaces) * 1e-6),
        changes * (sent + CHANGE_BYTES),
        slopes.cost_at("journal_bytes", plan.workspaces) / 1e6 * 2,
        "journal, entries fetched from whoever told",
    )


def _reporter_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    size = slopes.cost_at("burn_report_bytes", plan.burn_subjects)
    return RoleCost(
        "reporter: figures for `report burn`",
        _smallest_exchange_cost(slopes)[0] / plan.report_interval_seconds,
        size / plan.report_interval_seconds,
        slopes.cost_at("burn_bytes", plan.burn_subjects) / 1e6,
        "asked by the daemon that the operator asked, 32 at once",
    )


def _claim_costs(slopes: Slopes, plan: Plan) -> RoleCost:
    claims = plan.claims_per_second / plan.shards
    cpu, sent = _smallest_exchange_cost(slopes)
    claims_held = min(100_000.0, claims * plan.claim_seconds)
    return RoleCost(
        "owner of claims",
        claims * (slopes.each("claim_us") * 1e-6 + cpu),
        claims * sent,
        claims_held * slopes.each("claim_bytes") / 1e6,
        "batches by the shard's holder",
    )


@dataclasses.dataclass(frozen=True)
class StoreUse:
    """A use of the store by the whole fleet; calls are per second."""

    what: str
    writes: float
    reads: float
    mechanism: str


def store_uses(plan: Plan) -> list[StoreUse]:
    """Return the fleet's uses of the store at the planned size."""
    changes = plan.changes_per_day / SECONDS_PER_DAY
    failures = plan.failures_per_day / SECONDS_PER_DAY
    return [
        StoreUse("leases", plan.shards / (plan.lease_seconds / 3), 0, "one for each holder"),
        StoreUse("looking for free shards", 0, plan.shards * 3 / 2.0, "three candidates, each 2 s"),
        StoreUse(
            "configuration", changes, changes * 2 + plan.daemons / 60, "a transaction a change"
        ),
        StoreUse("watches", 0, 3 + 3 * changes, "three daemons watch"),
        StoreUse("assignments", failures * 3, failures, "compare-and-swap a domain"),
        StoreUse("claims", min(40.0, plan.claims_per_second), 0, "batches; 40 kept for them"),
    ]
