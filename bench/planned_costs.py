"""What one daemon and the store would bear at the planned size, from the recorded slopes.

Owns: nothing.
Relies on: ``bench/slopes.json``, on what stood as a line at the sizes measured staying one, and on
the assumptions that docs/CAPACITY.md lists.
"""

import dataclasses
import typing as t

# of a daemon's control work: part of a core, megabytes, bytes sent a second (docs/DEVELOPERS.md)
BUDGET_CPU = 0.046
BUDGET_MB = 64.0
BUDGET_BYTES = 4000.0
# calls a second that the store takes (docs/DEVELOPERS.md)
WRITES = 100.0
READS = 2000.0
DAY_SECONDS = 86_400.0
# a change of one workspace; assumed
ENTRY_BYTES = 500.0
# of a frame: CURVE, ZMTP, TCP and IP
HEADER_BYTES = 110.0
# written for a failure; assumed
RECORDS_A_FAILURE = 4


@dataclasses.dataclass(frozen=True)
class Plan:
    """The planned size, and the settings that are reckoned with there.

    The size is that of docs/DEVELOPERS.md; the settings are listed in docs/CAPACITY.md.
    """

    daemons: int = 980
    instances: int = 10_000
    group_size: int = 16
    requests: float = 59_000.0
    tokens: float = 28e6
    changes_a_day: float = 33_000.0
    failures_a_day: float = 966.0
    neighbours: int = 10
    # from here on the users gave no figure: assumed, or settings
    workspaces: int = 1000
    groups_used: int = 16
    shards: int = 128
    probe_seconds: float = 1.0
    permit_renewal_seconds: float = 1.0
    lease_seconds: float = 12.0
    claims_a_second: float = 100.0
    claim_seconds: float = 28_800.0
    subjects: int = 50
    report_seconds: float = 600.0

    @property
    def groups(self) -> float:
        """Serving groups."""
        return self.instances / self.group_size

    @property
    def holders_asked(self) -> float:
        """Holders from which a daemon has permits: groups are taken shard by shard."""
        return self.groups_used / (self.groups / self.shards)


@dataclasses.dataclass(frozen=True)
class Row:
    """What one role costs one daemon.

    :param cpu: part of a core.
    :param sent: bytes a second; about as much is received.
    :param megabytes: of state.
    """

    role: str
    cpu: float
    sent: float
    megabytes: float
    mechanism: str
    control: bool = True


class Slopes:
    """The recorded slopes.

    :param raw: the recorded values, by name.
    """

    def __init__(self, raw: dict[str, dict[str, t.Any]]) -> None:
        self._raw = raw

    @property
    def raw(self) -> dict[str, dict[str, t.Any]]:
        """The recorded values, by name."""
        return self._raw

    def each(self, name: str) -> float:
        """Return a slope."""
        return float(self._raw[name]["each"])

    def base(self, name: str) -> float:
        """Return what stands before the slope."""
        return float(self._raw[name]["base"])

    def at(self, name: str, size: float) -> float:
        """Return a cost at a size, at least 0."""
        return max(0.0, self.base(name) + self.each(name) * size)


def rows(slopes: Slopes, plan: Plan) -> list[Row]:
    """Return what each role costs a daemon at the planned size."""
    return [
        *_request_rows(slopes, plan),
        _permits(slopes, plan),
        _holder(slopes, plan),
        _member(slopes, plan),
        _records(slopes, plan),
        _configuration(slopes, plan),
        _claims(slopes, plan),
        _reporter(slopes, plan),
        Row(
            "the rest: timers, lists, leases",
            slopes.base("idle_cpu"),
            0,
            slopes.base("private_bytes") / 1e6,
            "interpreter and libraries, all loops",
        ),
    ]


def _message(slopes: Slopes) -> tuple[float, float]:
    """Return processor seconds and bytes of the smallest exchange between daemons."""
    return slopes.base("permit_us") * 1e-6, slopes.base("permit_bytes")


def _request_rows(slopes: Slopes, plan: Plan) -> list[Row]:
    starting = plan.requests / plan.daemons * slopes.each("request_us") * 1e-6
    passing = plan.tokens / plan.daemons * slopes.each("token_us") * 1e-6
    return [
        Row("entry: starts requests", starting, 0, 0, "gate, dispatcher", control=False),
        Row("relay: passes tokens on", passing, 0, 0, "splice", control=False),
    ]


