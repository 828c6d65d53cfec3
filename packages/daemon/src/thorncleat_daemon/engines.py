"""Adapter to the control interface of the model engines.

Owns: nothing.
Relies on: engines that refuse orders of an earlier epoch.
"""

import dataclasses
import json

import aiohttp

from thorncleat_core import codec
from thorncleat_core.bounded_answers import read_body
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.exceptions import DecodeError

from .exceptions import EndpointError
from .exceptions import EndpointSilentError
from .exceptions import StaleOrderError
from .ports import Order

MAX_REPORT_BYTES = 65_536
MIN_REDIRECTION = 300  # HTTP status


class HttpEngines:
    """Probes engines and sends them orders over HTTP.

    :param timeout: seconds for a call; an order that takes longer counts as failed.
    """

    def __init__(self, session: aiohttp.ClientSession, timeout: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def probe(self, address: str) -> InstanceReport:
        """Return an engine's report of itself.

        :raises EndpointSilentError: if it doesn't answer in time.
        :raises EndpointError: if it can't be reached or its answer is invalid.
        """
        url = f"http://{address}/v1/state"
        try:
            async with self._session.get(
                url, timeout=self._timeout, allow_redirects=False
            ) as response:
                _check_status(response)
                body = await read_body(response, MAX_REPORT_BYTES)
                return codec.validate(InstanceReport, json.loads(body))
        except TimeoutError as error:
            raise EndpointSilentError(f"probe of {address!r}: no answer in time") from error
        except (aiohttp.ClientError, ValueError, DecodeError) as error:
            raise EndpointError(f"probe of {address!r}: {error!r}") from error

    async def order(self, address: str, order: Order) -> None:
        """Send an engine an order.

        :raises StaleOrderError: if the engine follows a later epoch.
        :raises EndpointError: if the engine doesn't answer or fails.
        """
        url = f"http://{address}/v1/orders"
        body = dataclasses.asdict(order)
        try:
            async with self._session.post(
                url, json=body, timeout=self._timeout, allow_redirects=False
            ) as response:
                if response.status == 409:
                    raise StaleOrderError(f"{address!r} refused epoch {order.epoch!r}")
                _check_status(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EndpointError(f"order to {address!r}: {error!r}") from error


def _check_status(response: aiohttp.ClientResponse) -> None:
    """Check that an engine has done what it was asked.

    :raises aiohttp.ClientError: if it hasn't; a redirection to another engine is no success.
    """
    response.raise_for_status()
    if response.status >= MIN_REDIRECTION:
        raise aiohttp.ClientPayloadError(f"status {response.status}")
