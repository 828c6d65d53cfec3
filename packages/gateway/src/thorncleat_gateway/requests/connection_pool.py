"""Keeps connections to endpoints between requests, by the rules of :mod:`.kept_connections`.

Owns: the session whose connections are kept, the idle ones, and the counts of them.
Relies on: aiohttp to look for an idle connection before it opens one, and to close those that are
not ``is_connected``. It releases a connection once it has parsed the end of an answer, before
anybody has looked at the answer. A connection therefore counts as not connected until
:meth:`ConnectionPool.settle` has found the answer sound.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import functools
import socket
import typing as t

import aiohttp
from yarl import URL

from .. import events
from ..ports import Headers
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from . import kept_connections
from .endpoint_connection import EndpointConnection
from .endpoint_connection import open_session
from .kept_connections import AnswerBytes
from .kept_connections import AnswerHead

# Interval at which connections to endpoints that must not be used any more are closed.
SWEEP_INTERVAL_SECONDS = 0.5
# How long the connections of an endpoint are not kept after an answer without the request's id. On
# a used connection it can't be told from a second answer to an earlier request.
NO_ID_SECONDS = 60.0
MILLISECONDS_PER_SECOND = 1000


class ConnectionKey(t.NamedTuple):
    """What a connection is kept for: one run of an endpoint's process, at its address."""

    incarnation: Incarnation
    address: str

    @classmethod
    def of(cls, endpoint: Endpoint) -> "ConnectionKey":
        """Return the key of connections to an endpoint."""
        return cls(endpoint.incarnation, endpoint.address)

    def __str__(self) -> str:
        return f"{self.incarnation.endpoint_id} {self.incarnation.born}"


@dataclasses.dataclass(eq=False)
class ConnectionUse:
    """One request on a connection of the pool.

    :param connection: None until there is one.
    :param is_reused: whether the connection has carried earlier requests.
    :param is_answered: whether the answer is the addressed endpoint's and has the request's id.
    :param is_settled: whether it is decided if the connection is kept.
    """

    pool: "ConnectionPool"
    endpoint: Endpoint
    connection: "KeptConnection | None" = None
    is_reused: bool = False
    is_answered: bool = False
    is_settled: bool = False

    @property
    def received_bytes(self) -> int:
        """Bytes of the answer."""
        return self.connection.answer.received if self.connection is not None else 0

    @property
    def is_mixed(self) -> bool:
        """Whether another answer came within this one, on a used connection."""
        return self.is_reused and self.connection is not None and self.connection.answer.is_mixed

    @property
    def is_unacknowledged(self) -> bool:
        """Whether the endpoint didn't acknowledge the request on a used connection."""
        return self.connection is not None and self.connection.is_unacknowledged

    @contextlib.asynccontextmanager
    async def request(
        self, method: str, url: URL, **options: t.Any
    ) -> t.AsyncIterator[aiohttp.ClientResponse]:
        """Send a request on an idle connection to the endpoint, or else on a new one."""
        token = _current_use.set(self)
        try:
            # The library keeps apart the connections of different server names, which have no
            # other effect without TLS.
            key = str(ConnectionKey.of(self.endpoint))
            response = await self.pool.session.request(method, url, server_hostname=key, **options)
        finally:
            _current_use.reset(token)
        async with response:
            yield response


# The use of the request that is being sent in the current context. The client library has no way to
# pass it to the connection that it chooses.
_current_use: contextvars.ContextVar[ConnectionUse | None] = contextvars.ContextVar(
    "current_use", default=None
)


