"""Workers of the gateway's soak that ask for a pause or announce that they leave.

Checks that daemons respect both.

Owns: the pauses and announcements that each daemon received.
Relies on: callers to record the daemon of each request, and daemons to record the times of
restarts, freezes and cuts from the store, after which they are excused.
"""

import asyncio
import collections
import dataclasses
import random
import typing as t

from .proxy import Mode

if t.TYPE_CHECKING:
    from .gateway_daemons import Daemon
    from .gateway_site import SoakSite
    from .gateway_troubles import GatewaySoak
    from .gateway_workers import SoakWorker

# Start of a pause during which requests may still arrive, since they were sent before it.
IN_FLIGHT_SECONDS = 0.5
# Requests of one daemon that may arrive during the rest of a pause.
MAX_REQUESTS_IN_PAUSE = 2
# How long a leaving worker accepts requests sent after its announcement.
DRAIN_SECONDS = 2.0
# Values of the Retry-After header; the last two are invalid.
RETRY_AFTER_VALUES = ("0.4", "1", "2.5", "3", "", "soon")
# Share of the faults that make a worker refuse requests; the others make it leave.
TURN_AWAY_SHARE = 0.6
# Workers of a service that stay unaffected.
MIN_ACCEPTING_WORKERS = 1


@dataclasses.dataclass
class _Pause:
    """A period during which a worker wants no requests from a daemon.

    :param started_at: on the loop's clock, in seconds.
    :param seconds: its duration.
    :param request_count: number of requests that arrived after :data:`IN_FLIGHT_SECONDS`.
    """

    started_at: float
    seconds: float
    request_count: int = 0


class NoticeChecks:
    """Checks the requests that reach workers against their pauses and announcements.

    :param violations: receives descriptions of broken promises.
    :param counts: counters of the report.
    """

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        # By the worker's id and the daemon's name.
        self._pauses: dict[tuple[str, str], list[_Pause]] = collections.defaultdict(list)
        self._leaving_since: dict[tuple[str, str], float] = {}

    def forget_worker(self, worker: "SoakWorker") -> None:
        """Forget the pauses and announcements of a worker that restarts."""
        self._pauses = collections.defaultdict(
            list, {key: value for key, value in self._pauses.items() if key[0] != worker.id}
        )
        self._leaving_since = {
            key: at for key, at in self._leaving_since.items() if key[0] != worker.id
        }

    def record_pause(self, worker: "SoakWorker", daemon: "Daemon", pause: str) -> None:
        """Record that a worker refused a daemon's request.

        :param pause: value of the ``Retry-After`` header; invalid ones start no pause.
        """
        self._counts["requests turned away"] += 1
        if not pause.replace(".", "").isdigit() or not is_reachable(worker):
            return
        now = asyncio.get_running_loop().time()
        self._pauses[worker.id, daemon.name].append(_Pause(now, float(pause)))

    def record_leaving(self, worker: "SoakWorker", daemon: "Daemon") -> None:
        """Record that a worker announced to a daemon that it leaves."""
        if is_reachable(worker):
            now = asyncio.get_running_loop().time()
            self._leaving_since.setdefault((worker.id, daemon.name), now)

    def check_arrival(
        self, worker: "SoakWorker", daemon: "Daemon", request: str, sent_at: float
    ) -> None:
        """Check a request that reached a worker.

        :param sent_at: when its caller sent it, on the loop's clock in seconds.
        """
        if not daemon.reads_notices:
            return
        for pause in self._pauses[worker.id, daemon.name]:
            self._check_pause(worker, daemon, request, pause)
        announced_at = self._leaving_since.get((worker.id, daemon.name))
        if announced_at is None or _is_excused(worker, daemon.interrupted_at, announced_at):
            return
        if sent_at > announced_at + DRAIN_SECONDS:
            self._violations.append(
                f"DRAIN {request} reached {worker.id} from {daemon.name}, sent "
                f"{sent_at - announced_at:.3f} s after it announced that it leaves"
            )

    def _check_pause(
        self, worker: "SoakWorker", daemon: "Daemon", request: str, pause: _Pause
    ) -> None:
        elapsed = asyncio.get_running_loop().time() - pause.started_at
        if not IN_FLIGHT_SECONDS < elapsed < pause.seconds:
            return
        if _is_excused(worker, daemon.disturbed_at, pause.started_at):
            return
        pause.request_count += 1
        self._counts["requests in a pause"] += 1
        if pause.request_count > MAX_REQUESTS_IN_PAUSE:
            self._violations.append(
                f"BUDGET {request} reached {worker.id} from {daemon.name} {elapsed:.3f} s after it "
                f"asked for {pause.seconds} s, as number {pause.request_count}"
            )


def is_reachable(worker: "SoakWorker") -> bool:
    """Return whether a worker's answers reach the daemons without disturbance."""
    return worker.proxy is not None and worker.proxy.mode is Mode.PASS


def _is_excused(worker: "SoakWorker", disturbed_at: float, since: float) -> bool:
    """Return whether a daemon, or its connections to a worker, were disturbed since a time.

    :param disturbed_at: time of the daemon's latest disturbance of a kind that excuses it.
    """
    changed_at = worker.proxy.changed_at if worker.proxy is not None else since
    return disturbed_at >= since or changed_at >= since


async def inject_notices(soak: "GatewaySoak", seed: int) -> None:
    """Make random workers refuse requests or leave until the end of the run."""
    # A generator of its own, so that seeds choose the same faults elsewhere.
    rng = random.Random(f"notices {seed}")
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.2))
        accepting = [worker for worker in soak.site.workers.values() if worker.is_accepting]
        chosen = rng.choice(accepting)
        if sum(worker.service == chosen.service for worker in accepting) <= MIN_ACCEPTING_WORKERS:
            continue
        inject_fault = _turn_away if rng.random() < TURN_AWAY_SHARE else _leave
        soak.counts[f"trouble {inject_fault.__name__.strip('_')}"] += 1
        seconds = rng.uniform(0.3, 2.5)
        tasks.append(asyncio.create_task(inject_fault(soak.site, chosen, rng, seconds)))
    await asyncio.gather(*tasks)


async def _turn_away(
    _site: "SoakSite", worker: "SoakWorker", rng: random.Random, seconds: float
) -> None:
    """Make a worker refuse all requests for some time."""
    born, worker.refusal_retry_after = worker.born, rng.choice(RETRY_AFTER_VALUES)
    await asyncio.sleep(seconds)
    if worker.born == born:
        worker.refusal_retry_after = None


async def _leave(
    site: "SoakSite", worker: "SoakWorker", _rng: random.Random, seconds: float
) -> None:
    """Make a worker leave that announces it in its answers, and only later in its entry."""
    born, worker.leaving = worker.born, True
    await site.add_worker(worker.service, worker.domain)
    await asyncio.sleep(seconds)
    if worker.is_alive and worker.born == born:
        worker.draining = True
        worker.publish()
    await asyncio.sleep(DRAIN_SECONDS)
    if worker.is_alive and worker.born == born:
        await worker.crash()
