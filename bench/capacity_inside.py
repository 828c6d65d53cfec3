"""Costs that are measured inside one process: state by its size, messages by what they carry.

Owns: nothing; each measurement builds what it measures and drops it.
Relies on: the processor clock of this process, and the loopback's byte counter being used by
nothing else meanwhile.
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


def _workspaces(count: int) -> State:
    rows = [{"name": f"w{n}", "key_digests": [keys.digest(str(n))]} for n in range(count)]
    first = Entry(1, "", "p", "o", Change.model_validate({"workspaces": rows}))
    return State().with_entry(first)


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
        state.with_entry(entry)
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
        _, claim = book.request_claim(f"w{number % 10}", f"key-{number}", f"{number:032x}", 0.0, 0)
        if claim:
            book.mark_durable(claim)
            book.record_outcome(
                claim.workspace, claim.key, Outcome(201, "text/plain", b"ok"), "yes"
            )
    return book


def _burn(count: int) -> BurnCounts:
    counts = BurnCounts()
    for number in range(count):
        for minute in range(360):
            counts.record(Subject(f"workspace-{number}", "model"), GOOD, minute * 60.0)
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
    (record,) = _directory(1).with_prefix("")
    return count * _packed(record)


def _pair() -> tuple[ZmqPeers, ZmqPeers, dict[str, str]]:
    public, secret = (key.decode() for key in zmq.curve_keypair())
    made = PeerKeys.model_validate({"public": public, "secret": secret, "accepted": [public]})
    addresses: dict[str, str] = {}
    asker = ZmqPeers("bench", "one", made, lambda: addresses)
    giver = ZmqPeers("bench", "two", made, lambda: addresses)
    return asker, giver, addresses


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


async def _ask(groups: int, rounds: int = 400) -> tuple[float, float]:
    """Return processor microseconds and bytes on the wire of one exchange, both sides."""
    asker, giver, addresses = _pair()
    requests = [PermitRequest(f"intent-{n}", 3, {"a": 500}) for n in range(groups)]
    permits = [
        Permit(f"intent-{n}", 3, 7, 1.9, False, "10.0.0.1:8000", {"a": 500}, 100)
        for n in range(groups)
    ]

    async def answer(sender: str, body: t.Any) -> t.Any:
        return permits

    giver.handle("permit", answer)
    addresses["two"] = await giver.start("127.0.0.1:0")
    addresses["one"] = await asker.start("127.0.0.1:0")
    await asker.ask("two", "permit", requests, 5.0)
    wire, began = _loopback_bytes(), time.process_time()
    for _ in range(rounds):
        await asker.ask("two", "permit", requests, 5.0)
    used = (time.process_time() - began) / rounds * 1e6
    sent = (_loopback_bytes() - wire) / rounds
    await asker.stop()
    await giver.stop()
    return used, sent


@dataclasses.dataclass(frozen=True)
class Measured:
    """A cost that is measured inside this process.

    :param sample: returns the cost at a size.
    """

    name: str
    unit: str
    sizes: list[int]
    sample: Sample


INSIDE = [
    Measured("journal_apply_us", "us for each workspace", [100, 400, 1600], _apply_us),
    Measured(
        "journal_bytes",
        "bytes for each workspace",
        [100, 400, 1600],
        lambda count: _bytes_of(lambda: _workspaces(count)),
    ),
    Measured(
        "directory_bytes",
        "bytes for each group of 16",
        [150, 600, 2400],
        lambda count: _bytes_of(lambda: _directory(count)),
    ),
    Measured(
        "claim_bytes",
        "bytes for each claim",
        [1000, 4000, 16_000],
        lambda count: _bytes_of(lambda: _claims(count)),
    ),
    Measured("config_record_bytes", "bytes of a record of the head", [1, 2, 3], _head),
    Measured("group_record_bytes", "bytes of a record of a group of 16", [1, 2, 3], _group),
    Measured("claim_us", "us for each claim", [1000, 4000, 16_000], _claim_us),
    Measured(
        "burn_report_bytes",
        "bytes of a daemon's figures for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: float(len(codec.pack(_burn(count).export()))),
    ),
    Measured(
        "burn_bytes",
        "bytes kept for each workspace and target, six hours",
        [10, 40, 160],
        lambda count: _bytes_of(lambda: _burn(count)),
    ),
    Measured(
        "permit_us",
        "us for each group in an exchange, both sides",
        [1, 4, 16],
        lambda groups: asyncio.run(_ask(groups))[0],
    ),
    Measured(
        "permit_bytes",
        "bytes for each group in an exchange, both ways, with headers",
        [1, 4, 16],
        lambda groups: asyncio.run(_ask(groups))[1],
    ),
]
