"""Which daemon controls the groups: a record under a lease in the store.

The controller's term is the store's position at which its record was created. It rises with
each controller, so nothing has to be counted in the store.

A term ends with the era of the store in which it began: what the store lost may have been this
daemon's record, and its revision may be that of another's by then.

Owns: this daemon's lease, and until when it may act as controller.
Relies on: the store's leases; a steady clock here that drifts by :data:`MAX_DRIFT` at most from
the store's.
"""

import asyncio
import typing as t

import mode

from thorncleat_core import rendezvous

from .. import events
from ..exceptions import LeaseGoneError
from ..exceptions import StoreError
from ..exceptions import StoreOutcomeUnknownError
from ..ports import Lease
from ..ports import Position
from ..ports import RecordStore
from ..settings import GatewaySettings
from ..store.view import StoreView

CONTROLLER = "thorncleat/controller"
# after a failed call to the store, in seconds
RETRY_SECONDS = 0.3
# between two looks at whether there is a controller, in seconds
CHECK_SECONDS = 0.05
# how much later each further candidate tries to become controller, in seconds
TURN_SECONDS = 0.15
# part of the largest capacity of all daemons from which on a candidate is preferred
STRONG_PART = 0.5
# without a change of the store's view, for which a daemon rests that sees a controller, in seconds
REST_SECONDS = 0.25
# times that a lease is renewed before it could run out
RENEWALS_PER_LEASE = 4
# how much faster one instance's clock may run than another's, as a part
MAX_DRIFT = 0.01


def lease_deadline(sent_at: float, lease: float, margin: float) -> float:
    """Return the moment on this daemon's clock at which it stops acting as controller.

    The store counts the lease from a moment after the call was sent, on a clock that may run
    faster, so this daemon stops before anybody else can become controller.

    :param sent_at: when the call was sent that granted or renewed the lease.
    :param lease: the lease's time to live, in seconds.
    :param margin: seconds before its end.
    """
    return sent_at + (lease - margin) * (1 - MAX_DRIFT)


def candidate_place(candidate: str, capacities: t.Mapping[str, float], version: int) -> int:
    """Return a daemon's place among those that may become controller; 0 is the first.

    Those with much capacity come first: to form the groups of hundreds of endpoints takes a small
    instance longer than its calls may take. Among them the order differs from one version of the
    list to the next, so that it isn't always the same daemon that tries first.

    :param capacities: of all daemons that are known, with the candidate.
    """
    enough = STRONG_PART * max(capacities.values())
    ranked = rendezvous.rank(f"controller/{version}", capacities)
    return sorted(ranked, key=lambda name: capacities[name] < enough).index(candidate)


def may_campaign(absent_for: float, place: int) -> bool:
    """Return whether a candidate tries to become controller now.

    They take turns, since each attempt costs a write and only one can succeed.

    :param absent_for: seconds for which there has been no controller.
    :param place: the candidate's place.
    """
    return absent_for >= TURN_SECONDS * place


class Election(mode.Service):
    """Tries to become controller whenever there is none, and keeps the lease.

    :param capacities: returns the capacity of each daemon that is known, this one among them.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        records: RecordStore,
        view: StoreView,
        clock: t.Callable[[], float],
        capacities: t.Callable[[], t.Mapping[str, float]],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._records = records
        self._view = view
        self._clock = clock
        self._capacities = capacities
        self._deadline = float("-inf")
        # None while there is a controller
        self._absent_since: float | None = None
        self.term: Position | None = None
        # set by a daemon that stops, to give the control away
        self.stopping = False

    @property
    def leads(self) -> bool:
        """Whether this daemon is the controller now."""
        if self.term is None or self._view.era.is_over(self.term.era):
            return False
        return self._clock() < self._deadline

    @property
    def caught_up(self) -> bool:
        """Whether the view shows this term's record, and so all that was recorded before it.

        A daemon may see that there is no controller, and get the lease only after another one
        came and went; then its view still lacks the groups which that one recorded.
        """
        record = self._view.records.get(CONTROLLER)
        return record is not None and self._view.position_of(record) == self.term

    @property
    def left(self) -> float:
        """Seconds for which this daemon may act as controller, unless the lease is renewed."""
        return max(0.0, self._deadline - self._clock())

    @mode.Service.task
    async def _campaign_task(self) -> None:
        while not self.should_stop:
            try:
                await self._turn()
            except StoreError:
                # the store is away; the next turn tries again
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(CHECK_SECONDS)

    async def _turn(self) -> None:
        if not self._view.loaded or not self._view.is_current or self.stopping:
            return
        if CONTROLLER in self._view.records:
            self._absent_since = None
            await self._view.wait_change(REST_SECONDS)
            return
        now = self._clock()
        if self._absent_since is None:
            self._absent_since = now
        place = candidate_place(self._settings.id, self._capacities(), self._view.version)
        if may_campaign(now - self._absent_since, place):
            await self._campaign()

    async def _campaign(self) -> None:
        control = self._settings.control
        sent_at = self._clock()
        lease = await self._records.grant(control.lease)
        term = await self._create(lease)
        if term is None:
            return
        self.term = term
        self._extend(sent_at)
        events.LEADING.log(term=term.revision, lease=lease.id)
        try:
            await self._keep(lease, term)
        finally:
            self._deadline = float("-inf")
            events.NOT_LEADING.log(term=term.revision)
            self._absent_since = None

    async def _create(self, lease: Lease) -> Position | None:
        """Return the term if the record was written under a lease, None otherwise.

        A record that is found after a call without an answer may be that of a former life of this
        daemon, so it isn't looked for: the lease ends, and the record with it if it was written.
        """
        try:
            return await self._records.create(CONTROLLER, self._settings.id.encode(), lease)
        except StoreOutcomeUnknownError:
            await self._records.end(lease)
            return None

    async def _keep(self, lease: Lease, term: Position) -> None:
        control = self._settings.control
        while not self.should_stop:
            await asyncio.sleep(control.lease / RENEWALS_PER_LEASE)
            if self._view.era.is_over(term.era):
                return
            if self.stopping:
                # the next controller may act before the store's answer comes, or without it
                self._deadline = float("-inf")
                await self._records.end(lease)
                return
            sent_at = self._clock()
            try:
                await self._records.renew(lease)
            except LeaseGoneError:
                # the term is over, and its end is logged
                return
            except StoreError:
                # the lease may be over; once it could be, the record says whether it is
                if not self.leads and await self._is_over(term):
                    return
                continue
            self._extend(sent_at)

    async def _is_over(self, term: Position) -> bool:
        """Return whether the store shows that this term is over."""
        try:
            found = await self._records.find(CONTROLLER)
        except StoreError:
            # not known; it is asked again after the next renewal that fails
            return False
        return found is None or found.created != term.revision

    def _extend(self, sent_at: float) -> None:
        control = self._settings.control
        self._deadline = lease_deadline(sent_at, control.lease, control.margin)
