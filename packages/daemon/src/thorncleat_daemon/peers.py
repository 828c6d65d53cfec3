"""Messages between daemons over ZeroMQ, encrypted and authenticated by CURVE.

Owns: the sockets, one to each peer in use, and the pending requests.
Relies on: the CURVE keys accepted by the settings; every frame being validated before use.
"""

import asyncio
import collections
import itertools
import typing as t

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from thorncleat_core import codec
from thorncleat_core.daemon.settings import PeerKeys
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import ThorncleatError

from . import events
from .exceptions import PeerError
from .ports import Handler

MAX_FRAME_BYTES = 1_200_000
# Beyond this the least recently used connection is closed.
MAX_CONNECTIONS = 64
MAX_RUNNING_HANDLERS = 256
# High-water mark of a socket.
MAX_QUEUED_MESSAGES = 1000
ZAP_DOMAIN = "thorncleat"


class _AcceptedKeys:
    """Credentials callback with the public keys that may connect."""

    def __init__(self, accepted: t.Iterable[str]) -> None:
        self._accepted = {key.encode() for key in accepted}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key is accepted.

        :param key: in Z85.
        """
        return key in self._accepted


class _Connection:
    """A socket to one peer and its pending requests."""

    def __init__(self, socket: zmq.asyncio.Socket, address: str) -> None:
        self.socket = socket
        self.address = address
        self.waiting: dict[int, asyncio.Future[t.Any]] = {}
        self.reader: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Close the socket and fail the pending requests."""
        if self.reader:
            self.reader.cancel()
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(PeerError(f"connection to {self.address!r} closed"))
        self.socket.close(linger=0)


