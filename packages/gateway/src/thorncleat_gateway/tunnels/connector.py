"""Opens the connections of attempts: directly, or by way of another daemon.

While this daemon reaches endpoints, a connection is direct. If one doesn't come up soon, a tunnel
is opened beside it, and whichever is up first carries the attempt; nothing was sent on the other.
While this daemon is cut off, tunnels are opened at once.

Owns: nothing.
Relies on: :mod:`..peers.reach` for whether this daemon is cut off, and :mod:`.offers` for carriers.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .. import events
from ..exceptions import TunnelError
from ..peers.reach import Reach
from ..store.roster import Endpoint
from .frames import Opening
from .offers import Carrier
from .offers import TunnelOffers
from .transport import open_tunnel

# How long a direct connection may take before a tunnel is opened beside it; a connection that comes
# up at all takes some milliseconds.
HEAD_START_SECONDS = 0.1
# How long an attempt waits for the first offer.
OFFER_TIMEOUT_SECONDS = 0.15
# How long a tunnel may take: two connections, one of which may have to be repeated.
TUNNEL_TIMEOUT_SECONDS = 0.3
# How long all ways together may take. What an endpoint has said of itself was checked before, and
# it may want no requests since.
MAX_CONNECT_SECONDS = 0.45
# Carriers that are tried for one connection.
MAX_CARRIERS = 3


@dataclasses.dataclass
class AttemptPath:
    """How one attempt is connected to its endpoint.

    :ivar carrier: the id of the daemon that carries it; empty for a direct connection.
    :ivar is_carrier_lost: whether the carrier was lost before the endpoint's connection ended.
    :ivar is_endpoints_fault: whether another daemon that reaches endpoints doesn't reach this one.
    :ivar has_carrier: whether another daemon has offered to carry it.
    :ivar is_connected: whether a connection was up; without one nothing was sent.
    :ivar uses: counts it at its carrier until it is closed.
    """

    endpoint: Endpoint
    request_id: str
    carrier: str = ""
    is_carrier_lost: bool = False
    is_endpoints_fault: bool = False
    has_carrier: bool = False
    is_connected: bool = False
    uses: contextlib.ExitStack = dataclasses.field(default_factory=contextlib.ExitStack)


# The path of the attempt that is being sent in the current context. The client library has no way
# to pass it to the connector.
current_path: contextvars.ContextVar[AttemptPath | None] = contextvars.ContextVar(
    "current_path", default=None
)


class PathConnector(aiohttp.TCPConnector):
    """Connects each attempt directly or by way of another daemon.

    :param daemon_id: id of this daemon.
    """

    def __init__(
        self, daemon_id: str, reach: Reach, offers: TunnelOffers, **options: t.Any
    ) -> None:
        super().__init__(**options)
        self._daemon_id = daemon_id
        self._reach = reach
        self._offers = offers

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: t.Any, timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        path = current_path.get()
        if path is None:
            return await super()._create_connection(req, traces, timeout)
        # The library tells a timeout here as one of the connection.
        async with asyncio.timeout(MAX_CONNECT_SECONDS):
            if self._reach.is_cut_off(path.endpoint.service):
                # The direct path is tried afterwards, since it may work again.
                with contextlib.suppress(TunnelError):
                    return await self._tunnel(path)
            return await self._connect(path, super()._create_connection(req, traces, timeout))

    async def _connect(
        self, path: AttemptPath, connecting: t.Coroutine[t.Any, t.Any, ResponseHandler]
    ) -> ResponseHandler:
        """Connect directly; open a tunnel too if that takes long or fails for a reason of ours."""
        direct = asyncio.ensure_future(connecting)
        try:
            await asyncio.wait({direct}, timeout=HEAD_START_SECONDS)
            if direct.done() and direct.exception() is None:
                self._reach.record_success(path.endpoint)
                return direct.result()
            self._reach.record_failure(path.endpoint)
            if direct.done() and not self._is_own_fault_likely(path.endpoint):
                return direct.result()
            return await self._race(path, direct)
        except BaseException:
            _discard(direct)
            raise

    def _is_own_fault_likely(self, endpoint: Endpoint) -> bool:
        """Return whether connections to others of its service have failed as well."""
        return self._reach.failed_count(endpoint.service) > 1

    async def _race(
        self, path: AttemptPath, direct: "asyncio.Future[ResponseHandler]"
    ) -> ResponseHandler:
        """Return the first connection that is up, of a direct one and a tunnel.

        :raises aiohttp.ClientError: that of the direct connection if both fail.
        """
        tunnel = asyncio.ensure_future(self._tunnel(path))
        try:
            pending: set[asyncio.Future[ResponseHandler]] = {direct, tunnel}
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if tunnel in done and tunnel.exception() is None:
                    _discard(direct)
                    return tunnel.result()
                if direct in done and direct.exception() is None:
                    break
            connection = direct.result()
        except BaseException:
            _discard(tunnel)
            raise
        _discard(tunnel)
        self._reach.record_success(path.endpoint)
        path.carrier = ""
        return connection

    async def _tunnel(self, path: AttemptPath) -> ResponseHandler:
        """Return a connection to the endpoint by way of another daemon.

        :raises TunnelError: if there is none.
        """
        cause = TunnelError("no daemon offers a tunnel")
        for _ in range(MAX_CARRIERS):
            carrier = await self._offers.wait_choice(path.endpoint.service, OFFER_TIMEOUT_SECONDS)
            if carrier is None:
                break
            path.has_carrier = True
            try:
                return await self._open(path, carrier)
            except TunnelError as error:
                cause = error
                events.TUNNEL_FAILED.log(
                    id=path.request_id,
                    endpoint=path.endpoint.id,
                    carrier=carrier.daemon_id,
                    cause=str(error),
                )
                if error.is_endpoints:
                    path.is_endpoints_fault = True
                self._offers.avoid(carrier)
        raise cause

    async def _open(self, path: AttemptPath, carrier: Carrier) -> ResponseHandler:
        protocol = self._factory()

        def record_loss() -> None:
            path.is_carrier_lost = True
            self._offers.avoid(carrier)

        endpoint = path.endpoint
        opening = Opening(self._daemon_id, endpoint.id, endpoint.born)
        await open_tunnel(carrier.address, opening, protocol, record_loss, TUNNEL_TIMEOUT_SECONDS)
        path.carrier = carrier.daemon_id
        path.is_carrier_lost = False
        path.uses.enter_context(self._offers.track(carrier))
        events.ATTEMPT_TUNNELLED.log(
            id=path.request_id, endpoint=endpoint.id, carrier=carrier.daemon_id
        )
        return protocol


def _discard(connecting: "asyncio.Future[ResponseHandler]") -> None:
    """Give a connection up, whether it is up or not."""
    connecting.cancel()
    connecting.add_done_callback(_close)


def _close(connecting: "asyncio.Future[ResponseHandler]") -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()
