"""Which daemon controls the groups: a record under a lease in the store.

The controller's term is the store's revision at which its record was created. It rises with
each controller, so what it numbers with it rises too, and nothing has to be counted in the
store.
"""

import asyncio
import typing as t

import mode

from thorncleat_core import rendezvous

from .. import events
from ..exceptions import LeaseGoneError
from ..exceptions import StoreError
from ..exceptions import StoreOutcomeUnknownError
from ..ports import RecordStore
from ..settings import GatewaySettings
from ..store.view import StoreView

CONTROLLER = "thorncleat/controller"
RETRY_SECONDS = 0.3
# how much later each further candidate tries to become controller
TURN_SECONDS = 0.15
# how much faster one machine's clock may run than another's
MAX_DRIFT = 0.01


class Election(mode.Service):
    """Tries to become controller whenever there is none, and keeps the lease.

    :param stopping: whether this daemon should give the control away.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        records: RecordStore,
        view: StoreView,
        clock: t.Callable[[], float],
        daemons: t.Callable[[], t.Iterable[str]],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._records = records
        self._view = view
        self._clock = clock
        self._daemons = daemons
        self._lease = 0
        self._deadline = float("-inf")
        self._absent_since: float | None = None
        self.term = 0
        self.stopping = False

    @property
    def leads(self) -> bool:
        """Whether this daemon surely is the controller now."""
        return self._clock() < self._deadline

    @property
    def left(self) -> float:
        """Seconds for which this daemon surely is the controller."""
        return max(0.0, self._deadline - self._clock())

    @mode.Service.task
    async def _campaign_task(self) -> None:
        while not self.should_stop:
            try:
                await self._turn()
            except StoreError:
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(0.05)

    async def _turn(self) -> None:
        if not self._view.loaded or self.stopping:
            return
        if CONTROLLER in self._view.records:
            self._absent_since = None
            return
        now = self._clock()
        if self._absent_since is None:
            self._absent_since = now
        if now - self._absent_since < TURN_SECONDS * self._place():
            return
        await self._campaign()

    def _place(self) -> int:
        names = {*self._daemons(), self._settings.id}
        order = rendezvous.ranked(f"controller/{self._view.version}", names)
        return order.index(self._settings.id)

    async def _campaign(self) -> None:
        control = self._settings.control
        sent_at = self._clock()
        lease = await self._records.grant(control.lease)
        term = await self._create(lease)
        if term is None:
            return
        self._lease, self.term = lease, term
        self._extend(sent_at)
        events.LEADING.log(term=term, lease=lease)
        try:
            await self._keep()
        finally:
            self._deadline = float("-inf")
            events.NOT_LEADING.log(term=term)
            self._absent_since = None

    async def _create(self, lease: int) -> int | None:
        value = self._settings.id.encode()
        try:
            return await self._records.create(CONTROLLER, value, lease)
        except StoreOutcomeUnknownError:
            # it may still take effect while the lease lasts: read what is there
            await asyncio.sleep(RETRY_SECONDS)
            found = await self._records.find(CONTROLLER)
            mine = found is not None and found.value == value
            return found.created if found is not None and mine else None

    async def _keep(self) -> None:
        control = self._settings.control
        while not self.should_stop:
            await asyncio.sleep(control.lease / 4)
            if self.stopping:
                await self._records.end(self._lease)
                return
            sent_at = self._clock()
            try:
                await self._records.renew(self._lease)
            except LeaseGoneError:
                return
            except StoreError:
                # it may have lapsed; the record tells
                if not self.leads and await self._lapsed():
                    return
                continue
            self._extend(sent_at)

    async def _lapsed(self) -> bool:
        try:
            found = await self._records.find(CONTROLLER)
        except StoreError:
            return False
        return found is None or found.created != self.term

    def _extend(self, sent_at: float) -> None:
        control = self._settings.control
        self._deadline = sent_at + (control.lease - control.margin) * (1 - MAX_DRIFT)
