"""Adapter to the platform's list of instances."""

import typing as t

import aiohttp
import pydantic

from thorncleat_core.fleet import Instance
from thorncleat_core.fleet import ListedInstance

from .exceptions import PlatformError

_ROWS = pydantic.TypeAdapter(list[ListedInstance])


class HttpInstanceList:
    """Fetches the list over HTTP.

    :param endpoints: ``host:port`` of each server; the next one is tried after a failure.
    """

    def __init__(self, session: aiohttp.ClientSession, endpoints: t.Sequence[str]) -> None:
        self._session = session
        self._endpoints = list(endpoints)
        self._current = 0

    async def fetch(self) -> list[Instance]:
        """Return all listed instances.

        :raises PlatformError: if it can't be had or is broken.
        """
        url = f"http://{self._endpoints[self._current]}/platform/instances"
        timeout = aiohttp.ClientTimeout(total=3)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                raw = await response.json()
            rows = _ROWS.validate_python(raw["instances"])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError) as error:
            self._current = (self._current + 1) % len(self._endpoints)
            raise PlatformError(f"list of instances: {error!r}") from error
        return [Instance.from_listed(row) for row in rows]
