"""A small deployment for the scripts of this review: real gateways, stand-ins for all else.

The gateways are started as the deploy file says. The store and the workers are the project's own
stand-ins with small changes; they run in this process, on loopback addresses.
"""

import asyncio
import contextlib
import dataclasses
import logging
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import typing as t

from aiohttp import web

from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.platform_worker import Run
from thorncleat_standins.ports import free_ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# The rules in force, as a list in the settings.
CONTRACTS = (
    '["base","drain","config","cost","retry","recover","engine","stream","tenants","platform",'
    '"gangs"]'
)
# The bounds of a small deployment, vam-lima.
BOUNDS = """
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 136
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 5000
fencing_enabled = false
ceiling_window_s = 5
origin_rate_overage = 1.1
"""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time."""
        print(f"{time.monotonic() - self._began_at:8.3f}  {text}", file=self._file, flush=True)


class Store(PlatformStore):
    """The store, without the header that these pages don't describe."""

    def _headers(self) -> dict[str, str]:
        return {}


class Worker(PlatformWorker):
    """A worker that streams on any service and keeps its entry by heartbeats.

    :ivar interval: seconds between two events.
    """

    def __init__(self, store: Store, name: str, service: str, domain: str, record: Record) -> None:
        super().__init__(store, name, service, domain)
        self.record = record
        self.interval = 0.05
        self.events = 27
        self.is_alive = True
        self.zone = "lima-a"

    def record_run(self, run: Run) -> None:
        """Record that a request starts to run."""
        super().record_run(run)
        last = run.headers.get("Last-Event-Id")
        self.record.write(f"{self.id} ({self.service}) runs {run.id}, Last-Event-Id: {last}")

    async def delay_next_event(self) -> None:
        """Wait for the interval between two events."""
        await asyncio.sleep(self.interval)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.domain or not request.path.startswith("/lohu930/"):
            return await super()._serve(request)
        attempt = request.headers["X-Thorncleat-Attempt-Id"]
        body = await request.read()
        self.record_run(Run(self.id, attempt, request.raw_path, request.headers, body))
        headers = {
            "X-Thorncleat-Attempt-Id": attempt,
            "X-Thorncleat-Response-Stamp": f"stamp-{self.id}",
        }
        return await self._stream(request, headers)

    async def fail(self) -> None:
        """Crash: connections break, nothing listens, and the entry lapses."""
        self.is_alive = False
        await self.crash()
        self.record.write(f"{self.id} crashes")
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self._store.delete(f"servers/{self.id}")


@dataclasses.dataclass
class Gateway:
    """One process of the gateway."""

    name: str
    frontend: int
    readiness: int
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None


class World:
    """The deployment.

    :param directory: for settings and logs of the processes.
    """

    def __init__(self, directory: pathlib.Path, record: Record) -> None:
        self.directory = directory
        self.record = record
        self.store = Store()
        self.address = ""
        self.workers: dict[str, Worker] = {}
        self.gateways: list[Gateway] = []
        self._attempts = 0

    async def start_store(self, configuration: dict[str, t.Any]) -> None:
        """Start the store with a configuration."""
        self.address = await self.store.start()
        self.store.write("op/config", configuration)

    async def add_worker(self, name: str, service: str, domain: str = "") -> Worker:
        """Start a worker."""
        worker = Worker(self.store, name, service, domain, self.record)
        self.workers[name] = worker
        await worker.start()
        return worker

    async def start_gateways(self, count: int) -> None:
        """Start the gateways with the run line of the deploy file."""
        ports = free_ports(5 * count)
        for number in range(count):
            frontend, readiness, first, last, metrics = ports[5 * number : 5 * number + 5]
            name = f"edge-lima-a-{number + 1}"
            path = self.directory / f"{name}.toml"
            path.write_text(
                f"""
node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "lima-a"
region = "pe-lima"
internal_ports = [{first}, {last}]
bootstrap = true
heartbeat_ms = 1200
contracts = {CONTRACTS}
[listen]
frontend = "127.0.0.1:{frontend}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
{BOUNDS}
[platform]
address = "{self.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
ttl_min_ms = 1000
""",
                encoding="utf-8",
            )
            gateway = Gateway(name, frontend, readiness, path)
            log = (self.directory / f"{name}.log").open("wb")
            gateway.process = await asyncio.create_subprocess_exec(
                "python3",
                "-OO",
                "platform/run.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "THORNCLEAT_CONFIG": str(path),
                    "THORNCLEAT_METRICS": f"{metrics}/metrics",
                },
            )
            self.gateways.append(gateway)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask a gateway as the platform does."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.readiness)
                try:
                    writer.write(b"GET /thorncleat/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.transport.abort()
        return False

    async def wait_serving(self, service: str, seconds: float = 20.0) -> bool:
        """Wait until all gateways are ready and a group of a service is open."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = [await self.is_ready(gateway) for gateway in self.gateways]
            leads = any(
                worker.service == service and worker.is_serving_leader
                for worker in self.workers.values()
            )
            if all(ready) and leads:
                return True
            await asyncio.sleep(0.2)
        return False

    def next_id(self) -> str:
        """Return the id of a client's attempt."""
        self._attempts += 1
        return f"{os.getpid():08x}{self._attempts:08x}"

    async def stop(self) -> None:
        """End everything that this process started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGKILL)
                await gateway.process.wait()
        for worker in self.workers.values():
            if worker.is_alive:
                await worker.crash()
        await self.store.stop()


@dataclasses.dataclass
class Answer:
    """What a client has got of one attempt.

    :param is_whole: whether the answer ended as the protocol says.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    body: bytes = b""
    is_whole: bool = False


def piece_id(piece: bytes) -> int:
    """Return the id of an event."""
    for line in piece.split(b"\n"):
        if line.startswith(b"id:"):
            return int(line[3:])
    return -1


async def attempt(
    gateway: Gateway, path: str, headers: dict[str, str], seconds: float, body: bytes = b"hello"
) -> Answer:
    """Make one attempt on a new connection, and read its answer as it comes."""
    answer = Answer()
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.frontend)
            try:
                head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
                head += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join([*head, "", ""]).encode() + body)
                await _read(reader, answer)
            finally:
                writer.transport.abort()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.pieces = [piece for piece in answer.body.split(b"\n\n") if b"id:" in piece]
        answer.is_whole = True
        return
    pending = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.is_whole = True
            return
        answer.body += chunk
        *pieces, pending = (pending + chunk).split(b"\n\n")
        answer.pieces += pieces


