"""Streamed answers: from the engine to the caller, whole, in one group or several.

Owns: one caller's answer while it lasts.
Relies on: :mod:`.attempts` to move it to another group; engines that go on from an event's
number.
"""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.daemon.burn import GOOD

from . import events
from . import problems
from .attempts import Attempts
from .attempts import SlotRequestOf
from .attempts import group_closed
from .callers import Caller
from .completion import Completion
from .completion import check_status
from .completion import engine_headers
from .completion import engine_url
from .dispatch import Slot
from .exceptions import RequestError
from .invariants import Invariant
from .invariants import Invariants
from .metrics import Metrics
from .pieces import DONE
from .pieces import Pieces
from .splice import Sink
from .splice import Splice
from .upstream import Upstream
from .upstream import answer_lost

HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
CHUNKED = "chunked"
CALLER_GONE = "caller_gone"


class _Flow:
    """The caller's side of a stream; its head is sent with the first piece."""

    def __init__(self, request: web.Request, caller: Caller) -> None:
        self.request = request
        self.caller = caller
        self.response = web.StreamResponse(headers={**HEADERS, "X-Request-Id": caller.id})
        self.pieces = Pieces(caller.id)
        self.started_at = clock.now()
        self.first_at = 0.0
        self.last_at = 0.0

    async def write(self, data: bytes) -> None:
        """Send a piece by the library.

        :raises RequestError: if the caller has gone.
        """
        try:
            if not self.response.prepared:
                await self.response.prepare(self.request)
                self.first_at = clock.now()
            await self.response.write(data)
        except ConnectionError as error:
            # of the caller's connection: an engine's is never written to here
            raise caller_gone() from error
        self.last_at = clock.now()

    @property
    def gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.request.transport is None or self.request.transport.is_closing()

    def sink(self) -> Sink | None:
        """Return the caller's transport to write to, or None if it has gone."""
        transport = self.request.transport
        if transport is None or not isinstance(transport, asyncio.Transport):
            return None
        chunked = self.response.headers.get("Transfer-Encoding") == CHUNKED
        return Sink(transport, chunked=chunked)


