"""The newest era of the store that this daemon has heard of.

The first word of a later era ends what rested on the one before: the position that is followed,
leases, and the controller's term. Whoever uses one of these asks here whether its era is over.
Whoever hears of an era says so here, be it from an answer of the store, from a relay or from a
daemon that asks.

Owns: that era.
Relies on: eras rising by one each time the store comes back from a copy.
"""

from .. import events


class StoreEra:
    """Keeps the newest era."""

    def __init__(self) -> None:
        self._newest: int | None = None
        # whether an era has ended since this daemon started
        self.has_ended = False

    @property
    def newest(self) -> int:
        """The newest era heard of; 0 before the first."""
        return 0 if self._newest is None else self._newest

    def is_over(self, era: int) -> bool:
        """Return whether a later era has begun."""
        return era < self.newest

    def observe(self, era: int) -> None:
        """Take in that somebody named an era."""
        before = self._newest
        if before is not None and era <= before:
            return
        self._newest = era
        if before is not None:
            self.has_ended = True
            events.STORE_RESTORED.log(era=era, before=before)
