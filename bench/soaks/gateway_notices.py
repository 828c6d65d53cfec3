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
MOST_IN_PAUSE = 2
# for which a worker that leaves still takes requests that callers sent after its word; of the
# users' rules
DRAIN_SECONDS = 2.0
# pauses that workers ask for, as they write them; the last two can't be read
PAUSES = ("0.4", "1", "2.5", "3", "", "soon")
# part of the troubles in which a worker turns requests away
TURNS_AWAY = 0.6
# workers of a service that are left alone
LEAST_WILLING = 1


@dataclasses.dataclass
class _Pause:
    """A time for which a worker wanted no requests of a daemon.

    :param at: when it said so, on the loop's clock.
    :param reached: requests that reached it since, those on their way left out.
    """

    at: float
    seconds: float
    reached: int = 0


class NoticeChecks:
    """Checks what reaches workers against what they have said."""

    def __init__(self, faults: list[str], counts: collections.Counter[str]) -> None:
        self._faults = faults
        self._counts = counts
        self._pauses: dict[tuple[str, str], list[_Pause]] = collections.defaultdict(list)
        self._leaving: dict[tuple[str, str], float] = {}

    def forget(self, worker: "SoakWorker") -> None:
        """Forget what a worker has said: it starts anew."""
        self._pauses = collections.defaultdict(
            list, {key: value for key, value in self._pauses.items() if key[0] != worker.id}
        )
        self._leaving = {key: at for key, at in self._leaving.items() if key[0] != worker.id}

    def asked(self, worker: "SoakWorker", daemon: "Daemon", pause: str) -> None:
        """Note that a worker turned a daemon's request away."""
        self._counts["requests turned away"] += 1
        if not pause.replace(".", "").isdigit() or not is_heard(worker):
            return
        now = asyncio.get_running_loop().time()
        self._pauses[worker.id, daemon.name].append(_Pause(now, float(pause)))

    def said_leaving(self, worker: "SoakWorker", daemon: "Daemon") -> None:
        """Note that a worker said in an answer that it leaves."""
        if is_heard(worker):
            now = asyncio.get_running_loop().time()
            self._leaving.setdefault((worker.id, daemon.name), now)

    def arrived(self, worker: "SoakWorker", daemon: "Daemon", request: str, sent_at: float) -> None:
        """Check a request that reached a worker.

        :param sent_at: when its caller sent it, on the loop's clock.
        """
        if not daemon.reads_notices:
            return
        for pause in self._pauses[worker.id, daemon.name]:
            self._check_pause(worker, daemon, request, pause)
        told_at = self._leaving.get((worker.id, daemon.name))
        if told_at is None or _is_excused(worker, daemon.interrupted_at, told_at):
            return
        if sent_at > told_at + DRAIN_SECONDS:
            self._faults.append(
                f"DRAIN {request} reached {worker.id} from {daemon.name}, sent "
                f"{sent_at - told_at:.3f} s after its word that it leaves"
            )

    def _check_pause(
        self, worker: "SoakWorker", daemon: "Daemon", request: str, pause: _Pause
    ) -> None:
        after = asyncio.get_running_loop().time() - pause.at
        if not IN_FLIGHT_SECONDS < after < pause.seconds:
            return
        if _is_excused(worker, daemon.disturbed_at, pause.at):
            return
        pause.reached += 1
        self._counts["requests in a pause"] += 1
        if pause.reached > MOST_IN_PAUSE:
            self._faults.append(
                f"BUDGET {request} reached {worker.id} from {daemon.name} {after:.3f} s after it "
                f"asked for {pause.seconds} s, as number {pause.reached}"
            )


def is_heard(worker: "SoakWorker") -> bool:
    """Return whether a worker's answers reach daemons."""
    return worker.proxy is not None and worker.proxy.mode is Mode.PASS


def _is_excused(worker: "SoakWorker", disturbed_at: float, since: float) -> bool:
    """Return whether a daemon was disturbed, or cut off from a worker, since a moment.

    :param disturbed_at: when it was disturbed last, by what excuses it: a cut from the store
        excuses no request to a worker that leaves.
    """
    changed_at = worker.proxy.changed_at if worker.proxy is not None else since
    return disturbed_at >= since or changed_at >= since


async def play(soak: "GatewaySoak", seed: int) -> None:
    """Let workers want no requests, one after the other, until the time is up."""
    draw = random.Random(f"notices {seed}")
    under_way: list[asyncio.Task[None]] = []
    while not soak.over:
        await asyncio.sleep(draw.uniform(0.2, 1.2))
        willing = [worker for worker in soak.site.workers.values() if worker.is_willing]
        chosen = draw.choice(willing)
        if sum(worker.service == chosen.service for worker in willing) <= LEAST_WILLING:
            continue
        trouble = _turn_away if draw.random() < TURNS_AWAY else _leave
        soak.counts[f"trouble {trouble.__name__.strip('_')}"] += 1
        seconds = draw.uniform(0.3, 2.5)
        under_way.append(asyncio.create_task(trouble(soak.site, chosen, draw, seconds)))
    await asyncio.gather(*under_way)


async def _turn_away(
    _site: "SoakSite", worker: "SoakWorker", draw: random.Random, seconds: float
) -> None:
    """Let a worker turn all requests away for some time."""
    born, worker.refusal_retry_after = worker.born, draw.choice(PAUSES)
    await asyncio.sleep(seconds)
    if worker.born == born:
        worker.refusal_retry_after = None


async def _leave(
    site: "SoakSite", worker: "SoakWorker", _draw: random.Random, seconds: float
) -> None:
    """Let a worker leave that says so in its answers, and in its entry only later."""
    born, worker.leaving = worker.born, True
    await site.add_worker(worker.service, worker.domain)
    await asyncio.sleep(seconds)
    if worker.alive and worker.born == born:
        worker.draining = True
        worker.publish()
    await asyncio.sleep(DRAIN_SECONDS)
    if worker.alive and worker.born == born:
        await worker.crash()
