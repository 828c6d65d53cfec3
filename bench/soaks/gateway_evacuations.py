"""Evacuations of failure domains in the gateway's soak, and the check that nothing is sent there.

Owns: the evacuated failure domains and the latest fault of the store.
Relies on: daemons to record the times of restarts, freezes and cuts from the store, after which
they are excused; the platform's bound holds for daemons in contact with the store.
"""

import asyncio
import collections
import typing as t

from .gateway_checks import ObservedWorker
from .gateway_daemons import Daemon
from .proxy import Mode

ZONES = ("zone-a", "zone-b")
# Time after which no request may reach a worker of an evacuated failure domain.
EVACUATION_SECONDS = 5.0


class EvacuationChecks:
    """Checks that no requests reach workers of evacuated failure domains.

    :param violations: receives descriptions of broken promises.
    :param counts: counters of the report.
    """

    def __init__(self, violations: list[str], counts: collections.Counter[str]) -> None:
        self._violations = violations
        self._counts = counts
        # When each evacuation began, on the loop's clock.
        self._evacuated_at: dict[str, float] = {}
        self._store_fault_at = float("-inf")

    @property
    def zones(self) -> t.Collection[str]:
        """The evacuated failure domains."""
        return self._evacuated_at.keys()

    def begin(self, zone: str) -> None:
        """Record that a failure domain is evacuated."""
        self._evacuated_at[zone] = asyncio.get_running_loop().time()

    def end(self, zone: str) -> None:
        """Record that the evacuation of a failure domain is about to be revoked."""
        self._evacuated_at.pop(zone, None)

    def record_store_fault(self) -> None:
        """Record that the store refuses calls, or was restored."""
        self._store_fault_at = asyncio.get_running_loop().time()

    def check_arrival(self, worker: ObservedWorker, daemon: Daemon, request: str) -> None:
        """Check a request that reached a worker which serves it."""
        evacuated_at = self._evacuated_at.get(worker.zone)
        if evacuated_at is None:
            return
        now = asyncio.get_running_loop().time()
        since = max(evacuated_at, self._store_fault_at, daemon.disturbed_at)
        if daemon.proxy.mode is not Mode.PASS or now <= since + EVACUATION_SECONDS:
            self._counts["requests in the time to evacuate"] += 1
            return
        self._violations.append(
            f"EVACUATED {request} reached {worker.id} from {daemon.name}, "
            f"{now - evacuated_at:.3f} s after the evacuation of {worker.zone}"
        )
