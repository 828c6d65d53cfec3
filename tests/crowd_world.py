"""One real daemon, stand-ins of its platform, and crowds of callers out of their limits."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys
import typing as t

import aiohttp

from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.ports import free_ports
from thorncleat_standins.processes import Process

ROOT = pathlib.Path(__file__).parent.parent
HOST = "shop.example"
KEY = "secret-key"
MEGABYTE = 1_000_000
# The limits of the process in the settings: less than any instance has, so that a small crowd
# exceeds them.
MEMORY_MB = 112
MAX_DESCRIPTORS = 300
# The limits of the configuration.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
HEADER_TIMEOUT_MS = 3_000
IDLE_TIMEOUT_MS = 15_000
# How long an ordinary request may take beside a crowd; it takes milliseconds without one.
REQUEST_SECONDS = 20.0
# How long it waits before its retry.
RETRY_SECONDS = 0.5
START_SECONDS = 20.0
POLL_SECONDS = 0.05
# How long a crowd may take to send what the daemon accepts.
SEND_SECONDS = 8.0
PIECE_BYTES = 65_536

SETTINGS = """
node_name = "edge-0"
ip = "127.0.0.1"
zone = "zone-a"
bootstrap = true
internal_ports = [{peers}, {tunnels}]
contracts = [{contracts}]
[listen]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[limits]
memory_mb = {memory}
max_fds = {descriptors}
[bounds]
revoke_fail_closed = true
revoke_ms = 5000
[platform]
address = "{store}"
"""


def _route(name: str, path: str, kind: str, **more: t.Any) -> dict[str, t.Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "route_kind": kind,
        "service": "desk",
        "timeout_ms": 30_000,
        "latency_target_ms": 500,
        "priority": 1,
        **more,
    }


CONFIGURATION: dict[str, t.Any] = {
    "version": 1,
    "routes": [
        _route("ack", "/ack/", "idempotent", max_attempts=2),
        _route("brief", "/brief/", "streaming", resumable=True, max_attempts=2),
    ],
    "services": [{"name": "desk", "health_path": "/healthz"}],
    "limits": {
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": HEADER_TIMEOUT_MS,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
    },
    "tenants": [{"name": "growers", "api_keys": [KEY], "priority": 1}],
}


def head(path: str, *fields: str, key: str = KEY, deadline: int = 20_000) -> bytes:
    """Return the head of a request, with further fields."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Thorncleat-Attempt-Id: crowd",
        f"X-Thorncleat-Deadline-Ms: {deadline}",
    ]
    if key:
        lines.append(f"Authorization: Token {key}")
    return "\r\n".join([*lines, *fields, "", ""]).encode()


@dataclasses.dataclass
class Answer:
    """An answer to an ordinary request."""

    status: int
    body: bytes


