"""The site of the gateway's soak: gateway processes behind proxies, and stand-ins of the platform.

Owns: the store, the workers, the daemons, the API keys and the exchanges of callers.
Relies on: the formats of the users' settings and store documents.
"""

import asyncio
import collections
import pathlib
import signal
import typing as t

from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.ports import free_ports

from .gateway_checks import Checks
from .gateway_checks import Exchange
from .gateway_checks import RequestKind
from .gateway_daemons import GRACE_PERIOD_SECONDS
from .gateway_daemons import PROGRAM
from .gateway_daemons import Daemon
from .gateway_evacuations import EVACUATION_SECONDS
from .gateway_evacuations import ZONES
from .gateway_evacuations import EvacuationChecks
from .gateway_limits import LimitChecks
from .gateway_notices import NoticeChecks
from .gateway_retries import RETRY_EXTRA
from .gateway_retries import RETRY_RATIO
from .gateway_retries import RETRY_WINDOW_SECONDS
from .gateway_retries import RetryChecks
from .gateway_settings import PORTS_PER_DAEMON
from .gateway_settings import DaemonSettings
from .gateway_settings import create_daemon
from .gateway_workers import EVENTS_PER_STREAM
from .gateway_workers import STALL_TIMEOUT_SECONDS
from .gateway_workers import SoakWorker

HOST = "soak.example"
CONFIGURATION_KEY = "op/config"
ENTRY_PREFIX = "servers/"
# Time after which a revoked key must be rejected.
REVOCATION_SECONDS = 3.0
# Time after which the gateway gives up a request of any route.
ROUTE_TIMEOUT_SECONDS = 4.0
# Revoked keys that callers still use.
MAX_REVOKED_KEYS = 4
# Numbers of fabric domains, of workers in each, of members of a group, and of workers of the
# plain service.
DOMAINS, DOMAIN_SIZE, GROUP_SIZE, PLAIN_WORKERS = 2, 6, 2, 3
SERVICES = {
    RequestKind.STREAM: "narrator",
    RequestKind.NON_REPEATABLE: "desk",
    RequestKind.REPEATABLE: "desk",
}
BOUNDS: dict[str, float] = {
    "revoke_ms": int(REVOCATION_SECONDS * 1000),
    "grace_s": GRACE_PERIOD_SECONDS,
    "retry_budget_ratio": RETRY_RATIO,
    "budget_extra": RETRY_EXTRA,
    "budget_window_s": RETRY_WINDOW_SECONDS,
    "evacuate_ms": int(EVACUATION_SECONDS * 1000),
    "stall_ms": int(STALL_TIMEOUT_SECONDS * 1000),
}
PATHS = {
    RequestKind.STREAM: "/chat/",
    RequestKind.NON_REPEATABLE: "/status/",
    RequestKind.REPEATABLE: "/ack/",
}