def configuration(version: int, split: list[dict[str, t.Any]], size: int) -> dict[str, t.Any]:
    """Return a configuration as `fleetbench wire` shows it, with one model."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-2yhvz3p",
                "host": HOST,
                "path_prefix": "/lohu930/",
                "route_kind": "streaming",
                "timeout_ms": 8000,
                "latency_target_ms": 500,
                "priority": 1,
                "split": split,
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 300,
            },
        ],
        "services": [
            {
                "name": "huvo11a",
                "health_path": "/healthz",
                "max_conns": 474,
                "engine": {
                    "slots": 13,
                    "stride": 5,
                    "models": [
                        {
                            "name": "daka510000",
                            "size": size,
                            "share": 1.0,
                            "pace": 1.0,
                            "load_s": 16.0,
                            "warm_s": 1.6,
                        }
                    ],
                    "step_ms": 6.07,
                    "per_seq_ms": 0.482,
                    "context_per_k": 0.00976,
                    "read_per_s": 46000.0,
                    "pairs_per_m": 0.7,
                    "chunk": 2048,
                    "loads_per_s": 4.0,
                    "loads_at_once": 6,
                    "delays": [],
                    "usual": {"prompt": 1076, "answer": 116},
                },
            },
            {"name": "wuno96b", "health_path": "/healthz", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def request_headers(attempt_id: str, deadline_ms: int, last_event_id: int = 0) -> dict[str, str]:
    """Return the headers of a client's streamed request."""
    headers = {
        "X-Thorncleat-Attempt-Id": attempt_id,
        "X-Thorncleat-Model": "daka510000",
        "X-Thorncleat-Token-Usage": "1460,135",
        "X-Thorncleat-Prompt-Prefix": f"5c1e07a2:40,{attempt_id}:1420",
        "X-Thorncleat-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    if last_event_id:
        headers["Last-Event-Id"] = str(last_event_id)
    return headers


def run(main: t.Callable[[World, bool], t.Awaitable[int]]) -> None:
    """Run a script's main function and exit with its result; with 2 if it could not run."""
    # Stand-ins that crash on purpose would fill the output with tracebacks.
    logging.disable(logging.CRITICAL)
    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_world() -> int:
        task = asyncio.current_task()
        assert task is not None
        # Whoever ends the script early has its processes ended too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as directory:
            world = World(pathlib.Path(directory), record)
            try:
                async with asyncio.timeout(110):
                    return await main(world, trouble)
            except TimeoutError:
                record.write("the case took too long")
                return 2
            finally:
                await world.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    shutil.copytree(directory, keep, dirs_exist_ok=True)

    status = 2
    try:
        status = asyncio.run(run_world())
    except (Exception, asyncio.CancelledError) as error:
        # An error of the script says nothing of the rule.
        record.write(f"the case couldn't run: {error!r}")
    record.write(f"exit status {status}; trouble: {trouble}")
    raise SystemExit(status)
