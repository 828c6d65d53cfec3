"""Checks that daemons respect workers that ask for a pause or announce that they leave.

Owns: the pauses and announcements that each daemon received.
Relies on: callers to record the daemon of each request, and daemons to record the times of
restarts, freezes and cuts from the store, after which they are excused.
"""

import asyncio
import collections
import dataclasses

from .gateway_checks import ObservedWorker
from .gateway_daemons import Daemon
from .proxy import Mode

# Start of a pause during which requests may still arrive, since they were sent before it.
IN_FLIGHT_SECONDS = 0.5
# Requests of one daemon that may arrive during the rest of a pause.
MAX_REQUESTS_IN_PAUSE = 2
# How long a leaving worker accepts requests sent after its announcement.
DRAIN_SECONDS = 2.0


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

    def forget_worker(self, worker: ObservedWorker) -> None:
        """Forget the pauses and announcements of a worker that restarts."""
        self._pauses = collections.defaultdict(
            list, {key: value for key, value in self._pauses.items() if key[0] != worker.id}
        )
        self._leaving_since = {
            key: at for key, at in self._leaving_since.items() if key[0] != worker.id
        }

    def record_pause(self, worker: ObservedWorker, daemon: Daemon, pause: str) -> None:
        """Record that a worker refused a daemon's request.

        :param pause: value of the ``Retry-After`` header; invalid ones start no pause.
        """
        self._counts["requests turned away"] += 1
        if not pause.replace(".", "").isdigit() or not is_reachable(worker):
            return
        now = asyncio.get_running_loop().time()
        self._pauses[worker.id, daemon.name].append(_Pause(now, float(pause)))

    def record_leaving(self, worker: ObservedWorker, daemon: Daemon) -> None:
        """Record that a worker announced to a daemon that it leaves."""
        if is_reachable(worker):
            now = asyncio.get_running_loop().time()
            self._leaving_since.setdefault((worker.id, daemon.name), now)

    def check_arrival(
        self, worker: ObservedWorker, daemon: Daemon, request: str, sent_at: float
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
        self, worker: ObservedWorker, daemon: Daemon, request: str, pause: _Pause
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


def is_reachable(worker: ObservedWorker) -> bool:
    """Return whether a worker's answers reach the daemons without disturbance."""
    return worker.proxy is not None and worker.proxy.mode is Mode.PASS


def _is_excused(worker: ObservedWorker, disturbed_at: float, since: float) -> bool:
    """Return whether a daemon, or its connections to a worker, were disturbed since a time.

    :param disturbed_at: time of the daemon's latest disturbance of a kind that excuses it.
    """
    changed_at = worker.proxy.changed_at if worker.proxy is not None else since
    return disturbed_at >= since or changed_at >= since
