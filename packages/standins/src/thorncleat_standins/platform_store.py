"""A stand-in of the users' platform's store, by its published page.

Items with revisions, conditions, leases, watches; faults are switched by attributes.

Owns: items, leases and the history since it was last forgotten.
Relies on: being asked often enough to end leases; it has no task of its own.
"""

import asyncio
import base64
import dataclasses
import json
import time
import typing as t

from aiohttp import web

Document = dict[str, t.Any]
# entries of one answer about a range
PAGE_ENTRIES = 500
# between two looks at leases while a watch waits
LOOK_SECONDS = 0.2
# for handlers to end
SHUTDOWN_SECONDS = 0.1
# ids of leases lie above; any number would do
FIRST_LEASE = 1000
# of the number that rises each time the store comes back from a copy
ERA_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class Backup:
    """What the store held at one moment, from which it may come back."""

    revision: int
    forgotten: int
    granted: int
    items: dict[str, Document]
    history: list[tuple[int, Document]]
    leases: dict[int, tuple[float, float]]


class PlatformStore:
    """A store that serves ``/thorncleat/kv-*``.

    :ivar refuse: whether every call gets 503.
    :ivar lose_answers: writes that take effect and whose connection is then cut.
    :ivar era: rises each time the store comes back from a copy.
    """

    def __init__(self) -> None:
        self._items: dict[str, Document] = {}
        self._history: list[tuple[int, Document]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._forgotten = 0
        self._granted = 0
        self._runner: web.AppRunner | None = None
        self.revision = 1
        self.era = 1
        self.refuse = False
        self.lose_answers = 0
        self.calls: list[str] = []

    async def start(self) -> str:
        """Listen on a free port of the loopback and return the address."""
        app = web.Application(client_max_size=2**24)
        routes = {
            ("GET", "kv-key"): self._key,
            ("GET", "kv-range"): self._range,
            ("GET", "kv-watch"): self._watch,
            ("POST", "kv-txn"): self._txn,
            ("POST", "kv-lease"): self._lease,
            ("POST", "kv-keep/{id}"): self._keep,
            ("DELETE", "kv-lease-end/{id}"): self._end,
        }
        for (method, path), handler in routes.items():
            app.router.add_route(method, f"/thorncleat/{path}", self._guarded(path, handler))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, key: str, document: Document, lease: int = 0) -> int:
        """Write a document as the operator or a worker would."""
        return self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"private_key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Forget the history: watches from before get 410."""
        self._forgotten = self.revision
        self._history.clear()
        self._wake()

    def backup(self) -> Backup:
        """Return what :meth:`restore` may come back to."""
        return Backup(
            self.revision,
            self._forgotten,
            self._granted,
            dict(self._items),
            list(self._history),
            dict(self._leases),
        )

    def restore(self, backup: Backup) -> None:
        """Come back from a copy.

        What was written since is gone, leases too; revisions and the ids of leases are given again.
        """
        self.era += 1
        self.revision, self._forgotten = backup.revision, backup.forgotten
        self._granted = backup.granted
        self._items, self._history = dict(backup.items), list(backup.history)
        self._leases = dict(backup.leases)
        self._wake()

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        known = self._items.get(key)
        created = known["created"] if known else self.revision
        item = {
            "private_key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._note(item)
        return self.revision

    def _note(self, item: Document) -> None:
        self._history.append((item["revision"], item))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self._leases.items() if end <= now]:
            self._drop(lease)

    def _drop(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease_id"] == lease]:
            self.delete(key)

    def _guarded(
        self, path: str, handler: t.Callable[[web.Request], t.Awaitable[web.Response]]
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        async def guarded(request: web.Request) -> web.Response:
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

        return guarded

    def _headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self.era)}

    async def _key(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["private_key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "timestamp": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, since = request.query["path_prefix"], request.query.get("since_rev", "")
        keys = [key for key in self.keys(prefix) if key >= since]
        entries = [self._items[key] for key in keys[:PAGE_ENTRIES]]
        body = {
            "entries": entries,
            "has_more": len(keys) > PAGE_ENTRIES,
            "timestamp": self.revision,
        }
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since_rev"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self._forgotten <= since <= self.revision:
                return web.Response(status=410)
            prefix = request.query["path_prefix"]
            found = [
                item
                for revision, item in self._history
                if revision > since and item["private_key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return web.json_response({"events": found, "timestamp": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, LOOK_SECONDS))
            except TimeoutError:
                self._expire()

    async def _txn(self, request: web.Request) -> web.Response:
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

    async def _lease(self, request: web.Request) -> web.Response:
        ttl = (await request.json())["ttl_ms"] / 1000
        self._granted += 1
        lease = FIRST_LEASE + self._granted
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"lease_id": lease, "ttl_ms": int(ttl * 1000)})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.Response(status=404)
        _, ttl = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ttl_ms": int(ttl * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        self._drop(int(request.match_info["id"]))
        return web.Response()