class ZmqPeers:
    """Sends messages to peers at their listed addresses and answers theirs.

    :param cluster: name of the cluster; frames of others are dropped.
    :param addresses: returns the current addresses of the daemons, by id.
    """

    def __init__(
        self,
        cluster: str,
        me: str,
        keys: PeerKeys,
        addresses: t.Callable[[], t.Mapping[str, str]],
    ) -> None:
        self._cluster = cluster
        self._me = me
        self._keys = keys
        self._addresses = addresses
        self._context: zmq.asyncio.Context = zmq.asyncio.Context()
        self._handlers: dict[str, Handler] = {}
        self._connections: collections.OrderedDict[str, _Connection] = collections.OrderedDict()
        self._key_index: collections.Counter[str] = collections.Counter()
        self._request_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._authenticator: AsyncioAuthenticator | None = None
        self._server: zmq.asyncio.Socket | None = None
        self.counts: collections.Counter[str] = collections.Counter()

    def handle(self, kind: str, handler: Handler) -> None:
        """Register a coroutine that answers messages of a kind."""
        self._handlers[kind] = handler

    async def start(self, listen: str) -> str:
        """Start to listen and return the address with the actual port."""
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        accepted = _AcceptedKeys(self._keys.accepted)
        self._authenticator.configure_curve_callback(ZAP_DOMAIN, accepted)
        server = self._context.socket(zmq.ROUTER)
        self._set_limits(server)
        server.curve_server = True
        server.curve_publickey = self._keys.public.encode()
        server.curve_secretkey = self._keys.secret.get_secret_value().encode()
        server.zap_domain = ZAP_DOMAIN.encode()
        host, _, port = listen.rpartition(":")
        if port == "0":
            port = str(server.bind_to_random_port(f"tcp://{host}"))
        else:
            server.bind(f"tcp://{listen}")
        self._server = server
        self._spawn(self._serve(server))
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close all sockets and cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        if self._server:
            self._server.close(linger=0)
        if self._authenticator:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    async def ask(self, peer: str, kind: str, body: t.Any, timeout: float = 1.0) -> t.Any:
        """Send a message and return its answer.

        :param timeout: in seconds.
        :raises PeerError: if there is no answer in time, or the answer is an error.
        """
        if peer == self._me:
            return await self._run_handler(self._me, kind, body)
        connection = self._connection(peer)
        number = next(self._request_numbers)
        future: asyncio.Future[t.Any] = asyncio.get_running_loop().create_future()
        connection.waiting[number] = future
        try:
            await self._send(connection.socket, kind, body, number)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            self._try_another_key(peer)
            raise PeerError(f"{peer!r} did not answer {kind!r} in {timeout!r} s") from None
        finally:
            connection.waiting.pop(number, None)

    async def send(self, peer: str, kind: str, body: t.Any) -> None:
        """Send a message that needs no answer."""
        if peer == self._me:
            await self._run_handler(self._me, kind, body)
            return
        await self._send(self._connection(peer).socket, kind, body, 0)

    def _set_limits(self, socket: zmq.asyncio.Socket) -> None:
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)

    def _connection(self, peer: str) -> _Connection:
        address = self._addresses().get(peer)
        if address is None:
            raise PeerError(f"no address of daemon {peer!r}")
        existing = self._connections.get(peer)
        if existing and existing.address == address:
            self._connections.move_to_end(peer)
            return existing
        if existing:
            self._connections.pop(peer).close()
        while len(self._connections) >= MAX_CONNECTIONS:
            self._connections.popitem(last=False)[1].close()
        connection = self._connect(peer, address)
        self._connections[peer] = connection
        return connection

    def _try_another_key(self, peer: str) -> None:
        """Use the next accepted key for a peer.

        During a key rotation two keys are accepted, and the peer may have either.
        """
        if len(self._keys.accepted) > 1 and peer in self._connections:
            self._key_index[peer] += 1
            self._connections.pop(peer).close()

    def _connect(self, peer: str, address: str) -> _Connection:
        socket = self._context.socket(zmq.DEALER)
        self._set_limits(socket)
        accepted = self._keys.accepted
        socket.curve_serverkey = accepted[self._key_index[peer] % len(accepted)].encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.get_secret_value().encode()
        socket.connect(f"tcp://{address}")
        connection = _Connection(socket, address)
        connection.reader = self._spawn(self._read(connection))
        return connection

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, socket: zmq.asyncio.Socket, kind: str, body: t.Any, number: int) -> None:
        frame = codec.pack({"c": self._cluster, "f": self._me, "k": kind, "n": number, "b": body})
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(frame)
        self.counts[f"sent:{kind}"] += 1
        try:
            await socket.send(frame, flags=zmq.NOBLOCK)
        except zmq.ZMQError as error:
            raise PeerError(f"can't send {kind!r}: {error}") from error

    async def _read(self, connection: _Connection) -> None:
        while True:
            frame = await connection.socket.recv()
            self._count_received(frame)
            try:
                answer = codec.unpack(frame)
                future = connection.waiting.get(answer["n"])
                if future is None or future.done():
                    # A late or duplicate answer.
                    self.counts["late_answers"] += 1
                elif answer.get("e") is not None:
                    future.set_exception(PeerError(str(answer["e"])))
                else:
                    future.set_result(answer.get("b"))
            except (DecodeError, KeyError, TypeError) as error:
                self._record_rejected(str(error))

    async def _serve(self, server: zmq.asyncio.Socket) -> None:
        while True:
            frames = await server.recv_multipart()
            self._count_received(frames[-1])
            if len(self._tasks) > MAX_RUNNING_HANDLERS:
                self.counts["overrun"] += 1
                continue
            try:
                message = self._validate(codec.unpack(frames[-1]))
            except DecodeError as error:
                self._record_rejected(str(error))
                continue
            self._spawn(self._answer(server, frames[0], message))

    def _validate(self, message: t.Any) -> dict[str, t.Any]:
        if not isinstance(message, dict) or set(message) != {"c", "f", "k", "n", "b"}:
            raise DecodeError("a frame without the fields of one")
        if message["c"] != self._cluster:
            raise DecodeError(f"a frame for cluster {message['c']!r}")
        if message["k"] not in self._handlers:
            raise DecodeError(f"a frame of unknown kind {message['k']!r}")
        return message

    def _record_rejected(self, reason: str) -> None:
        self.counts["rejected"] += 1
        events.PEER_REJECTED.log(reason=reason)

    def _count_received(self, frame: bytes) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(frame)

    async def _run_handler(self, sender: str, kind: str, body: t.Any) -> t.Any:
        return await self._handlers[kind](sender, body)

    async def _answer(
        self, server: zmq.asyncio.Socket, identity: bytes, message: dict[str, t.Any]
    ) -> None:
        answer: dict[str, t.Any] = {"n": message["n"]}
        try:
            answer["b"] = await self._run_handler(message["f"], message["k"], message["b"])
        except ThorncleatError as error:
            answer["e"] = str(error)
        except (KeyError, TypeError, ValueError) as error:
            self._record_rejected(f"{message['k']!r}: {error!r}")
            answer["e"] = "malformed body"
        if not message["n"]:
            return
        frame = codec.pack(answer)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(frame)
        try:
            await server.send_multipart([identity, frame], flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            self.counts["unsendable"] += 1