def _permits(slopes: Slopes, plan: Plan) -> Row:
    groups_each = plan.groups_used / plan.holders_asked
    exchanges = plan.holders_asked / plan.permit_renewal_seconds
    return Row(
        "user and giver of permits",
        exchanges * slopes.at("permit_us", groups_each) * 1e-6,
        exchanges * slopes.at("permit_bytes", groups_each),
        plan.groups_used * 0.002,
        "permits from few holders, shard by shard",
    )


def _holder(slopes: Slopes, plan: Plan) -> Row:
    held = plan.instances / plan.shards
    # measured with two probes a second
    probe = slopes.each("probe_cpu") / 2
    mechanism = "one of 128 shards; at most 128 daemons hold one"
    cpu = held / plan.probe_seconds * probe
    return Row("holder of a shard: probes", cpu, 0, held * 0.004, mechanism)


def _member(slopes: Slopes, plan: Plan) -> Row:
    cpu, sent = _message(slopes)
    mechanism = "ring with fingers, one neighbour a second"
    return Row("member: probes a neighbour", cpu, sent, plan.daemons * 0.0005, mechanism)


def _records(slopes: Slopes, plan: Plan) -> Row:
    heads = plan.changes_a_day / DAY_SECONDS
    groups = plan.failures_a_day * RECORDS_A_FAILURE / DAY_SECONDS
    head_bytes = slopes.each("config_record_bytes") + HEADER_BYTES
    group_bytes = slopes.each("group_record_bytes") + HEADER_BYTES
    return Row(
        "passer-on of records",
        (heads + groups) * plan.neighbours * _message(slopes)[0],
        plan.neighbours * (heads * head_bytes + groups * group_bytes),
        slopes.at("directory_bytes", plan.groups) / 1e6,
        "flood over ten neighbours",
    )


def _configuration(slopes: Slopes, plan: Plan) -> Row:
    changes = plan.changes_a_day / DAY_SECONDS
    cpu, sent = _message(slopes)
    return Row(
        "configuration: fetches and applies",
        changes * (cpu + slopes.at("journal_apply_us", plan.workspaces) * 1e-6),
        changes * (sent + ENTRY_BYTES),
        slopes.at("journal_bytes", plan.workspaces) / 1e6 * 2,
        "journal, entries fetched from whoever told",
    )


def _reporter(slopes: Slopes, plan: Plan) -> Row:
    size = slopes.at("burn_report_bytes", plan.subjects)
    return Row(
        "reporter: figures for `report burn`",
        _message(slopes)[0] / plan.report_seconds,
        size / plan.report_seconds,
        slopes.at("burn_bytes", plan.subjects) / 1e6,
        "asked by the daemon that the operator asked, 32 at once",
    )


def _claims(slopes: Slopes, plan: Plan) -> Row:
    claims = plan.claims_a_second / plan.shards
    cpu, sent = _message(slopes)
    kept = min(100_000.0, claims * plan.claim_seconds)
    return Row(
        "owner of claims",
        claims * (slopes.each("claim_us") * 1e-6 + cpu),
        claims * sent,
        kept * slopes.each("claim_bytes") / 1e6,
        "batches by the shard's holder",
    )


@dataclasses.dataclass(frozen=True)
class Call:
    """A use of the store by the whole fleet, a second."""

    what: str
    writes: float
    reads: float
    mechanism: str


def calls(plan: Plan) -> list[Call]:
    """Return the fleet's calls to the store at the planned size."""
    changes = plan.changes_a_day / DAY_SECONDS
    failures = plan.failures_a_day / DAY_SECONDS
    return [
        Call("leases", plan.shards / (plan.lease_seconds / 3), 0, "one for each holder"),
        Call("looking for free shards", 0, plan.shards * 3 / 2.0, "three candidates, each 2 s"),
        Call("configuration", changes, changes * 2 + plan.daemons / 60, "a transaction a change"),
        Call("watches", 0, 3 + 3 * changes, "three daemons watch"),
        Call("assignments", failures * 3, failures, "compare-and-swap a domain"),
        Call("claims", min(40.0, plan.claims_a_second), 0, "batches; 40 kept for them"),
    ]
