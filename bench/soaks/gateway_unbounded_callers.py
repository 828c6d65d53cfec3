"""Callers of the gateway's soak that keep to no limit, and a bound of the daemons' descriptors.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: the connections of each crowd, which end with it.
Relies on: Linux for the descriptors of a process; the bound of the memory is checked with the
endless answers.
"""

import asyncio
import contextlib
import os
import random
import typing as t

from thorncleat_core.daemon.registry import Registry

from .gateway_daemons import Daemon
from .gateway_settings import MAX_DESCRIPTORS
from .gateway_site import HOST
from .gateway_site import PATHS
from .gateway_troubles import GatewaySoak

# Connections of one crowd, and how long it stays.
CROWD_SIZE = 150
MIN_STAY_SECONDS, MAX_STAY_SECONDS = 2.0, 6.0
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.5, 2.0
POLL_SECONDS = 0.1
# Less than the limit of the site's configuration.
BODY_BYTES = 9_000
FIELDS = 1_000

forms: Registry[t.Callable[[str], bytes]] = Registry("form of a request")


def _head(path: str, *fields: str) -> str:
    return "\r\n".join([f"POST {path} HTTP/1.1", f"Host: {HOST}", *fields, "", ""])


@forms.register("nothing")
def nothing(path: str) -> bytes:
    """Return no bytes: the connections stay idle."""
    return b""


@forms.register("part of a head")
def part_of_a_head(path: str) -> bytes:
    """Return a head without its end."""
    return _head(path)[:-10].encode()


@forms.register("many fields")
def many_fields(path: str) -> bytes:
    """Return a head of many short fields."""
    return _head(path, *["a:"] * FIELDS).encode()


@forms.register("short body")
def short_body(path: str) -> bytes:
    """Return a request one byte short of its end."""
    head = _head(path, f"Content-Length: {BODY_BYTES}")
    return head.encode() + b"x" * (BODY_BYTES - 1)


@forms.register("chunks of one byte")
def chunks_of_one_byte(path: str) -> bytes:
    """Return a request in chunks of one byte, without the last one."""
    return _head(path, "Transfer-Encoding: chunked").encode() + b"1\r\nx\r\n" * BODY_BYTES


@forms.register("requests ahead")
def requests_ahead(path: str) -> bytes:
    """Return many requests whose answers aren't read."""
    return _head(path, "Content-Length: 0").encode() * 200


async def send_crowds(soak: GatewaySoak, seed: int) -> None:
    """Send crowds to random daemons and paths until the end of the run."""
    rng = random.Random(f"unbounded callers {seed}")
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        daemon, form = rng.choice(soak.site.daemons), rng.choice(forms.names)
        path, seconds = (
            rng.choice([*PATHS.values(), "/nowhere/"]),
            rng.uniform(MIN_STAY_SECONDS, MAX_STAY_SECONDS),
        )
        address = rng.choice([daemon.callers_address, daemon.readiness_address])
        soak.counts[f"trouble crowd: {form}"] += 1
        tasks.append(asyncio.create_task(_stay(address, forms.get(form)(path), seconds)))
    await asyncio.gather(*tasks)


async def _stay(address: str, sent: bytes, seconds: float) -> None:
    """Connect a crowd, have each member send the same, and leave after some time."""
    host, _, port = address.rpartition(":")
    writers: list[asyncio.StreamWriter] = []
    for _ in range(CROWD_SIZE):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
            writer.write(sent)
            writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.transport.abort()


async def watch_descriptors(soak: GatewaySoak) -> None:
    """Check that no daemon has more descriptors than its settings allow."""
    exceeded: set[str] = set()
    while not soak.is_over:
        for daemon in soak.site.daemons:
            count = _descriptors(daemon)
            name = "most descriptors of a daemon"
            soak.counts[name] = max(soak.counts[name], count)
            if count > MAX_DESCRIPTORS and daemon.name not in exceeded:
                exceeded.add(daemon.name)
                soak.violations.append(f"DESCRIPTORS {daemon.name} has {count}")
        await asyncio.sleep(POLL_SECONDS)


def _descriptors(daemon: Daemon) -> int:
    """Return the number of descriptors of a daemon's process; 0 if it has ended."""
    if daemon.process is None or not daemon.bounds_answers:
        return 0
    try:
        return len(os.listdir(f"/proc/{daemon.process.pid}/fd"))
    except OSError:
        return 0
