"""Closes the connections of callers that have taken too long.

Owns: no state.
Relies on: :class:`.connection_table.ConnectionTable` for which ones have.
"""

import asyncio
import typing as t

from ..service import Service
from ..service import background_task
from .connection_table import EXPIRY_INTERVAL_SECONDS
from .listener_bounds import ListenerBounds


class ConnectionExpiry(Service):
    """Looks for such connections at an interval.

    :param bounds: those of each listener.
    """

    def __init__(self, bounds: t.Sequence[ListenerBounds]) -> None:
        super().__init__()
        self._bounds = bounds

    @background_task
    async def _expire_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            for bounds in self._bounds:
                bounds.expire()
