"""Downtime of a domain's groups and the accelerators stranded by it.

Owns: seconds of downtime since this daemon began to manage the domain.
Relies on: one call after each round of probes.
"""

import collections
import typing as t

from thorncleat_core.clock import Clock
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.groups import Group


class Downtime:
    """Accumulates the time in which assigned groups could not answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_added_at = clock()
        self._group_seconds: collections.defaultdict[str, float] = collections.defaultdict(float)
        self._stranded = 0.0

    @property
    def group_seconds(self) -> t.Mapping[str, float]:
        """Seconds of downtime, by group."""
        return self._group_seconds

    @property
    def stranded_seconds(self) -> float:
        """Accelerator-seconds of groups that could not answer."""
        return self._stranded

    def add(
        self,
        groups: t.Iterable[Group],
        open_groups: t.Container[str],
        listed: t.Mapping[str, Instance],
    ) -> None:
        """Add the time since the last call for each group that is not open.

        :param listed: the domain's instances, for their accelerators.
        """
        now = self._clock()
        elapsed, self._last_added_at = now - self._last_added_at, now
        for group in groups:
            if group.id in open_groups:
                continue
            self._group_seconds[group.id] += elapsed
            members = (listed.get(member) for member in group.members)
            self._stranded += (
                sum(instance.accelerators for instance in members if instance) * elapsed
            )