class CrowdSite:
    """A daemon in a process of its own, and three sound workers of a plain service.

    :ivar most_descriptors: the most descriptors of the process that were seen.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        contracts: str = "",
        limits: t.Mapping[str, int] | None = None,
    ) -> None:
        self._limits = dict(limits or {})
        self._directory = directory
        self._contracts = contracts
        self._process: Process | None = None
        self._watching: asyncio.Task[None] | None = None
        self.store = PlatformStore()
        self.workers: list[PlatformWorker] = []
        self.most_descriptors = 0
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Start the platform's stand-ins and the daemon."""
        store = await self.store.start()
        limits = {**CONFIGURATION["limits"], **self._limits}
        self.store.write("op/config", {**CONFIGURATION, "limits": limits})
        for number in range(3):
            worker = PlatformWorker(self.store, f"desk{number}", "desk")
            self.workers.append(worker)
            await worker.start()
        names = ("callers", "readiness", "peers", "tunnels", "metrics")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        settings = self._directory / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                **self.ports,
                store=store,
                contracts=self._contracts,
                memory=MEMORY_MB,
                descriptors=MAX_DESCRIPTORS,
            )
        )
        with (self._directory / "daemon.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-OO",
                str(ROOT / "platform/run.py"),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "THORNCLEAT_CONFIG": str(settings),
                    "THORNCLEAT_METRICS": f"{self.ports['metrics']}/metrics",
                },
            )
        self._process = Process("edge-0", process)
        self._watching = asyncio.create_task(self._watch())
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_serving():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def _is_serving(self) -> bool:
        try:
            return (await self._request("/ack/x", b"x")).status == 200
        except aiohttp.ClientError:
            return False

    async def stop(self) -> None:
        """End the daemon and the stand-ins."""
        if self._watching is not None:
            self._watching.cancel()
        if self._process is not None:
            await self._process.stop(signal.SIGKILL)
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    @property
    def is_running(self) -> bool:
        """Whether the daemon's process has not ended."""
        return self._process is not None and self._process.is_running

    @property
    def log(self) -> str:
        """What the daemon has written."""
        return (self._directory / "daemon.log").read_text()

    def peak_memory_mb(self) -> float:
        """Return the most memory that the daemon has had."""
        assert self._process is not None
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / MEGABYTE

    async def _watch(self) -> None:
        assert self._process is not None
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(POLL_SECONDS)

    async def ordinary(self, path: str = "/ack/x", body: t.Any = b"x") -> Answer:
        """Send one ordinary request on a new connection, as the platform's callers do.

        They retry once on another connection, when they were told to come back or lost the first.
        """
        try:
            answer = await self._request(path, body)
        except aiohttp.ClientError:
            answer = None
        if answer is not None and answer.status != 503:
            return answer
        await asyncio.sleep(RETRY_SECONDS)
        return await self._request(path, body)

    async def _request(self, path: str, body: t.Any) -> Answer:
        headers = {
            "Host": HOST,
            "X-Thorncleat-Attempt-Id": "ordinary",
            "X-Thorncleat-Deadline-Ms": str(int(REQUEST_SECONDS * 1000)),
            "Authorization": f"Token {KEY}",
        }
        url = f"http://127.0.0.1:{self.ports['callers']}{path}"
        timeout = aiohttp.ClientTimeout(total=REQUEST_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.post(url, data=body, headers=headers) as response,
        ):
            return Answer(response.status, await response.read())

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        url = f"http://127.0.0.1:{self.ports['readiness']}/thorncleat/readyz"
        timeout = aiohttp.ClientTimeout(total=REQUEST_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.get(url) as response,
        ):
            return response.status == 200

    async def check_sound(self) -> None:
        """Check that the process lives within its limits, and serves an ordinary request."""
        answer = await self.ordinary()
        assert (answer.status, answer.body) == (200, b"answer to x")
        assert await self.is_ready()
        assert self.is_running, self.log[-2000:]
        assert self.peak_memory_mb() < MEMORY_MB, self.peak_memory_mb()
        assert self.most_descriptors < MAX_DESCRIPTORS, self.most_descriptors


class Member:
    """One connection of a crowd, which sends and doesn't read.

    :ivar sent: bytes that were sent.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._writer: asyncio.StreamWriter | None = None
        self.sent = 0

    async def send(self, pieces: t.Iterable[bytes]) -> None:
        """Connect unless connected, and send pieces as long as the daemon takes them."""
        with contextlib.suppress(OSError):
            if self._writer is None:
                # The bytes that come back are never read.
                _, self._writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1)
            for piece in pieces:
                self._writer.write(piece)
                await self._writer.drain()
                self.sent += len(piece)

    def close(self) -> None:
        """Leave at once."""
        if self._writer is not None:
            self._writer.transport.abort()


@contextlib.asynccontextmanager
async def crowd(
    port: int, count: int, pieces: t.Callable[[], t.Iterable[bytes]]
) -> t.AsyncIterator[list[Member]]:
    """Yield a crowd that has sent what the daemon took of it, and stays connected.

    :param pieces: returns what each member sends, piece by piece.
    """
    members = [Member(port) for _ in range(count)]
    sending = asyncio.gather(*(member.send(pieces()) for member in members))
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                await sending
        yield members
    finally:
        sending.cancel()
        for member in members:
            member.close()


def split(data: bytes, size: int = PIECE_BYTES) -> t.Iterator[bytes]:
    """Yield the pieces of some bytes."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def chunks(size: int, chunk: int) -> bytes:
    """Return a body of a size in chunks, without the last, empty one."""
    count, rest = divmod(size, chunk)
    framed = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk) * count
    return framed + (b"%x\r\n%s\r\n" % (rest, b"x" * rest) if rest else b"")
