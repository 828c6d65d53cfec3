"""Election of the daemon that controls the groups, by a record under a lease in the store.

The controller's term is the store position at which its record was created, so each controller's
term is higher than its predecessor's.

Owns: this daemon's lease, and until when it may act as controller.
Relies on: the store's leases, and a steady clock whose rate differs from the store's by at most
:data:`MAX_CLOCK_DRIFT`.
"""

import asyncio
import typing as t

from thorncleat_core import rendezvous

from .. import events
from ..exceptions import LeaseExpiredError
from ..exceptions import StoreError
from ..exceptions import StoreOutcomeUnknownError
from ..peers.reach import Reach
from ..ports import Lease
from ..ports import Position
from ..ports import RecordStore
from ..service import Service
from ..service import background_task
from ..settings import GatewaySettings
from ..store.view import StoreView

CONTROLLER_KEY = "thorncleat/controller"
# Pause after a failed call to the store.
RETRY_INTERVAL_SECONDS = 0.3
# Interval between two checks whether there is a controller.
POLL_INTERVAL_SECONDS = 0.05
# Delay between the attempts of two successive candidates.
CANDIDATE_DELAY_SECONDS = 0.15
# Share of the largest capacity of all daemons from which a candidate is preferred.
PREFERRED_CAPACITY_SHARE = 0.5
# Longest wait for a change of the view while there is a controller.
CHANGE_WAIT_SECONDS = 0.25
RENEWALS_PER_LEASE = 4
# How long a controller has been cut off from the endpoints when it hands over.
HAND_OVER_SECONDS = 0.25
# How much longer a candidate that is cut off from the endpoints waits for the others.
CUT_OFF_DELAY_SECONDS = 1.0
# Largest relative difference between the clock rates of two instances.
MAX_CLOCK_DRIFT = 0.01


def lease_deadline(sent_at: float, lease: float, margin: float) -> float:
    """Return the time on this daemon's clock at which it stops acting as controller.

    The store's lease starts after the call was sent, on a clock that may run faster, so this
    daemon stops before another one can become controller.

    :param sent_at: when the call that granted or renewed the lease was sent.
    :param lease: the lease's TTL in seconds.
    :param margin: seconds by which this daemon stops before the lease expires.
    """
    return sent_at + (lease - margin) * (1 - MAX_CLOCK_DRIFT)


def candidate_rank(candidate: str, capacities: t.Mapping[str, float], version: int) -> int:
    """Return a daemon's rank among the candidates; 0 tries first.

    Daemons with much capacity come first, since a small instance may not form the groups of
    hundreds of endpoints within its calls' timeouts. Otherwise the order changes with the view's
    version, so that different daemons try first.

    :param capacities: capacity by daemon, including the candidate.
    :param version: version of the view.
    """
    enough = PREFERRED_CAPACITY_SHARE * max(capacities.values())
    ranked = rendezvous.rank(f"controller/{version}", capacities)
    return sorted(ranked, key=lambda name: capacities[name] < enough).index(candidate)


def can_campaign(absent_seconds: float, rank: int, *, is_cut_off: bool = False) -> bool:
    """Return whether a candidate may try to become controller now.

    Candidates try one after the other, since each attempt costs a write and only one can succeed.

    :param absent_seconds: seconds for which there has been no controller.
    :param rank: the candidate's rank.
    :param is_cut_off: whether it reaches no endpoint, and so could give no orders.
    """
    delay = CUT_OFF_DELAY_SECONDS if is_cut_off else 0.0
    return absent_seconds >= delay + CANDIDATE_DELAY_SECONDS * rank


def must_hand_over(cut_off_seconds: float, *, others_reach_endpoints: bool) -> bool:
    """Return whether a controller must end its term, since it can give no orders and others can.

    :param cut_off_seconds: seconds for which it has been cut off from the endpoints.
    :param others_reach_endpoints: whether another daemon reaches endpoints.
    """
    return cut_off_seconds >= HAND_OVER_SECONDS and others_reach_endpoints


