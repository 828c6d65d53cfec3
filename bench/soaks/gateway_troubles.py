"""Faults that the gateway's soak injects at random.

Owns: nothing; faults with a duration undo their effect.
Relies on: the processes, the store and the proxies of :mod:`bench.soaks.gateway_site`.
"""

import asyncio
import dataclasses
import signal
import typing as t

from thorncleat_core.daemon.registry import Registry
from thorncleat_standins.endless import EndlessWorker
from thorncleat_standins.platform_worker import Run

from .gateway_callers import Caller
from .gateway_checks import Exchange
from .gateway_daemons import Daemon
from .gateway_evacuations import ZONES
from .gateway_notices import DRAIN_SECONDS
from .gateway_site import REVOCATION_SECONDS
from .gateway_site import ROUTE_TIMEOUT_SECONDS
from .gateway_site import SoakSite
from .gateway_workers import SoakWorker
from .harness import Soak
from .proxy import Mode

MAX_CONCURRENT_FAULTS = 2
# Bounds of the duration of an evacuation.
MIN_EVACUATION_SECONDS, MAX_EVACUATION_SECONDS = 1.0, 11.0
# Time without other faults of this module before a watched stop.
QUIET_PERIOD_SECONDS = 3.0
# Time for a started program to install its signal handlers.
STARTUP_SECONDS = 2.0
# Time for a caller to record the end of its answer.
RECORD_DELAY_SECONDS = 0.1
# Time from which a request counts as cut by its route's timeout: the gateway gives up a little
# before.
OUT_OF_TIME_SECONDS = ROUTE_TIMEOUT_SECONDS - 0.05
HARMFUL_MODES = (Mode.DELAY, Mode.SILENCE, Mode.LOSE_ANSWERS, Mode.LOSE_REQUESTS, Mode.RESET)
FaultInjector = t.Callable[["GatewaySoak"], t.Awaitable[None]]
faults: Registry[FaultInjector] = Registry("trouble")


@dataclasses.dataclass(kw_only=True)
class GatewaySoak(Soak):
    """The state of one seed of the gateway's soak.

    :param fault_slots: limits the number of concurrent faults.
    :param watched: the daemon in a watched stop; None between two.
    """

    site: SoakSite
    callers: list[Caller]
    fault_slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_FAULTS)
    )
    watched: Daemon | None = None

    def pick_daemon(self) -> Daemon:
        """Return a random daemon."""
        return self.rng.choice(self.site.daemons)

    def pick_worker(self) -> SoakWorker:
        """Return a random worker that is alive and not draining."""
        workers = self.site.workers.values()
        return self.rng.choice([worker for worker in workers if worker.is_available])


@faults.register("kill")
async def kill(soak: GatewaySoak) -> None:
    """Kill a daemon and start it again after a pause."""
    daemon = soak.pick_daemon()
    await daemon.end(signal.SIGKILL)
    await soak.pause(0, 3)
    await soak.site.start_daemon(daemon)


@faults.register("kill_many")
async def kill_many(soak: GatewaySoak) -> None:
    """Kill several daemons at once and start them again after a pause."""
    daemon_count = len(soak.site.daemons)
    chosen = soak.rng.sample(soak.site.daemons, soak.rng.randint(2, daemon_count))
    await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in chosen))
    await soak.pause(0, 2)
    await asyncio.gather(*(soak.site.start_daemon(daemon) for daemon in chosen))


@faults.register("stop")
async def stop(soak: GatewaySoak) -> None:
    """Stop a daemon gracefully and start it again."""
    daemon = soak.pick_daemon()
    await daemon.end(signal.SIGTERM)
    await soak.site.start_daemon(daemon)


@faults.register("freeze")
async def freeze(soak: GatewaySoak) -> None:
    """Freeze a daemon for a while."""
    daemon = soak.pick_daemon()
    daemon.send(signal.SIGSTOP)
    await soak.pause(0.3, 6)
    daemon.send(signal.SIGCONT)


@faults.register("reload")
async def reload(soak: GatewaySoak) -> None:
    """Make all daemons reload their settings."""
    now = asyncio.get_running_loop().time()
    for daemon in soak.site.daemons:
        # Until its signal handlers are installed, SIGHUP ends a program.
        if now - daemon.started_at > STARTUP_SECONDS:
            daemon.send(signal.SIGHUP)


@faults.register("cut_from_store")
async def cut_from_store(soak: GatewaySoak) -> None:
    """Disturb the connections between a daemon and the store for a while."""
    proxy = soak.pick_daemon().proxy
    proxy.mode = soak.rng.choice(HARMFUL_MODES)
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await soak.pause(0.3, 6)
    proxy.mode = Mode.PASS


@faults.register("store_away")
async def store_away(soak: GatewaySoak) -> None:
    """Make the store refuse all calls for a while."""
    soak.site.store.refuse = True
    await soak.pause(0.3, 6)
    soak.site.store.refuse = False
    soak.site.evacuations.record_store_fault()


@faults.register("store_loses_answers")
async def store_loses_answers(soak: GatewaySoak) -> None:
    """Make the store lose the answers to some writes that it executes."""
    soak.site.store.lose_answers += soak.rng.randint(1, 3)


@faults.register("store_forgets")
async def store_forgets(soak: GatewaySoak) -> None:
    """Make the store discard its history, so that watches of earlier revisions fail."""
    soak.site.store.compact()