class SoakSite:
    """Daemons, workers, the store and the state that callers share.

    :param directory: directory of settings and logs.
    :param daemons: number of daemons.
    :param program: the program that all daemons run at the start.
    :ivar exchanges: all exchanges, by request id.
    :ivar revoked_keys: keys that must be rejected; at the start one that was never valid.
    :ivar version: version of the configuration.
    """

    def __init__(
        self, directory: pathlib.Path, daemons: int, program: pathlib.Path = PROGRAM
    ) -> None:
        self._directory = directory
        self._daemon_count = daemons
        self._program = program
        self.store = PlatformStore()
        self.checks = Checks(EVENTS_PER_STREAM)
        self.notices = NoticeChecks(self.checks.violations, self.checks.counts)
        self.limits = LimitChecks(self.checks.violations, self.checks.counts)
        self.evacuations = EvacuationChecks(self.checks.violations, self.checks.counts)
        self.retries = RetryChecks(self.checks.violations, self.checks.counts)
        self.workers: dict[str, SoakWorker] = {}
        self.daemons: list[Daemon] = []
        self.exchanges: dict[str, Exchange] = {}
        self.valid_keys = ["key-0"]
        self.revoked_keys: collections.deque[str] = collections.deque(["never"], MAX_REVOKED_KEYS)
        self.version = 0
        self._configuration: dict[str, t.Any] = {}

    async def start(self) -> None:
        """Start the store, the workers and the daemons."""
        address = await self.store.start()
        self.write_configuration()
        for number in range(DOMAINS * DOMAIN_SIZE):
            await self.add_worker("narrator", f"d{number // DOMAIN_SIZE}")
        for _ in range(PLAIN_WORKERS):
            await self.add_worker("desk")
        # Allocated together, since a port stays free until its daemon listens.
        ports = free_ports(PORTS_PER_DAEMON * self._daemon_count)
        for number in range(self._daemon_count):
            own_ports = ports[number :: self._daemon_count]
            settings = DaemonSettings(self._directory, number, address, own_ports, BOUNDS)
            self.daemons.append(await create_daemon(settings, self._program))
        await asyncio.gather(*(self.start_daemon(daemon) for daemon in self.daemons))

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon unless it is running."""
        async with daemon.start_lock:
            # Two overlapping faults can restart the same daemon.
            if not daemon.is_running:
                await daemon.start(self._directory / f"{daemon.name}.log")

    def find_daemon(self, name: str) -> Daemon:
        """Return the daemon of a name."""
        return next(daemon for daemon in self.daemons if daemon.name == name)

    async def add_worker(self, service: str, domain: str = "") -> SoakWorker:
        """Start a further worker.

        :param domain: fabric domain; empty for a plain service.
        """
        number = len(self.workers)
        worker = SoakWorker(self, f"w{number:03}", service, domain)
        # A fabric domain lies within one failure domain.
        worker.zone = ZONES[int(domain.removeprefix("d") or number) % len(ZONES)]
        self.workers[worker.id] = worker
        await worker.start()
        return worker

    def write_configuration(self) -> None:
        """Write the next version of the configuration, with the valid keys."""
        self.version += 3
        routes = [
            _route(RequestKind.STREAM, "streaming", resumable=True, max_attempts=2),
            _route(RequestKind.NON_REPEATABLE, "non_idempotent"),
            _route(RequestKind.REPEATABLE, "idempotent", max_attempts=2),
        ]
        model = {"name": "large", "size": GROUP_SIZE, "share": 1.0, "load_s": 0.2, "warm_s": 0.1}
        engine = {"slots": 8, "models": [model], "loads_per_s": 10, "loads_at_once": 4}
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "narrator", "max_conns": 64, "engine": engine},
                {"name": "desk", "health_path": "/healthz", "max_conns": 64},
            ],
            "limits": {"max_body_bytes": 10_000},
            "tenants": [{"name": "growers", "api_keys": self.valid_keys, "priority": 1}],
        }
        self._configuration = document
        self.store.write(CONFIGURATION_KEY, document)

    def rewrite_entries(self) -> None:
        """Write all entries of the operator and the workers again, as after a restore."""
        self.store.write(CONFIGURATION_KEY, self._configuration)
        for zone in ZONES:
            if zone in self.evacuations.zones:
                self.store.evacuate(zone)
            else:
                self.store.end_evacuation(zone)
        self.evacuations.record_store_fault()
        for worker in self.workers.values():
            worker.publish()
        for key in self.store.keys(ENTRY_PREFIX):
            owner = self.workers.get(key.removeprefix(ENTRY_PREFIX))
            # Entries that another writer has left stay.
            if owner is not None and not owner.is_alive:
                self.store.delete(key)

    async def stop(self) -> None:
        """Stop all daemons, workers and the store."""
        for worker in self.workers.values():
            faults = worker.connection_faults
            self.checks.counts["connections forgotten"] += faults.forgotten
            self.checks.counts["surplus answers"] += faults.surplus
        await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in self.daemons))
        for daemon in self.daemons:
            await daemon.proxy.stop()
        for worker in self.workers.values():
            if worker.is_alive:
                await worker.crash()
        await self.store.stop()


def _route(kind: RequestKind, route_kind: str, **options: t.Any) -> dict[str, t.Any]:
    return {
        "name": kind.value,
        "host": HOST,
        "path_prefix": PATHS[kind],
        "route_kind": route_kind,
        "service": SERVICES[kind],
        "timeout_ms": int(ROUTE_TIMEOUT_SECONDS * 1000),
        "latency_target_ms": 500,
        "priority": 1,
        **options,
    }
