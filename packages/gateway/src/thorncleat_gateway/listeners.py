"""The HTTP listeners of a daemon.

Owns: the listening sockets, in the order of their opening.
Relies on: a handler for each address, which interprets the requests.
"""

import socket
import typing as t

from aiohttp import web

from .failures import FailureLog

# How long a caller's connection may be idle.
KEEP_ALIVE_TIMEOUT_SECONDS = 75.0
# Limit of a request line and of one header.
MAX_LINE_BYTES = 16_384
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
        self, handler: Handler, address: Address, bound_socket: socket.socket | None = None
    ) -> None:
        """Listen at an address.

        :param address: host and port.
        :param bound_socket: a socket that already listens at the address; None to open one.
        :raises OSError: if the address is in use.
        """
        server = web.Server(
            self._logged(handler),
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
            # Cancel the handler when the caller disconnects. The runner's parameter of this name
            # has no effect on a server that is created here.
            handler_cancellation=True,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        await runner.setup()
        self._runners.append(runner)
        site: web.BaseSite
        if bound_socket is not None:
            site = web.SockSite(runner, bound_socket, backlog=ACCEPT_BACKLOG)
        else:
            site = web.TCPSite(runner, *address, backlog=ACCEPT_BACKLOG, reuse_address=True)
        await site.start()

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
