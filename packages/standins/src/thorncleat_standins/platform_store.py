"""Stand-in for the store of the users' platform, with faults that attributes switch on.

Owns: items, leases and the history since the last compaction.
Relies on: frequent calls, during which leases expire.
"""

import asyncio
import base64
import dataclasses
import json
import time
import typing as t

from aiohttp import web

Document = dict[str, t.Any]
MAX_PAGE_ENTRIES = 500
# Interval at which a waiting watch expires leases.
LEASE_POLL_INTERVAL_SECONDS = 0.2
SHUTDOWN_TIMEOUT_SECONDS = 0.1
LEASE_ID_OFFSET = 1000
EVACUATIONS = "op/evacuate/"
# The store's era, which increases each time the store is restored from a backup.
ERA_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class Backup:
    """A copy of the store's state."""

    revision: int
    compacted_revision: int
    granted_leases: int
    items: dict[str, Document]
    history: list[tuple[int, Document]]
    leases: dict[int, tuple[float, float]]


class PlatformStore:
    """A store that serves ``/thorncleat/kv-*``.

    :ivar refuse: whether all calls are answered with status 503.
    :ivar lose_answers: number of further writes that take effect but whose connection is cut.
    :ivar era: increases with each :meth:`restore`.
    :ivar calls: paths of all calls.
    """

    def __init__(self) -> None:
        self._items: dict[str, Document] = {}
        self._history: list[tuple[int, Document]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._compacted_revision = 0
        self._granted_leases = 0
        self._runner: web.AppRunner | None = None
        self.revision = 1
        self.era = 1
        self.refuse = False
        self.lose_answers = 0
        self.calls: list[str] = []

    async def start(self) -> str:
        """Listen on a free loopback port and return the address."""
        app = web.Application(client_max_size=2**24)
        routes = {
            ("GET", "kv-key"): self._handle_key,
            ("GET", "kv-range"): self._handle_range,
            ("GET", "kv-watch"): self._handle_watch,
            ("POST", "kv-txn"): self._handle_transaction,
            ("POST", "kv-lease"): self._handle_grant,
            ("POST", "kv-keep/{id}"): self._handle_renewal,
            ("DELETE", "kv-lease-end/{id}"): self._handle_revocation,
        }
        for (method, path), handler in routes.items():
            app.router.add_route(method, f"/thorncleat/{path}", self._wrap_handler(path, handler))
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, key: str, document: Document, lease: int = 0) -> int:
        """Write a document as the operator or a worker does; return its revision."""
        return self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record_change({"private_key": key, "revision": self.revision, "deleted": True})

    def evacuate(self, zone: str) -> None:
        """Evacuate a failure domain as the operator does."""
        self.write(EVACUATIONS + zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Revoke the evacuation of a failure domain."""
        self.delete(EVACUATIONS + zone)

    def compact(self) -> None:
        """Discard the history, so that watches of earlier revisions fail with status 410."""
        self._compacted_revision = self.revision
        self._history.clear()
        self._wake_watches()

    def backup(self) -> Backup:
        """Return a copy of the state for :meth:`restore`."""
        return Backup(
            self.revision,
            self._compacted_revision,
            self._granted_leases,
            dict(self._items),
            list(self._history),
            dict(self._leases),
        )

    def restore(self, backup: Backup) -> None:
        """Return to a backup and begin a new era.

        Later writes and leases are lost, and their revisions and lease ids are assigned again.
        """
        self.era += 1
        self.revision, self._compacted_revision = backup.revision, backup.compacted_revision
        self._granted_leases = backup.granted_leases
        self._items, self._history = dict(backup.items), list(backup.history)
        self._leases = dict(backup.leases)
        self._wake_watches()

    def keys(self, prefix: str) -> list[str]:
        """Return the sorted keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        previous = self._items.get(key)
        created = previous["created"] if previous else self.revision
        item = {
            "private_key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._record_change(item)
        return self.revision

    def _record_change(self, item: Document) -> None:
        self._history.append((item["revision"], item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self._leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease_id"] == lease]:
            self.delete(key)

    def _wrap_handler(
        self, path: str, handler: t.Callable[[web.Request], t.Awaitable[web.Response]]
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            self.calls.append(path)
            if self.refuse:
                return web.Response(status=503, headers=self._headers())
            self._expire()
            answer = await handler(request)
            answer.headers.update(self._headers())
            if self.lose_answers and path == "kv-txn":
                self.lose_answers -= 1
                assert request.transport is not None
                request.transport.abort()
            return answer

        return handle

    def _headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self.era)}

    async def _handle_key(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["private_key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "timestamp": self.revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        prefix, since = request.query["path_prefix"], request.query.get("since_rev", "")
        keys = [key for key in self.keys(prefix) if key >= since]
        entries = [self._items[key] for key in keys[:MAX_PAGE_ENTRIES]]
        body = {
            "entries": entries,
            "has_more": len(keys) > MAX_PAGE_ENTRIES,
            "timestamp": self.revision,
        }
        return web.json_response(body)

    async def _handle_watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since_rev"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self._compacted_revision <= since <= self.revision:
                return web.Response(status=410)
            prefix = request.query["path_prefix"]
            changes = [
                item
                for revision, item in self._history
                if revision > since and item["private_key"].startswith(prefix)
            ]
            seconds_left = deadline - time.monotonic()
            if changes or seconds_left <= 0:
                return web.json_response({"events": changes, "timestamp": self.revision})
            try:
                await asyncio.wait_for(
                    self._changed.wait(), min(seconds_left, LEASE_POLL_INTERVAL_SECONDS)
                )
            except TimeoutError:
                self._expire()

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        document = await request.json()
        for row in document["expected_rev"]:
            item = self._items.get(row["private_key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return web.json_response({"entries": [item] if item else []}, status=412)
        leases = {put.get("lease_id", 0) for put in document["puts"]} - {0}
        if not leases <= set(self._leases):
            return web.Response(status=404)
        for put in document["puts"]:
            self._put(put["private_key"], put["value"], put.get("lease_id", 0))
        for key in document["remove"]:
            self.delete(key)
        return web.json_response({"revision": self.revision})

    async def _handle_grant(self, request: web.Request) -> web.Response:
        ttl = (await request.json())["ttl_ms"] / 1000
        self._granted_leases += 1
        lease = LEASE_ID_OFFSET + self._granted_leases
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"lease_id": lease, "ttl_ms": int(ttl * 1000)})

    async def _handle_renewal(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.Response(status=404)
        _, ttl = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ttl_ms": int(ttl * 1000)})

    async def _handle_revocation(self, request: web.Request) -> web.Response:
        self._end_lease(int(request.match_info["id"]))
        return web.Response()