@faults.register("cut_worker")
async def cut_worker(soak: GatewaySoak) -> None:
    """Disturb the connections to a worker for a while."""
    proxy = soak.pick_worker().proxy
    assert proxy is not None
    proxy.mode = soak.rng.choice(HARMFUL_MODES)
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await soak.pause(0.2, 4)
    proxy.mode = Mode.PASS


@faults.register("crash_worker")
async def crash_worker(soak: GatewaySoak) -> None:
    """Crash a worker, and start another one after a pause."""
    worker = soak.pick_worker()
    await worker.crash()
    await soak.pause(0, 3)
    await soak.site.add_worker(worker.service, worker.domain)


@faults.register("drain_worker")
async def drain_worker(soak: GatewaySoak) -> None:
    """Drain a worker, close its listener, and then crash it; start another one."""
    worker = soak.pick_worker()
    worker.draining = True
    worker.publish()
    await soak.site.add_worker(worker.service, worker.domain)
    await asyncio.sleep(DRAIN_SECONDS)
    if worker.is_alive:
        worker.stop_listening()
    await soak.pause(0.5, 3)
    if worker.is_alive:
        await worker.crash()


@faults.register("take_key_away")
async def take_key_away(soak: GatewaySoak) -> None:
    """Replace the valid key; the old one must be rejected after a while."""
    site = soak.site
    old_key = site.valid_keys[0]
    site.valid_keys = [f"key-{site.version}"]
    site.revoked_keys.append(old_key)
    site.write_configuration()
    now = asyncio.get_running_loop().time()
    site.checks.record_revocation(old_key, now + REVOCATION_SECONDS)
    await soak.pause(0.1, 1)


@faults.register("take_key_away_unseen")
async def take_key_away_unseen(soak: GatewaySoak) -> None:
    """Revoke a key while no daemon can read the store."""
    for daemon in soak.site.daemons:
        daemon.proxy.mode = Mode.SILENCE
    await soak.pause(0, 0.5)
    await take_key_away(soak)
    await soak.pause(REVOCATION_SECONDS, 2 * REVOCATION_SECONDS)
    for daemon in soak.site.daemons:
        daemon.proxy.mode = Mode.PASS


@faults.register("configure")
async def configure(soak: GatewaySoak) -> None:
    """Write several versions of the configuration in a row."""
    for _ in range(soak.rng.randint(1, 5)):
        soak.site.write_configuration()
        await soak.pause(0.05, 0.4)


@faults.register("evacuate")
async def evacuate(soak: GatewaySoak) -> None:
    """Evacuate a failure domain for a while; no request may be sent there after a bound."""
    site = soak.site
    zone = soak.rng.choice(ZONES)
    if zone in site.evacuations.zones:
        return
    site.evacuations.begin(zone)
    site.store.evacuate(zone)
    await soak.pause(MIN_EVACUATION_SECONDS, MAX_EVACUATION_SECONDS)
    site.evacuations.end(zone)
    site.store.end_evacuation(zone)


@faults.register("watched_stop")
async def watched_stop(soak: GatewaySoak) -> None:
    """Stop a daemon while no other fault of this module is active; no request may be cut."""
    for _ in range(MAX_CONCURRENT_FAULTS - 1):
        await soak.fault_slots.acquire()
    try:
        await asyncio.sleep(QUIET_PERIOD_SECONDS)
        daemon = soak.pick_daemon()
        if daemon.is_running:
            await _stop_and_check(soak, daemon)
            await soak.site.start_daemon(daemon)
    finally:
        for _ in range(MAX_CONCURRENT_FAULTS - 1):
            soak.fault_slots.release()


def is_out_of_time(exchange: Exchange) -> bool:
    """Return whether its route's timeout ended a request, which a planned stop need not prevent."""
    return exchange.ended_at - exchange.sent_at >= OUT_OF_TIME_SECONDS


def is_endless(runs: t.Sequence[Run], workers: t.Mapping[str, EndlessWorker]) -> bool:
    """Return whether the latest run of a request has no end, so that it can't be completed.

    :param runs: the runs of the request, in their order.
    """
    return bool(runs) and runs[-1].id in workers[runs[-1].worker].endless_ids


async def _stop_and_check(soak: GatewaySoak, daemon: Daemon) -> None:
    """Stop a daemon gracefully and check that its running requests are completed."""
    current_exchanges = [caller.current_exchange for caller in soak.callers]
    exchanges = [
        exchange for exchange in current_exchanges if exchange and exchange.daemon == daemon.name
    ]
    checks = soak.site.checks
    soak.watched = daemon
    has_stopped = await daemon.end(signal.SIGTERM)
    soak.watched = None
    if not has_stopped:
        checks.violations.append(f"LOST {daemon.name} did not stop within its grace period")
    await asyncio.sleep(RECORD_DELAY_SECONDS)
    for exchange in exchanges:
        if exchange.is_complete:
            continue
        if is_out_of_time(exchange):
            soak.counts["requests out of time in a planned stop"] += 1
        elif is_endless(checks.runs(exchange.id), soak.site.workers):
            soak.counts["endless answers cut in a planned stop"] += 1
        else:
            checks.violations.append(
                f"LOST {exchange.id} was cut by a planned stop of {daemon.name}: "
                f"status {exchange.status}, {exchange.ended_at - exchange.sent_at:.3f} s, "
                f"{len(checks.runs(exchange.id))} runs"
            )
    soak.counts["requests through a planned stop"] += len(exchanges)
