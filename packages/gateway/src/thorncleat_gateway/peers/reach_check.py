"""Checks whether this daemon reaches endpoints, as soon as one of its connections has failed.

Without it, a daemon with few requests would learn late that it is cut off, and no request would
find out that the endpoints can be reached again.

Owns: the connections of the check.
Relies on: :mod:`.reach` to judge the results.
"""

import asyncio
import random
import typing as t

from ..service import Service
from ..service import background_task
from ..store.roster import Endpoint
from ..store.view import StoreView
from .reach import MIN_FAILED_ENDPOINTS
from .reach import Reach

# How long requests have to disprove a doubt by themselves before connections are made for it.
DOUBT_SECONDS = 0.02
# Interval between two checks while the doubt remains.
CHECK_INTERVAL_SECONDS = 0.25


class ReachCheck(Service):
    """Connects to a few endpoints while it is doubtful whether this daemon reaches any.

    :param connect: connects to an endpoint and returns whether the connection came up in time.
    """

    def __init__(
        self,
        reach: Reach,
        view: StoreView,
        connect: t.Callable[[Endpoint], t.Awaitable[bool]],
    ) -> None:
        super().__init__()
        self._reach = reach
        self._view = view
        self._connect = connect

    @background_task
    async def _check_task(self) -> None:
        while not self.should_stop:
            await self._reach.wait_doubtful()
            await asyncio.sleep(DOUBT_SECONDS)
            listed = {endpoint.service for endpoint in self._view.roster.endpoints.values()}
            self._reach.forget_unlisted(listed)
            services = self._services_to_check(listed)
            if services:
                await asyncio.gather(*map(self.check, services))
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _services_to_check(self, listed: t.Iterable[str]) -> set[str]:
        """Return the doubtful services, and all others once this daemon is cut off from one.

        The first request to a service that is seldom asked for would otherwise meet the cut.
        """
        services = set(self._reach.doubtful_services)
        lost_at = self._reach.lost_at
        if lost_at is not None:
            services |= {
                service for service in listed if not self._reach.succeeded_since(service, lost_at)
            }
        return services

    async def confirms_reach(self, service: str, since: float) -> bool:
        """Return whether a connection to a service has come up since an instant, or does now.

        An earlier one shows nothing, since this daemon may have been cut off in between.

        :param since: in seconds on the gateway's clock.
        """
        if not self._reach.succeeded_since(service, since):
            await self.check(service)
        return self._reach.succeeded_since(service, since) and not self._reach.is_cut_off(service)

    async def check(self, service: str) -> None:
        """Connect to some endpoints of a service, and record the results.

        Those to which no connection has failed yet come first. While this daemon is cut off, one
        endpoint is enough to notice the end.
        """
        await asyncio.gather(*(self._check(endpoint) for endpoint in self._draw(service)))

    def _draw(self, service: str) -> list[Endpoint]:
        endpoints = self._view.roster.of_service(service)
        untried = [endpoint for endpoint in endpoints if not self._reach.has_failed(endpoint)]
        if self._reach.is_cut_off(service):
            return random.sample(untried or endpoints, min(1, len(endpoints)))
        return random.sample(untried, min(MIN_FAILED_ENDPOINTS - 1, len(untried)))

    async def _check(self, endpoint: Endpoint) -> None:
        """Connect to an endpoint; a fault of the check doesn't end those of the others."""
        comes_up = False
        with self._failures.contain("reach check"):
            comes_up = await self._connect(endpoint)
        if comes_up:
            self._reach.record_success(endpoint)
        else:
            self._reach.record_failure(endpoint)


async def connects(address: str, timeout: float) -> bool:
    """Return whether a TCP connection to an address comes up.

    :param address: ``host:port``.
    :param timeout: seconds.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True
