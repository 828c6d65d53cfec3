"""Copying a streamed answer from the engine's socket to the caller's, event by event.

The HTTP libraries read and write the heads; after that a protocol of our own stands on the
engine's connection and writes to the caller's transport in the same turn of the loop. A
profile showed that waking a task for each token, the library's stream reader and its chunk
framing cost as much as the sockets themselves. Only public interfaces are used: the engine
is asked in HTTP/1.0, so that its body comes without chunks and ends with the connection.

Owns: one engine's connection and one caller's transport while an answer lasts.
Relies on: :mod:`.pieces` to say which bytes may pass; the permit's end, read before each write.
"""

import asyncio
import typing as t

from thorncleat_core import clock

from .pieces import Pieces

# bytes that may wait for a slow caller before the engine is read no further
HIGH_WATER_BYTES = 262_144
# bytes at which a paused engine is read again
LOW_WATER_BYTES = 65_536
# between looks at what a slow caller has yet to read
DRAIN_POLL_INTERVAL_SECONDS = 0.02


class Sink:
    """The caller's side: its transport.

    :param chunked: whether the caller's head announced chunks.
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
        """Bytes that the caller has yet to read."""
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send whole events."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)


class Splice(asyncio.Protocol):
    """Stands on an engine's connection and passes its events on.

    :param pieces: checks whose events they are.
    :param until: until when the group may answer, on :func:`clock.now`.
    ``is_group_closed`` says whether it ended because the group may not answer any more.

    :param renewed: returns a later ``until``, or 0 if the group may not answer any more.
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
        """Whether the engine is not read because the caller is slow."""
        return self._drain_timer is not None

    def take_over(self, transport: asyncio.Transport, buffered: bytes) -> None:
        """Begin on a connection whose head was read.

        :param early: what had come of the body by then.
        """
        self._transport = transport
        transport.set_protocol(self)
        transport.resume_reading()
        if buffered:
            self.data_received(buffered)

    def data_received(self, data: bytes) -> None:
        """Pass on what is whole and the request's own."""
        now = self.last_event_at = clock.now()
        if now >= self.until:
            permit_end = self._read_permit_end()
            if now >= permit_end:
                self.is_group_closed = True
                self._end()
                return
            self.until = permit_end
        own_events = self._pieces.feed(data)
        if own_events:
            if self._sink.is_closed:
                self._end()
                return
            self._sink.write(own_events)
            self.last_write_at = now
            if self._sink.waiting > HIGH_WATER_BYTES:
                self._pause_engine()
        if self._pieces.is_done:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """End; the pieces know whether the answer was whole."""
        self._end()

    def stop(self) -> None:
        """Break the engine's connection, by which it cancels what is left."""
        if self._drain_timer:
            self._drain_timer.cancel()
        if self._transport:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def _pause_engine(self) -> None:
        """Read no further until the caller has caught up."""
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
