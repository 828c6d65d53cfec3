"""Serves what this daemon has learnt from the store to other daemons.

Owns: the newest changes (:class:`.change_log.ChangeLog`) and the last encoded answers.
Relies on: :class:`.view.StoreView` for the changes and for how old they are.
"""

import asyncio
import typing as t

from aiohttp import web

from ..ports import Changes
from . import change_codec
from . import relay_answer
from .change_log import ChangeLog
from .relays import Daemon
from .view import StoreView

# however long a daemon asks this one to wait
LONGEST_WAIT_SECONDS = 5.0
# for which a daemon that asks for everything waits until this one has read it, in seconds; within
# the time that the asker gives an answer
SNAPSHOT_WAIT_SECONDS = 0.5
# encoded answers that are kept for the next daemon that asks the same
KEPT_ANSWERS = 8


class RelayServer:
    """Answers daemons that ask for everything, or what has changed since a revision.

    :param daemons: returns the registered daemons; no one else gets an answer.
    """

    def __init__(self, view: StoreView, daemons: t.Callable[[], t.Iterable[Daemon]]) -> None:
        self._view = view
        self._daemons = daemons
        self._log = ChangeLog()
        self._revision = 0
        self._news = asyncio.Event()
        # by the revision asked for and this daemon's own
        self._encoded: dict[tuple[int, int], bytes] = {}
        # the last encoded snapshot, and the revision at which it was made
        self._snapshot_body = b""
        self._snapshot_revision = -1
        self.answered = 0
        view.on_batch(self._learnt)

    def _learnt(self, after: int | None, found: Changes) -> None:
        if after is None:
            self._log.begin(found.revision)
        else:
            self._log.add(found.revision, found.changes)
        if found.revision > self._revision or after is None:
            self._revision = found.revision
            self._encoded.clear()
            self._news.set()
            self._news = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as soon as there is something new, or after the time that was asked for."""
        if request.path not in relay_answer.PATHS:
            return web.Response(status=404)
        if request.path == relay_answer.SNAPSHOT_PATH and not self._view.loaded:
            # before that nobody is known here; all daemons may have just started together
            await self._wait(SNAPSHOT_WAIT_SECONDS)
        if not self._known(request.remote):
            return web.Response(status=404)
        try:
            body = await self._asked(request)
        except (KeyError, ValueError):
            return web.Response(status=400)
        if body is None:
            return web.Response(status=410)
        self.answered += 1
        return web.Response(body=relay_answer.write(self._view.age(), body))

    async def _asked(self, request: web.BaseRequest) -> bytes | None:
        """Return what is asked for, encoded; None if this daemon doesn't know it.

        :raises KeyError: if the query lacks a part.
        :raises ValueError: if a part of it is no number.
        """
        if request.path == relay_answer.SNAPSHOT_PATH:
            return self._snapshot()
        wait = min(float(request.query["wait"]), LONGEST_WAIT_SECONDS)
        return await self._changes(int(request.query["since"]), wait)

    async def _changes(self, since: int, wait: float) -> bytes | None:
        if self._revision <= since:
            await self._wait(wait)
        return self._answer(since)

    def _snapshot(self) -> bytes | None:
        """Return everything, encoded; None if this daemon itself knows nothing yet."""
        if not self._view.loaded:
            return None
        if self._snapshot_revision != self._revision:
            self._snapshot_revision = self._revision
            self._snapshot_body = change_codec.encode(self._revision, self._view.everything())
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

    def _answer(self, since: int) -> bytes | None:
        """Return the encoded changes; None if some may be missing."""
        key = (since, self._revision)
        if key in self._encoded:
            return self._encoded[key]
        changes = self._log.since(since)
        if changes is None:
            return None
        if len(self._encoded) >= KEPT_ANSWERS:
            self._encoded.clear()
        body = change_codec.encode(max(since, self._revision), changes)
        self._encoded[key] = body
        return body
