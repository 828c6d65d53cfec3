"""Determines whether this daemon itself is cut off from the endpoints.

That an endpoint doesn't answer this daemon proves something about the pair, not about the endpoint.
If connections to several endpoints fail in a row and none succeeds, this daemon is the likelier
fault, and its own silence from an endpoint is no evidence against that endpoint.

Owns: the endpoints to which connections have failed since the latest one that succeeded.
Relies on: :class:`~..requests.endpoint_client.EndpointClient`, :class:`~..groups.orders.Orders` and
:class:`.reach_check.ReachCheck` to record the results of this daemon's own connections, not those
of connections by way of a peer.
"""

import asyncio
import typing as t

from .. import events

# Endpoints to which connections must fail in a row.
MIN_FAILED_ENDPOINTS = 3


class Reach:
    """Whether this daemon reaches endpoints by connections of its own.

    :param count_endpoints: returns the number of listed endpoints; all of them must fail if they
        are fewer than :data:`MIN_FAILED_ENDPOINTS`.
    """

    def __init__(
        self,
        clock: t.Callable[[], float],
        count_endpoints: t.Callable[[], int] = lambda: MIN_FAILED_ENDPOINTS,
    ) -> None:
        self._clock = clock
        self._count_endpoints = count_endpoints
        self._failed: set[str] = set()
        self._lost_at: float | None = None
        self._succeeded_at = float("-inf")
        self._has_doubt = asyncio.Event()
        self._listeners: list[t.Callable[[], None]] = []

    @property
    def is_doubtful(self) -> bool:
        """Whether a connection has failed since the latest one that succeeded."""
        return bool(self._failed)

    @property
    def failed_count(self) -> int:
        """Number of endpoints to which connections have failed since the latest success."""
        return len(self._failed)

    @property
    def succeeded_at(self) -> float:
        """When a connection last reached an endpoint, in seconds on the gateway's clock."""
        return self._succeeded_at

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon most likely reaches no endpoint."""
        return self._lost_at is not None

    @property
    def cut_off_seconds(self) -> float:
        """Seconds for which this daemon has been cut off; 0 if it isn't."""
        return 0.0 if self._lost_at is None else self._clock() - self._lost_at

    def on_loss(self, listener: t.Callable[[], None]) -> None:
        """Call a function each time this daemon finds itself cut off."""
        self._listeners.append(listener)

    def has_failed(self, endpoint_id: str) -> bool:
        """Return whether a connection to an endpoint has failed since the latest success."""
        return endpoint_id in self._failed

    def succeeded_since(self, since: float) -> bool:
        """Return whether a connection reached an endpoint at or after an instant in seconds."""
        return self._succeeded_at >= since

    async def wait_doubtful(self) -> None:
        """Wait until a connection has failed."""
        await self._has_doubt.wait()

    def record_success(self) -> None:
        """Record that a connection of this daemon reached an endpoint."""
        self._succeeded_at = self._clock()
        self._failed.clear()
        self._has_doubt.clear()
        if self._lost_at is not None:
            events.ENDPOINTS_REACHED.log(seconds=round(self.cut_off_seconds, 3))
            self._lost_at = None

    def record_failure(self, endpoint_id: str) -> None:
        """Record that a connection of this daemon didn't reach an endpoint."""
        self._failed.add(endpoint_id)
        self._has_doubt.set()
        needed = min(MIN_FAILED_ENDPOINTS, max(1, self._count_endpoints()))
        if self._lost_at is None and len(self._failed) >= needed:
            self._lost_at = self._clock()
            events.CUT_OFF.log(failed=sorted(self._failed))
            for listener in self._listeners:
                listener()
