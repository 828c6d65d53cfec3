"""Finds daemons that carry tunnels for this one, and offers to carry those of others.

A daemon asks only while it is doubtful whether it reaches endpoints itself, so this costs nothing
while all do. Each daemon that answers has connections of its own to endpoints, some room, and an
event loop that is on time.

Owns: the offers of other daemons.
Relies on: :mod:`..peers.reach` for whether this daemon needs tunnels; datagrams may be lost.
"""

import asyncio
import contextlib
import dataclasses
import random
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.messages import Message
from ..peers.messages import TunnelOffer
from ..peers.messages import TunnelQuery
from ..peers.reach import Reach
from ..service import Service
from ..service import background_task
from ..store.relays import Daemon
from .server import TunnelServer

# Interval between two queries while this daemon needs tunnels.
QUERY_INTERVAL_SECONDS = 0.25
# Minimum time between two queries.
MIN_QUERY_INTERVAL_SECONDS = 0.05
# How long an offer holds: some queries, since datagrams may be lost.
OFFER_TTL_SECONDS = 1.0
# Daemons that are asked while there is no offer, and how many of them of the own failure domain.
ASKED_DAEMONS = 12
ASKED_DOMAIN_PEERS = 4
# Daemons that are asked besides those whose offers still hold.
FURTHER_ASKED_DAEMONS = 2
# How long a daemon that failed a tunnel isn't used.
AVOID_SECONDS = 1.0
# Lateness of the own event loop from which on this daemon carries tunnels only if no other does.
LATE_SECONDS = 0.1
# Lateness from which on it carries no further ones. A pause that is over doesn't count, since this
# daemon may be the only one that carries any.
MAX_CARRIER_LATENESS_SECONDS = 0.5
# The room that a late daemon offers.
LATE_ROOM = 1
# How long ago a connection to an endpoint, or lateness of the event loop, still counts.
RECENT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Carrier:
    """A daemon that offers to carry tunnels to a service.

    :param room: the number of further tunnels that it carries.
    :param offered_at: when its offer arrived, in seconds on the gateway's clock.
    """

    daemon_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    room: int
    offered_at: float


def choose(
    carriers: t.Sequence[Carrier], failure_domain: str, running: t.Mapping[str, int]
) -> Carrier | None:
    """Return the carrier for a tunnel: of two drawn at random the one with fewer tunnels for it.

    Late carriers are used only if there are no others.

    :param failure_domain: of this daemon; carriers there come first while they have room.
    :param running: this daemon's tunnels by carrier.
    """
    with_room = [carrier for carrier in carriers if carrier.room > 0]
    usable = [carrier for carrier in with_room if carrier.room > LATE_ROOM] or with_room
    near = [carrier for carrier in usable if carrier.failure_domain == failure_domain]
    drawn = random.sample(near or usable, min(2, len(near or usable)))
    return min(drawn, key=lambda carrier: running.get(carrier.daemon_id, 0), default=None)


