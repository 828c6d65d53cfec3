"""Serves what this daemon has learnt from the store to other daemons.

Owns: the newest changes (:class:`.change_log.ChangeLog`) and the last encoded answers.
Relies on: :class:`.view.StoreView` for the changes, the store's era and how old both are.
"""

import asyncio
import typing as t

from aiohttp import web

from ..ports import Changes
from ..ports import Position
from . import change_codec
from . import relay_answer
from .change_log import ChangeLog
from .relays import Daemon
from .view import StoreView

# however long a daemon asks this one to wait
LONGEST_WAIT_SECONDS = 5.0
# for which a daemon that asks for what this one has yet to read waits, in seconds; within the time
# that the asker gives an answer
SNAPSHOT_WAIT_SECONDS = 0.5
# encoded answers that are kept for the next daemon that asks the same
KEPT_ANSWERS = 8


class RelayServer:
    """Answers daemons that ask for everything, or what has changed since a position.

    :param daemons: returns the registered daemons; no one else gets an answer.
    """

    def __init__(self, view: StoreView, daemons: t.Callable[[], t.Iterable[Daemon]]) -> None:
        self._view = view
        self._daemons = daemons
        self._log = ChangeLog()
        self._position = Position(0, 0)
        self._news = asyncio.Event()
        # by the position asked for and this daemon's own
        self._encoded: dict[tuple[Position, Position], bytes] = {}
        # the last encoded snapshot, and the position at which it was made
        self._snapshot_body = b""
        self._snapshot_position: Position | None = None
        self.answered = 0
        view.on_batch(self._learnt)

    def _learnt(self, after: Position | None, found: Changes) -> None:
        if after is None:
            self._log.restart_at(found.position)
        else:
            self._log.add(found.position, found.changes)
        if found.position > self._position or after is None:
            self._position = found.position
            self._encoded.clear()
            self._news.set()
            self._news = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as soon as there is something new, or after the time that was asked for."""
        if request.path not in relay_answer.PATHS:
            return web.Response(status=404)
        if request.path in relay_answer.SNAPSHOT_PATHS and not self._view.is_loaded:
            # before that nobody is known here; all daemons may have just started together
            await self._wait(SNAPSHOT_WAIT_SECONDS)
        if not self._known(request.remote):
            return web.Response(status=404)
        try:
            return await self._asked(request)
        except (KeyError, ValueError):
            return web.Response(status=400)

    async def _asked(self, request: web.BaseRequest) -> web.Response:
        """Return what is asked for.

        :raises KeyError: if the query lacks a part.
        :raises ValueError: if a part of it is no number.
        """
        if request.path in relay_answer.EARLIER_PATHS:
            return self._response(await self._earlier(request), earlier=True)
        since = _position(request.query) if request.path == relay_answer.CHANGES_PATH else None
        if since is not None:
            self._view.era.observe(since.era)
        if not await self._is_of_newest_era():
            return web.Response(status=relay_answer.BEHIND)
        if since is None:
            return self._response(self._snapshot())
        return self._response(await self._changes(since, _wait(request.query)))

    async def _earlier(self, request: web.BaseRequest) -> bytes | None:
        """Return what a daemon of an earlier build asks for; it names no era."""
        if request.path == relay_answer.EARLIER_SNAPSHOT_PATH:
            return self._snapshot()
        wait, revision = _wait(request.query), int(request.query["since"])
        body = await self._changes(Position(self._position.era, revision), wait)
        # one that is ahead may stand in an era that is over, and would hear of nothing for long
        return body if revision <= self._position.revision else None

    def _response(self, body: bytes | None, *, earlier: bool = False) -> web.Response:
        """Return an answer.

        :param body: what is known, encoded; None if some of it may be missing.
        :param earlier: whether it goes to a daemon of an earlier build.
        """
        if body is None:
            return web.Response(status=relay_answer.HISTORY_GONE)
        self.answered += 1
        age = self._view.age()
        if earlier:
            return web.Response(body=relay_answer.write_earlier(age, body))
        era, settling_times = self._position.era, self._view.settling_times()
        version = int(self._view.configuration_version())
        return web.Response(body=relay_answer.write(age, era, settling_times, version, body))

    async def _is_of_newest_era(self) -> bool:
        """Return whether this daemon has read the store in its newest era, after a short wait."""
        if self._view.era.is_over(self._position.era):
            await self._wait(SNAPSHOT_WAIT_SECONDS)
        return not self._view.era.is_over(self._position.era)

    async def _changes(self, since: Position, wait: float) -> bytes | None:
        if self._position <= since:
            await self._wait(wait)
        return self._answer(since)

    def _snapshot(self) -> bytes | None:
        """Return everything, encoded; None if this daemon itself knows nothing yet."""
        if not self._view.is_loaded:
            return None
        if self._snapshot_position != self._position:
            self._snapshot_position = self._position
            everything = self._view.snapshot_changes()
            self._snapshot_body = change_codec.encode(self._position.revision, everything)
        return self._snapshot_body

    def _known(self, host: str | None) -> bool:
        return any(daemon.host == host for daemon in self._daemons())

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._news.wait()
        except TimeoutError:
            # nothing new: the answer tells how old that is
            pass

    def _answer(self, since: Position) -> bytes | None:
        """Return the encoded changes; None if some may be missing."""
        key = (since, self._position)
        if key in self._encoded:
            return self._encoded[key]
        changes = self._log.since(since)
        if changes is None:
            return None
        if len(self._encoded) >= KEPT_ANSWERS:
            self._encoded.clear()
        body = change_codec.encode(max(since, self._position).revision, changes)
        self._encoded[key] = body
        return body


def _position(query: t.Mapping[str, str]) -> Position:
    return Position(int(query["era"]), int(query["since"]))


def _wait(query: t.Mapping[str, str]) -> float:
    """Return the seconds that an asker wants to wait."""
    return min(float(query["wait"]), LONGEST_WAIT_SECONDS)
