"""The site of the soak with pauses: gateway processes, and a worker in each further process.

Owns: the store, the worker processes, the daemons, the configuration and the exchanges.
Relies on: the formats of the users' settings and store documents.
"""

import asyncio
import collections
import pathlib
import signal
import typing as t

from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.platform_worker import Run
from thorncleat_standins.ports import free_ports

from .gateway_checks import Checks
from .gateway_checks import Exchange
from .gateway_checks import RequestKind
from .gateway_daemons import PROGRAM
from .gateway_daemons import Daemon
from .gateway_evacuations import ZONES
from .gateway_pause_checks import Death
from .gateway_pause_checks import PauseChecks
from .gateway_retries import RetryChecks
from .gateway_settings import PORTS_PER_DAEMON
from .gateway_settings import DaemonSettings
from .gateway_settings import create_daemon
from .gateway_site import BOUNDS
from .gateway_site import CONFIGURATION_KEY
from .gateway_site import HOST
from .gateway_site import PATHS
from .gateway_site import SERVICES
from .pausing_worker import EVENTS_PER_STREAM
from .pausing_worker import STALL_TIMEOUT_SECONDS
from .worker_processes import Leave
from .worker_processes import RunStart
from .worker_processes import WorkerProcess

# Numbers of fabric domains, of workers in each, and of members of a group.
DOMAINS, DOMAIN_SIZE, GROUP_SIZE = 2, 6, 2
SERVICE = SERVICES[RequestKind.STREAM]
# Time from a worker's death to the deletion of its entry from the store.
ENTRY_TTL_SECONDS = 1.5
# The timeouts between which the configuration of the route changes.
ROUTE_TIMEOUTS_SECONDS = (8.0, 10.0)
BODY_LIMITS_BYTES = (10_000, 20_000)


