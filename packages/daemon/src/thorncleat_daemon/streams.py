"""Streaming answers from engines to callers, resumed in another group after a failure.

Owns: the state of each stream while it is open.
Relies on: :mod:`.attempts` for moving to another group; engines that resume from an event number.
"""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.bounded_answers import AnswerTooLargeError
from thorncleat_core.bounded_answers import read_body
from thorncleat_core.bounded_answers import read_some
from thorncleat_core.daemon.burn import GOOD

from . import events
from . import problems
from .attempts import Attempts
from .attempts import SlotRequestFactory
from .attempts import group_closed_error
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
from .pieces import MAX_EVENT_BYTES
from .pieces import Pieces
from .splice import Sink
from .splice import Splice
from .upstream import MAX_ANSWER_BYTES
from .upstream import Upstream
from .upstream import answer_lost_error

HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
CHUNKED = "chunked"
CALLER_GONE = "caller_gone"


class _CallerStream:
    """The caller's side of a stream; the response's head is sent with the first event."""

    def __init__(self, request: web.Request, caller: Caller) -> None:
        self.request = request
        self.caller = caller
        self.response = web.StreamResponse(headers={**HEADERS, "X-Request-Id": caller.id})
        self.pieces = Pieces(caller.id)
        self.started_at = clock.now()
        self.first_event_at = 0.0
        self.last_event_at = 0.0

    async def write(self, data: bytes) -> None:
        """Send events through the HTTP library.

        :raises RequestError: if the caller has closed its connection.
        """
        try:
            if not self.response.prepared:
                await self.response.prepare(self.request)
                self.first_event_at = clock.now()
            await self.response.write(data)
        except ConnectionError as error:
            # Only the caller's connection is written to here.
            raise caller_gone_error() from error
        self.last_event_at = clock.now()

    @property
    def is_closed(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.request.transport is None or self.request.transport.is_closing()

    def sink(self) -> Sink | None:
        """Return a sink on the caller's transport, or None if the connection is closed."""
        transport = self.request.transport
        if transport is None or not isinstance(transport, asyncio.Transport):
            return None
        chunked = self.response.headers.get("Transfer-Encoding") == CHUNKED
        return Sink(transport, chunked=chunked)


class Streams:
    """Answers requests for streams.

    :param stall: seconds without an event after which an attempt fails.
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
        slot_request_factory: SlotRequestFactory,
    ) -> web.StreamResponse:
        """Answer with a stream.

        :raises RequestError: if it can't be started; a later failure becomes an error event.
        """
        caller_stream = _CallerStream(request, caller)

        async def send_once(slot: Slot) -> None:
            caller_stream.pieces.drop_partial_event()
            await self._copy_answer(caller_stream, slot, completion)

        try:
            await self._attempts.run(
                caller, slot_request_factory, send_once, lambda: caller_stream.pieces.events
            )
            await caller_stream.write(DONE)
            await caller_stream.response.write_eof()
        except RequestError as error:
            if not caller_stream.response.prepared:
                raise
            await self._end_with_error(caller_stream, error, completion.model)
            return caller_stream.response
        self._record_metrics(caller_stream, completion.model, GOOD)
        return caller_stream.response

    async def _copy_answer(
        self, caller_stream: _CallerStream, slot: Slot, completion: Completion
    ) -> None:
        """Copy one engine's answer to the caller, resuming after the events already sent."""
        url = engine_url(slot)
        body = completion.body(caller_stream.caller.priority, caller_stream.pieces.events)
        call_timeout = caller_stream.caller.timeout()
        async with self._upstream.stream(
            url, body, engine_headers(caller_stream.caller), call_timeout
        ) as response:
            if response.status != 200:
                check_status(response.status, await read_body(response, MAX_ANSWER_BYTES))
            try:
                await self._copy_first_events(caller_stream, slot, response)
                await self._splice_connections(caller_stream, slot, response)
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost_error(url, error) from error
        if caller_stream.pieces.is_truncated:
            raise caller_gone_error() if caller_stream.is_closed else _truncated_error()

    async def _copy_first_events(
        self, caller_stream: _CallerStream, slot: Slot, response: aiohttp.ClientResponse
    ) -> None:
        """Send the first events through the HTTP library, which writes the response's head."""
        while not caller_stream.response.prepared and not caller_stream.pieces.is_done:
            chunk = await read_some(response)
            if not chunk:
                return
            # Checked before the events are counted, since unsent events must be requested again.
            self._attempts.check_permit(slot)
            own_events = caller_stream.pieces.feed(chunk)
            if caller_stream.pieces.is_too_large:
                raise AnswerTooLargeError(MAX_EVENT_BYTES)
            if own_events:
                await caller_stream.write(own_events)

    async def _splice_connections(
        self, caller_stream: _CallerStream, slot: Slot, response: aiohttp.ClientResponse
    ) -> None:
        """Connect the engine's transport to the caller's until the answer ends."""
        connection, sink = response.connection, caller_stream.sink()
        transport = connection.transport if connection else None
        if caller_stream.pieces.is_done or sink is None or sink.is_closed:
            return
        buffered = response.content.read_nowait()
        splice = Splice(
            sink,
            caller_stream.pieces,
            self._attempts.permitted_until(slot),
            lambda: self._attempts.permitted_until(slot),
        )
        if transport is None:
            # The whole answer was already buffered.
            splice.data_received(buffered)
            return
        splice.take_over(transport, buffered)
        try:
            await self._wait_for_end(caller_stream, splice)
        finally:
            splice.stop()
            self._invariants.check(
                splice.last_write_at <= splice.until,
                Invariant.ANSWER_FROM_CLOSED_GROUP,
                request=caller_stream.caller.id,
                group=slot.group,
            )
            caller_stream.last_event_at = splice.last_event_at or caller_stream.last_event_at
        if splice.is_group_closed:
            raise group_closed_error(slot)

    async def _wait_for_end(self, caller_stream: _CallerStream, splice: Splice) -> None:
        """Wait for the end of the answer.

        :raises TimeoutError: if the engine stalls or the deadline passes.
        """
        while not splice.ended.done():
            previous_event_at = splice.last_event_at
            seconds = min(self._stall, caller_stream.caller.seconds_left())
            if seconds <= 0:
                raise TimeoutError("deadline")
            await asyncio.wait([splice.ended], timeout=seconds)
            is_silent = splice.last_event_at == previous_event_at and not splice.is_paused
            if is_silent and not splice.ended.done():
                raise TimeoutError(f"no event in {seconds:.1f} s")

    async def _end_with_error(
        self, caller_stream: _CallerStream, error: RequestError, model: str
    ) -> None:
        """End an incomplete stream with an error event instead of ``[DONE]``."""
        if error.cause != CALLER_GONE:
            caller = caller_stream.caller.id
            events.REQUEST_FAILED.log(request=caller, cause=error.cause, detail=error.detail)
            # The caller may have disconnected too; the failure is already logged.
            with contextlib.suppress(RequestError, ConnectionError):
                await caller_stream.write(problems.stream_event(error, caller))
                await caller_stream.response.write_eof()
        self._record_metrics(caller_stream, model, error.cause)

    def _record_metrics(self, caller_stream: _CallerStream, model: str, cause: str) -> None:
        workspace = caller_stream.caller.workspace
        self._metrics.tokens.labels(workspace.name, model).inc(caller_stream.pieces.events)
        for reason, count in caller_stream.pieces.dropped.items():
            self._metrics.dropped.labels(reason).inc(count)
            events.PIECE_DROPPED.log(request=caller_stream.caller.id, reason=reason, count=count)
        if caller_stream.first_event_at:
            seconds = caller_stream.first_event_at - caller_stream.started_at
            self._metrics.distribution("first_token", model).record(seconds)
            if caller_stream.pieces.events > 1:
                gap = (caller_stream.last_event_at - caller_stream.first_event_at) / (
                    caller_stream.pieces.events - 1
                )
                self._metrics.distribution("between_tokens", model).record(gap)
            if cause == GOOD and seconds > workspace.first_token_seconds:
                cause = "late"
        if cause == CALLER_GONE:
            # A caller's disconnect doesn't count against the service level.
            self._metrics.requests.labels(workspace.name, cause).inc()
        else:
            self._metrics.record_ended(workspace.name, model, cause)


def caller_gone_error() -> RequestError:
    """Return the error of a request whose caller has closed its connection."""
    return RequestError(
        499, "Caller gone", "the caller left", executed="unknown", cause=CALLER_GONE
    )


def _truncated_error() -> RequestError:
    return RequestError(
        502,
        "Truncated answer",
        "the engine's answer ended before its end",
        executed="yes",
        cause="broken_answer",
    )
