"""The side of a tunnel that asks for it: a transport that behaves like the endpoint's connection.

Owns: the connection to the carrying daemon.
Relies on: :mod:`.frames` for the bytes; the protocol that uses the transport sees the end of the
endpoint's connection as if there were no tunnel.
"""

import asyncio
import typing as t

from ..exceptions import TunnelError
from ..exceptions import TunnelLostError
from .frames import Failure
from .frames import FrameKind
from .frames import FrameReader
from .frames import Opening
from .frames import encode_opening


class TunnelTransport(asyncio.Transport):
    """Passes what is written to the carrying daemon's connection, and closes it."""

    def __init__(self, tunnel: "Tunnel", connection: asyncio.Transport) -> None:
        super().__init__()
        self._tunnel = tunnel
        self._connection = connection

    def get_extra_info(self, name: str, default: t.Any = None) -> t.Any:
        """Return a detail of the connection to the carrying daemon."""
        return self._connection.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the tunnel is closed or being closed."""
        return self._connection.is_closing()

    def close(self) -> None:
        """Close the tunnel once everything is sent."""
        self._tunnel.record_closed()
        self._connection.close()

    def abort(self) -> None:
        """Close the tunnel at once, with what isn't sent yet."""
        self._tunnel.record_closed()
        self._connection.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the endpoint."""
        self._connection.write(data)

    def can_write_eof(self) -> bool:
        """Return that one direction alone can't be closed."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._connection.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of the bytes that are not sent yet."""
        self._connection.set_write_buffer_limits(high, low)

    def is_reading(self) -> bool:
        """Return whether received bytes are passed on."""
        return not self._tunnel.is_paused

    def pause_reading(self) -> None:
        """Pass no received bytes on."""
        self._tunnel.pause()

    def resume_reading(self) -> None:
        """Pass received bytes on again."""
        self._tunnel.resume()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass received bytes to another protocol."""
        self._tunnel.protocol = t.cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that gets the received bytes."""
        return self._tunnel.protocol


class Tunnel(asyncio.Protocol):
    """Reads the frames of the carrying daemon.

    :param protocol: gets the bytes of the endpoint once the tunnel is open.
    :param on_lost: called if the tunnel ends before the endpoint's connection does.
    """

    def __init__(
        self, opening: Opening, protocol: asyncio.Protocol, on_lost: t.Callable[[], None]
    ) -> None:
        self._opening = opening
        self.protocol = protocol
        self._on_lost = on_lost
        self._frames = FrameReader()
        self._connection: asyncio.Transport | None = None
        self._opened = asyncio.get_running_loop().create_future()
        self.is_paused = False
        self._is_over = False
        self._is_disconnected = False
        # Whether this side has closed the tunnel.
        self._is_closed = False

    def record_closed(self) -> None:
        """Record that this side closes the tunnel, so that its end is no loss."""
        self._is_closed = True

    def abort(self) -> None:
        """Give the tunnel up."""
        self._is_closed = True
        if self._connection is not None:
            self._connection.abort()

    async def wait_open(self) -> None:
        """Wait until the endpoint's connection is up.

        :raises TunnelError: if it isn't, or the carrying daemon is lost.
        """
        await self._opened

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the endpoint's connection."""
        self._connection = t.cast(asyncio.Transport, transport)
        self._connection.write(encode_opening(self._opening))

    def data_received(self, data: bytes) -> None:
        """Take bytes of the carrying daemon."""
        self._frames.feed(data)
        self._deliver()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the tunnel; the endpoint's connection may still be up."""
        self._is_disconnected = True
        self._deliver()

    def pause_writing(self) -> None:
        """Let the protocol wait until what it has written is sent."""
        if self._opened.done():
            self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Let the protocol write again."""
        if self._opened.done():
            self.protocol.resume_writing()

    def pause(self) -> None:
        """Pass no received bytes on."""
        self.is_paused = True
        if self._connection is not None and not self._connection.is_closing():
            self._connection.pause_reading()

    def resume(self) -> None:
        """Pass received bytes on again."""
        self.is_paused = False
        # The protocol may call this while it handles received bytes.
        asyncio.get_running_loop().call_soon(self._deliver)
        if self._connection is None or self._connection.is_closing() or self.is_paused:
            return
        self._connection.resume_reading()

    def _deliver(self) -> None:
        """Handle the received frames, as far as the protocol takes them.

        The end of the endpoint's connection is handled in a call of its own, as an event loop does:
        the protocol may not expect it while it handles received bytes.
        """
        try:
            while not self.is_paused and not self._is_over:
                frame = self._frames.next()
                if frame is None:
                    break
                self._handle(frame.kind, frame.payload)
        except ValueError as error:
            self._end(TunnelLostError(str(error)), is_lost=True)
        if self._is_disconnected and not self._is_over and (self._is_closed or not self.is_paused):
            loss = None if self._is_closed else TunnelLostError("the tunnel has ended")
            self._end(loss, is_lost=loss is not None)

    def _handle(self, kind: FrameKind, payload: bytes) -> None:
        match kind:
            case FrameKind.OPENED:
                self._open()
            case _ if not self._opened.done() and kind is not FrameKind.FAILED:
                raise ValueError(f"a frame {kind.name} on a tunnel that isn't open")
            case FrameKind.FAILED:
                failure = Failure(payload.decode())
                self._end(TunnelError(failure.value, is_endpoints=failure.is_endpoints))
            case FrameKind.DATA:
                self.protocol.data_received(payload)
            case FrameKind.ENDED:
                self._end_soon(None)
            case FrameKind.RESET:
                self._end_soon(ConnectionResetError("the endpoint's connection has broken"))

    def _end_soon(self, error: Exception | None) -> None:
        """End the connection as its user sees it, in the next turn of the event loop."""
        self._is_over = True
        asyncio.get_running_loop().call_soon(self._end, error)

    def _open(self) -> None:
        assert self._connection is not None
        if not self._opened.done():
            self.protocol.connection_made(TunnelTransport(self, self._connection))
            self._opened.set_result(None)

    def _end(self, error: Exception | None, *, is_lost: bool = False) -> None:
        """End the tunnel, and the connection as its user sees it.

        :param is_lost: whether the endpoint's connection may still be up.
        """
        self._is_over = True
        if is_lost:
            self._on_lost()
        if error is None and self._opened.done():
            self.protocol.eof_received()
        if self._opened.done():
            # The client library takes any other exception for a fault of this program.
            reset = None if error is None else ConnectionResetError(str(error))
            self.protocol.connection_lost(reset)
        else:
            self._opened.set_exception(error or TunnelLostError("ended before it was open"))
        if self._connection is not None:
            self._connection.abort()


async def open_tunnel(
    address: tuple[str, int],
    opening: Opening,
    protocol: asyncio.Protocol,
    on_lost: t.Callable[[], None],
    timeout: float,
) -> None:
    """Connect a protocol to an endpoint by way of another daemon.

    :param address: host and port of the daemon's :class:`.server.TunnelServer`.
    :param timeout: seconds until the endpoint's connection must be up.
    :raises TunnelError: if it isn't.
    """
    loop = asyncio.get_running_loop()
    tunnel = Tunnel(opening, protocol, on_lost)
    try:
        async with asyncio.timeout(timeout):
            await loop.create_connection(lambda: tunnel, *address)
            await tunnel.wait_open()
    except (OSError, TimeoutError) as error:
        tunnel.abort()
        raise TunnelLostError(f"{address[0]}:{address[1]}: {error!r}") from error
    except BaseException:
        tunnel.abort()
        raise