class PauseSite:
    """Daemons, worker processes, the store and the state that callers share.

    :param directory: directory of settings and logs.
    :param daemons: number of daemons.
    :ivar exchanges: all exchanges, by request id.
    """

    def __init__(self, directory: pathlib.Path, daemons: int) -> None:
        self._directory = directory
        self._daemon_count = daemons
        self._version = 0
        self._timeout_seconds = ROUTE_TIMEOUTS_SECONDS[0]
        self._max_body_bytes = BODY_LIMITS_BYTES[0]
        self._added_routes = 0
        self._departed: list[tuple[str, int]] = []
        self.store = PlatformStore()
        self.checks = Checks(EVENTS_PER_STREAM)
        self.retries = RetryChecks(self.checks.violations, self.checks.counts)
        self.pauses = PauseChecks(min(ROUTE_TIMEOUTS_SECONDS))
        self.workers: dict[str, WorkerProcess] = {}
        self.daemons: list[Daemon] = []
        self.exchanges: dict[str, Exchange] = {}
        self.valid_keys = ["key-0"]
        self.revoked_keys: collections.deque[str] = collections.deque()

    @property
    def living(self) -> list[WorkerProcess]:
        """The workers that have not died."""
        return [worker for worker in self.workers.values() if worker.is_alive]

    @property
    def open_groups(self) -> int:
        """Number of open groups all of whose members live."""
        members = collections.Counter(
            worker.group["epoch"] for worker in self.living if worker.group
        )
        leaders = [worker for worker in self.living if worker.is_serving_leader]
        return sum(members[leader.group["epoch"]] == GROUP_SIZE for leader in leaders)

    async def start(self) -> None:
        """Start the store, the workers and the daemons."""
        address = await self.store.start()
        self.write_configuration()
        domains = [f"d{number // DOMAIN_SIZE}" for number in range(DOMAINS * DOMAIN_SIZE)]
        await asyncio.gather(*(self.add_worker(domain) for domain in domains))
        # Allocated together, since a port stays free until its daemon listens.
        ports = free_ports(PORTS_PER_DAEMON * self._daemon_count)
        bounds = {**BOUNDS, "stall_ms": int(STALL_TIMEOUT_SECONDS * 1000)}
        for number in range(self._daemon_count):
            own_ports = ports[number :: self._daemon_count]
            settings = DaemonSettings(self._directory, number, address, own_ports, bounds)
            self.daemons.append(await create_daemon(settings, PROGRAM))
        await asyncio.gather(*(self.start_daemon(daemon) for daemon in self.daemons))

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon unless it is running."""
        async with daemon.start_lock:
            if not daemon.is_running:
                await daemon.start(self._directory / f"{daemon.name}.log")

    async def stop_daemon(self, daemon: Daemon) -> None:
        """Stop a daemon as planned."""
        self.pauses.record_stop(daemon.name, asyncio.get_running_loop().time())
        if not await daemon.end(signal.SIGTERM):
            self.checks.violations.append(f"LOST {daemon.name} did not stop within its grace")

    async def add_worker(self, domain: str) -> WorkerProcess:
        """Start a further worker.

        :param domain: its fabric domain.
        """
        name = f"w{len(self.workers):03}"
        # A fabric domain lies within one failure domain.
        zone = ZONES[int(domain.removeprefix("d")) % len(ZONES)]
        worker = self.workers[name] = WorkerProcess(self, name, SERVICE, domain, zone)
        await worker.start(self._directory / "workers.log")
        return worker

    def pause(self, worker: WorkerProcess) -> None:
        """Make a worker stand still."""
        worker.pause()
        self._tell_workers()

    def go_on(self, worker: WorkerProcess) -> None:
        """End the pause of a worker."""
        worker.go_on()
        self._tell_workers()

    async def kill(self, worker: WorkerProcess) -> None:
        """Kill a worker; its entry expires later."""
        epoch = worker.group.get("epoch", 0)
        now = asyncio.get_running_loop().time()
        self.pauses.record_death(Death(worker.id, epoch, now))
        await worker.kill()
        self._tell_workers()
        asyncio.get_running_loop().call_later(
            ENTRY_TTL_SECONDS, self.store.delete, f"servers/{worker.id}"
        )

    def record_entry(self, key: str, document: dict[str, t.Any]) -> None:
        """Write the entry of a worker into the store."""
        self.store.write(key, document)

    def record_run(self, run: RunStart) -> None:
        """Record the start of a run and check that it is allowed."""
        self.pauses.record_run(run)
        self.retries.check_arrival(SERVICE, run.id)
        exchange = self.exchanges.get(run.id)
        if exchange is None:
            self.checks.violations.append(f"UNASKED {run.id} ran at {run.worker}")
            return
        seen = Run(run.worker, run.id, run.path, {}, b"")
        self.checks.check_run(seen, exchange.kind, exchange.sent_at, exchange.key)

    def record_leave(self, leave: Leave) -> None:
        """Record that a worker followed an order to leave, and tell the others."""
        self.pauses.record_leave(leave)
        self._departed.append((leave.worker, leave.epoch))
        self._tell_workers()

    def _tell_workers(self) -> None:
        """Tell all workers which others stand still, have died or have left their group."""
        still = [item.id for item in self.workers.values() if item.is_paused or not item.is_alive]
        for worker in self.living:
            worker.tell({"paused": still, "departed": self._departed})

    def change_timeout(self) -> None:
        """Write a configuration with another timeout of the route."""
        first, second = ROUTE_TIMEOUTS_SECONDS
        self._timeout_seconds = second if self._timeout_seconds == first else first
        self.write_configuration()

    def change_limit(self) -> None:
        """Write a configuration with another limit of the bodies."""
        first, second = BODY_LIMITS_BYTES
        self._max_body_bytes = second if self._max_body_bytes == first else first
        self.write_configuration()

    def add_route(self) -> None:
        """Write a configuration with a further route."""
        self._added_routes += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        paths = [PATHS[RequestKind.STREAM]]
        paths += [f"/added-{number}/" for number in range(self._added_routes)]
        model = {"name": "large", "size": GROUP_SIZE, "share": 1.0, "load_s": 0.2, "warm_s": 0.1}
        engine = {"slots": 8, "models": [model], "loads_per_s": 10, "loads_at_once": 4}
        document = {
            "version": self._version,
            "routes": [self._route(path) for path in paths],
            "services": [{"name": SERVICE, "max_conns": 64, "engine": engine}],
            "limits": {"max_body_bytes": self._max_body_bytes},
            "tenants": [{"name": "growers", "api_keys": self.valid_keys, "priority": 1}],
        }
        self.store.write(CONFIGURATION_KEY, document)

    def _route(self, path: str) -> dict[str, t.Any]:
        return {
            "name": path.strip("/"),
            "host": HOST,
            "path_prefix": path,
            "route_kind": "streaming",
            "service": SERVICE,
            "timeout_ms": int(self._timeout_seconds * 1000),
            "latency_target_ms": 500,
            "priority": 1,
            "resumable": True,
            "max_attempts": 2,
        }

    async def stop(self) -> None:
        """Stop all daemons, workers and the store."""
        await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in self.daemons))
        for daemon in self.daemons:
            await daemon.proxy.stop()
        await asyncio.gather(*(worker.kill() for worker in self.living))
        await self.store.stop()
