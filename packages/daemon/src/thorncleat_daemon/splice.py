"""Copying a streamed answer from the engine's transport to the caller's without a task switch.

Owns: one engine's connection and one caller's transport for the duration of an answer.
Relies on: HTTP libraries for the heads of both sides; an HTTP/1.0 answer, whose body has no chunks;
:mod:`.pieces` for which bytes may pass; the permit's end, checked before each write.
"""

import asyncio
import typing as t

from thorncleat_core import clock

from .pieces import Pieces

# Reading from the engine pauses while more than this waits for a slow caller.
HIGH_WATER_BYTES = 262_144
# Reading from the engine resumes at this backlog.
LOW_WATER_BYTES = 65_536
DRAIN_POLL_INTERVAL_SECONDS = 0.02


class Sink:
    """The caller's transport.

    :param chunked: whether the response uses chunked transfer encoding.
    """

    def __init__(self, transport: asyncio.Transport, *, chunked: bool) -> None:
        self._transport = transport
        self._chunked = chunked

    @property
    def is_closed(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._transport.is_closing()

    @property
    def waiting(self) -> int:
        """Bytes buffered for the caller."""
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Write complete events to the caller."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)


class Splice(asyncio.Protocol):
    """Protocol on an engine's connection that forwards its events to a caller.

    ``is_group_closed`` says whether it ended because the group may no longer answer.

    :param pieces: checks which request the events belong to.
    :param until: end of the group's permit, on :func:`clock.now`.
    :param permit_end: returns the permit's present end, or 0 if the group may no longer answer.
    """

    def __init__(
        self, sink: Sink, pieces: Pieces, until: float, permit_end: t.Callable[[], float]
    ) -> None:
        self._sink = sink
        self._pieces = pieces
        self.until = until
        self._read_permit_end = permit_end
        self._transport: asyncio.Transport | None = None
        self._drain_timer: asyncio.TimerHandle | None = None
        self.last_event_at = 0.0
        self.is_group_closed = False
        self.last_write_at = 0.0
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def is_paused(self) -> bool:
        """Whether reading from the engine is paused for a slow caller."""
        return self._drain_timer is not None

    def take_over(self, transport: asyncio.Transport, buffered: bytes) -> None:
        """Take over a connection whose head was read.

        :param buffered: the part of the body that was already received.
        """
        self._transport = transport
        transport.set_protocol(self)
        transport.resume_reading()
        if buffered:
            self.data_received(buffered)

    def data_received(self, data: bytes) -> None:
        """Forward the complete events that belong to the request."""
        now = clock.now()
        if now >= self.until:
            permit_end = self._read_permit_end()
            if now >= permit_end:
                self.is_group_closed = True
                self._end()
                return
            self.until = permit_end
        own_events = self._pieces.feed(data)
        if own_events:
            self.last_event_at = now
            if self._sink.is_closed:
                self._end()
                return
            self._sink.write(own_events)
            self.last_write_at = now
            if self._sink.waiting > HIGH_WATER_BYTES:
                self._pause_engine()
        if self._pieces.is_done or self._pieces.is_too_large:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """End; the pieces tell whether the answer is complete."""
        self._end()

    def stop(self) -> None:
        """Abort the engine's connection, which makes the engine cancel the request."""
        if self._drain_timer:
            self._drain_timer.cancel()
        if self._transport:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def _pause_engine(self) -> None:
        """Pause reading from the engine until the caller has caught up."""
        if self._transport is None or self._drain_timer is not None:
            return
        self._transport.pause_reading()
        self._poll_drain()

    def _poll_drain(self) -> None:
        self._drain_timer = None
        if self._sink.is_closed:
            self._end()
        elif self._sink.waiting > LOW_WATER_BYTES:
            loop = asyncio.get_running_loop()
            self._drain_timer = loop.call_later(DRAIN_POLL_INTERVAL_SECONDS, self._poll_drain)
        elif self._transport is not None:
            self._transport.resume_reading()