class Streams:
    """Answers requests for streams.

    :param stall: seconds of silence after which an engine's answer is given up.
    """

    def __init__(
        self,
        attempts: Attempts,
        upstream: Upstream,
        metrics: Metrics,
        stall: float,
        invariants: Invariants,
    ) -> None:
        self._invariants = invariants
        self._attempts = attempts
        self._upstream = upstream
        self._metrics = metrics
        self._stall = stall

    async def answer(
        self,
        request: web.Request,
        caller: Caller,
        completion: Completion,
        slot_request_of: SlotRequestOf,
    ) -> web.StreamResponse:
        """Answer with a stream.

        :raises RequestError: if it can't be begun; a later failure is an event in the stream.
        """
        flow = _Flow(request, caller)

        async def once(slot: Slot) -> None:
            flow.pieces.forget_rest()
            await self._copy(flow, slot, completion)

        try:
            await self._attempts.run(caller, slot_request_of, once)
            await flow.write(DONE)
            await flow.response.write_eof()
        except RequestError as error:
            if not flow.response.prepared:
                raise
            await self._end_broken(flow, error, completion.model)
            return flow.response
        self._note(flow, completion.model, GOOD)
        return flow.response

    async def _copy(self, flow: _Flow, slot: Slot, completion: Completion) -> None:
        """Copy one engine's answer to the caller, from where the caller's copy ends."""
        url = engine_url(slot)
        body = completion.body(flow.caller.priority, flow.pieces.events)
        left = flow.caller.timeout()
        async with self._upstream.stream(url, body, engine_headers(flow.caller), left) as response:
            if response.status != 200:
                check_status(response.status, await response.read())
            try:
                await self._begin(flow, slot, response)
                await self._splice(flow, slot, response)
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost(url, error) from error
        if flow.pieces.truncated:
            raise caller_gone() if flow.gone else _truncated()

    async def _begin(self, flow: _Flow, slot: Slot, response: aiohttp.ClientResponse) -> None:
        """Pass on the first pieces by the library, which sends the caller's head with them."""
        while not flow.response.prepared and not flow.pieces.done:
            chunk = await response.content.readany()
            if not chunk:
                return
            # before the events are counted: what isn't passed on must be asked for again
            self._attempts.check_permit(slot)
            own = flow.pieces.feed(chunk)
            if own:
                await flow.write(own)

    async def _splice(self, flow: _Flow, slot: Slot, response: aiohttp.ClientResponse) -> None:
        """Join the engine's connection to the caller's until the answer ends."""
        connection, sink = response.connection, flow.sink()
        transport = connection.transport if connection else None
        if flow.pieces.done or sink is None or sink.gone:
            return
        early = response.content.read_nowait()
        splice = Splice(
            sink,
            flow.pieces,
            self._attempts.permitted_until(slot),
            lambda: self._attempts.permitted_until(slot),
        )
        if transport is None:
            # all of it had come already
            splice.data_received(early)
            return
        splice.take_over(transport, early)
        try:
            await self._wait(flow, splice)
        finally:
            splice.stop()
            self._invariants.check(
                splice.wrote_at <= splice.until,
                Invariant.ANSWER_FROM_CLOSED_GROUP,
                request=flow.caller.id,
                group=slot.group,
            )
            flow.last_at = splice.last_at or flow.last_at
        if splice.closed:
            raise group_closed(slot)

    async def _wait(self, flow: _Flow, splice: Splice) -> None:
        """Wait for the end, and give up on silence or at the deadline.

        :raises TimeoutError: then.
        """
        while not splice.ended.done():
            heard = splice.last_at
            seconds = min(self._stall, flow.caller.left())
            if seconds <= 0:
                raise TimeoutError("deadline")
            await asyncio.wait([splice.ended], timeout=seconds)
            silent = splice.last_at == heard and not splice.paused
            if silent and not splice.ended.done():
                raise TimeoutError(f"no event in {seconds:.1f} s")

    async def _end_broken(self, flow: _Flow, error: RequestError, model: str) -> None:
        """End the stream with an error event instead of DONE: the answer is not whole."""
        if error.cause != CALLER_GONE:
            caller = flow.caller.id
            events.REQUEST_FAILED.log(request=caller, cause=error.cause, detail=error.detail)
            # the caller may have left as well; the failure itself is logged above
            with contextlib.suppress(RequestError, ConnectionError):
                await flow.write(problems.stream_event(error, caller))
                await flow.response.write_eof()
        self._note(flow, model, error.cause)

    def _note(self, flow: _Flow, model: str, cause: str) -> None:
        workspace = flow.caller.workspace
        self._metrics.tokens.labels(workspace.name, model).inc(flow.pieces.events)
        for reason, count in flow.pieces.dropped.items():
            self._metrics.dropped.labels(reason).inc(count)
            events.PIECE_DROPPED.log(request=flow.caller.id, reason=reason, count=count)
        if flow.first_at:
            seconds = flow.first_at - flow.started_at
            self._metrics.distribution("first_token", model).record(seconds)
            if flow.pieces.events > 1:
                gap = (flow.last_at - flow.first_at) / (flow.pieces.events - 1)
                self._metrics.distribution("between_tokens", model).record(gap)
            if cause == GOOD and seconds > workspace.first_token_seconds:
                cause = "late"
        if cause == CALLER_GONE:
            # the caller's own doing: it says nothing of the service
            self._metrics.requests.labels(workspace.name, cause).inc()
        else:
            self._metrics.ended(workspace.name, model, cause)


def caller_gone() -> RequestError:
    """Return what ends a request whose caller has closed its connection."""
    return RequestError(
        499, "Caller gone", "the caller left", executed="unknown", cause=CALLER_GONE
    )


def _truncated() -> RequestError:
    return RequestError(
        502,
        "Truncated answer",
        "the engine's answer ended before its end",
        executed="yes",
        cause="broken_answer",
    )
