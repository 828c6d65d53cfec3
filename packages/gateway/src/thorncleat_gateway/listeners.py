"""The HTTP listeners of a daemon.

Owns: the listening sockets, in the order of their opening.
Relies on: a handler for each address, which interprets the requests, and :mod:`.callers` for what
the connections of all but other daemons may take.
"""

import socket
import typing as t

from aiohttp import web

from .callers.listener_bounds import BoundedServer
from .callers.listener_bounds import ListenerBounds
from .failures import FailureLog

# How long another daemon's connection may be idle.
KEEP_ALIVE_TIMEOUT_SECONDS = 75.0
# Limit of a request line and of one header of another daemon.
MAX_LINE_BYTES = 16_384
# Connections that wait to be accepted.
ACCEPT_BACKLOG = 512
# How long to wait for open connections on shutdown, after a planned stop has drained requests.
SHUTDOWN_TIMEOUT_SECONDS = 0.1

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]
Address = tuple[str, int]


class Listeners:
    """Opens listeners and closes them in the reverse order."""

    def __init__(self) -> None:
        self._runners: list[web.ServerRunner] = []
        self._failures = FailureLog()

    async def open(
        self,
        handler: Handler,
        address: Address,
        bound_socket: socket.socket | None = None,
        bounds: ListenerBounds | None = None,
    ) -> None:
        """Listen at an address.

        :param address: host and port.
        :param bound_socket: a socket that already listens at the address; None to open one.
        :param bounds: what the connections may take; None for those of other daemons.
        :raises OSError: if the address is in use.
        """
        server = self._create_server(self._logged(handler), bounds)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        await runner.setup()
        self._runners.append(runner)
        listening = bound_socket or socket.create_server(address, reuse_port=False)
        accepts = ACCEPT_BACKLOG if bounds is None else bounds.table.accepts_per_turn
        await web.SockSite(runner, listening, backlog=accepts).start()
        # The event loop accepts as many connections in a turn as it lets wait.
        listening.listen(ACCEPT_BACKLOG)

    @staticmethod
    def _create_server(handler: Handler, bounds: ListenerBounds | None) -> web.Server:
        if bounds is not None:
            return BoundedServer(handler, bounds)
        return web.Server(
            handler,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
            # Cancel the handler when the caller disconnects. The runner's parameter of this name
            # has no effect on a server that is created here.
            handler_cancellation=True,
        )

    def _logged(self, handler: Handler) -> Handler:
        """Return a handler that logs its errors, which the server answers with a status of 500."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            try:
                return await handler(request)
            except (web.HTTPException, ConnectionError):
                raise
            except Exception as error:
                self._failures.record("listener", error)
                raise

        return handle

    async def close(self) -> None:
        """Close all listeners."""
        for runner in reversed(self._runners):
            await runner.cleanup()
