"""This daemon's copy of the platform's store.

Owns: the endpoints, the gateway's records and the configuration as last read, their position in
the store's order of changes, and their freshness.
Relies on: a :class:`ChangeFeed` for the changes in the store's order, and on
:mod:`.freshness` for what its answers and failures mean.
"""

import asyncio
import contextlib
import typing as t

from .. import events
from ..callbacks import Callbacks
from ..exceptions import HistoryCompactedError
from ..exceptions import StoreError
from ..ports import Change
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import ConfigurationChanged
from ..ports import EndpointListed
from ..ports import EndpointRemoved
from ..ports import Position
from ..ports import RecordChanged
from ..ports import SettlingTimes
from ..service import Service
from ..service import background_task
from .acknowledged_age import AcknowledgedAge
from .complete_era import recorded_era
from .former_eras import FormerEras
from .freshness import ENTRY_REWRITE_SECONDS
from .freshness import Freshness
from .retained_evacuations import RetainedEvacuations
from .roster import Incarnation
from .roster import Roster
from .serving import ServingConfiguration

# Bounds of the pause after a failed call, which doubles with each further failure.
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4
MAX_EXPIRY_POLL_SECONDS = 0.25
# How far two reports of the same return of the store may lie apart.
RETURN_TOLERANCE_SECONDS = 0.5


