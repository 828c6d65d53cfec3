"""Adapter to the platform's key-value service through etcd's v3 JSON gateway.

Owns: the server in use, and whether the newest call was answered.
Relies on: the rate budget (:mod:`thorncleat_core.daemon.budget`); statuses and connection errors
that tell whether a call may have taken effect.
"""

import asyncio
import base64
import json
import typing as t

import aiohttp
from aiohttp.http import HttpProcessingError

from thorncleat_core import clock
from thorncleat_core.bounded_answers import read_body
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.budget import StoreBudget

from . import events
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreRefusedError
from .exceptions import StoreUnavailableError
from .ports import Condition
from .ports import Erase
from .ports import KeyNotRecreated
from .ports import Operation
from .ports import Stored

# HTTP statuses of calls that the store did not carry out.
REFUSED_STATUSES = frozenset({429, 503})
# A listing of a large fleet has a few million bytes.
MAX_ANSWER_BYTES = 32 << 20
MAX_BUDGET_WAIT_SECONDS = 2.0
Json = dict[str, t.Any]


def _encoded(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that begin with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _stored(row: Json) -> Stored:
    return Stored(
        base64.b64decode(row["key"]).decode(),
        base64.b64decode(row.get("value", "")),
        int(row.get("create_revision", 0)),
        int(row.get("mod_revision", 0)),
    )


def _condition(condition: Condition) -> Json:
    row: Json = {"key": _encoded(condition.key.encode()), "result": "EQUAL"}
    if isinstance(condition, KeyNotRecreated):
        return row | {"target": "CREATE", "create_revision": str(condition.create_revision)}
    return row | {"target": "MOD", "mod_revision": str(condition.mod_revision)}


def _operation(operation: Operation) -> Json:
    key = _encoded(operation.key.encode())
    if isinstance(operation, Erase):
        end = {"range_end": _encoded(_prefix_end(operation.key))} if operation.prefix else {}
        return {"request_delete_range": {"key": key, **end}}
    put: Json = {"key": key, "value": _encoded(operation.value)}
    if operation.lease:
        put["lease"] = str(operation.lease)
    return {"request_put": put}


class EtcdStore:
    """Calls the store within the daemon's rate budget.

    :param endpoints: ``host:port`` of each server; the next one is used after a failure.
    :param timeout: seconds for a call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: t.Sequence[str],
        budget: StoreBudget,
        daemon: str,
        timeout: float = 2.0,
    ) -> None:
        self._session = session
        self._endpoints = list(endpoints)
        self._endpoint_index = 0
        self._budget = budget
        self._daemon = daemon
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._is_reachable = True

    @property
    def is_reachable(self) -> bool:
        """Whether the newest call was answered."""
        return self._is_reachable

    @property
    def budget(self) -> StoreBudget:
        """The rate limiter of the calls."""
        return self._budget

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        """Return the value of a key, or None."""
        body = {"key": _encoded(key.encode())}
        rows = (await self._read("/v3/kv/range", body, purpose)).get("kvs", [])
        return _stored(rows[0]) if rows else None

    async def read_under(self, prefix: str, purpose: Purpose) -> list[Stored]:
        """Return all values whose keys begin with a prefix, sorted by key."""
        body = {"key": _encoded(prefix.encode()), "range_end": _encoded(_prefix_end(prefix))}
        rows = (await self._read("/v3/kv/range", body, purpose)).get("kvs", [])
        return [_stored(row) for row in rows]

    async def transact(
        self, conditions: t.Sequence[Condition], operations: t.Sequence[Operation], purpose: Purpose
    ) -> int | None:
        """Apply all operations if all conditions hold; return the revision, else None."""
        body = {
            "compare": [_condition(condition) for condition in conditions],
            "success": [_operation(operation) for operation in operations],
        }
        answer = await self._call("/v3/kv/txn", body, purpose, write=True)
        return int(answer["header"]["revision"]) if answer.get("succeeded") else None

    async def grant(self, ttl: float) -> int:
        """Create a lease and return its id.

        :param ttl: in seconds.
        """
        answer = await self._call("/v3/lease/grant", {"TTL": ttl}, Purpose.LEASE, write=True)
        return int(answer["ID"])

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        body = {"ID": str(lease)}
        answer = await self._call("/v3/lease/keepalive", body, Purpose.LEASE, write=True)
        return float(answer["result"].get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, Purpose.LEASE, write=True)

    async def watch(self, key: str) -> t.AsyncIterator[Stored | None]:
        """Yield None when the watch is established, then each new value of a key."""
        await self._wait_for_budget(False, Purpose.CONFIG)
        url = f"http://{self._endpoints[self._endpoint_index]}/v3/watch"
        body = {"create_request": {"key": _encoded(key.encode())}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2)
        try:
            async with self._session.post(
                url,
                json=body,
                timeout=timeout,
                headers={"X-Daemon": self._daemon},
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    raise StoreUnavailableError(f"watch refused with {response.status!r}")
                async for line in response.content:
                    for value in _parse_watch_line(line):
                        yield value
        except (aiohttp.ClientError, HttpProcessingError, TimeoutError, ValueError) as error:
            raise StoreUnavailableError(f"watch of {key!r} ended: {error!r}") from error

    async def _wait_for_budget(self, write: bool, purpose: Purpose) -> None:
        waited = 0.0
        while wait := self._budget.reserve(write, purpose, clock.now()):
            waited += wait
            if waited > MAX_BUDGET_WAIT_SECONDS:
                raise StoreUnavailableError(f"no room in the store's budget for {purpose!s}")
            await asyncio.sleep(wait)

    async def _read(self, path: str, body: Json, purpose: Purpose) -> Json:
        try:
            return await self._call(path, body, purpose, write=False)
        except StoreOutcomeUnknownError as error:
            # A lost read has no effect, so it may be retried.
            raise StoreUnavailableError(str(error)) from error

    async def _call(self, path: str, body: Json, purpose: Purpose, *, write: bool) -> Json:
        await self._wait_for_budget(write, purpose)
        url = f"http://{self._endpoints[self._endpoint_index]}{path}"
        headers = {"X-Purpose": str(purpose), "X-Daemon": self._daemon}
        try:
            async with self._session.post(
                url,
                json=body,
                timeout=self._timeout,
                headers=headers,
                allow_redirects=False,
            ) as response:
                text = (await read_body(response, MAX_ANSWER_BYTES)).decode()
                self._mark_answered()
                return self._parse_answer(response.status, text)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._mark_failed()
            raise StoreUnavailableError(f"no connection: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._mark_failed()
            raise StoreOutcomeUnknownError(f"answer lost: {error!r}") from error

    def _parse_answer(self, status: int, text: str) -> Json:
        if status in REFUSED_STATUSES:
            self._mark_failed()
            raise StoreUnavailableError(f"refused with {status!r}")
        if status >= 500:
            raise StoreOutcomeUnknownError(f"failed with {status!r}")
        if status >= 400:
            raise StoreRefusedError(f"refused with {status!r}: {text[:200]!r}")
        return t.cast(Json, json.loads(text))

    def _mark_answered(self) -> None:
        if not self._is_reachable:
            events.STORE_BACK.log()
        self._is_reachable = True

    def _mark_failed(self) -> None:
        if self._is_reachable:
            events.STORE_LOST.log(endpoint=self._endpoints[self._endpoint_index])
        self._is_reachable = False
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)


def _parse_watch_line(line: bytes) -> t.Iterator[Stored | None]:
    result = json.loads(line).get("result", {})
    if result.get("created"):
        yield None
    for event in result.get("events", []):
        if event.get("type", "PUT") == "PUT":
            yield _stored(event["kv"])
