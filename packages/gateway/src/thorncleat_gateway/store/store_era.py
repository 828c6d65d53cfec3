"""The newest era of the store that this daemon has observed.

A later era invalidates positions, leases and the controller's term of earlier eras. Every era
that an answer or another daemon's request names is observed here.

Owns: the newest era.
Relies on: eras rising by one each time the store is restored from a copy.
"""

from .. import events

# The numbers of terms and the epochs of groups are made from eras, and fit into 64 bits.
MAX_ERA = 2**29


class StoreEra:
    """Tracks the newest era.

    :ivar has_ended: whether an era has ended since this daemon started.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self.has_ended = False

    @property
    def newest(self) -> int:
        """The newest observed era; 0 before the first."""
        return 0 if self._newest is None else self._newest

    def is_over(self, era: int) -> bool:
        """Return whether a later era has begun."""
        return era < self.newest

    def observe(self, era: int) -> None:
        """Record an era that an answer or a request named."""
        before = self._newest
        if before is not None and era <= before:
            return
        self._newest = era
        if before is not None:
            self.has_ended = True
            events.STORE_RESTORED.log(era=era, before=before)
