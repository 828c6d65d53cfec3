"""This daemon's copy of what the platform's store says.

Owns: the endpoints, the gateway's records and the configuration as last read, the position
they stand at, and how fresh they are.
Relies on: a :class:`ChangeFeed` for the changes in the store's order, and on
:mod:`.freshness` for what its answers and failures mean.
"""

import asyncio
import contextlib
import typing as t

import mode

from .. import events
from ..exceptions import HistoryCompactedError
from ..exceptions import StoreError
from ..ports import Change
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import ConfigurationChanged
from ..ports import EndpointGone
from ..ports import EndpointListed
from ..ports import Position
from ..ports import RecordChanged
from ..ports import Settling
from .former_eras import FormerEras
from .freshness import RETURN_SECONDS
from .freshness import Freshness
from .roster import Life
from .roster import Roster
from .serving import ServingConfiguration

# pause after a failed call, doubled with each further one
FIRST_PAUSE_SECONDS = 0.05
# up to which that pause is doubled
LONGEST_PAUSE_SECONDS = 0.4
# between two looks for endpoints that were not listed again
EXPIRE_SECONDS = 0.25
# by which two times of the store's return may differ that are the same one, told on two ways
SAME_RETURN_SECONDS = 0.5


class StoreView(mode.Service):
    """Follows the store.

    :param wait: seconds that a call for changes waits.
    :param coalesce: returns the seconds to let changes gather before the next call.
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
        # None while all has to be read anew
        self._position: Position | None = None
        self.era = feed.era
        self.former_eras = FormerEras()
        # of the last answer
        self._read: Position | None = None
        # until which the configuration may be the one that a restored store has left
        self._copied_until = float("-inf")
        # ids of entries that were written since the store's last return
        self._rewritten: set[str] = set()
        self._listeners: list[t.Callable[[], None]] = []
        self._batch_listeners: list[t.Callable[[Position | None, Changes], None]] = []
        self._freshness = Freshness()
        self.roster = Roster()
        self.records: dict[str, RecordChanged] = {}
        self.configuration: ServingConfiguration | None = None
        self._configured = asyncio.Event()
        # set by the next batch of changes, and then replaced
        self._changed = asyncio.Event()
        # rises with each batch of changes
        self.version = 0
        # rises with each change of a record
        self.records_version = 0

    @property
    def _revision(self) -> int | None:
        """The revision that it stands at; None while all has to be read anew."""
        return None if self._position is None else self._position.revision

    @property
    def loaded(self) -> bool:
        """Whether a configuration is known."""
        return self.configuration is not None

    @property
    def is_current(self) -> bool:
        """Whether it was read in the newest era of the store."""
        return self._read is not None and self._read.era == self.era.newest

    @property
    def fresh_at(self) -> float:
        """The time up to which every change is known."""
        return self._freshness.fresh_at

    @property
    def settled(self) -> bool:
        """Whether an endpoint that isn't listed is gone.

        For a short time after an outage of the store, or after this daemon's first reading, it
        may only not have been written anew yet.
        """
        return self._freshness.settled(self._clock())

    async def wait_loaded(self) -> None:
        """Wait until a configuration is known."""
        await self._configured.wait()

    async def wait_change(self, seconds: float) -> bool:
        """Wait for the next batch of changes, for some seconds at most; return whether it came."""
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self._changed.wait(), seconds)
        return False

    def everything(self) -> list[Change]:
        """Return all that is known, as the changes that lead to it."""
        configured = [ConfigurationChanged(self.configuration)] if self.configuration else []
        listed = [EndpointListed(endpoint) for endpoint in self.roster.as_listed]
        lapsed = [EndpointGone(endpoint_id) for endpoint_id in self.roster.lapsed]
        return [*configured, *listed, *lapsed, *self.records.values()]

    def said_draining(self, life: Life) -> None:
        """Take in that an endpoint said in an answer that it drains."""
        if self.roster.said_draining(life):
            events.SAID_DRAINING.log(endpoint=life.endpoint_id, born=life.born)
            self._announce()

    def position_of(self, record: RecordChanged) -> Position:
        """Return the position of a record's last change."""
        return Position(self._read.era if self._read else 0, record.revision)

    def configuration_version(self) -> float:
        """Return the version of the configuration, or 0 if none is known."""
        return self.configuration.version if self.configuration else 0

    def age(self) -> float:
        """Return for how many seconds a newer configuration may have been accepted.

        Infinite while this daemon knows only what a restored store holds, and the operator may not
        have written the newer one again: keys may have been taken away in what was lost.
        """
        now = self._clock()
        return float("inf") if now < self._copied_until else self._freshness.age(now)

    def settling(self) -> Settling:
        """Return what is left of the times after which a missing endpoint is gone."""
        return self._freshness.settling(self._clock())

    def on_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function after each batch of changes."""
        self._listeners.append(listener)

    def on_batch(self, listener: t.Callable[[Position | None, Changes], None]) -> None:
        """Call a function with each answer and the position that it continues.

        That is None for one that begins anew.
        """
        self._batch_listeners.append(listener)

    @mode.Service.task
    async def _follow_task(self) -> None:
        pause = FIRST_PAUSE_SECONDS
        while not self.should_stop:
            try:
                changed = await self._step()
            except HistoryCompactedError:
                events.HISTORY_GONE.log(revision=self._revision, era=self.era.newest)
                self._position = None
                continue
            except StoreError as error:
                if pause == FIRST_PAUSE_SECONDS:
                    events.STORE_LOST.log(reason=str(error), age=round(self.age(), 3))
                self._freshness = self._freshness.failed(self._clock())
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
                continue
            if pause > FIRST_PAUSE_SECONDS:
                events.STORE_BACK.log(revision=self._revision, era=self.era.newest)
            pause = FIRST_PAUSE_SECONDS
            if changed:
                await asyncio.sleep(self._coalesce())

    @mode.Service.task
    async def _expire_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._until_due())
            if self.roster.expire(self._clock()):
                self._announce()

    def _until_due(self) -> float:
        """Return the seconds until the next look for endpoints that were not listed again."""
        due_in = self.roster.next_due - self._clock()
        return min(EXPIRE_SECONDS, max(0.0, due_in))

    async def _step(self) -> bool:
        """Ask for changes once; return whether there were any."""
        sent_at = self._clock()
        if self._position is None:
            answer = await self._feed.snapshot()
            restored = self._answered(sent_at, answer)
            self._replace(answer.changes, restored=restored)
        else:
            answer = await self._feed.changes(self._position, self._wait)
            self._answered(sent_at, answer)
            for change in answer.changes:
                self._apply(change)
        after, self._position = self._position, answer.position
        for listener in self._batch_listeners:
            listener(after, answer)
        if answer.changes:
            self._announce()
        if answer.configuration > self.configuration_version():
            # this daemon began with what a restored store held; the relay knows a newer one, and
            # perhaps keys that were taken away
            self._position = None
        return bool(answer.changes)

    def _answered(self, sent_at: float, answer: Changes) -> bool:
        """Take in when and where the store answered; return whether another era has begun."""
        before, self._read = self._read, answer.position
        if before is None and self.era.has_ended and answer.settling is None:
            self._copied_until = self._clock() + RETURN_SECONDS
        restored = before is not None and before.era != answer.position.era
        if before is not None and restored:
            self.former_eras.end(before.revision, self.records)
        returned_at = self._freshness.returned_at
        self._freshness = self._freshness.answered(
            self._clock(), sent_at + answer.proven, answer.settling, restored=restored
        )
        if self._freshness.returned_at > returned_at + SAME_RETURN_SECONDS:
            self._rewritten.clear()
        return restored

    def _announce(self) -> None:
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._listeners:
            listener()

    def _replace(self, changes: t.Sequence[Change], *, restored: bool) -> None:
        """Put everything that was read in place of what was known.

        :param restored: whether the store has come back from a copy since.
        """
        listed = [change.endpoint for change in changes if isinstance(change, EndpointListed)]
        now = self._clock()
        removed_at = self._freshness.removed_at(now)
        self.roster.replace(listed, now, removed_at, restored=restored)
        self.records.clear()
        self.records_version += 1
        for change in changes:
            if not isinstance(change, EndpointListed):
                self._apply(change)

    def _apply(self, change: Change) -> None:
        match change:
            case ConfigurationChanged(configuration):
                self._configure(configuration)
            case EndpointListed(endpoint):
                self._rewritten.add(endpoint.id)
                if self.roster.put(endpoint):
                    events.STARTED_AGAIN.log(endpoint=endpoint.id, born=endpoint.born)
            case EndpointGone(endpoint_id):
                now = self._clock()
                self.roster.unlist(endpoint_id, now, self._removed_at(endpoint_id, now))
                self._rewritten.discard(endpoint_id)
            case RecordChanged(key, value):
                self.records_version += 1
                self.former_eras.written(key)
                if value is None:
                    self.records.pop(key, None)
                else:
                    self.records[key] = change

    def _removed_at(self, endpoint_id: str, now: float) -> float | None:
        """Return when an endpoint whose entry vanishes is to be removed; None for at once.

        One whose entry was written since the store's return has taken it out itself.
        """
        return None if endpoint_id in self._rewritten else self._freshness.removed_at(now)

    def _configure(self, configuration: ServingConfiguration) -> None:
        """Keep a configuration unless a newer one is known, as after a new snapshot."""
        known = self.configuration.version if self.configuration else -1
        if configuration.version <= known:
            return
        if self.configuration is not None:
            self._copied_until = float("-inf")
        self.configuration = configuration
        self._configured.set()
        events.CONFIG_IN_FORCE.log(version=configuration.version, before=known)
