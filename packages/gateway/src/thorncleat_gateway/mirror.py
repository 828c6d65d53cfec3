"""This daemon's copy of what the platform's store says, and how old it may be."""

import asyncio
import collections
import typing as t

import mode

from thorncleat_core.roster import Roster
from thorncleat_core.serving import ServingConfiguration

from . import events
from .exceptions import HistoryGoneError
from .exceptions import StoreError
from .ports import Change
from .ports import ConfigurationChanged
from .ports import EndpointGone
from .ports import EndpointListed
from .ports import Feed
from .ports import RecordChanged

# pause after a failed call; doubled up to the longest
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4


class Mirror(mode.Service):
    """Follows the store.

    :param wait: seconds that a call for changes waits.
    :param coalesce: returns the seconds to let changes gather before the next call.
    """

    def __init__(
        self,
        feed: Feed,
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
        self.roster = Roster()
        self.records: dict[str, RecordChanged] = {}
        self.configuration: ServingConfiguration | None = None
        self.fresh_at = float("-inf")
        self.disturbed_at = float("-inf")
        self.version = 0
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def loaded(self) -> bool:
        """Whether a configuration is known."""
        return self.configuration is not None

    def age(self) -> float:
        """Return for how many seconds a newer configuration may have been accepted."""
        return self._clock() - self.fresh_at

    def on_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function after each batch of changes."""
        self._listeners.append(listener)

    def stable_for(self) -> float:
        """Return for how many seconds the store has answered without a failure."""
        return self._clock() - self.disturbed_at

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
                self.disturbed_at = self._clock()
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
                continue
            if pause > FIRST_PAUSE_SECONDS:
                events.STORE_BACK.log(revision=self._revision)
            pause = FIRST_PAUSE_SECONDS
            if changed:
                await asyncio.sleep(self._coalesce())

    async def _step(self) -> bool:
        sent_at = self._clock()
        if self._revision is None:
            self.calls["snapshot"] += 1
            found = await self._feed.snapshot()
            self._replace(found.changes)
        else:
            self.calls["changes"] += 1
            found = await self._feed.changes(self._revision, self._wait)
            for change in found.changes:
                self._apply(change)
        self._revision = found.revision
        self.fresh_at = max(self.fresh_at, sent_at)
        if found.changes:
            self.version += 1
            for listener in self._listeners:
                listener()
        return bool(found.changes)

    def _replace(self, changes: t.Sequence[Change]) -> None:
        endpoints = [one.endpoint for one in changes if isinstance(one, EndpointListed)]
        self.roster.replace(endpoints, self._clock())
        self.records.clear()
        for change in changes:
            if not isinstance(change, EndpointListed):
                self._apply(change)

    def _apply(self, change: Change) -> None:
        match change:
            case ConfigurationChanged(configuration):
                self._take(configuration)
            case EndpointListed(endpoint):
                self.roster.put(endpoint)
            case EndpointGone(endpoint_id):
                self.roster.remove(endpoint_id, self._clock())
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
