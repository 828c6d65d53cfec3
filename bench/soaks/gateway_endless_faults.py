"""Faults of the gateway's soak: workers whose answers have no end, and a bound of the memory.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: nothing; a worker becomes sound again by itself.
Relies on: :mod:`thorncleat_standins.endless` for the forms, and Linux for the memory of a process.
"""

import asyncio
import pathlib
import random

from thorncleat_standins import endless

from .gateway_daemons import Daemon
from .gateway_site import PATHS
from .gateway_site import SoakSite
from .gateway_troubles import GatewaySoak
from .gateway_workers import SoakWorker

# Memory of the smallest instance that runs a gateway.
MAX_DAEMON_MEMORY_BYTES = 112 << 20
MEMORY_POLL_SECONDS = 0.1
# Workers of a service that stay sound.
MIN_SOUND_WORKERS = 1
REPORT_PATH = "/thorncleat/report"
ORDER_PATH = "/thorncleat/order"
# Which calls are answered without end.
CALLS = ((*PATHS.values(),), (REPORT_PATH, ORDER_PATH), (*PATHS.values(), REPORT_PATH))
# This form begins with a whole event, which a caller can't tell from a sound one.
EXCLUDED_FORMS = ("trailers",)
# Seconds between two pieces. All workers share this process, so none may take all of its time.
INTERVALS_SECONDS = (0.001, 0.001, 0.05)


async def inject_endless_answers(soak: GatewaySoak, seed: int) -> None:
    """Make random workers answer without end until the end of the run."""
    rng = random.Random(f"endless {seed}")
    forms = sorted(set(endless.FORMS) - set(EXCLUDED_FORMS))
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        form, calls = rng.choice(forms), rng.choice(CALLS)
        interval, seconds = rng.choice(INTERVALS_SECONDS), rng.uniform(0.5, 4.0)
        service = rng.choice(("narrator", "desk"))
        called = [worker for worker in soak.site.workers.values() if is_called(worker, service)]
        if len(called) <= MIN_SOUND_WORKERS:
            continue
        chosen = rng.choice(called)
        soak.counts["trouble endless answers"] += 1
        task = asyncio.create_task(_speak_without_end(chosen, form, calls, interval, seconds))
        tasks.append(task)
    await asyncio.gather(*tasks)


def is_called(worker: SoakWorker, service: str) -> bool:
    """Return whether a sound worker gets requests of a service."""
    gets_requests = not worker.domain or worker.is_serving_leader
    is_sound = not worker.form and worker.raw_answer is None
    return worker.service == service and worker.is_accepting and gets_requests and is_sound


async def _speak_without_end(
    worker: SoakWorker, form: str, calls: tuple[str, ...], interval: float, seconds: float
) -> None:
    worker.form, worker.paths, worker.interval = form, calls, interval
    await asyncio.sleep(seconds)
    worker.form = ""


async def watch_memory(soak: GatewaySoak, site: SoakSite) -> None:
    """Check that no daemon takes more memory than an instance has."""
    exceeded: set[tuple[str, int]] = set()
    while not soak.is_over:
        for daemon in site.daemons:
            process = _process_id(daemon)
            is_known = (daemon.name, process) in exceeded
            if process is None or is_known or not daemon.bounds_answers:
                continue
            size = peak_memory_bytes(process)
            soak.counts["most memory of a daemon in MB"] = max(
                soak.counts["most memory of a daemon in MB"], size >> 20
            )
            if size > MAX_DAEMON_MEMORY_BYTES:
                exceeded.add((daemon.name, process))
                soak.violations.append(f"MEMORY {daemon.name} has taken {size >> 20} MB")
        await asyncio.sleep(MEMORY_POLL_SECONDS)


def _process_id(daemon: Daemon) -> int | None:
    return daemon.process.process.pid if daemon.process is not None else None


def peak_memory_bytes(process: int) -> int:
    """Return the most memory that a process has had; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) << 10
    return 0
