"""Determines from which services this daemon itself is cut off.

That an endpoint doesn't answer this daemon proves something about the pair, not about the endpoint.
If connections to several endpoints of a service fail in a row and none succeeds, this daemon is the
likelier fault, and its own silence from an endpoint there is no evidence against that endpoint.

Owns: the endpoints of each service to which connections have failed since the latest success.
Relies on: :class:`~..requests.endpoint_client.EndpointClient`, :class:`~..groups.orders.Orders` and
:class:`.reach_check.ReachCheck` to record the results of this daemon's own connections, not those
of connections by way of a peer.
"""

import asyncio
import dataclasses
import typing as t

from .. import events
from ..callbacks import Callbacks
from ..store.roster import Endpoint

# Endpoints of a service to which connections must fail in a row.
MIN_FAILED_ENDPOINTS = 3
# A single endpoint may as well have failed itself.
LEAST_ENDPOINTS = 2
# How long no connection must have come up. Endpoints that crash together fail within milliseconds,
# beside others that answer.
MIN_SILENCE_SECONDS = 0.1
NEVER = float("-inf")


@dataclasses.dataclass
class _ServiceReach:
    """What is known of this daemon's connections to a service.

    :param failed: ids of the endpoints to which connections have failed since the latest success.
    :param succeeded_at: when a connection last came up.
    :param lost_at: when this daemon found itself cut off; None if it isn't.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    succeeded_at: float = NEVER
    lost_at: float | None = None


class Reach:
    """Whether connections of this daemon reach the endpoints of each service.

    :param clock: monotonic, in seconds.
    :param count_endpoints: returns the number of a service's listed endpoints; all of them must
        fail if they are fewer than :data:`MIN_FAILED_ENDPOINTS`, and two at least.
    """

    def __init__(
        self,
        clock: t.Callable[[], float],
        count_endpoints: t.Callable[[str], int] = lambda _: MIN_FAILED_ENDPOINTS,
    ) -> None:
        self._clock = clock
        self._count_endpoints = count_endpoints
        self._services: dict[str, _ServiceReach] = {}
        self._has_doubt = asyncio.Event()
        self._listeners = Callbacks[[str]]("loss of a service")

    @property
    def doubtful_services(self) -> list[str]:
        """The services to which a connection has failed since the latest one that came up."""
        return [service for service, found in self._services.items() if found.failed]

    @property
    def cut_off_seconds(self) -> float:
        """Seconds for which this daemon has been cut off from some service; 0 if it isn't."""
        return 0.0 if self.lost_at is None else self._clock() - self.lost_at

    @property
    def lost_at(self) -> float | None:
        """When this daemon found itself cut off from some service first; None if it isn't."""
        lost = [found.lost_at for found in self._services.values() if found.lost_at is not None]
        return min(lost, default=None)

    def is_doubtful(self, service: str) -> bool:
        """Return whether a connection to a service failed since the latest one that came up."""
        found = self._services.get(service)
        return found is not None and bool(found.failed)

    def is_cut_off(self, service: str) -> bool:
        """Return whether this daemon most likely reaches no endpoint of a service."""
        found = self._services.get(service)
        return found is not None and found.lost_at is not None

    def seconds_cut_off(self, service: str) -> float:
        """Return the seconds for which this daemon has been cut off from a service; 0 if not."""
        found = self._services.get(service)
        return 0.0 if found is None or found.lost_at is None else self._clock() - found.lost_at

    def failed_count(self, service: str) -> int:
        """Return the number of endpoints that have failed since the latest success."""
        found = self._services.get(service)
        return 0 if found is None else len(found.failed)

    def has_failed(self, endpoint: Endpoint) -> bool:
        """Return whether a connection to an endpoint failed since its service's last success."""
        found = self._services.get(endpoint.service)
        return found is not None and endpoint.id in found.failed

    def succeeded_at(self, service: str) -> float:
        """Return when a connection to a service last came up, in seconds on the clock."""
        found = self._services.get(service)
        return NEVER if found is None else found.succeeded_at

    def succeeded_since(self, service: str, since: float) -> bool:
        """Return whether a connection to a service came up at or after an instant."""
        return self.succeeded_at(service) >= since

    def on_loss(self, listener: t.Callable[[str], None]) -> None:
        """Call a function with each service from which this daemon finds itself cut off."""
        self._listeners.add(listener)

    async def wait_doubtful(self) -> None:
        """Wait until there is a doubtful service."""
        await self._has_doubt.wait()

    def record_success(self, endpoint: Endpoint) -> None:
        """Record that a connection of this daemon reached an endpoint."""
        found = self._services.setdefault(endpoint.service, _ServiceReach())
        found.succeeded_at = self._clock()
        found.failed.clear()
        if not self.doubtful_services:
            self._has_doubt.clear()
        if found.lost_at is not None:
            seconds = round(self.seconds_cut_off(endpoint.service), 3)
            events.ENDPOINTS_REACHED.log(service=endpoint.service, seconds=seconds)
            found.lost_at = None

    def record_failure(self, endpoint: Endpoint) -> None:
        """Record that a connection of this daemon didn't reach an endpoint."""
        service = endpoint.service
        found = self._services.setdefault(service, _ServiceReach())
        found.failed.add(endpoint.id)
        self._has_doubt.set()
        needed = min(MIN_FAILED_ENDPOINTS, max(LEAST_ENDPOINTS, self._count_endpoints(service)))
        is_silent = self._clock() - found.succeeded_at >= MIN_SILENCE_SECONDS
        if found.lost_at is None and len(found.failed) >= needed and is_silent:
            found.lost_at = self._clock()
            events.CUT_OFF.log(service=service, failed=sorted(found.failed))
            self._listeners.call(service)

    def forget_unlisted(self, services: t.Container[str]) -> None:
        """Forget services of which no endpoint is listed any more."""
        self._services = {
            service: found for service, found in self._services.items() if service in services
        }
        if not self.doubtful_services:
            self._has_doubt.clear()
