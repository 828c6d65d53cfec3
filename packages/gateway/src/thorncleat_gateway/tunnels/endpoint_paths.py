"""The ways by which a daemon reaches endpoints, and by which others reach them through it.

Owns: whether this daemon is cut off, the offers of tunnels, and the tunnels that it carries.
Relies on: the failure detector for the answers that other daemons report.
"""

import typing as t

import aiohttp

from ..peers.datagrams import PeerChannel
from ..peers.reach import Reach
from ..peers.reach_check import ReachCheck
from ..peers.reach_check import connects
from ..settings import GatewaySettings
from ..store.registration import Registration
from ..store.view import StoreView
from .connector import PathConnector
from .offers import TunnelOffers
from .server import TunnelServer

# How long a daemon that is cut off looks for carriers before it is not ready.
ALONE_SECONDS = 1.0


class EndpointPaths:
    """Creates and wires what decides on the way of an attempt to its endpoint.

    :param max_lateness: returns the lateness of this daemon's event loop since an instant.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        view: StoreView,
        registration: Registration,
        peers: PeerChannel,
        max_lateness: t.Callable[[float], float],
        clock: t.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._view = view
        self.reach = Reach(clock, lambda service: len(view.roster.of_service(service)))
        self.check = ReachCheck(
            self.reach,
            view,
            lambda endpoint: connects(endpoint.address, settings.connect_timeout),
        )
        self.server = TunnelServer(
            view,
            registration.daemons,
            settings.connect_timeout,
            self.reach,
            clock,
            self.check.confirms_reach,
        )
        self.offers = TunnelOffers(
            peers,
            registration.daemons,
            settings.failure_domain,
            self.reach,
            self.server,
            None if settings.tunnels is None else settings.tunnels[1],
            max_lateness,
            clock,
            self.check.check,
        )

    async def open(self) -> None:
        """Listen for tunnels of other daemons, if there is an address for them.

        :raises OSError: if the address is in use.
        """
        if self._settings.tunnels is not None:
            await self.server.open(self._settings.tunnels)

    def create_connector(self, **options: t.Any) -> aiohttp.TCPConnector:
        """Return a connector that opens each connection directly or by way of another daemon.

        :param options: of :class:`aiohttp.TCPConnector`.
        """
        return PathConnector(self._settings.id, self.reach, self.offers, **options)

    def has_carriers(self) -> bool:
        """Return whether other daemons reach a service of which this one is in doubt."""
        return any(map(self.offers.carriers, self.reach.doubtful_services))

    def has_way(self) -> bool:
        """Return whether any service can be reached, directly or by way of another daemon."""
        lost = {
            service
            for service in self.reach.doubtful_services
            if self.reach.seconds_cut_off(service) >= ALONE_SECONDS
            and not self.offers.carriers(service)
        }
        # Without a lost service, which is nearly always, the list isn't looked at.
        return not lost or any(
            endpoint.service not in lost for endpoint in self._view.roster.endpoints.values()
        )
