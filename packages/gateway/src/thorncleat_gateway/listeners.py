"""The HTTP listeners of a daemon.

Owns: the listening sockets, in the order in which they were opened.
Relies on: a handler for each address; what a request means is the handler's business.
"""

import socket
import typing as t

from aiohttp import web

# seconds that a caller's connection may rest; more than the configurations' idle time-outs seen
# on the users' pages
KEEP_ALIVE_SECONDS = 75.0
# bytes of a request line and of one header
LONGEST_LINE_BYTES = 16_384
# connections that may wait to be accepted
BACKLOG = 512
# seconds that open connections have at the end, after planned stops have waited for their
# requests
SHUTDOWN_SECONDS = 0.1

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]
Address = tuple[str, int]


class Listeners:
    """Opens listeners and closes them in the reverse order."""

    def __init__(self) -> None:
        self._runners: list[web.ServerRunner] = []

    async def open(
        self, handler: Handler, address: Address, listening: socket.socket | None = None
    ) -> None:
        """Listen at an address.

        :param address: host and port.
        :param listening: a socket that listens there already; None to open one.
        :raises OSError: if the address is taken.
        """
        server = web.Server(
            handler,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=LONGEST_LINE_BYTES,
            max_field_size=LONGEST_LINE_BYTES,
            auto_decompress=False,
            # a caller that leaves cancels the handler of its request; the runner has a parameter
            # of this name too, which does nothing for a server that is made here
            handler_cancellation=True,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_SECONDS)
        await runner.setup()
        self._runners.append(runner)
        site: web.BaseSite
        if listening is not None:
            site = web.SockSite(runner, listening, backlog=BACKLOG)
        else:
            site = web.TCPSite(runner, *address, backlog=BACKLOG, reuse_address=True)
        await site.start()

    async def close(self) -> None:
        """Close all listeners."""
        for runner in reversed(self._runners):
            await runner.cleanup()
