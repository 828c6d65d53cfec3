"""Measures costs within this process: state by its size, messages by their content.

Owns: nothing; each measurement builds and drops its own objects.
Relies on: this process's CPU clock, and no other traffic over the loopback interface.
"""

import asyncio
import dataclasses
import gc
import pathlib
import time
import tracemalloc
import typing as t

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

Sample = t.Callable[[int], float]


def _state_with_workspaces(count: int) -> State:
    rows = [{"name": f"w{n}", "key_digests": [keys.digest(str(n))]} for n in range(count)]
    entry = Entry(1, "", "p", "o", Change.model_validate({"workspaces": rows}))
    return State().with_entry(entry)


def _next_entry(state: State) -> Entry:
    change = {"workspaces": [{"name": "w0", "key_digests": [keys.digest("new")]}]}
    head = state.head
    return Entry(head.revision + 1, head.digest, "p", "o", Change.model_validate(change))


def _journal_apply_microseconds(count: int) -> float:
    state = _state_with_workspaces(count)
    entry = _next_entry(state)
    rounds = 20
    started_at = time.process_time()
    for _ in range(rounds):
        state.with_entry(entry)
    return (time.process_time() - started_at) / rounds * 1e6


def _memory_bytes(make: t.Callable[[], t.Any]) -> float:
    """Return the memory that an object takes.

    :param make: returns the object.
    """
    gc.collect()
    tracemalloc.start()
    held_object = make()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held_object
    return float(used)


def _directory_of_groups(count: int) -> Directory:
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


def _claim_book(count: int) -> ClaimBook:
    claims = ClaimBook()
    for number in range(count):
        _, claim = claims.request_claim(
            f"w{number % 10}", f"key-{number}", f"{number:032x}", 0.0, 0
        )
        if claim:
            claims.mark_durable(claim)
            claims.record_outcome(
                claim.workspace, claim.key, Outcome(201, "text/plain", b"ok"), "yes"
            )
    return claims


def _burn_counts(count: int) -> BurnCounts:
    counts = BurnCounts()
    for number in range(count):
        for minute in range(360):
            counts.record(Subject(f"workspace-{number}", "model"), GOOD, minute * 60.0)
    return counts


def _claim_microseconds(count: int) -> float:
    started_at = time.process_time()
    _claim_book(count)
    return (time.process_time() - started_at) * 1e6


def _record_bytes(record: Record) -> float:
    message = {"c": "cluster", "f": "entry-123", "k": "records", "n": 0, "b": [record]}
    return float(len(codec.pack(message)))


def _head_record_bytes(count: int) -> float:
    return count * _record_bytes(Record("config", (33_000,), {"digest": keys.digest("x")}))


def _group_record_bytes(count: int) -> float:
    (record,) = _directory_of_groups(1).with_prefix("")
    return count * _record_bytes(record)


def _make_peers() -> tuple[ZmqPeers, ZmqPeers, dict[str, str]]:
    """Return a client and a server with the same keys, and the addresses that both look up."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    peer_keys = PeerKeys.model_validate({"public": public, "secret": secret, "accepted": [public]})
    addresses: dict[str, str] = {}
    client = ZmqPeers("bench", "one", peer_keys, lambda: addresses)
    server = ZmqPeers("bench", "two", peer_keys, lambda: addresses)
    return client, server, addresses


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


async def _measure_permit_exchange(groups: int, rounds: int = 400) -> tuple[float, float]:
    """Return processor microseconds and bytes on the wire of one exchange, of both sides.

    :param groups: number of groups for which the exchange renews a permit.
    """
    client, server, addresses = _make_peers()
    requests = [PermitRequest(f"intent-{n}", 3, {"a": 500}) for n in range(groups)]
    permits = [
        Permit(f"intent-{n}", 3, 7, 1.9, False, "10.0.0.1:8000", {"a": 500}, 100)
        for n in range(groups)
    ]

    async def answer(sender: str, body: t.Any) -> t.Any:
        return permits

    server.handle("permit", answer)
    addresses["two"] = await server.start("127.0.0.1:0")
    addresses["one"] = await client.start("127.0.0.1:0")
    await client.ask("two", "permit", requests, 5.0)
    bytes_before, started_at = _loopback_bytes(), time.process_time()
    for _ in range(rounds):
        await client.ask("two", "permit", requests, 5.0)
    cpu_microseconds = (time.process_time() - started_at) / rounds * 1e6
    wire_bytes = (_loopback_bytes() - bytes_before) / rounds
    await client.stop()
    await server.stop()
    return cpu_microseconds, wire_bytes


@dataclasses.dataclass(frozen=True)
class InProcessCost:
    """A cost that is measured within this process.

    :param sizes: sizes at which the cost is measured.
    :param sample: returns the cost at a size.
    """

    name: str
    unit: str
    sizes: list[int]
    sample: Sample


IN_PROCESS_COSTS = [
    InProcessCost(
        "journal_apply_us", "us for each workspace", [100, 400, 1600], _journal_apply_microseconds
    ),
    InProcessCost(
        "journal_bytes",
        "bytes for each workspace",
        [100, 400, 1600],
        lambda count: _memory_bytes(lambda: _state_with_workspaces(count)),
    ),
    InProcessCost(
        "directory_bytes",
        "bytes for each group of 16",
        [150, 600, 2400],
        lambda count: _memory_bytes(lambda: _directory_of_groups(count)),
    ),
    InProcessCost(
        "claim_bytes",
        "bytes for each claim",
        [1000, 4000, 16_000],
        lambda count: _memory_bytes(lambda: _claim_book(count)),
    ),
    InProcessCost(
        "config_record_bytes", "bytes of a record of the head", [1, 2, 3], _head_record_bytes
    ),
    InProcessCost(
        "group_record_bytes", "bytes of a record of a group of 16", [1, 2, 3], _group_record_bytes
    ),
    InProcessCost("claim_us", "us for each claim", [1000, 4000, 16_000], _claim_microseconds),
    InProcessCost(
        "burn_report_bytes",
        "bytes of a daemon's figures for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: float(len(codec.pack(_burn_counts(count).export()))),
    ),
    InProcessCost(
        "burn_bytes",
        "bytes kept for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: _memory_bytes(lambda: _burn_counts(count)),
    ),
    InProcessCost(
        "permit_us",
        "us for each group in an exchange, both sides",
        [1, 4, 16],
        lambda groups: asyncio.run(_measure_permit_exchange(groups))[0],
    ),
    InProcessCost(
        "permit_bytes",
        "bytes for each group in an exchange, both ways, with headers",
        [1, 4, 16],
        lambda groups: asyncio.run(_measure_permit_exchange(groups))[1],
    ),
]
