"""The side of a tunnel that carries it: connects to endpoints for other daemons.

Only registered daemons are served, and only listed endpoints are connected to, each at its listed
address and directly. A tunnel therefore has one hop, and can't be used to reach anything else.

Owns: the listener, and both connections of each tunnel.
Relies on: :mod:`.frames` for the bytes, and the view for the endpoints' addresses.
"""

import asyncio
import typing as t

from .. import events
from ..failures import FailureLog
from ..peers.reach import Reach
from ..socket_options import abort_with_reset
from ..socket_options import is_reset
from ..store.relays import Daemon
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.view import StoreView
from .frames import Failure
from .frames import FrameKind
from .frames import Opening
from .frames import decode_opening
from .frames import encode_frame

# Tunnels at once; each has two descriptors and at most two full buffers.
MAX_TUNNELS = 256
# Bytes that may wait in each direction before the other side is read no further.
BUFFER_BYTES = 32_768
# How long a connection may take to send its opening.
OPENING_TIMEOUT_SECONDS = 0.5
ACCEPT_BACKLOG = 256


class _EndpointSide(asyncio.Protocol):
    """The connection to the endpoint, whose bytes are passed on in frames."""

    def __init__(self, caller: "_CallerSide", endpoint: Endpoint) -> None:
        self._caller = caller
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = t.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(BUFFER_BYTES)
        self._caller.open(self)

    def data_received(self, data: bytes) -> None:
        self._caller.send(FrameKind.DATA, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._caller.end(FrameKind.ENDED if exc is None else FrameKind.RESET)

    def pause_writing(self) -> None:
        self._caller.pause_reading()

    def resume_writing(self) -> None:
        self._caller.resume_reading()


class _CallerSide(asyncio.Protocol):
    """The connection of the daemon that asked for the tunnel."""

    def __init__(self, server: "TunnelServer") -> None:
        self._server = server
        self._received = b""
        self._transport: asyncio.Transport | None = None
        self._endpoint: _EndpointSide | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False

    @property
    def host(self) -> str:
        """Address from which the connection comes."""
        assert self._transport is not None
        peer_name = self._transport.get_extra_info("peername")
        return str(peer_name[0]) if peer_name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(OPENING_TIMEOUT_SECONDS, self.abort)
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        if self._endpoint is not None and self._endpoint.transport is not None:
            self._pass_on(self._endpoint.transport, data)
            return
        if self._connecting is not None:
            # Nothing may be sent before the tunnel is open, so nothing has to be kept until then.
            self.abort()
            return
        self._received += data
        try:
            opening = decode_opening(self._received)
        except ValueError:
            # Any process can connect here; the server counts what it refuses.
            self._server.refused_count += 1
            self.abort()
            return
        if opening is not None:
            self._begin(opening)

    def _pass_on(self, endpoint: asyncio.Transport, data: bytes) -> None:
        """Send bytes to the endpoint, but for those of an attempt that was abandoned since.

        They wait in the kernel while this process stands still.
        """
        assert self._transport is not None
        if is_reset(self._transport):
            self.abort()
            return
        endpoint.write(data)

    def _begin(self, opening: Opening) -> None:
        """Connect to the endpoint of an opening, or answer why not."""
        assert self._timer is not None
        self._timer.cancel()
        endpoint = self._server.admit(self.host, opening)
        if isinstance(endpoint, Failure):
            self._fail(endpoint)
            return
        connecting = self._connect_or_abort(endpoint)
        self._connecting = asyncio.get_running_loop().create_task(connecting)

    async def _connect_or_abort(self, endpoint: Endpoint) -> None:
        """Connect to an endpoint; after a fault, the caller isn't left waiting for a word."""
        has_ended = False
        with self._server.failures.contain("tunnel"):
            await self._connect(endpoint)
            has_ended = True
        if not has_ended:
            self.abort()

    async def _connect(self, endpoint: Endpoint) -> None:
        host, _, port = endpoint.address.rpartition(":")
        loop = asyncio.get_running_loop()
        began_at = self._server.now()
        try:
            async with asyncio.timeout(self._server.connect_timeout):
                await loop.create_connection(lambda: _EndpointSide(self, endpoint), host, int(port))
        except TimeoutError:
            self._fail(await self._server.judge(endpoint, Failure.ENDPOINT_SILENT, began_at))
        except OSError:
            self._fail(await self._server.judge(endpoint, Failure.ENDPOINT_REFUSED, began_at))

    def open(self, side: _EndpointSide) -> None:
        """Tell that the endpoint's connection is up."""
        self._server.record_success(side.endpoint)
        if self._is_over:
            _abort(side.transport)
            return
        self._endpoint = side
        self.send(FrameKind.OPENED)

    def _fail(self, failure: Failure) -> None:
        self.send(FrameKind.FAILED, failure.value.encode())
        self._close()

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Send a frame to the daemon that asked for the tunnel."""
        if self._transport is not None and not self._is_over:
            self._transport.write(encode_frame(kind, payload))

    def end(self, kind: FrameKind) -> None:
        """Tell how the endpoint's connection ended, and end the tunnel."""
        self.send(kind)
        self._close()

    def _close(self) -> None:
        """Close the connection once everything is sent."""
        self._is_over = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the tunnel at once, without a word."""
        self._is_over = True
        _abort(self._transport)

    def pause_reading(self) -> None:
        """Read no more of the daemon that asked for the tunnel."""
        _pause(self._transport)

    def resume_reading(self) -> None:
        """Read on."""
        _resume(self._transport)

    def pause_writing(self) -> None:
        """Read no more of the endpoint until what it has sent is passed on."""
        if self._endpoint is not None:
            _pause(self._endpoint.transport)

    def resume_writing(self) -> None:
        """Read on from the endpoint."""
        if self._endpoint is not None:
            _resume(self._endpoint.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the endpoint's connection, so that it gets nothing of an abandoned attempt."""
        self._is_over = True
        self._server.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._endpoint is not None:
            _abort(self._endpoint.transport)


class TunnelServer:
    """Carries tunnels of other daemons.

    :param daemons: returns the registered daemons; other hosts are refused.
    :param connect_timeout: seconds until an endpoint's connection must be up.
    :param reach: whether this daemon's connections to endpoints come up.
    :param clock: monotonic, in seconds.
    :param confirms_reach: returns whether this daemon has reached a service since an instant.
    :ivar failures: logs the faults of its connections.
    :ivar stopping: set when this daemon stops, so that it carries no further tunnels.
    :ivar carried_count: how many tunnels came up since the start.
    :ivar refused_count: how many were refused.
    """

    def __init__(
        self,
        view: StoreView,
        daemons: t.Callable[[], t.Mapping[str, Daemon]],
        connect_timeout: float,
        reach: Reach,
        clock: t.Callable[[], float],
        confirms_reach: t.Callable[[str, float], t.Awaitable[bool]],
    ) -> None:
        self._confirms_reach = confirms_reach
        self._view = view
        self._daemons = daemons
        self.connect_timeout = connect_timeout
        self._reach = reach
        self.now = clock
        self._tunnels: set[_CallerSide] = set()
        self.failures = FailureLog()
        self._server: asyncio.Server | None = None
        self.stopping = False
        self.carried_count = 0
        self.refused_count = 0

    @property
    def room(self) -> int:
        """The number of further tunnels that can be carried."""
        return 0 if self.stopping else max(0, MAX_TUNNELS - len(self._tunnels))

    @property
    def running(self) -> int:
        """The number of tunnels."""
        return len(self._tunnels)

    async def open(self, address: tuple[str, int]) -> None:
        """Listen for other daemons.

        :raises OSError: if the address is in use.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerSide(self), *address, backlog=ACCEPT_BACKLOG, reuse_address=True
        )

    async def close(self) -> None:
        """Stop listening and end all tunnels."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def admit(self, host: str, opening: Opening) -> Endpoint | Failure:
        """Return the endpoint of an opening, or why it isn't connected to."""
        daemon = self._daemons().get(opening.daemon_id)
        endpoint = self._view.roster.endpoints.get(opening.endpoint_id)
        if self.stopping or len(self._tunnels) > MAX_TUNNELS:
            return self._refuse(opening, Failure.NO_ROOM)
        is_known = daemon is not None and daemon.host == host
        asked = Incarnation(opening.endpoint_id, opening.born)
        if not is_known or endpoint is None or endpoint.incarnation.is_superseded_by(asked):
            return self._refuse(opening, Failure.UNKNOWN_ENDPOINT)
        if self._reach.is_cut_off(endpoint.service):
            return self._refuse(opening, Failure.UNSURE)
        return endpoint

    def _refuse(self, opening: Opening, failure: Failure) -> Failure:
        self.refused_count += 1
        events.TUNNEL_REFUSED.log(
            asked_by=opening.daemon_id, endpoint=opening.endpoint_id, cause=failure.value
        )
        return failure

    def record_success(self, endpoint: Endpoint) -> None:
        """Count a tunnel whose endpoint was reached."""
        self.carried_count += 1
        self._reach.record_success(endpoint)

    async def judge(self, endpoint: Endpoint, failure: Failure, began_at: float) -> Failure:
        """Return what a failed connection to an endpoint shows.

        :param failure: what it shows if this daemon reaches others of the service.
        :param began_at: when the connection was begun.
        """
        self._reach.record_failure(endpoint)
        is_in_touch = await self._confirms_reach(endpoint.service, began_at)
        return failure if is_in_touch else Failure.UNSURE

    def add(self, tunnel: _CallerSide) -> None:
        """Count a connection as a tunnel."""
        self._tunnels.add(tunnel)

    def discard(self, tunnel: _CallerSide) -> None:
        """Forget a tunnel that has ended."""
        self._tunnels.discard(tunnel)


def _pause(transport: asyncio.Transport | None) -> None:
    """Read no more of a connection, if it is open."""
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def _resume(transport: asyncio.Transport | None) -> None:
    """Read on from a connection, if it is open."""
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


def _abort(transport: asyncio.Transport | None) -> None:
    """Close a connection at once, if there is one."""
    if transport is not None:
        abort_with_reset(transport)