class StoreView(Service):
    """Keeps a copy of the store up to date by following its changes.

    :param wait: how long a call for changes waits for one, in seconds.
    :param coalesce: returns the seconds for which changes are coalesced before the next call.
    :ivar version: rises with each batch of changes.
    :ivar records_version: rises with each change of a record.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        clock: t.Callable[[], float],
        wait: float,
        coalesce: t.Callable[[], float],
    ) -> None:
        super().__init__()
        self._feed = feed
        self._clock = clock
        self._wait = wait
        self._coalesce = coalesce
        # None if the next read must be a snapshot.
        self._position: Position | None = None
        self.era = feed.era
        self.former_eras = FormerEras()
        # The position of the last answer.
        self._answered_position: Position | None = None
        self._configuration_age = AcknowledgedAge()
        self._entries_age = AcknowledgedAge()
        # Ids of endpoints whose entries were written since the store's last return.
        self._rewritten_ids: set[str] = set()
        self._listeners = Callbacks[[]]("change")
        self._batch_listeners = Callbacks[[Position | None, Changes]]("batch of changes")
        self._freshness = Freshness()
        self.roster = Roster()
        self._evacuations = RetainedEvacuations()
        self.records: dict[str, RecordChanged] = {}
        self.configuration: ServingConfiguration | None = None
        self._configured = asyncio.Event()
        # Set by the next batch of changes, and then replaced by a new event.
        self._changed = asyncio.Event()
        self.version = 0
        self.records_version = 0

    @property
    def _revision(self) -> int | None:
        """The store's revision of this copy; None if the next read must be a snapshot."""
        return None if self._position is None else self._position.revision

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration has been read."""
        return self.configuration is not None

    @property
    def is_current(self) -> bool:
        """Whether this copy was read in the newest era of the store."""
        return (
            self._answered_position is not None and self._answered_position.era == self.era.newest
        )

    @property
    def current_as_of(self) -> float:
        """The time up to which this copy holds every change."""
        return self._freshness.current_as_of

    @property
    def is_settled(self) -> bool:
        """Whether an endpoint that isn't listed counts as removed.

        Shortly after an outage of the store, or after this daemon's first read, its expired entry
        may still be written again.
        """
        return self._freshness.is_settled(self._clock())

    async def wait_loaded(self) -> None:
        """Wait until a configuration has been read."""
        await self._configured.wait()

    async def wait_change(self, seconds: float) -> bool:
        """Wait for the next batch of changes.

        :param seconds: the timeout.
        :returns: whether a batch came in time.
        """
        # Unlike wait_for(), this lets no cancellation pass unseen when a batch comes with it.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, seconds)):
                return await self._changed.wait()
        return False

    def snapshot_changes(self) -> list[Change]:
        """Return this copy as the changes that build it."""
        configured = [ConfigurationChanged(self.configuration)] if self.configuration else []
        listed = [EndpointListed(endpoint) for endpoint in self.roster.stored_entries]
        missing = [EndpointRemoved(endpoint_id) for endpoint_id in self.roster.missing]
        # A reader of the snapshot gets no change when a retained evacuation ends.
        stored = [
            record for key, record in self.records.items() if key not in self._evacuations.records
        ]
        return [*configured, *listed, *missing, *stored]

    def mark_draining(self, incarnation: Incarnation) -> None:
        """Record that an endpoint reported in an answer that it drains."""
        if self.roster.mark_draining(incarnation):
            events.SAID_DRAINING.log(endpoint=incarnation.endpoint_id, born=incarnation.born)
            self._notify_listeners()

    def position_of(self, record: RecordChanged) -> Position:
        """Return the position of a record's last change."""
        return Position(
            self._answered_position.era if self._answered_position else 0, record.revision
        )

    def configuration_version(self) -> float:
        """Return the version of the configuration, or 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def age(self) -> float:
        """Return the seconds for which a newer configuration may have been in force.

        A restored store proves nothing until the operator has written again what it has lost. Until
        then the age continues from before the restore, or is infinite if this daemon knew nothing.
        """
        return self._configuration_age.age(self._clock())

    def entries_age(self) -> float:
        """Return the seconds for which an entry that an endpoint wrote may be unknown."""
        return self._entries_age.age(self._clock())

    def copy_age(self) -> float:
        """Return the seconds for which a change that the store made may be unknown."""
        return self._freshness.age(self._clock())

    @property
    def is_configuration_complete(self) -> bool:
        """Whether the store holds the newest configuration that it has acknowledged."""
        return self._configuration_age.is_complete(self._clock())

    @property
    def has_known_configuration(self) -> bool:
        """Whether this daemon has ever known the newest configuration."""
        return self._configuration_age.is_known

    def settling_times(self) -> SettlingTimes:
        """Return the time left until missing endpoints count as removed."""
        return self._freshness.settling_times(self._clock())

    def on_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function after each batch of changes."""
        self._listeners.add(listener)

    def on_batch(self, listener: t.Callable[[Position | None, Changes], None]) -> None:
        """Call a function with each answer, and with the position that its changes follow.

        The position is None for a snapshot, which replaces the whole copy.
        """
        self._batch_listeners.add(listener)

    @background_task
    async def _follow_task(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while not self.should_stop:
            try:
                changed = await self._fetch_changes()
            except HistoryCompactedError:
                events.HISTORY_GONE.log(revision=self._revision, era=self.era.newest)
                self._position = None
                continue
            except StoreError as error:
                if backoff == MIN_BACKOFF_SECONDS:
                    events.STORE_LOST.log(reason=str(error), age=round(self.copy_age(), 3))
                self._freshness = self._freshness.after_failure(self._clock())
                await asyncio.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            if backoff > MIN_BACKOFF_SECONDS:
                events.STORE_BACK.log(revision=self._revision, era=self.era.newest)
            backoff = MIN_BACKOFF_SECONDS
            if changed:
                await asyncio.sleep(self._coalesce())

    @background_task
    async def _expire_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._seconds_until_due())
            now = self._clock()
            has_expired = self._expire_evacuations(now)
            if self.roster.expire(now) or has_expired:
                self._notify_listeners()

    def _seconds_until_due(self) -> float:
        """Return the seconds until the roster is checked for expired endpoints."""
        due_in = min(self.roster.next_due, self._evacuations.next_due) - self._clock()
        return min(MAX_EXPIRY_POLL_SECONDS, max(0.0, due_in))

    def _expire_evacuations(self, now: float) -> bool:
        """End the evacuations that weren't written again; return whether there were any."""
        expired = self._evacuations.expire(now)
        for key in expired:
            self.records_version += 1
            del self.records[key]
        return bool(expired)

    async def _fetch_changes(self) -> bool:
        """Read the next changes or a snapshot, and return whether there were any changes."""
        position, freshness = self._answered_position, self._freshness
        try:
            return await self._read_changes()
        except StoreError:
            raise
        except Exception:
            # What wasn't applied as a whole counts as unread, and is read again.
            self._answered_position = position
            self._freshness = freshness.after_failure(self._clock())
            raise

    async def _read_changes(self) -> bool:
        sent_at = self._clock()
        if self._position is None:
            answer = await self._feed.snapshot()
            restored = self._record_answer(sent_at, answer)
            self._replace(answer.changes, restored=restored)
        else:
            answer = await self._feed.changes(self._position, self._wait)
            restored = self._record_answer(sent_at, answer)
            for change in answer.changes:
                self._apply_logged(change)
        self._record_proof(sent_at + answer.proven_seconds, answer, restored=restored)
        since, self._position = self._position, answer.position
        self._batch_listeners.call(since, answer)
        if answer.changes:
            self._notify_listeners()
        if answer.configuration > self.configuration_version():
            # This daemon started from a restored store. The relay has a newer configuration, in
            # which keys may have been revoked, so a snapshot is read next.
            self._position = None
        return bool(answer.changes)

    def _record_answer(self, sent_at: float, answer: Changes) -> bool:
        """Record the position and the freshness of an answer.

        :param sent_at: time at which the call was sent.
        :returns: whether a new era has begun.
        """
        before, self._answered_position = self._answered_position, answer.position
        restored = before is not None and before.era != answer.position.era
        if before is not None and restored:
            self.former_eras.record_end(before.revision, self.records)
        rewritten_at = self._freshness.rewritten_at
        self._freshness = self._freshness.after_answer(
            self._clock(), sent_at + answer.proven_seconds, answer.settling_times, restored=restored
        )
        if self._freshness.rewritten_at > rewritten_at + RETURN_TOLERANCE_SECONDS:
            self._rewritten_ids.clear()
        return restored

    def _record_proof(self, proven_at: float, answer: Changes, *, restored: bool) -> None:
        """Record what an answer whose changes were applied proves of acknowledged changes.

        :param proven_at: time up to which the answer holds every change that the store made.
        :param restored: whether it is the first answer of a new era.
        """
        now, era = self._clock(), answer.position.era
        recorded = recorded_era(self.records)
        is_first_start = recorded is None and not self.era.has_ended
        for age in (self._configuration_age, self._entries_age):
            age.begin_era(era, now, is_complete=is_first_start and not restored)
        is_written = self._position is not None and not restored and _has_configuration(answer)
        if recorded == era or is_written:
            self._configuration_age.complete_era()
        for age in (self._configuration_age, self._entries_age):
            age.record_proof(proven_at)

    def _notify_listeners(self) -> None:
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        self._listeners.call()

    def _replace(self, changes: t.Sequence[Change], *, restored: bool) -> None:
        """Replace this copy with a snapshot.

        :param restored: whether the store was restored from a copy since the last answer.
        """
        listed = [change.endpoint for change in changes if isinstance(change, EndpointListed)]
        now = self._clock()
        remove_at = self._freshness.removal_time(now)
        self.roster.replace(listed, now, remove_at, restored=restored)
        if restored:
            self._evacuations.retain(self.records, now + ENTRY_REWRITE_SECONDS)
        self.records.clear()
        self.records.update(self._evacuations.records)
        self.records_version += 1
        for change in changes:
            if not isinstance(change, EndpointListed):
                self._apply_logged(change)

    def _apply_logged(self, change: Change) -> None:
        """Apply a change; one that fails is logged and left out, so that later ones are applied."""
        try:
            self._apply(change)
        except Exception as error:
            if isinstance(change, ConfigurationChanged):
                # Without it, this copy would count as current though keys may have been revoked.
                raise
            self._failures.record("apply a change", error)

    def _apply(self, change: Change) -> None:
        match change:
            case ConfigurationChanged(configuration):
                self._accept_configuration(configuration)
            case EndpointListed(endpoint):
                self._rewritten_ids.add(endpoint.id)
                if self.roster.put(endpoint, self._clock()):
                    events.STARTED_AGAIN.log(endpoint=endpoint.id, born=endpoint.born)
            case EndpointRemoved(endpoint_id):
                now = self._clock()
                self.roster.unlist(endpoint_id, now, self._removal_time(endpoint_id, now))
                self._rewritten_ids.discard(endpoint_id)
            case RecordChanged(key, value):
                self.records_version += 1
                self.former_eras.discard_record(key)
                self._evacuations.discard(key)
                if value is None:
                    self.records.pop(key, None)
                else:
                    self.records[key] = change

    def _removal_time(self, endpoint_id: str, now: float) -> float | None:
        """Return the time to remove an endpoint whose entry vanishes; None for at once.

        An entry that was written since the store's return was deleted by the endpoint itself.
        """
        return None if endpoint_id in self._rewritten_ids else self._freshness.removal_time(now)

    def _accept_configuration(self, configuration: ServingConfiguration) -> None:
        """Put a configuration in force unless the present one is as new or newer."""
        previous_version = self.configuration.version if self.configuration else -1
        if configuration.version <= previous_version:
            return
        self.configuration = configuration
        self._configured.set()
        events.CONFIG_IN_FORCE.log(version=configuration.version, before=previous_version)


def _has_configuration(answer: Changes) -> bool:
    """Return whether an answer tells of a write of the configuration."""
    return any(isinstance(change, ConfigurationChanged) for change in answer.changes)
