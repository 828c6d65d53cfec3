"""A feed that asks a relay in place of the store, and the store when no relay will do."""

import asyncio
import typing as t

import aiohttp

from thorncleat_core.exceptions import DecodeError

from .. import events
from ..exceptions import StoreUnavailableError
from ..http_session import LazySession
from ..ports import Change
from ..ports import ChangeFeed
from ..ports import Changes
from ..ports import proven_part
from ..settings import RelaySettings
from . import change_codec
from .relay_server import AGE
from .relay_server import CHANGES_PATH
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
        """Return what has changed since a revision, from whoever can tell."""
        relay = self._relay()
        if relay is None:
            self._note(STORE, "no relay to ask")
            return await self._store.changes(since, wait)
        try:
            found = await self._ask(relay, since)
        except StoreUnavailableError as error:
            self._avoided[relay.id] = self._clock() + self._settings.avoid
            self._note(STORE, str(error))
            # the relay has cost time already
            return await self._store.changes(since, 0.0)
        self._note(relay.id, "answers")
        return found

    def _relay(self) -> Daemon | None:
        now = self._clock()
        sound = (one for one in self._sources() if self._avoided.get(one.id, 0.0) <= now)
        return next(sound, None)

    def _note(self, source: str, cause: str) -> None:
        if source != self._asked:
            events.SOURCE_CHANGED.log(source=source, before=self._asked, cause=cause)
            self._asked = source

    async def _ask(self, relay: Daemon, since: int) -> Changes:
        """Ask a relay.

        :raises StoreUnavailableError: if it does not answer, isn't up to date itself, or does
            not remember so far back.
        """
        wait, sent_at = self._settings.wait, self._clock()
        url = f"http://{relay.host}:{relay.port}{CHANGES_PATH}"
        try:
            async with asyncio.timeout(wait + self._settings.patience):
                async with self._session.get().get(
                    url, params={"since": str(since), "wait": str(wait)}
                ) as response:
                    data = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise StoreUnavailableError(f"relay {relay.id}: {error!r}") from error
        if response.status != 200 or len(data) < AGE.size:
            raise StoreUnavailableError(f"relay {relay.id} answered {response.status}")
        age, revision, changes = self._decoded(relay, data)
        took = self._clock() - sent_at
        proven = proven_part(wait, took, changed=bool(changes))
        return Changes(revision, changes, proven - age)

    def _decoded(self, relay: Daemon, data: bytes) -> tuple[float, int, list[Change]]:
        (age,) = AGE.unpack(data[: AGE.size])
        if not 0.0 <= age <= self._settings.oldest:
            raise StoreUnavailableError(f"relay {relay.id} is itself {age:.3f} s behind")
        try:
            return age, *change_codec.decode(data[AGE.size :])
        except DecodeError as error:
            raise StoreUnavailableError(f"relay {relay.id}: {error}") from error
