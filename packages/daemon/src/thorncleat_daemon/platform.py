"""Adapter to the platform's list of instances.

Owns: the cached parts of the list with their entity tags.
Relies on: the platform's servers; the next one is used after a failure.
"""

import json
import typing as t

import aiohttp
import pydantic

from thorncleat_core.bounded_answers import read_body
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.fleet import ListedInstance

from .exceptions import PlatformError

PATH = "/platform/instances"
TIMEOUT_SECONDS = 3.0
# The list names each instance of the fleet in a few hundred bytes.
MAX_LIST_BYTES = 32 << 20
NOT_MODIFIED = 304
_ROWS = pydantic.TypeAdapter(list[ListedInstance])


class _CachedList(t.NamedTuple):
    """A cached part of the list and its entity tag."""

    tag: str
    rows: list[Instance]


class HttpInstanceList:
    """Fetches parts of the list over HTTP, with conditional requests for unchanged parts.

    :param endpoints: ``host:port`` of each server; the next one is used after a failure.
    """

    def __init__(self, session: aiohttp.ClientSession, endpoints: t.Sequence[str]) -> None:
        self._session = session
        self._endpoints = list(endpoints)
        self._endpoint_index = 0
        self._cache: dict[str, _CachedList] = {}

    async def entries(self) -> list[Instance]:
        """Return the instances that run daemons."""
        return await self._fetch("?kind=entry")

    async def domain(self, name: str) -> list[Instance]:
        """Return the endpoint instances of a fabric domain."""
        return await self._fetch(f"?kind=endpoint&fabric_domain={name}")

    async def everything(self) -> list[Instance]:
        """Return all instances."""
        rows = await self._fetch("")
        self._cache.pop("", None)
        return rows

    async def _fetch(self, query: str) -> list[Instance]:
        url = f"http://{self._endpoints[self._endpoint_index]}{PATH}{query}"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        cached = self._cache.get(query)
        headers = {"If-None-Match": cached.tag} if cached else {}
        try:
            async with self._session.get(
                url, timeout=timeout, headers=headers, allow_redirects=False
            ) as response:
                if response.status == NOT_MODIFIED and cached:
                    return cached.rows
                response.raise_for_status()
                raw = json.loads(await read_body(response, MAX_LIST_BYTES))
                tag = response.headers.get("ETag", "")
            listed = _ROWS.validate_python(raw["instances"])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError) as error:
            self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)
            raise PlatformError(f"list of instances: {error!r}") from error
        rows = [Instance.from_listed(row) for row in listed]
        if tag:
            self._cache[query] = _CachedList(tag, rows)
        return rows
