"""Slopes behind docs/CAPACITY.md: cost against size, each at three sizes, with a fit.

``--record`` writes them to ``bench/slopes.json``, from which the page is computed.
"""

import asyncio
import dataclasses
import gc
import json
import pathlib
import statistics
import tempfile
import time
import tracemalloc
import typing as t

import aiohttp
import fire
import zmq

from thorncleat_core import codec
from thorncleat_core.daemon import keys
from thorncleat_core.daemon.burn import GOOD
from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.daemon.claims import ClaimBook
from thorncleat_core.daemon.claims import Outcome
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.directory import Directory
from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.journal import Entry
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.permits import Permit
from thorncleat_core.daemon.permits import PermitRequest
from thorncleat_core.daemon.settings import PeerKeys
from thorncleat_daemon.peers import ZmqPeers
from thorncleat_standins.cluster import Cluster
from thorncleat_standins.cluster import Site

from .report import cpu_seconds
from .report import private_bytes
from .report import target

SLOPES = pathlib.Path(__file__).with_name("slopes.json")
COMMAND = "bin/bench capacity --runs=3 --record"
Sample = t.Callable[[int], float]


@dataclasses.dataclass
class Slope:
    """A cost fitted as ``base + each * size``.

    :param spread: largest less smallest ``each`` over the runs.
    """

    name: str
    unit: str
    base: float
    each: float
    spread: float
    sizes: list[int]
    command: str = COMMAND


def fit(sizes: t.Sequence[float], costs: t.Sequence[float]) -> tuple[float, float]:
    """Return base and slope of the least squares line."""
    mean_size, mean_cost = statistics.fmean(sizes), statistics.fmean(costs)
    above = sum((s - mean_size) * (c - mean_cost) for s, c in zip(sizes, costs, strict=True))
    each = above / sum((s - mean_size) ** 2 for s in sizes)
    return mean_cost - each * mean_size, each


def slope(name: str, unit: str, sizes: list[int], sample: Sample, runs: int) -> Slope:
    """Measure a cost at some sizes, several times, and fit it."""
    fits = []
    for _ in range(runs):
        fits.append(fit(sizes, [sample(size) for size in sizes]))
    slopes = [each for _, each in fits]
    spread = max(slopes) - min(slopes)
    base = statistics.median(one for one, _ in fits)
    return Slope(name, unit, base, statistics.median(slopes), spread, sizes)


def _workspaces(count: int) -> State:
    rows = [{"name": f"w{n}", "key_digests": [keys.digest(str(n))]} for n in range(count)]
    first = Entry(1, "", "p", "o", Change.model_validate({"workspaces": rows}))
    return State().after(first)


def _entry_after(state: State) -> Entry:
    change = {"workspaces": [{"name": "w0", "key_digests": [keys.digest("new")]}]}
    head = state.head
    return Entry(head.revision + 1, head.digest, "p", "o", Change.model_validate(change))


def _apply_us(count: int) -> float:
    state = _workspaces(count)
    entry = _entry_after(state)
    rounds = 20
    began = time.process_time()
    for _ in range(rounds):
        state.after(entry)
    return (time.process_time() - began) / rounds * 1e6


