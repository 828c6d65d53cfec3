"""This daemon's copy of what the platform's store says, and how old it may be."""

import asyncio
import typing as t

import mode

from .. import events
from ..exceptions import HistoryGoneError
from ..exceptions import StoreError
from ..ports import Change
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import ConfigurationChanged
from ..ports import EndpointGone
from ..ports import EndpointListed
from ..ports import RecordChanged
from .roster import Roster
from .serving import ServingConfiguration

# pause after a failed call; doubled up to the longest
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4
# an outage in which entries of living endpoints may have run out
LAPSING_OUTAGE_SECONDS = 1.0
# after the store's return, for those entries to be written anew
RETURN_SECONDS = 2.0
EXPIRE_SECONDS = 0.25


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
        self._revision: int | None = None
        self._listeners: list[t.Callable[[], None]] = []
        self._batch_listeners: list[t.Callable[[int | None, Changes], None]] = []
        self.roster = Roster()
        self.records: dict[str, RecordChanged] = {}
        self.configuration: ServingConfiguration | None = None
        self.fresh_at = float("-inf")
        self.version = 0
        self._failing_since: float | None = None
        # before which an entry that is missing may yet be written anew
        self._settled_at = float("inf")

    @property
    def loaded(self) -> bool:
        """Whether a configuration is known."""
        return self.configuration is not None

    def configuration_version(self) -> float:
        """Return the version in force, or 0."""
        return self.configuration.version if self.configuration else 0

    def age(self) -> float:
        """Return for how many seconds a newer configuration may have been accepted."""
        return self._clock() - self.fresh_at

    def on_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function after each batch of changes."""
        self._listeners.append(listener)

    def on_batch(self, listener: t.Callable[[int | None, Changes], None]) -> None:
        """Call a function with each answer and the revision that it continues.

        That is None for one that begins anew.
        """
        self._batch_listeners.append(listener)

    @property
    def settled(self) -> bool:
        """Whether an endpoint that isn't listed is gone.

        For a short time after an outage of the store, or after this daemon's first reading, it
        may only not have been written anew yet.
        """
        return self._clock() >= self._settled_at

    @mode.Service.task
    async def _follow_task(self) -> None:
        pause = FIRST_PAUSE_SECONDS
        while not self.should_stop:
            try:
                changed = await self._step()
            except HistoryGoneError:
                events.HISTORY_GONE.log(revision=self._revision)
                self._revision = None
                continue
            except StoreError as error:
                if pause == FIRST_PAUSE_SECONDS:
                    events.STORE_LOST.log(reason=str(error), age=round(self.age(), 3))
                if self._failing_since is None:
                    self._failing_since = self._clock()
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
                continue
            if pause > FIRST_PAUSE_SECONDS:
                events.STORE_BACK.log(revision=self._revision)
            pause = FIRST_PAUSE_SECONDS
            if changed:
                await asyncio.sleep(self._coalesce())

    @mode.Service.task
    async def _expire_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_SECONDS)
            if self.roster.expire(self._clock()):
                self._announce()

    async def _step(self) -> bool:
        sent_at = self._clock()
        if self._revision is None:
            found = await self._feed.snapshot()
            self._answered(sent_at + found.proven)
            self._replace(found.changes)
        else:
            found = await self._feed.changes(self._revision, self._wait)
            self._answered(sent_at + found.proven)
            for change in found.changes:
                self._apply(change)
        after, self._revision = self._revision, found.revision
        for listener in self._batch_listeners:
            listener(after, found)
        if found.changes:
            self._announce()
        return bool(found.changes)

    def _answered(self, proven_at: float) -> None:
        """Take in that the store answers."""
        now = self._clock()
        self.fresh_at = max(self.fresh_at, proven_at)
        failing, self._failing_since = self._failing_since, None
        first = self._settled_at == float("inf")
        if first or (failing is not None and now - failing >= LAPSING_OUTAGE_SECONDS):
            self._settled_at = now + RETURN_SECONDS

    def _announce(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()

    def _replace(self, changes: t.Sequence[Change]) -> None:
        endpoints = [one.endpoint for one in changes if isinstance(one, EndpointListed)]
        until = None if self.settled else self._settled_at
        self.roster.replace(endpoints, self._clock(), until)
        self.records.clear()
        for change in changes:
            if not isinstance(change, EndpointListed):
                self._apply(change)

    def _missing(self, endpoint_id: str) -> None:
        if self.settled:
            self.roster.remove(endpoint_id, self._clock())
        else:
            self.roster.lapse(endpoint_id, self._settled_at)

    def _apply(self, change: Change) -> None:
        match change:
            case ConfigurationChanged(configuration):
                self._take(configuration)
            case EndpointListed(endpoint):
                self.roster.put(endpoint)
            case EndpointGone(endpoint_id):
                self._missing(endpoint_id)
            case RecordChanged(key, None):
                self.records.pop(key, None)
            case RecordChanged(key):
                self.records[key] = change

    def _take(self, configuration: ServingConfiguration) -> None:
        known = self.configuration.version if self.configuration else -1
        if configuration.version <= known:
            return
        self.configuration = configuration
        events.CONFIG_IN_FORCE.log(version=configuration.version, before=known)
