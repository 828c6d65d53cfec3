"""Probing the instances of a fabric domain.

Owns: the newest report of each instance, and since when each has not answered.
Relies on: probes at shorter intervals than the window of a confirmation.
"""

import asyncio
import typing as t

from thorncleat_core.clock import Clock
from thorncleat_core.daemon.groups import Confirmations
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.groups import InstanceReport

from .exceptions import EndpointError
from .exceptions import EndpointSilentError
from .ports import Engines

GroupOf = t.Callable[[str], Group | None]


class InstanceProbes:
    """Probes instances and keeps their reports.

    :param window: seconds for which a member's confirmation is valid.
    :param group_of: returns the group that an instance is assigned to.
    :param is_loop_late: returns whether this daemon's event loop is late, see :mod:`.lag`.
    """

    def __init__(
        self,
        engines: Engines,
        clock: Clock,
        window: float,
        group_of: GroupOf,
        is_loop_late: t.Callable[[], bool],
    ) -> None:
        self._is_loop_late = is_loop_late
        self._engines = engines
        self._clock = clock
        self._group_of = group_of
        self._reports: dict[str, InstanceReport] = {}
        self._last_answer_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self.confirmations = Confirmations(window)

    @property
    def reports(self) -> t.Mapping[str, InstanceReport]:
        """The newest report of each instance that answers."""
        return self._reports

    @property
    def missing_since(self) -> t.Mapping[str, float]:
        """The time since which each instance has not answered."""
        return self._missing_since

    def silence_seconds(self, instance: str) -> float:
        """Return the seconds since an instance last answered; infinite if it never did."""
        return self._clock() - self._last_answer_at.get(instance, float("-inf"))

    async def probe(self, targets: t.Mapping[str, str]) -> None:
        """Probe instances concurrently.

        :param targets: addresses by instance.
        """
        await asyncio.gather(*(self._probe(name, address) for name, address in targets.items()))

    def record_missed(self, instance: str) -> None:
        """Record that an instance did not answer, which revokes its confirmation."""
        self._reports.pop(instance, None)
        self.confirmations.revoke(instance)
        self._missing_since.setdefault(instance, self._clock())

    async def _probe(self, instance: str, address: str) -> None:
        sent_at = self._clock()
        try:
            report = await self._engines.probe(address)
        except EndpointSilentError:
            if not self._is_loop_late():
                self.record_missed(instance)
            return
        except EndpointError:
            self.record_missed(instance)
            return
        if report.instance != instance:
            # The address now belongs to another instance.
            self.record_missed(instance)
            return
        self._reports[instance] = report
        self._last_answer_at[instance] = self._clock()
        self._update_confirmation(instance, report, sent_at)

    def _update_confirmation(self, instance: str, report: InstanceReport, sent_at: float) -> None:
        group = self._group_of(instance)
        if group is None or self.confirmations.record_report(group, report, sent_at):
            self._missing_since.pop(instance, None)
        elif (report.group, report.generation) != (group.id, group.generation):
            # The instance is alive but has not followed its order yet, so it isn't missing.
            self._missing_since.pop(instance, None)
