"""The bounds of the connections of one listener, and the server that keeps to them.

Owns: the table and the pending memory of the listener's connections.
Relies on: the configuration for the limits on requests, once there is one.
"""

import asyncio
import typing as t

from aiohttp import web

from ..store.serving import Limits
from .bounded_log import BoundedLog
from .bounded_log import Cause
from .connection import CallerConnection
from .connection_table import Connection
from .connection_table import ConnectionTable
from .loop_turns import LoopTurns
from .pending_memory import PendingMemory

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class ListenerBounds:
    """What the connections of one listener may take.

    :param name: logged as ``listener`` of event 7326.
    :param connections: how many may be open at once.
    :param pending_bytes: memory of what is pending on all of them.
    :param limits: returns the limits on requests in force.
    :param turns: the turns of the loop, which all listeners share.
    """

    def __init__(
        self,
        name: str,
        connections: int,
        pending_bytes: int,
        limits: t.Callable[[], Limits],
        turns: LoopTurns,
        log: BoundedLog,
        clock: t.Callable[[], float],
    ) -> None:
        self._name = name
        self._log = log
        self.limits = limits
        self.turns = turns
        self.table = ConnectionTable(connections, clock)
        self.pending = PendingMemory(pending_bytes, self.table.is_replaceable, self._drop)

    def record(self, cause: Cause) -> None:
        """Count and log a caller that was bounded."""
        self._log.record(self._name, cause)

    def forget(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self.table.remove(connection)
        self.pending.release(connection)

    def expire(self) -> None:
        """Close the connections that have taken too long."""
        limits = self.limits()
        self.table.expire(header_timeout=limits.header_timeout, idle_timeout=limits.idle_timeout)

    def _drop(self, connection: Connection) -> None:
        self.table.drop(connection, Cause.PENDING_MEMORY)


class BoundedServer(web.Server):
    """A server whose connections keep to the bounds of a listener.

    :param handler: answers a request.
    """

    def __init__(self, handler: Handler, bounds: ListenerBounds) -> None:
        # A request is cancelled when its caller disconnects.
        super().__init__(_recorded(handler), handler_cancellation=True)
        self._bounds = bounds

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._bounds, asyncio.get_running_loop())


def _recorded(handler: Handler) -> Handler:
    """Return a handler that records at its connection when a request begins and ends."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        connection = t.cast(CallerConnection, request.protocol)
        connection.begin_request()
        try:
            return await handler(request)
        finally:
            connection.end_request(request)

    return handle