class Election(Service):
    """Tries to become controller whenever there is none, and renews the lease.

    :param capacities: returns the capacity of each known daemon, including this one.
    :param reach: whether this daemon is cut off from a service; None if that doesn't matter.
    :param others_reach_endpoints: returns whether another daemon reaches endpoints.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        records: RecordStore,
        view: StoreView,
        clock: t.Callable[[], float],
        capacities: t.Callable[[], t.Mapping[str, float]],
        reach: Reach | None = None,
        others_reach_endpoints: t.Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._records = records
        self._view = view
        self._clock = clock
        self._capacities = capacities
        self._reach = reach
        self._others_reach_endpoints = others_reach_endpoints
        self._deadline = float("-inf")
        # When the controller's record was first found missing; None while there is a controller.
        self._absent_since: float | None = None
        self.term: Position | None = None
        # Set when this daemon stops, so that it hands over control.
        self.stopping = False

    @property
    def is_controller(self) -> bool:
        """Whether this daemon is the controller now.

        A term ends with the store's era, since a restored store may have lost the record.
        """
        if self.term is None or self._view.era.is_over(self.term.era):
            return False
        return self._clock() < self._deadline

    @property
    def is_caught_up(self) -> bool:
        """Whether the view shows this term's record, and so all earlier records.

        Another controller may have had a whole term before this daemon got the lease; until the
        view has caught up, it lacks the groups that this controller recorded.
        """
        record = self._view.records.get(CONTROLLER_KEY)
        return record is not None and self._view.position_of(record) == self.term

    @property
    def lease_seconds_left(self) -> float:
        """Seconds until this daemon stops acting as controller unless it renews the lease."""
        return max(0.0, self._deadline - self._clock())

    @property
    def _is_cut_off(self) -> bool:
        return self._reach is not None and self._reach.cut_off_seconds > 0

    def _must_hand_over(self) -> bool:
        if self.stopping:
            return True
        return self._reach is not None and must_hand_over(
            self._reach.cut_off_seconds, others_reach_endpoints=self._others_reach_endpoints()
        )

    @background_task
    async def _campaign_task(self) -> None:
        while not self.should_stop:
            try:
                await self._poll()
            except StoreError:
                # The store is unavailable; the next poll tries again.
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll(self) -> None:
        if not self._view.is_loaded or not self._view.is_current or self.stopping:
            return
        if CONTROLLER_KEY in self._view.records:
            self._absent_since = None
            await self._view.wait_change(CHANGE_WAIT_SECONDS)
            return
        now = self._clock()
        if self._absent_since is None:
            self._absent_since = now
        rank = candidate_rank(self._settings.id, self._capacities(), self._view.version)
        if can_campaign(now - self._absent_since, rank, is_cut_off=self._is_cut_off):
            await self._campaign()

    async def _campaign(self) -> None:
        control = self._settings.control
        sent_at = self._clock()
        lease = await self._records.grant(control.lease)
        try:
            await self._lead(lease, sent_at)
        except StoreError:
            raise
        except Exception:
            # Nobody would lead until the lease expires.
            await self._records.end(lease)
            raise

    async def _lead(self, lease: Lease, sent_at: float) -> None:
        """Create the controller's record under a lease, and lead until the term ends.

        :param sent_at: when the call for the lease was sent.
        """
        term = await self._create_record(lease)
        if term is None:
            return
        self.term = term
        self._extend_deadline(sent_at)
        events.LEADING.log(term=term.revision, lease=lease.id)
        try:
            await self._keep_lease(lease, term)
        finally:
            self._deadline = float("-inf")
            events.NOT_LEADING.log(term=term.revision)
            self._absent_since = None

    async def _create_record(self, lease: Lease) -> Position | None:
        """Create the controller's record under a lease; return the term, or None on failure.

        After a call without an answer, a record with this daemon's id may be from an earlier
        process of this daemon. So the lease is revoked, which also deletes the record if it was
        written.
        """
        try:
            return await self._records.create(CONTROLLER_KEY, self._settings.id.encode(), lease)
        except StoreOutcomeUnknownError:
            await self._records.end(lease)
            return None

    async def _keep_lease(self, lease: Lease, term: Position) -> None:
        control = self._settings.control
        while not self.should_stop:
            await asyncio.sleep(control.lease / RENEWALS_PER_LEASE)
            if self._view.era.is_over(term.era):
                return
            if self._must_hand_over():
                # The next controller may act before the store's answer arrives here.
                self._deadline = float("-inf")
                await self._records.end(lease)
                return
            sent_at = self._clock()
            try:
                await self._records.renew(lease)
            except LeaseExpiredError:
                # The term is over; the caller logs its end.
                return
            except StoreError:
                # The lease may have expired; after the deadline the record shows whether it has.
                if not self.is_controller and await self._is_term_over(term):
                    return
                continue
            self._extend_deadline(sent_at)

    async def _is_term_over(self, term: Position) -> bool:
        """Return whether the store shows that this term is over."""
        try:
            found = await self._records.find(CONTROLLER_KEY)
        except StoreError:
            # Unknown; checked again after the next renewal that fails.
            return False
        return found is None or found.created != term.revision

    def _extend_deadline(self, sent_at: float) -> None:
        control = self._settings.control
        self._deadline = lease_deadline(sent_at, control.lease, control.margin)
