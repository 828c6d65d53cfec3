"""Writes the record of the store's era in which the configuration is known to be complete.

Owns: no state but when the record was first found missing.
Relies on: :class:`.view.StoreView` for whether the configuration is complete, and on the
controller to write first, so that one daemon writes for all.
"""

import random
import typing as t

from ..exceptions import StoreError
from ..ports import RecordStore
from ..service import Service
from ..service import background_task
from .complete_era import COMPLETE_ERA_KEY
from .complete_era import encode
from .complete_era import recorded_era
from .view import StoreView

CHECK_INTERVAL_SECONDS = 0.5
# Pause after a write that failed.
RETRY_SECONDS = 1.0
# Bounds of the delay after which other daemons than the controller write, for the case that there
# is no controller or that it is of an earlier build.
OTHERS_DELAY_SECONDS = (3.0, 9.0)


class CompleteEraWriter(Service):
    """Records the present era once the configuration is complete in it.

    :param is_controller: returns whether this daemon is the controller.
    """

    def __init__(
        self,
        records: RecordStore,
        view: StoreView,
        clock: t.Callable[[], float],
        is_controller: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._records = records
        self._view = view
        self._clock = clock
        self._is_controller = is_controller
        self._random = random.Random()
        # When this daemon writes though it isn't the controller; None while nothing is missing.
        self._write_at: float | None = None

    @background_task
    async def _write_task(self) -> None:
        while not self.should_stop:
            await self._view.wait_change(CHECK_INTERVAL_SECONDS)
            if not self._is_due():
                continue
            try:
                value = encode(self._view.era.newest)
                await self._records.commit({COMPLETE_ERA_KEY: value}, [], {})
            except StoreError:
                # The record is still missing, so it is written again.
                pass
            # The view shows the write a little later.
            await self.sleep(RETRY_SECONDS)

    def _is_due(self) -> bool:
        """Return whether this daemon has to write the record now."""
        view = self._view
        if not view.is_loaded or not view.is_current or not view.is_configuration_complete:
            self._write_at = None
            return False
        if recorded_era(view.records) == view.era.newest:
            self._write_at = None
            return False
        if self._write_at is None:
            self._write_at = self._clock() + self._random.uniform(*OTHERS_DELAY_SECONDS)
        return self._is_controller() or self._clock() >= self._write_at
