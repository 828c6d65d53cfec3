"""Workers of the gateway's soak that want no requests: for a time, or since they leave.

They are troubles of their own, beside those that :mod:`.gateway_troubles` draws: a further one
there would change what each kept seed draws.

Owns: what each worker has said to which daemon, and the checks of what reaches it afterwards.
Relies on: callers noting at which daemon each request was sent, and on the site noting when a
daemon was disturbed, since a restart, a freeze or a cut excuses it.
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

# after an answer, for the requests that were on their way to its worker; of the users' rules
IN_FLIGHT_SECONDS = 0.5
# that may reach it in the rest of the time for which it wanted none; of the users' rules
MAX_REQUESTS_IN_PAUSE = 2
# for which a worker that leaves still takes requests that callers sent after its word; of the
# users' rules
DRAIN_SECONDS = 2.0
# pauses that workers ask for, as they write them; the last two can't be read
RETRY_AFTER_VALUES = ("0.4", "1", "2.5", "3", "", "soon")
# part of the troubles in which a worker turns requests away
TURN_AWAY_SHARE = 0.6
# workers of a service that are left alone
MIN_ACCEPTING_WORKERS = 1


@dataclasses.dataclass
class _Pause:
    """A time for which a worker wanted no requests of a daemon.

    :param started_at: when it said so, on the loop's clock.
    :param request_count: requests that reached it since, those on their way left out.
    """

    started_at: float
    seconds: float
    request_count: int = 0


class NoticeChecks:
    """Checks what reaches workers against what they have said."""

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        self._pauses: dict[tuple[str, str], list[_Pause]] = collections.defaultdict(list)
        self._leaving_since: dict[tuple[str, str], float] = {}

    def forget_worker(self, worker: "SoakWorker") -> None:
        """Forget what a worker has said: it starts anew."""
        self._pauses = collections.defaultdict(
            list, {key: value for key, value in self._pauses.items() if key[0] != worker.id}
        )
        self._leaving_since = {
            key: at for key, at in self._leaving_since.items() if key[0] != worker.id
        }

    def record_pause(self, worker: "SoakWorker", daemon: "Daemon", pause: str) -> None:
        """Note that a worker turned a daemon's request away."""
        self._counts["requests turned away"] += 1
        if not pause.replace(".", "").isdigit() or not is_reachable(worker):
            return
        now = asyncio.get_running_loop().time()
        self._pauses[worker.id, daemon.name].append(_Pause(now, float(pause)))

    def record_leaving(self, worker: "SoakWorker", daemon: "Daemon") -> None:
        """Note that a worker said in an answer that it leaves."""
        if is_reachable(worker):
            now = asyncio.get_running_loop().time()
            self._leaving_since.setdefault((worker.id, daemon.name), now)

    def check_arrival(
        self, worker: "SoakWorker", daemon: "Daemon", request: str, sent_at: float
    ) -> None:
        """Check a request that reached a worker.

        :param sent_at: when its caller sent it, on the loop's clock.
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
                f"{sent_at - announced_at:.3f} s after its word that it leaves"
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
    """Return whether a worker's answers reach daemons."""
    return worker.proxy is not None and worker.proxy.mode is Mode.PASS


def _is_excused(worker: "SoakWorker", disturbed_at: float, since: float) -> bool:
    """Return whether a daemon was disturbed, or cut off from a worker, since a moment.

    :param disturbed_at: when it was disturbed last, by what excuses it: a cut from the store
        excuses no request to a worker that leaves.
    """
    changed_at = worker.proxy.changed_at if worker.proxy is not None else since
    return disturbed_at >= since or changed_at >= since


async def inject_notices(soak: "GatewaySoak", seed: int) -> None:
    """Let workers want no requests, one after the other, until the time is up."""
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
    """Let a worker turn all requests away for some time."""
    born, worker.refusal_retry_after = worker.born, rng.choice(RETRY_AFTER_VALUES)
    await asyncio.sleep(seconds)
    if worker.born == born:
        worker.refusal_retry_after = None


async def _leave(
    site: "SoakSite", worker: "SoakWorker", _rng: random.Random, seconds: float
) -> None:
    """Let a worker leave that says so in its answers, and in its entry only later."""
    born, worker.leaving = worker.born, True
    await site.add_worker(worker.service, worker.domain)
    await asyncio.sleep(seconds)
    if worker.is_alive and worker.born == born:
        worker.draining = True
        worker.publish()
    await asyncio.sleep(DRAIN_SECONDS)
    if worker.is_alive and worker.born == born:
        await worker.crash()
