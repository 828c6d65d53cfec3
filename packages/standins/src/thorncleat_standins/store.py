"""Stand-in for the platform's key-value store, with the JSON interface of etcd v3.

Serves the platform's list of instances and a control endpoint for faults as well.

Owns: the list of instances, the current faults and the rate limiters.
Relies on: :mod:`thorncleat_standins.kv` for records, leases and events.
"""

import asyncio
import base64
import dataclasses
import hashlib
import json
import time
import typing as t

from aiohttp import web

from . import kv
from .served import Served

MAX_VALUE_BYTES = 1_000_000
RESOURCE_EXHAUSTED = 8  # gRPC status
# Limits for all daemons together (docs/DEVELOPERS.md).
MAX_WRITES_PER_SECOND = 100.0
MAX_READS_PER_SECOND = 2000.0


@dataclasses.dataclass
class Faults:
    """The current faults of the store.

    :param down: whether all calls are refused.
    :param delay: seconds before each call is executed.
    :param lose_answers: number of further writes that are executed without an answer.
    :param mute_watches: whether watches stay open without sending events.
    :param refuse_from: daemons, by their ``X-Daemon`` header, whose calls are refused.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    mute_watches: bool = False
    refuse_from: list[str] = dataclasses.field(default_factory=list)


class RateLimiter:
    """A token bucket that holds the calls of one second."""

    def __init__(self, per_second: float, clock: t.Callable[[], float]) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = per_second
        self._refilled_at = clock()

    def try_acquire(self) -> bool:
        """Take a token; return whether one was available."""
        now = self._clock()
        self._tokens = min(
            self._per_second, self._tokens + (now - self._refilled_at) * self._per_second
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _decode(text: str | None) -> bytes:
    return base64.b64decode(text or "")


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _record_json(record: kv.Record) -> dict[str, str]:
    return {
        "key": _encode(record.key),
        "value": _encode(record.value),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "lease": str(record.lease),
    }


def _event_json(event: kv.Event) -> dict[str, t.Any]:
    if event.record is None:
        kv_json = {"key": _encode(event.key), "mod_revision": str(event.revision)}
        return {"type": "DELETE", "kv": kv_json}
    return {"kv": _record_json(event.record)}


def _parse_compare(raw: dict[str, t.Any]) -> kv.Compare:
    field = {
        "MOD": "mod_revision",
        "CREATE": "create_revision",
        "VERSION": "version",
        "VALUE": "value",
    }[raw["target"]]
    expected = _decode(raw["value"]) if field == "value" else int(raw[field])
    return kv.Compare(_decode(raw["key"]), field, expected)


def _parse_operation(raw: dict[str, t.Any]) -> kv.Operation:
    if "request_put" in raw:
        put = raw["request_put"]
        return kv.Put(_decode(put["key"]), _decode(put["value"]), int(put.get("lease", 0)))
    delete = raw["request_delete_range"]
    return kv.Delete(_decode(delete["key"]), _decode(delete.get("range_end")))


class StoreServer:
    """Serves a :class:`kv.Store` and the list of instances over HTTP.

    :param writes: limit of writes per second.
    :param reads: limit of reads, including new watches, per second.
    """

    def __init__(
        self,
        writes: float = MAX_WRITES_PER_SECOND,
        reads: float = MAX_READS_PER_SECOND,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = kv.Store(clock)
        self.faults = Faults()
        self.instances: list[dict[str, t.Any]] = []
        self._write_rate = RateLimiter(writes, clock)
        self._read_rate = RateLimiter(reads, clock)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        app.add_routes(
            [
                web.post("/v3/kv/range", self._handle_range),
                web.post("/v3/kv/txn", self._handle_transaction),
                web.post("/v3/lease/grant", self._handle_grant),
                web.post("/v3/lease/keepalive", self._handle_renewal),
                web.post("/v3/lease/revoke", self._handle_revocation),
                web.post("/v3/watch", self._handle_watch),
                web.get("/platform/instances", self._list_instances),
                web.put("/platform/instances", self._set_instances),
                web.post("/faults", self._set_faults),
            ]
        )
        app.on_shutdown.append(self._end_watches)
        return app

    async def _end_watches(self, app: web.Application) -> None:
        self.faults.down = True
        self.store.wake_watchers()

    async def _admit_call(self, request: web.Request, rate: RateLimiter) -> None:
        if self.faults.down or request.headers.get("X-Daemon") in self.faults.refuse_from:
            raise web.HTTPServiceUnavailable(text='{"message": "down"}')
        if not rate.try_acquire():
            body = {"code": RESOURCE_EXHAUSTED, "message": "too many requests"}
            raise web.HTTPTooManyRequests(text=json.dumps(body))
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)

    def _lose_answer(self, request: web.Request) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("answer lost on purpose")

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    async def _handle_range(self, request: web.Request) -> web.Response:
        raw = await request.json()
        await self._admit_call(request, self._read_rate)
        records = self.store.get(_decode(raw["key"]), _decode(raw.get("range_end")))
        limit = int(raw.get("limit", 0)) or len(records)
        body = {
            "header": self._header(),
            "kvs": [_record_json(record) for record in records[:limit]],
            "more": len(records) > limit,
        }
        return web.json_response(body)

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        raw = await request.json()
        await self._admit_call(request, self._write_rate)
        operations = [_parse_operation(operation) for operation in raw.get("success", [])]
        for operation in operations:
            if isinstance(operation, kv.Put) and len(operation.value) > MAX_VALUE_BYTES:
                raise web.HTTPBadRequest(text='{"message": "value too large"}')
        try:
            compares = [_parse_compare(compare) for compare in raw["compare"]]
            succeeded = self.store.transact(compares, operations)
        except kv.LeaseNotFoundError:
            raise web.HTTPNotFound(text='{"message": "requested lease not found"}') from None
        self._lose_answer(request)
        return web.json_response({"header": self._header(), "succeeded": succeeded})

    async def _handle_grant(self, request: web.Request) -> web.Response:
        raw = await request.json()
        await self._admit_call(request, self._write_rate)
        lease = self.store.grant(float(raw["TTL"]))
        self._lose_answer(request)
        return web.json_response({"ID": str(lease.id), "TTL": str(lease.ttl)})

    async def _handle_renewal(self, request: web.Request) -> web.Response:
        raw = await request.json()
        await self._admit_call(request, self._write_rate)
        lease = self.store.renew(int(raw["ID"]))
        result = {"ID": raw["ID"], "TTL": str(lease.ttl if lease else 0)}
        return web.json_response({"result": result})

    async def _handle_revocation(self, request: web.Request) -> web.Response:
        raw = await request.json()
        await self._admit_call(request, self._write_rate)
        self.store.revoke(int(raw["ID"]))
        return web.json_response({"header": self._header()})

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        raw = (await request.json())["create_request"]
        await self._admit_call(request, self._read_rate)
        key, end = _decode(raw["key"]), _decode(raw.get("range_end"))
        revision = int(raw.get("start_revision", 0)) or self.store.revision + 1
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        changed = self.store.subscribe()
        try:
            await self._send(response, {"created": True})
            while not self.faults.down:
                if not self.faults.mute_watches:
                    events = self.store.events_since(revision, key, end)
                    revision = self.store.revision + 1
                    if events:
                        await self._send(
                            response, {"events": [_event_json(event) for event in events]}
                        )
                await changed.wait()
                changed.clear()
        finally:
            self.store.unsubscribe(changed)
        return response

    async def _send(self, response: web.StreamResponse, result: dict[str, t.Any]) -> None:
        line = json.dumps({"result": {"header": self._header(), **result}})
        await response.write(line.encode() + b"\n")

    async def _list_instances(self, request: web.Request) -> web.Response:
        filters = dict(request.query)
        rows = [
            row
            for row in self.instances
            if all(row.get(name) == value for name, value in filters.items())
        ]
        text = json.dumps({"instances": rows})
        etag = f'"{hashlib.sha256(text.encode()).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.json_response(text=text, headers={"ETag": etag})

    async def _set_instances(self, request: web.Request) -> web.Response:
        self.instances = (await request.json())["instances"]
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self.faults = dataclasses.replace(self.faults, **changes)
        self.store.wake_watchers()
        return web.json_response(dataclasses.asdict(self.faults))


async def serve(
    host: str = "127.0.0.1", port: int = 0, writes: float = MAX_WRITES_PER_SECOND
) -> Served:
    """Serve a store; port 0 takes a free one."""
    return await Served.start(StoreServer(writes=writes).application(), host, port)