def _bytes_of(make: t.Callable[[], t.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(used)


def _directory(count: int) -> Directory:
    directory = Directory(limit=count)
    for number in range(count):
        body = codec.unpack(
            codec.pack(
                {
                    "domain": f"fabric-{number}",
                    "intent": f"intent-{number % 8}",
                    "model": "model",
                    "version": "v1",
                    "generation": number,
                    "members": [f"instance-{number}-{member}" for member in range(16)],
                    "open": True,
                    "epoch": 3,
                }
            )
        )
        directory.put(Record(f"group/intent-{number % 8}-{number}", (1, 1, 1, number), body))
    return directory


def _claims(count: int) -> ClaimBook:
    book = ClaimBook()
    for number in range(count):
        _, claim = book.ask(f"w{number % 10}", f"key-{number}", f"{number:032x}", 0.0, 0)
        if claim:
            book.written(claim)
            book.finish(claim.workspace, claim.key, Outcome(201, "text/plain", b"ok"), "yes")
    return book


def _burn(count: int) -> BurnCounts:
    counts = BurnCounts()
    for number in range(count):
        for minute in range(360):
            counts.note(Subject(f"workspace-{number}", "model"), GOOD, minute * 60.0)
    return counts


def _claim_us(count: int) -> float:
    began = time.process_time()
    _claims(count)
    return (time.process_time() - began) * 1e6


def _packed(record: Record) -> float:
    message = {"c": "cluster", "f": "entry-123", "k": "records", "n": 0, "b": [record]}
    return float(len(codec.pack(message)))


def _head(count: int) -> float:
    return count * _packed(Record("config", (33_000,), {"digest": keys.digest("x")}))


def _group(count: int) -> float:
    (record,) = _directory(1).under("")
    return count * _packed(record)


# messages between two daemons


def _pair() -> tuple[ZmqPeers, ZmqPeers, dict[str, str]]:
    public, secret = (key.decode() for key in zmq.curve_keypair())
    made = PeerKeys.model_validate({"public": public, "secret": secret, "accepted": [public]})
    addresses: dict[str, str] = {}
    one = ZmqPeers("bench", "one", made, lambda: addresses)
    two = ZmqPeers("bench", "two", made, lambda: addresses)
    return one, two, addresses


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


async def _ask(groups: int, rounds: int = 400) -> tuple[float, float]:
    """Return processor microseconds and bytes on the wire of one exchange, both sides."""
    one, two, addresses = _pair()
    requests = [PermitRequest(f"intent-{n}", 3, {"a": 500}) for n in range(groups)]
    permits = [
        Permit(f"intent-{n}", 3, 7, 1.9, False, "10.0.0.1:8000", {"a": 500}, 100)
        for n in range(groups)
    ]

    async def answer(sender: str, body: t.Any) -> t.Any:
        return permits

    two.handle("permit", answer)
    addresses["two"] = await two.start("127.0.0.1:0")
    addresses["one"] = await one.start("127.0.0.1:0")
    await one.ask("two", "permit", requests, 5.0)
    wire, began = _loopback_bytes(), time.process_time()
    for _ in range(rounds):
        await one.ask("two", "permit", requests, 5.0)
    used = (time.process_time() - began) / rounds * 1e6
    sent = (_loopback_bytes() - wire) / rounds
    await one.stop()
    await two.stop()
    return used, sent


# daemons as processes


@dataclasses.dataclass
class Idle:
    """What one daemon costs without requests."""

    cpu: float
    sent: float
    private: float


async def _figure(cluster: Cluster, daemon: str, name: str) -> float:
    url = f"{cluster.callers(daemon)}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        for line in (await response.text()).splitlines():
            if line.startswith(f"thorncleat_{name} "):
                return float(line.split()[1])
    return 0.0


async def _idle(site: Site, groups: int, seconds: float) -> Idle:
    with tempfile.TemporaryDirectory(prefix="thorncleat-bench-") as directory:
        cluster = Cluster(pathlib.Path(directory), site, control={"shards": 4})
        try:
            await cluster.start(shared_engines=True)
            await cluster.wait_loaded()
            await cluster.apply(group_intent(groups))
            await cluster.wait_open(groups)
            pids = [cluster.processes[name].pid for name in cluster.daemons]
            sent = [await _figure(cluster, name, "peer_sent_bytes") for name in cluster.daemons]
            before = [cpu_seconds(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used = [cpu_seconds(pid) - old for pid, old in zip(pids, before, strict=True)]
            now = [await _figure(cluster, name, "peer_sent_bytes") for name in cluster.daemons]
            bytes_sent = [new - old for new, old in zip(now, sent, strict=True)]
            return Idle(
                sum(used) / seconds,
                statistics.fmean(bytes_sent) / seconds,
                statistics.fmean(private_bytes(pid) for pid in pids),
            )
        finally:
            await cluster.stop()


def group_intent(groups: int) -> dict[str, t.Any]:
    """Return a change that wants some groups of four."""
    intent = {
        "name": "narrator",
        "model": "m",
        "version": "v1",
        "workspaces": ["a"],
        "replicas": groups,
        "instances_per_replica": 4,
    }
    workspace = {"name": "a", "key_digests": [keys.digest("caller-key")]}
    return {"workspaces": [workspace], "intents": [intent]}


def _probe_cpu(instances: int, seconds: float) -> float:
    """Return the processor time a second that a holder spends on its instances."""
    site = Site(daemons=1, domains=1, instances=instances)
    return asyncio.run(_idle(site, instances // 4, seconds)).cpu


@dataclasses.dataclass(frozen=True)
class _Measured:
    """A cost that is measured inside this process."""

    name: str
    unit: str
    sizes: list[int]
    sample: Sample


INSIDE = [
    _Measured("journal_apply_us", "us for each workspace", [100, 400, 1600], _apply_us),
    _Measured(
        "journal_bytes",
        "bytes for each workspace",
        [100, 400, 1600],
        lambda count: _bytes_of(lambda: _workspaces(count)),
    ),
    _Measured(
        "directory_bytes",
        "bytes for each group of 16",
        [150, 600, 2400],
        lambda count: _bytes_of(lambda: _directory(count)),
    ),
    _Measured(
        "claim_bytes",
        "bytes for each claim",
        [1000, 4000, 16_000],
        lambda count: _bytes_of(lambda: _claims(count)),
    ),
    _Measured("config_record_bytes", "bytes of a record of the head", [1, 2, 3], _head),
    _Measured("group_record_bytes", "bytes of a record of a group of 16", [1, 2, 3], _group),
    _Measured("claim_us", "us for each claim", [1000, 4000, 16_000], _claim_us),
    _Measured(
        "burn_report_bytes",
        "bytes of a daemon's figures for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: float(len(codec.pack(_burn(count).export()))),
    ),
    _Measured(
        "burn_bytes",
        "bytes kept for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: _bytes_of(lambda: _burn(count)),
    ),
    _Measured(
        "permit_us",
        "us for each group in an exchange, both sides",
        [1, 4, 16],
        lambda groups: asyncio.run(_ask(groups))[0],
    ),
    _Measured(
        "permit_bytes",
        "bytes for each group in an exchange, both ways, with headers",
        [1, 4, 16],
        lambda groups: asyncio.run(_ask(groups))[1],
    ),
]


def _measure(runs: int, seconds: float, quick: bool) -> list[Slope]:
    slopes = [slope(one.name, one.unit, one.sizes, one.sample, runs) for one in INSIDE]
    if quick:
        return slopes
    probes = slope(
        "probe_cpu",
        "part of a core for each instance probed twice a second",
        [8, 24, 48],
        lambda count: _probe_cpu(count, seconds),
        runs,
    )
    return [*slopes, probes, *_against_daemons(runs, seconds)]


def _against_daemons(runs: int, seconds: float) -> list[Slope]:
    sizes = [3, 10, 30]
    found: dict[int, list[Idle]] = {size: [] for size in sizes}
    for _ in range(runs):
        for size in sizes:
            site = Site(daemons=size, domains=1, instances=4)
            found[size].append(asyncio.run(_idle(site, 1, seconds)))

    def of(name: str, unit: str, value: t.Callable[[Idle, int], float]) -> Slope:
        fits = [
            fit(sizes, [value(found[size][run], size) for size in sizes]) for run in range(runs)
        ]
        each = [one for _, one in fits]
        base = statistics.median(one for one, _ in fits)
        spread = max(each) - min(each)
        return Slope(name, unit, base, statistics.median(each), spread, sizes)

    return [
        of("idle_cpu", "part of a core a daemon, for each daemon", lambda i, n: i.cpu / n),
        of("idle_sent", "bytes/s a daemon sends, for each daemon", lambda i, n: i.sent),
        of("private_bytes", "bytes a daemon, for each daemon", lambda i, n: i.private),
    ]


def keep(slopes: t.Iterable[Slope]) -> None:
    """Write slopes into the file that the page is computed from."""
    known = json.loads(SLOPES.read_text()) if SLOPES.exists() else {}
    for one in slopes:
        known[one.name] = {
            **dataclasses.asdict(one),
            "base": float(f"{one.base:.4g}"),
            "each": float(f"{one.each:.4g}"),
            "spread": float(f"{one.spread:.3g}"),
        }
    SLOPES.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")


def capacity(
    runs: int = 1, seconds: float = 1.0, quick: bool = False, record: bool = False
) -> None:
    """Measure all slopes.

    :param runs: how often; the spread is over these.
    :param seconds: for each measurement of processes.
    :param quick: leave the processes out.
    :param record: keep the slopes for docs/CAPACITY.md.
    """
    slopes = _measure(runs, seconds, quick)
    print(f"{'slope':20}{'base':>12}{'each':>12}{'spread':>10}  unit")
    for one in slopes:
        print(f"{one.name:20}{one.base:12.4g}{one.each:12.4g}{one.spread:10.2g}  {one.unit}")
    if record:
        keep(slopes)
    by_name = {one.name: one for one in slopes}
    if not quick:
        target("capacity-idle-cpu-growth", by_name["idle_cpu"].each * 980, 0.046)
    target("capacity-directory-625-groups-mb", by_name["directory_bytes"].each * 625 / 1e6, 4)


if __name__ == "__main__":
    fire.Fire(capacity)
