"""Datagrams between daemons, which carry soft state without acknowledgements.

Datagrams that do not come from the registered address of their sender are rejected.

Owns: the socket, which is opened again after an error that closes it, and the count of rejected
datagrams.
Relies on: the addresses of the registered daemons (:mod:`..store.registration`).
"""

import asyncio
import typing as t

from .. import events
from ..callbacks import Callbacks
from ..service import Service
from ..service import background_task
from ..settings import GatewaySettings
from . import domain_loads
from .message_codec import decode
from .message_codec import encode
from .messages import Message

Handler = t.Callable[[str, Message], None]

# Interval of the load reports of a daemon while there are few daemons.
MIN_REPORT_INTERVAL_SECONDS = 0.1
# Beyond this number of daemons the interval grows, so that each receives at most 160 reports a
# second.
MAX_DAEMONS_AT_MIN_INTERVAL = 16
# Weight of a domain peer in the interval of reports that go to domain peers only, so that each
# daemon receives at most 80 reports a second.
DOMAIN_PEER_WEIGHT = 2
# Minimum time between two openings of a socket that errors close.
REOPEN_INTERVAL_SECONDS = 0.1


def report_interval(daemons: int) -> float:
    """Return the seconds between two load reports of each daemon.

    The interval grows with the number of daemons, which bounds the reports that each receives.
    """
    return MIN_REPORT_INTERVAL_SECONDS * max(1.0, daemons / MAX_DAEMONS_AT_MIN_INTERVAL)


class PeerChannel(Service):
    """Sends messages to other daemons and dispatches theirs.

    :param addresses: returns the address of each registered daemon, by id.
    :param domain_peers: returns the ids of the other registered daemons of the same failure domain.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        addresses: t.Callable[[], t.Mapping[str, tuple[str, int]]],
        domain_peers: t.Callable[[], frozenset[str]],
    ) -> None:
        super().__init__()
        self.id = settings.id
        self._listen = settings.peers
        self._addresses = addresses
        self._domain_peers = domain_peers
        self._handlers = Callbacks[[str, Message]]("message")
        self._transport: asyncio.DatagramTransport | None = None
        self._is_lost = asyncio.Event()
        self.rejected_count = 0

    @property
    def daemon_count(self) -> int:
        """The number of registered daemons, at least 1 for this one."""
        return max(1, len(self._addresses()))

    @property
    def other_daemons(self) -> set[str]:
        """The ids of the other registered daemons."""
        return set(self._addresses()) - {self.id}

    @property
    def is_full_mesh(self) -> bool:
        """Whether each daemon reports its load to all other daemons."""
        return domain_loads.is_full_mesh(self.daemon_count)

    @property
    def domain_peers(self) -> frozenset[str]:
        """The ids of the other registered daemons of the same failure domain."""
        return self._domain_peers()

    def report_interval_seconds(self) -> float:
        """Return the seconds between two load reports of a daemon."""
        if self.is_full_mesh:
            return report_interval(self.daemon_count)
        return report_interval(DOMAIN_PEER_WEIGHT * (1 + len(self._domain_peers())))

    async def on_start(self) -> None:
        """Open the socket."""
        await self._open()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        receiver = _Receiver(self._on_datagram, self._on_loss)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: receiver, local_addr=self._listen
        )

    def _on_loss(self, error: Exception) -> None:
        """Note that an error has closed the socket."""
        self._failures.record("datagram socket", error)
        self._is_lost.set()

    @background_task
    async def _reopen_task(self) -> None:
        while not self.should_stop:
            await self._is_lost.wait()
            await self._open()
            self._is_lost.clear()
            await asyncio.sleep(REOPEN_INTERVAL_SECONDS)

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def on_message(self, handler: Handler) -> None:
        """Call a function for each message with the id of its sender."""
        self._handlers.add(handler)

    def broadcast(self, message: Message) -> None:
        """Send a message to all other daemons."""
        others = (address for daemon, address in self._addresses().items() if daemon != self.id)
        self._send_datagram(message, others)

    def broadcast_to_domain(self, message: Message) -> None:
        """Send a message to the other daemons of the same failure domain."""
        addresses = self._addresses()
        self._send_datagram(message, (addresses[daemon] for daemon in self._domain_peers()))

    def broadcast_to_other_domains(self, message: Message) -> None:
        """Send a message to all daemons of other failure domains."""
        own_domain = self._domain_peers() | {self.id}
        remote = (
            address for daemon, address in self._addresses().items() if daemon not in own_domain
        )
        self._send_datagram(message, remote)

    def send(self, daemon: str, message: Message) -> None:
        """Send a message to a daemon, if it is registered."""
        address = self._addresses().get(daemon)
        if address is not None:
            self._send_datagram(message, [address])

    def _send_datagram(self, message: Message, addresses: t.Iterable[tuple[str, int]]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = encode(self.id, message)
        for address in addresses:
            self._transport.sendto(data, address)

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        datagram = decode(data)
        if datagram is None or self._addresses().get(datagram.sender) != source:
            self.rejected_count += 1
            if self.rejected_count.bit_count() == 1:
                # Log the first rejection, and then each time the count has doubled.
                events.PEER_REJECTED.log(
                    source=f"{source[0]}:{source[1]}", count=self.rejected_count
                )
            return
        self._handlers.call(datagram.sender, datagram.message)


class _Receiver(asyncio.DatagramProtocol):
    """Calls a function with each datagram and its source address.

    :param on_loss: called with the error that has closed the socket.
    """

    def __init__(
        self,
        handler: t.Callable[[bytes, tuple[str, int]], None],
        on_loss: t.Callable[[Exception], None],
    ) -> None:
        self._handler = handler
        self._on_loss = on_loss

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handler(data, (addr[0], addr[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._on_loss(exc)
