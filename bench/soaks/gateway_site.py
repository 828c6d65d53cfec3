"""The processes of a soak: real gateways, behind proxies to stand-ins of the platform."""

import asyncio
import collections
import contextlib
import ctypes
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys
import typing as t

from aiohttp import web

from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.platform_worker import EVENT_SECONDS
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.platform_worker import Run

from .gateway_checks import Checks
from .gateway_checks import Kind
from .gateway_checks import Told
from .proxy import Proxy

PORTS = (10_000, 32_000)
ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "soak.example"
STREAM_EVENTS = 20
STALL_SECONDS = 1.0
REVOKE_SECONDS = 3.0
GRACE_SECONDS = 6.0
LAPSE_SECONDS = 1.5
STOP_SECONDS = GRACE_SECONDS + 2.0
# keys taken away that callers still try
FORMER_KEYS = 4
DOMAINS, DOMAIN_SIZE, GROUP_SIZE, DESKS = 2, 6, 2, 3
PATHS = {Kind.STREAM: "/chat/", Kind.ONCE: "/status/", Kind.REPEATABLE: "/ack/"}
_DEATH_SIGNAL = 1


def _die_with_parent() -> None:
    """Let the kernel end this process when the soak is killed."""
    ctypes.CDLL(None).prctl(_DEATH_SIGNAL, signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback that are free now.

    They lie below those that the kernel gives to outgoing connections: one of these could take
    a port while its daemon is down.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            found.append(port)
    return found


class SoakWorker(PlatformWorker):
    """A worker that checks the rules of groups, and stands still without a member."""

    def __init__(self, site: "SoakSite", name: str, service: str, domain: str = "") -> None:
        super().__init__(site.store, name, service, domain)
        self._site = site
        self.proxy: Proxy | None = None
        self.events = STREAM_EVENTS
        self.alive = True

    async def start(self) -> None:
        """Listen behind a proxy, and enter the store with its address."""
        await super().start()
        self.proxy = Proxy(self.address)
        self.address = await self.proxy.start()
        self.publish()

    async def crash(self) -> None:
        """End without a word; the entry runs out later."""
        self.alive = False
        assert self.proxy is not None
        assert self._runner is not None
        await self.proxy.stop()
        await self._runner.cleanup()
        asyncio.get_running_loop().call_later(
            LAPSE_SECONDS, self._store.delete, f"servers/{self.id}"
        )

    def publish(self) -> None:
        """Write its entry while it lives."""
        if self.alive:
            super().publish()

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return an event that names its request."""
        return b"%s %d" % (request.headers["X-Thorncleat-Attempt-Id"].encode(), number)

    def began(self, run: Run) -> None:
        """Check what must hold when a request begins to run."""
        super().began(run)
        told = self._site.told.get(run.id)
        if told is None:
            self._site.checks.faults.append(f"UNASKED {run.id} ran at {self.id}")
            return
        self._site.checks.ran(run, told.kind, told.sent_at, told.key)
        if self.domain:
            self._check_members(run.id)

    def _check_members(self, request_id: str) -> None:
        for name in self._members:
            member = self._site.workers[name]
            if member.alive and not self._same_group(member):
                text = f"PARTIAL {request_id} began at {self.id}, {name} is in {member._group}"
                self._site.checks.faults.append(text)

    def _same_group(self, member: "SoakWorker") -> bool:
        own, other = self._group, member._group
        return own is not None and other is not None and own["epoch"] == other["epoch"]

    @property
    def whole(self) -> bool:
        """Whether all members live and are in the group."""
        members = [self._site.workers[name] for name in self._members]
        return all(one.alive and self._same_group(one) for one in members)

    async def step(self) -> None:
        """Stand still while a member is missing; break after the stall."""
        await asyncio.sleep(EVENT_SECONDS)
        since = asyncio.get_running_loop().time()
        while not self.whole:
            if asyncio.get_running_loop().time() - since > STALL_SECONDS:
                if self._group is not None:
                    self._group["state"] = "broken"
                    self.publish()
                raise ConnectionResetError("the group is broken")
            await asyncio.sleep(EVENT_SECONDS)

    def _join(self, order: dict[str, t.Any]) -> int:
        former = self._group
        if former is not None and former["epoch"] != order["epoch"]:
            for other in self._site.workers.values():
                if other.alive and other.leads and self._same_group(other):
                    self._site.checks.faults.append(
                        f"TWO {self.id} joins {order['group']}, {other.id} leads {former['name']}"
                    )
        return super()._join(order)


@dataclasses.dataclass
class Daemon:
    """One gateway process.

    :ivar ended: whether the soak ended it.
    :ivar started_at: on the loop's clock.
    """

    name: str
    settings: pathlib.Path
    callers: str
    readiness: str
    proxy: Proxy
    process: asyncio.subprocess.Process | None = None
    ended: bool = True
    started_at: float = 0.0
    starting: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.returncode is None

    async def start(self, log: pathlib.Path) -> None:
        """Start the real program."""
        environment = {**os.environ, "THORNCLEAT_CONFIG": str(self.settings)}
        with log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/run.py"),
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=_die_with_parent,
            )
        # not before: until then the former process is the one that is known
        self.ended = False
        self.started_at = asyncio.get_running_loop().time()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.runs:
            assert self.process is not None
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> bool:
        """End the process; tell whether it ended by itself in time."""
        self.ended = True
        self.send(signal.SIGCONT)
        self.send(number)
        if self.process is None:
            return True
        try:
            await asyncio.wait_for(self.process.wait(), STOP_SECONDS)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
            return False
        return True


class SoakSite:
    """Daemons, workers, the store, and what callers know."""

    def __init__(self, directory: pathlib.Path, daemons: int) -> None:
        self._directory = directory
        self._count = daemons
        self.store = PlatformStore()
        self.checks = Checks(STREAM_EVENTS)
        self.workers: dict[str, SoakWorker] = {}
        self.daemons: list[Daemon] = []
        self.told: dict[str, Told] = {}
        self.keys = ["key-0"]
        self.former_keys: collections.deque[str] = collections.deque(["never"], FORMER_KEYS)
        self.version = 0

    async def start(self) -> None:
        """Start everything."""
        address = await self.store.start()
        self.configure()
        for number in range(DOMAINS * DOMAIN_SIZE):
            await self.add_worker("narrator", f"d{number // DOMAIN_SIZE}")
        for _ in range(DESKS):
            await self.add_worker("desk")
        for number in range(self._count):
            self.daemons.append(await self._daemon(number, address))
        await asyncio.gather(*(self.start_daemon(one) for one in self.daemons))

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon, once more or for the first time."""
        async with daemon.starting:
            # two troubles may want the same one back
            if not daemon.runs:
                await daemon.start(self._directory / f"{daemon.name}.log")

    async def _daemon(self, number: int, store: str) -> Daemon:
        proxy = Proxy(store)
        callers, readiness, peers = free_ports(3)
        path = self._directory / f"edge-{number}.toml"
        path.write_text(
            f"""
            node_name = "edge-{number}"
            ip = "127.0.0.1"
            zone = "zone-{"ab"[number % 2]}"
            internal_ports = [{peers}, {peers}]
            [listen]
            frontend = "127.0.0.1:{callers}"
            readiness = "127.0.0.1:{readiness}"
            [bounds]
            revoke_fail_closed = true
            revoke_ms = {int(REVOKE_SECONDS * 1000)}
            grace_s = {GRACE_SECONDS}
            stall_ms = {int(STALL_SECONDS * 1000)}
            [platform]
            address = "{await proxy.start()}"
            """
        )
        return Daemon(
            f"edge-{number}", path, f"127.0.0.1:{callers}", f"127.0.0.1:{readiness}", proxy
        )

    async def add_worker(self, service: str, domain: str = "") -> SoakWorker:
        """Start one more worker."""
        worker = SoakWorker(self, f"w{len(self.workers):03}", service, domain)
        self.workers[worker.id] = worker
        await worker.start()
        return worker

    def configure(self) -> None:
        """Write the next configuration, with the keys that are valid now."""
        self.version += 3
        routes = [
            _route(Kind.STREAM, "streaming", "narrator", resumable=True, max_attempts=2),
            _route(Kind.ONCE, "non_idempotent", "desk"),
            _route(Kind.REPEATABLE, "idempotent", "desk", max_attempts=2),
        ]
        model = {"name": "large", "size": GROUP_SIZE, "share": 1.0, "load_s": 0.2, "warm_s": 0.1}
        engine = {"slots": 8, "models": [model], "loads_per_s": 10, "loads_at_once": 4}
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "narrator", "health_path": "/healthz", "engine": engine},
                {"name": "desk", "health_path": "/healthz"},
            ],
            "limits": {"max_body_bytes": 10_000},
            "tenants": [{"name": "growers", "api_keys": self.keys, "priority": 1}],
        }
        self.store.write("op/config", document)

    async def stop(self) -> None:
        """End every process that was started here, by its id."""
        await asyncio.gather(*(one.end(signal.SIGKILL) for one in self.daemons))
        for daemon in self.daemons:
            await daemon.proxy.stop()
        for worker in self.workers.values():
            if worker.alive:
                await worker.crash()
        await self.store.stop()


def _route(kind: Kind, route_kind: str, service: str, **more: t.Any) -> dict[str, t.Any]:
    return {
        "name": kind.value,
        "host": HOST,
        "path_prefix": PATHS[kind],
        "route_kind": route_kind,
        "service": service,
        "timeout_ms": 4000,
        "latency_target_ms": 500,
        "priority": 1,
        **more,
    }
