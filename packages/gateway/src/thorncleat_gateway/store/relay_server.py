"""Serves this daemon's copy of the store to other daemons.

Owns: the newest changes (:class:`.change_log.ChangeLog`) and a cache of encoded answers.
Relies on: :class:`.view.StoreView` for the changes, the store's era and the age of both.
"""

import asyncio
import math
import typing as t

from aiohttp import web

from ..ports import Changes
from ..ports import Position
from . import change_codec
from . import relay_answer
from .change_log import ChangeLog
from .relays import Daemon
from .store_era import MAX_ERA
from .view import StoreView

MAX_WAIT_SECONDS = 5.0
# How long a request waits while this daemon has yet to read the store or its newest era. It is
# shorter than the timeout of the requesting daemon.
READ_WAIT_SECONDS = 0.5
MAX_CACHED_ANSWERS = 8


class RelayServer:
    """Answers daemons that request a snapshot, or the changes since a position.

    :param daemons: returns the registered daemons; other hosts get no answer.
    :ivar answered_count: how many requests were answered with changes or a snapshot.
    """

    def __init__(self, view: StoreView, daemons: t.Callable[[], t.Iterable[Daemon]]) -> None:
        self._view = view
        self._daemons = daemons
        self._log = ChangeLog()
        self._position = Position(0, 0)
        self._changed = asyncio.Event()
        # Encoded answers by the requested position and this daemon's own.
        self._encoded: dict[tuple[Position, Position], bytes] = {}
        # The last encoded snapshot, and its position.
        self._snapshot_body = b""
        self._snapshot_position: Position | None = None
        self.answered_count = 0
        view.on_batch(self._record_batch)

    def _record_batch(self, since: Position | None, batch: Changes) -> None:
        if since is None:
            self._log.restart_at(batch.position)
        else:
            self._log.add(batch.position, batch.changes)
        if batch.position > self._position or since is None:
            self._position = batch.position
            self._encoded.clear()
            self._changed.set()
            self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as soon as there are changes, or after the requested wait."""
        if request.path not in relay_answer.PATHS:
            return web.Response(status=404)
        if request.path in relay_answer.SNAPSHOT_PATHS and not self._view.is_loaded:
            # The registered daemons are unknown before the first read.
            await self._wait(READ_WAIT_SECONDS)
        if not self._is_registered(request.remote):
            return web.Response(status=404)
        try:
            return await self._answer_request(request)
        except (KeyError, ValueError):
            return web.Response(status=400)

    async def _answer_request(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to a registered daemon's request.

        :raises KeyError: if the query lacks a parameter.
        :raises ValueError: if a parameter isn't a number.
        """
        if request.path in relay_answer.EARLIER_PATHS:
            return self._response(await self._earlier_body(request), earlier=True)
        since = _read_position(request.query) if request.path == relay_answer.CHANGES_PATH else None
        if since is not None:
            self._view.era.observe(since.era)
        if not await self._wait_for_newest_era():
            return web.Response(status=relay_answer.STATUS_BEHIND)
        if since is None:
            return self._response(self._encode_snapshot())
        return self._response(await self._changes_since(since, _read_wait(request.query)))

    async def _earlier_body(self, request: web.BaseRequest) -> bytes | None:
        """Return the encoded answer to a daemon of an earlier build, which names no era.

        :returns: None if changes may be missing.
        """
        if request.path == relay_answer.EARLIER_SNAPSHOT_PATH:
            return self._encode_snapshot()
        wait, revision = _read_wait(request.query), int(request.query["since"])
        body = await self._changes_since(Position(self._position.era, revision), wait)
        # A daemon that is ahead may be in an era that is over, and would miss changes for long.
        return body if revision <= self._position.revision else None

    def _response(self, body: bytes | None, *, earlier: bool = False) -> web.Response:
        """Return an answer.

        :param body: the encoded changes; None if some may be missing.
        :param earlier: whether the answer goes to a daemon of an earlier build.
        """
        if body is None:
            return web.Response(status=relay_answer.STATUS_HISTORY_COMPACTED)
        self.answered_count += 1
        # A daemon that has never known the newest configuration must not pass on revoked keys.
        age = self._view.copy_age() if self._view.has_known_configuration else float("inf")
        if earlier:
            return web.Response(body=relay_answer.write_earlier(age, body))
        era, settling_times = self._position.era, self._view.settling_times()
        version = int(self._view.configuration_version())
        return web.Response(body=relay_answer.write(age, era, settling_times, version, body))

    async def _wait_for_newest_era(self) -> bool:
        """Wait briefly for the newest era, and return whether the store was read in it."""
        if self._view.era.is_over(self._position.era):
            await self._wait(READ_WAIT_SECONDS)
        return not self._view.era.is_over(self._position.era)

    async def _changes_since(self, since: Position, wait: float) -> bytes | None:
        if self._position <= since:
            await self._wait(wait)
        return self._encode_since(since)

    def _encode_snapshot(self) -> bytes | None:
        """Return the encoded snapshot; None if this daemon hasn't read the store yet."""
        if not self._view.is_loaded:
            return None
        if self._snapshot_position != self._position:
            self._snapshot_position = self._position
            changes = self._view.snapshot_changes()
            self._snapshot_body = change_codec.encode(self._position.revision, changes)
        return self._snapshot_body

    def _is_registered(self, host: str | None) -> bool:
        return any(daemon.host == host for daemon in self._daemons())

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            # There is no change; the answer's age shows how current this copy is.
            pass

    def _encode_since(self, since: Position) -> bytes | None:
        """Return the encoded changes; None if some may be missing."""
        key = (since, self._position)
        if key in self._encoded:
            return self._encoded[key]
        changes = self._log.since(since)
        if changes is None:
            return None
        if len(self._encoded) >= MAX_CACHED_ANSWERS:
            self._encoded.clear()
        body = change_codec.encode(max(since, self._position).revision, changes)
        self._encoded[key] = body
        return body


def _read_position(query: t.Mapping[str, str]) -> Position:
    era, revision = int(query["era"]), int(query["since"])
    if era > MAX_ERA:
        raise ValueError(f"era {era} is more than {MAX_ERA}")
    return Position(era, revision)


def _read_wait(query: t.Mapping[str, str]) -> float:
    """Return the seconds that the requesting daemon waits for a change."""
    seconds = float(query["wait"])
    if math.isnan(seconds):
        raise ValueError(f"a wait of {seconds} s")
    return min(seconds, MAX_WAIT_SECONDS)
