"""A feed that asks a relay in place of the store, and the store when no relay will do.

Owns: the connections to relays, and which of these are avoided until when.
Relies on: :mod:`.relays` for whom to ask, and on :mod:`.relay_answer` for when a relay is left.
"""

import typing as t

import aiohttp

from .. import events
from ..exceptions import HistoryCompactedError
from ..exceptions import RelayError
from ..http_session import LazySession
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import Position
from ..ports import proven_part
from ..settings import RelaySettings
from . import relay_answer
from .relay_answer import RelayAnswer
from .relays import Daemon
from .store_era import StoreEra

STORE = "store"
# relays that are asked for everything before the store is: a listing takes a call for each page
SNAPSHOT_TRIES = 2
# for a connection to a relay that is asked for everything to come up, in seconds: after a loss of
# power it may not be back yet
SNAPSHOT_CONNECT_SECONDS = 0.15


class RelayFeed:
    """Learns from a relay while it answers and is itself up to date.

    :param sources: returns the relays to ask, the preferred one first; none to ask the store.
    :param listed_sources: returns relays to ask as the store lists them, before anything else is
        known.
    """

    def __init__(
        self,
        settings: RelaySettings,
        store: ChangeFeed,
        sources: t.Callable[[], t.Sequence[Daemon]],
        listed_sources: t.Callable[[], t.Awaitable[t.Sequence[Daemon]]],
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._sources = sources
        self._listed_sources = listed_sources
        self._clock = clock
        self._session = LazySession(keep_connections=True)
        # ids of relays that failed, and until when they are not asked
        self._avoided: dict[str, float] = {}
        self._asked = ""

    @property
    def era(self) -> StoreEra:
        """The newest era of the store."""
        return self._store.era

    @property
    def asks_store(self) -> bool:
        """Whether the last answer came from the store."""
        return self._asked in ("", STORE)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def snapshot(self) -> Changes:
        """Return everything there is, from a relay or from the store."""
        relays = self._usable() if self._sources() else await self._listed_sources()
        for relay in relays[:SNAPSHOT_TRIES]:
            try:
                found = await self._ask_for_everything(relay)
            except RelayError as error:
                self._avoid(relay)
                self._note(STORE, str(error))
                continue
            self._note(relay.id, "answers")
            return found
        return await self._store.snapshot()

    async def changes(self, since: Position, wait: float) -> Changes:
        """Return what has changed since a position, from a relay or from the store."""
        begun, failure = self._clock(), None
        for relay in self._usable():
            try:
                found = await self._ask(relay, since)
            except RelayError as error:
                self._avoid(relay)
                failure = error
            else:
                self._note(relay.id, "answers")
                return found
            if self._clock() - begun > self._settings.patience:
                # it was silent, and the next one may be so too
                break
        self._note(STORE, str(failure) if failure else "no relay to ask")
        # a relay that failed has cost time already
        return await self._store.changes(since, 0.0 if failure else wait)

    def _usable(self) -> list[Daemon]:
        """Return the relays that haven't failed lately."""
        now = self._clock()
        return [relay for relay in self._sources() if self._avoided.get(relay.id, 0.0) <= now]

    def _avoid(self, relay: Daemon) -> None:
        now = self._clock()
        self._avoided = {name: until for name, until in self._avoided.items() if until > now}
        self._avoided[relay.id] = now + self._settings.avoid

    def _note(self, source: str, cause: str) -> None:
        if source != self._asked:
            events.SOURCE_CHANGED.log(source=source, before=self._asked, cause=cause)
            self._asked = source

    async def _ask(self, relay: Daemon, since: Position) -> Changes:
        """Ask a relay for what has changed.

        :raises RelayError: if it does not answer, or isn't up to date itself.
        :raises HistoryGoneError: if it does not remember so far back, or the era is over.
        """
        wait, sent_at = self._settings.wait, self._clock()
        query = {"era": str(since.era), "since": str(since.revision), "wait": str(wait)}
        answer = await self._call(relay, relay_answer.CHANGES_PATH, query, None)
        took = self._clock() - sent_at
        if answer.position.era != since.era:
            raise HistoryCompactedError(
                f"relay {relay.id} is in era {answer.position.era} of the store"
            )
        proven = proven_part(wait, took, changed=bool(answer.changes))
        return _changes(answer, proven - answer.age)

    async def _ask_for_everything(self, relay: Daemon) -> Changes:
        """Ask a relay for all that it knows.

        :raises RelayError: if it does not answer, or isn't up to date itself.
        """
        connect = SNAPSHOT_CONNECT_SECONDS
        try:
            answer = await self._call(relay, relay_answer.SNAPSHOT_PATH, {}, connect)
        except HistoryCompactedError as error:
            raise RelayError(f"relay {relay.id} has read nothing yet") from error
        return _changes(answer, -answer.age)

    async def _call(
        self, relay: Daemon, path: str, query: t.Mapping[str, str], connect: float | None
    ) -> RelayAnswer:
        """Call a relay.

        :param connect: seconds for the connection to come up; None for as long as the answer may
            take.
        :raises RelayError: if it gives no answer that can be used.
        :raises HistoryGoneError: if it doesn't know all that was asked for.
        """
        url = f"http://{relay.host}:{relay.port}{path}"
        limits = aiohttp.ClientTimeout(
            total=self._settings.wait + self._settings.patience, sock_connect=connect
        )
        try:
            async with self._session.get().get(url, params=query, timeout=limits) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RelayError(f"relay {relay.id}: {error!r}") from error
        answer = relay_answer.read(relay.id, response.status, body, self._settings.oldest)
        self.era.heard(answer.position.era)
        if self.era.is_over(answer.position.era):
            raise RelayError(f"relay {relay.id} is in era {answer.position.era}, which is over")
        return answer


def _changes(answer: RelayAnswer, proven: float) -> Changes:
    """Return what a relay told.

    :param proven: seconds after the call was sent up to which the answer holds every change.
    """
    return Changes(answer.position, answer.changes, proven, answer.settling, answer.configuration)
