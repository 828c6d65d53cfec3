"""A feed that asks relays for changes, and falls back to the store.

Owns: the connections to relays, and the times until which failed relays are avoided.
Relies on: :mod:`.relays` for the order of relays, and on :mod:`.relay_answer` to reject answers.
"""

import typing as t

import aiohttp

from thorncleat_core.bounded_answers import read_body

from .. import events
from ..exceptions import HistoryCompactedError
from ..exceptions import RelayError
from ..http_session import LazySession
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import Position
from ..ports import proven_wait_seconds
from ..settings import RelaySettings
from . import relay_answer
from .relay_answer import RelayAnswer
from .relays import Daemon
from .store_era import StoreEra

STORE = "store"
# How many relays are asked for a snapshot before the store, which takes a call for each page.
MAX_SNAPSHOT_RELAYS = 2
# The timeout is short, since after a power failure a relay may not have started yet.
SNAPSHOT_CONNECT_TIMEOUT_SECONDS = 0.15
# A snapshot names each endpoint of the fleet in a few hundred bytes.
MAX_ANSWER_BYTES = 16 << 20


class RelayFeed:
    """Reads changes from a relay, or from the store if no relay gives a current answer.

    :param sources: returns the relays to ask, the preferred one first; none to ask the store.
    :param listed_sources: returns the relays to ask before the first snapshot, as the store lists
        them.
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
        # Times until which failed relays aren't asked, by their ids.
        self._avoided_until: dict[str, float] = {}
        # The id of the relay that answered last, or STORE; empty before the first answer.
        self._current_source = ""

    @property
    def era(self) -> StoreEra:
        """The newest era of the store."""
        return self._store.era

    @property
    def asks_store(self) -> bool:
        """Whether the last answer came from the store."""
        return self._current_source in ("", STORE)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def snapshot(self) -> Changes:
        """Return a snapshot from a relay or from the store."""
        relays = self._available_relays() if self._sources() else await self._listed_sources()
        for relay in relays[:MAX_SNAPSHOT_RELAYS]:
            try:
                found = await self._request_snapshot(relay)
            except RelayError as error:
                self._avoid(relay)
                self._record_source(STORE, str(error))
                continue
            self._record_source(relay.id, "answers")
            return found
        return await self._store.snapshot()

    async def changes(self, since: Position, wait: float) -> Changes:
        """Return the changes since a position, from a relay or from the store."""
        started_at, failure = self._clock(), None
        for relay in self._available_relays():
            try:
                found = await self._request_changes(relay, since)
            except RelayError as error:
                self._avoid(relay)
                failure = error
            else:
                self._record_source(relay.id, "answers")
                return found
            if self._clock() - started_at > self._settings.patience:
                # The relay timed out, and the next one may time out too.
                break
        self._record_source(STORE, str(failure) if failure else "no relay to ask")
        # The failed relays have already used up the wait.
        return await self._store.changes(since, 0.0 if failure else wait)

    def _available_relays(self) -> list[Daemon]:
        """Return the relays that haven't failed recently."""
        now = self._clock()
        return [relay for relay in self._sources() if self._avoided_until.get(relay.id, 0.0) <= now]

    def _avoid(self, relay: Daemon) -> None:
        now = self._clock()
        self._avoided_until = {
            relay_id: until for relay_id, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[relay.id] = now + self._settings.avoid

    def _record_source(self, source: str, cause: str) -> None:
        if source != self._current_source:
            events.SOURCE_CHANGED.log(source=source, before=self._current_source, cause=cause)
            self._current_source = source

    async def _request_changes(self, relay: Daemon, since: Position) -> Changes:
        """Request the changes since a position from a relay.

        :raises RelayError: if the relay doesn't answer or isn't up to date.
        :raises HistoryCompactedError: if it no longer holds the position, or the era is over.
        """
        wait, sent_at = self._settings.wait, self._clock()
        query = {"era": str(since.era), "since": str(since.revision), "wait": str(wait)}
        answer = await self._call(relay, relay_answer.CHANGES_PATH, query, None)
        took = self._clock() - sent_at
        if answer.position.era != since.era:
            raise HistoryCompactedError(
                f"relay {relay.id} is in era {answer.position.era} of the store"
            )
        proven_seconds = proven_wait_seconds(wait, took, changed=bool(answer.changes))
        return _to_changes(answer, proven_seconds - answer.age)

    async def _request_snapshot(self, relay: Daemon) -> Changes:
        """Request a snapshot from a relay.

        :raises RelayError: if the relay doesn't answer or isn't up to date.
        """
        connect = SNAPSHOT_CONNECT_TIMEOUT_SECONDS
        try:
            answer = await self._call(relay, relay_answer.SNAPSHOT_PATH, {}, connect)
        except HistoryCompactedError as error:
            raise RelayError(f"relay {relay.id} has read nothing yet") from error
        return _to_changes(answer, -answer.age)

    async def _call(
        self, relay: Daemon, path: str, query: t.Mapping[str, str], connect: float | None
    ) -> RelayAnswer:
        """Call a relay.

        :param connect: connect timeout in seconds; None for only the total timeout.
        :raises RelayError: if the relay gives no usable answer.
        :raises HistoryCompactedError: if it no longer holds all changes that were asked for.
        """
        url = f"http://{relay.host}:{relay.port}{path}"
        timeout = aiohttp.ClientTimeout(
            total=self._settings.wait + self._settings.patience, sock_connect=connect
        )
        try:
            async with self._session.request("GET", url, params=query, timeout=timeout) as response:
                body = await read_body(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RelayError(f"relay {relay.id}: {error!r}") from error
        answer = relay_answer.read(relay.id, response.status, body, self._settings.oldest)
        self.era.observe(answer.position.era)
        if self.era.is_over(answer.position.era):
            raise RelayError(f"relay {relay.id} is in era {answer.position.era}, which is over")
        return answer


def _to_changes(answer: RelayAnswer, proven_seconds: float) -> Changes:
    """Return a relay's answer as changes.

    :param proven_seconds: seconds after the call was sent up to which the answer holds every
        change.
    """
    return Changes(
        answer.position, answer.changes, proven_seconds, answer.settling_times, answer.configuration
    )