class TunnelOffers(Service):
    """The daemons that carry tunnels for this one.

    :param daemons: returns the registered daemons, by id.
    :param server: carries the tunnels of other daemons.
    :param port: where the server listens; None to carry none.
    :param max_lateness: returns the lateness of this daemon's event loop since an instant.
    :param check_reach: connects to endpoints of a service to learn whether this daemon reaches any.
    """

    def __init__(
        self,
        peers: PeerChannel,
        daemons: t.Callable[[], t.Mapping[str, Daemon]],
        failure_domain: str,
        reach: Reach,
        server: TunnelServer,
        port: int | None,
        max_lateness: t.Callable[[float], float],
        clock: t.Callable[[], float],
        check_reach: t.Callable[[str], t.Awaitable[None]],
    ) -> None:
        super().__init__()
        self._check_reach = check_reach
        self._peers = peers
        self._daemons = daemons
        self._failure_domain = failure_domain
        self._reach = reach
        self._server = server
        self._port = port
        self._max_lateness = max_lateness
        self._clock = clock
        self._carriers: dict[tuple[str, str], Carrier] = {}
        self._avoided_until: dict[tuple[str, str], float] = {}
        self._running: dict[str, int] = {}
        self._asked_at: dict[str, float] = {}
        self._has_offer = asyncio.Event()
        peers.on_message(self._on_message)

    def carriers(self, service: str) -> list[Carrier]:
        """Return the daemons whose offers to carry tunnels to a service hold."""
        oldest = self._clock() - OFFER_TTL_SECONDS
        return [
            carrier
            for carrier in self._carriers.values()
            if carrier.service == service and carrier.offered_at >= oldest
        ]

    def choose(self, service: str) -> Carrier | None:
        """Return the carrier for a tunnel to a service; None without an offer.

        Those that are avoided are used if there is no other.
        """
        offered = self.carriers(service)
        preferred = [carrier for carrier in offered if not self._is_avoided(carrier)]
        return choose(preferred or offered, self._failure_domain, self._running)

    def _is_avoided(self, carrier: Carrier) -> bool:
        until = self._avoided_until.get((carrier.daemon_id, carrier.service))
        return until is not None and self._clock() < until

    async def wait_choice(self, service: str, seconds: float) -> Carrier | None:
        """Ask for offers if there is none, and return a carrier; None if none comes in time."""
        until = self._clock() + seconds
        while True:
            carrier = self.choose(service)
            left = until - self._clock()
            if carrier is not None or left <= 0:
                return carrier
            self.ask(service)
            self._has_offer.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, MIN_QUERY_INTERVAL_SECONDS)):
                    await self._has_offer.wait()

    def avoid(self, carrier: Carrier) -> None:
        """Prefer other carriers for some time, since a tunnel by way of this one failed."""
        key = carrier.daemon_id, carrier.service
        self._avoided_until[key] = self._clock() + AVOID_SECONDS

    @contextlib.contextmanager
    def track(self, carrier: Carrier) -> t.Iterator[None]:
        """Count a tunnel of a carrier while the context is open."""
        daemon_id = carrier.daemon_id
        self._running[daemon_id] = self._running.get(daemon_id, 0) + 1
        try:
            yield
        finally:
            self._running[daemon_id] -= 1
            if not self._running[daemon_id]:
                del self._running[daemon_id]

    def ask(self, service: str) -> None:
        """Ask some daemons for offers."""
        now = self._clock()
        if now - self._asked_at.get(service, float("-inf")) < MIN_QUERY_INTERVAL_SECONDS:
            return
        self._asked_at[service] = now
        for daemon_id in self._draw(service):
            self._peers.send(daemon_id, TunnelQuery(service))

    def _draw(self, service: str) -> set[str]:
        """Return the daemons to ask: those that offer, and others in case these are lost."""
        others = self._peers.other_daemons
        offering = {carrier.daemon_id for carrier in self.carriers(service)} & others
        if offering:
            unknown = sorted(others - offering)
            count = min(FURTHER_ASKED_DAEMONS, len(unknown))
            return offering | set(random.sample(unknown, count))
        near = sorted(others & self._peers.domain_peers)
        drawn = set(random.sample(near, min(ASKED_DOMAIN_PEERS, len(near))))
        far = sorted(others - drawn)
        return drawn | set(random.sample(far, min(ASKED_DAEMONS - len(drawn), len(far))))

    def _offered_room(self, service: str) -> int:
        """Return the number of tunnels to a service that this daemon carries for others now."""
        since = self._clock() - RECENT_SECONDS
        if self._reach.is_doubtful(service) or not self._reach.succeeded_since(service, since):
            return 0
        if self._max_lateness(self._clock()) > MAX_CARRIER_LATENESS_SECONDS:
            return 0
        is_late = self._max_lateness(since) > LATE_SECONDS
        return min(self._server.room, LATE_ROOM) if is_late else self._server.room

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case TunnelQuery(service) if self._port is not None:
                self.add_future(self._answer(sender, service, self._port))
            case TunnelOffer():
                self._record_offer(sender, message)

    async def _answer(self, sender: str, service: str, port: int) -> None:
        """Offer tunnels to a daemon if this one is sure to reach endpoints of the service."""
        if not self._reach.succeeded_since(service, self._clock() - RECENT_SECONDS):
            # A daemon without requests can't know yet.
            await self._check_reach(service)
        room = self._offered_room(service)
        if room:
            self._peers.send(sender, TunnelOffer(service, port, room))

    def _record_offer(self, sender: str, offer: TunnelOffer) -> None:
        daemon = self._daemons().get(sender)
        if daemon is None:
            return
        address = daemon.host, offer.port
        self._carriers[sender, offer.service] = Carrier(
            sender, offer.service, address, daemon.failure_domain, offer.room, self._clock()
        )
        self._has_offer.set()

    @background_task
    async def _ask_task(self) -> None:
        while not self.should_stop:
            await self._reach.wait_doubtful()
            for service in self._reach.doubtful_services:
                self.ask(service)
            await asyncio.sleep(QUERY_INTERVAL_SECONDS)
