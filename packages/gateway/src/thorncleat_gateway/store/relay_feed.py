"""A feed that asks a relay in place of the store, and the store when no relay will do.

Owns: the connections to relays, and which of these are avoided until when.
Relies on: :mod:`.relays` for whom to ask, and on :mod:`.relay_answer` for when a relay is left.
"""

import asyncio
import typing as t

import aiohttp

from .. import events
from ..exceptions import RelayError
from ..http_session import LazySession
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import proven_part
from ..settings import RelaySettings
from . import relay_answer
from .relays import Daemon

STORE = "store"


class RelayFeed:
    """Learns from a relay while it answers and is itself up to date.

    :param sources: returns the relays to ask, the preferred one first; none to ask the store.
    """

    def __init__(
        self,
        settings: RelaySettings,
        store: ChangeFeed,
        sources: t.Callable[[], t.Sequence[Daemon]],
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._sources = sources
        self._clock = clock
        self._session = LazySession(keep_connections=True)
        # ids of relays that failed, and until when they are not asked
        self._avoided: dict[str, float] = {}
        self._asked = ""

    @property
    def asks_store(self) -> bool:
        """Whether the last answer came from the store."""
        return self._asked in ("", STORE)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def snapshot(self) -> Changes:
        """Return everything there is, from the store."""
        return await self._store.snapshot()

    async def changes(self, since: int, wait: float) -> Changes:
        """Return what has changed since a revision, from a relay or from the store."""
        relay = self._relay()
        if relay is None:
            self._note(STORE, "no relay to ask")
            return await self._store.changes(since, wait)
        try:
            found = await self._ask(relay, since)
        except RelayError as error:
            self._avoid(relay)
            self._note(STORE, str(error))
            # the relay has cost time already
            return await self._store.changes(since, 0.0)
        self._note(relay.id, "answers")
        return found

    def _relay(self) -> Daemon | None:
        now = self._clock()
        for relay in self._sources():
            if self._avoided.get(relay.id, 0.0) <= now:
                return relay
        return None

    def _avoid(self, relay: Daemon) -> None:
        now = self._clock()
        self._avoided = {name: until for name, until in self._avoided.items() if until > now}
        self._avoided[relay.id] = now + self._settings.avoid

    def _note(self, source: str, cause: str) -> None:
        if source != self._asked:
            events.SOURCE_CHANGED.log(source=source, before=self._asked, cause=cause)
            self._asked = source

    async def _ask(self, relay: Daemon, since: int) -> Changes:
        """Ask a relay.

        :raises RelayError: if it does not answer, isn't up to date itself, or does not remember
            so far back.
        """
        wait, sent_at = self._settings.wait, self._clock()
        url = f"http://{relay.host}:{relay.port}{relay_answer.CHANGES_PATH}"
        query = {"since": str(since), "wait": str(wait)}
        try:
            async with asyncio.timeout(wait + self._settings.patience):
                async with self._session.get().get(url, params=query) as response:
                    body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RelayError(f"relay {relay.id}: {error!r}") from error
        answer = relay_answer.read(relay.id, response.status, body, self._settings.oldest)
        took = self._clock() - sent_at
        proven = proven_part(wait, took, changed=bool(answer.changes))
        return Changes(answer.revision, answer.changes, proven - answer.age)