class KeptConnection(EndpointConnection):
    """A connection that may stay open between two requests.

    :ivar answer: the bytes of the answer since the latest request was sent.
    :ivar is_unacknowledged: whether a request on the used connection has got no acknowledgement.
    """

    def __init__(self, pool: "ConnectionPool", loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._pool = pool
        self._idle_until: float | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._received_at = 0.0
        self.is_unacknowledged = False
        self.answer = AnswerBytes()

    def is_connected(self) -> bool:
        """Return whether the client library may send a request on the connection it has released.

        The timer of the idle time runs late if the event loop does.
        """
        return (
            self._idle_until is not None
            and self._loop.time() < self._idle_until
            and super().is_connected()
        )

    def can_be_kept(self, head: AnswerHead) -> bool:
        """Return whether nothing is left to send, and exactly the answer was received."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
            and not self.should_close
            and not self._reading_paused
            and self.answer.is_exact(head)
        )

    def begin_idle(self, seconds: float) -> None:
        """Wait for the next request, and close the connection if there is none in time.

        :param seconds: from the end of the answer, which is when the endpoint begins to count.
        """
        assert self.transport is not None
        # An endpoint that is out of reach is noticed as soon as it would be on a new connection.
        timeout_ms = int(self._pool.acknowledge_timeout * MILLISECONDS_PER_SECOND)
        tcp_socket = self.transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        self._idle_until = self._received_at + seconds
        self._idle_timer = self._loop.call_at(self._idle_until, self.close)

    def set_response_params(self, **parameters: t.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        is_reused = self._idle_until is not None
        self._end_idle()
        self.answer = AnswerBytes()
        # By the payload of the earlier answer, the new one would be taken for complete.
        self._payload = None
        use = _current_use.get()
        if use is not None:
            use.connection, use.is_reused = self, is_reused
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer; close the connection if nobody waits for one."""
        if self._idle_until is not None:
            # The library calls this without data to go on after a pause.
            if data:
                self._pool.record_surplus(self)
                self.close()
            return
        if data:
            self._received_at = self._loop.time()
        self.answer.feed(data)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.is_unacknowledged = isinstance(exc, TimeoutError)
        self._end_idle()
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection, with a reset if the answer is incomplete."""
        self._end_idle()
        super().close()

    def _end_idle(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_until = self._idle_timer = None
        self._pool.remove(self)


class ConnectionPool:
    """The connections that this daemon keeps.

    It must be created in the event loop that uses it.

    :param can_keep: returns whether connections to an endpoint may be kept now.
    :param count_daemons: returns the number of daemons.
    :param take_token: takes a token of a service's retry budget, and returns whether there was one.
    :param acknowledge_timeout: seconds in which an endpoint must acknowledge what is sent on a used
        connection.
    :ivar session: the session for requests that may use a kept connection.
    :ivar opened: number of requests that opened a connection.
    :ivar reused: number of requests on a kept connection.
    :ivar resets: number of kept connections that were closed when a request was sent.
    :ivar surplus: number of idle connections on which bytes arrived.
    """

    def __init__(
        self,
        can_keep: t.Callable[[Endpoint], bool],
        count_daemons: t.Callable[[], int],
        take_token: t.Callable[[str], bool],
        acknowledge_timeout: float,
    ) -> None:
        self._can_keep = can_keep
        self._count_daemons = count_daemons
        self.take_token = take_token
        self.acknowledge_timeout = acknowledge_timeout
        self._loop = asyncio.get_running_loop()
        self._idle_connections: dict[ConnectionKey, dict[KeptConnection, Endpoint]] = {}
        self._keys: dict[KeptConnection, ConnectionKey] = {}
        # Until when connections aren't kept, for endpoints that sent an answer without an id.
        self._without_ids: dict[ConnectionKey, float] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.session = self._create_session()
        self.opened = 0
        self.reused = 0
        self.resets = 0
        self.surplus = 0

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._keys)

    def _create_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=kept_connections.MAX_IDLE_SECONDS,
            happy_eyeballs_delay=None,
        )
        return open_session(connector, functools.partial(KeptConnection, self, self._loop))

    async def close(self) -> None:
        """Close the session with its connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await self.session.close()

    def has_idle(self, endpoint: Endpoint) -> bool:
        """Return whether an idle connection to an endpoint can be used."""
        idle = self._idle_connections.get(ConnectionKey.of(endpoint), ())
        return any(connection.is_connected() for connection in idle)

    def can_use(self, endpoint: Endpoint) -> bool:
        """Return whether the answers of an endpoint can be told apart by their ids."""
        until = self._without_ids.get(ConnectionKey.of(endpoint))
        return until is None or until < self._loop.time()

    def record_missing_id(self, endpoint: Endpoint) -> None:
        """Record that an endpoint sent an answer without an id; close its connections."""
        now = self._loop.time()
        self._without_ids = {key: until for key, until in self._without_ids.items() if until > now}
        self._without_ids[ConnectionKey.of(endpoint)] = now + NO_ID_SECONDS
        self._close_all(ConnectionKey.of(endpoint))

    def begin(self, endpoint: Endpoint) -> ConnectionUse:
        """Return the use of a connection by a request that is about to be sent."""
        if not self._can_keep(endpoint):
            self._close_all(ConnectionKey.of(endpoint))
        return ConnectionUse(self, endpoint)

    def count(self, use: ConnectionUse | None) -> None:
        """Count a request that was sent.

        :param use: None if the request had a connection of its own.
        """
        if use is not None and use.is_reused:
            self.reused += 1
        else:
            self.opened += 1

    def record_reset(self, use: ConnectionUse, seconds: float) -> None:
        """Record that a kept connection was closed when a request was sent on it.

        The endpoint has probably closed the others of that time as well.
        """
        self.resets += 1
        # A second sending has a connection that doesn't belong to the pool.
        use.is_settled, use.connection = True, None
        closed = self._close_all(ConnectionKey.of(use.endpoint))
        events.KEPT_CONNECTION_RESET.log(
            endpoint=use.endpoint.id, after=round(seconds, 4), closed=closed
        )

    def record_surplus(self, connection: KeptConnection) -> None:
        """Record that bytes arrived on an idle connection."""
        self.surplus += 1
        events.SURPLUS_BYTES.log(endpoint=self._keys[connection].incarnation.endpoint_id)

    def settle(self, use: ConnectionUse, headers: Headers, max_connections: int) -> None:
        """Keep the connection of a sound answer that was read completely, or close it.

        :param headers: headers of the answer.
        :param max_connections: connections that the endpoint accepts, or 0 if not stated.
        """
        connection, endpoint = use.connection, use.endpoint
        if connection is None or use.is_settled:
            return
        use.is_settled = True
        head = AnswerHead.parse(headers)
        key = ConnectionKey.of(endpoint)
        has_room = len(self._idle_connections.get(key, ())) < kept_connections.max_kept(
            max_connections, self._count_daemons()
        )
        is_sound = use.is_answered and self.can_use(endpoint) and connection.can_be_kept(head)
        if not (head.idle and has_room and is_sound and self._can_keep(endpoint)):
            connection.close()
            return
        self._idle_connections.setdefault(key, {})[connection] = endpoint
        self._keys[connection] = key
        connection.begin_idle(head.idle)
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def end(self, use: ConnectionUse) -> None:
        """Close the connection of a request that has ended in another way."""
        if use.connection is not None and not use.is_settled:
            use.connection.close()
        use.is_settled = True

    def remove(self, connection: KeptConnection) -> None:
        """Forget a connection that isn't idle any more."""
        key = self._keys.pop(connection, None)
        if key is None:
            return
        del self._idle_connections[key][connection]
        if not self._idle_connections[key]:
            del self._idle_connections[key]

    def _close_all(self, key: ConnectionKey) -> int:
        """Close the idle connections of an endpoint; return their number."""
        connections = list(self._idle_connections.get(key, ()))
        for connection in connections:
            connection.close()
        return len(connections)

    def _sweep(self) -> None:
        """Close the connections to endpoints that must not be used any more."""
        self._sweep_timer = None
        if self._idle_connections:
            # Before the checks, so that the next sweep comes also if one of them fails.
            self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        for key, connections in list(self._idle_connections.items()):
            if not all(self._can_keep(endpoint) for endpoint in connections.values()):
                self._close_all(key)
