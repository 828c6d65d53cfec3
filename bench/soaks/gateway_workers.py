"""The workers of the gateway's soak: stand-ins that check the rules of groups.

Owns: whether each worker lives, and its proxy.
Relies on: what callers of the site sent, to know whether a request that runs was asked for.
"""

import asyncio
import typing as t

from aiohttp import web

from thorncleat_standins.platform_worker import ATTEMPT_ID
from thorncleat_standins.platform_worker import EVENT_INTERVAL_SECONDS
from thorncleat_standins.platform_worker import RETRY_AFTER
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.platform_worker import Run

from .proxy import Proxy

if t.TYPE_CHECKING:
    from .gateway_site import SoakSite

# the body of a request that ends each worker of a group which runs it
FATAL_BODY = b"a request that no worker survives"
# of each stream
EVENTS_PER_STREAM = 20
# a leader without a member stands still for so long before it breaks its group; told to the
# daemons as their bound
STALL_TIMEOUT_SECONDS = 1.0
# from a worker's end to the end of its entry in the store
ENTRY_TTL_SECONDS = 1.5
# after which a worker that a request has ended is back under its id
RESTART_DELAY_SECONDS = 1.0


class SoakWorker(PlatformWorker):
    """A worker that checks the rules of groups, and stands still without a member."""

    def __init__(self, site: "SoakSite", name: str, service: str, domain: str = "") -> None:
        super().__init__(site.store, name, service, domain)
        self._site = site
        self.proxy: Proxy | None = None
        self.events = EVENTS_PER_STREAM
        self.crash_trigger = FATAL_BODY if domain else None
        # a worker sends the head as soon as a request runs
        self.events_before_crash = 1
        self.restart_after_seconds = RESTART_DELAY_SECONDS
        # told in its first life as well: a life that isn't told apart counts as the same one
        self.born = 1
        self.is_alive = True
        self._entry_expiry: asyncio.TimerHandle | None = None

    @property
    def is_available(self) -> bool:
        """Whether it lives and is not draining."""
        return self.is_alive and not self.draining

    @property
    def is_accepting(self) -> bool:
        """Whether it takes all requests, and says nothing else."""
        return self.is_available and not self.leaving and self.refusal_retry_after is None

    @property
    def is_group_complete(self) -> bool:
        """Whether all members live and are in the group."""
        members = [self._site.workers[name] for name in self._members]
        return all(member.is_alive and self._is_in_same_group(member) for member in members)

    async def start(self) -> None:
        """Listen behind a proxy, and enter the store with its address."""
        await super().start()
        self.proxy = Proxy(self.address)
        self.address = await self.proxy.start()
        self.publish()

    def stop_listening(self) -> None:
        """Take no more connections; requests under way go on."""
        assert self.proxy is not None
        self.proxy.stop_listening()

    async def crash(self) -> None:
        """End without a word; the entry runs out later."""
        self.is_alive = False
        assert self.proxy is not None
        assert self._runner is not None
        await self.proxy.stop()
        await self._runner.cleanup()
        self._entry_expiry = asyncio.get_running_loop().call_later(
            ENTRY_TTL_SECONDS, self._store.delete, f"servers/{self.id}"
        )

    async def restart(self) -> None:
        """Start under the same id, behind another proxy."""
        if self._entry_expiry is not None:
            self._entry_expiry.cancel()
        self.is_alive = True
        self.leaving, self.refusal_retry_after, self.limit = False, None, None
        self._site.notices.forget_worker(self)
        self._site.limits.clear_limit(self.id)
        await super().restart()

    def publish(self) -> None:
        """Write its entry while it lives."""
        if self.is_alive:
            super().publish()

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return an event that names its request."""
        return b"%s %d" % (request.headers["X-Thorncleat-Attempt-Id"].encode(), number)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, after a look at whether it should have come."""
        exchange = self._site.exchanges.get(request.headers[ATTEMPT_ID])
        if exchange is not None:
            daemon = self._site.daemon_named(exchange.daemon)
            self._site.notices.check_arrival(self, daemon, exchange.id, exchange.sent_at)
            if self.leads or not self.domain:
                self._site.limits.check_arrival(self, daemon, exchange.id)
            if self.leaving:
                self._site.notices.record_leaving(self, daemon)
        return await super()._serve(request)

    def refusal_for(self, request: web.BaseRequest) -> web.Response | None:
        """Note the time for which it wants no requests of a daemon."""
        response = super().refusal_for(request)
        exchange = self._site.exchanges.get(request.headers[ATTEMPT_ID])
        if response is not None and exchange is not None:
            daemon = self._site.daemon_named(exchange.daemon)
            self._site.notices.record_pause(self, daemon, response.headers.get(RETRY_AFTER, ""))
        return response

    def record_run(self, run: Run) -> None:
        """Check what must hold when a request begins to run."""
        super().record_run(run)
        exchange = self._site.exchanges.get(run.id)
        if exchange is None:
            self._site.checks.violations.append(f"UNASKED {run.id} ran at {self.id}")
            return
        self._site.checks.check_run(run, exchange.kind, exchange.sent_at, exchange.key)
        if self.domain:
            self._check_members(run.id)

    def _check_members(self, request_id: str) -> None:
        for name in self._members:
            member = self._site.workers[name]
            if member.is_alive and not self._is_in_same_group(member):
                text = f"PARTIAL {request_id} began at {self.id}, {name} is in {member._group}"
                self._site.checks.violations.append(text)

    def _is_in_same_group(self, member: "SoakWorker") -> bool:
        own, other = self._group, member._group
        return own is not None and other is not None and own["epoch"] == other["epoch"]

    async def delay_next_event(self) -> None:
        """Stand still while a member is missing; break after the stall."""
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        stalled_at = asyncio.get_running_loop().time()
        while not self.is_group_complete:
            if asyncio.get_running_loop().time() - stalled_at > STALL_TIMEOUT_SECONDS:
                if self._group is not None:
                    self._group["state"] = "broken"
                    self.publish()
                raise ConnectionResetError("the group is broken")
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)

    def _join(self, order: dict[str, t.Any]) -> int:
        former = self._group
        if former is not None and former["epoch"] != order["epoch"]:
            for other in self._site.workers.values():
                if other.is_alive and other.can_run_requests and self._is_in_same_group(other):
                    self._site.checks.violations.append(
                        f"TWO {self.id} joins {order['group']}, {other.id} leads {former['name']}"
                    )
        return super()._join(order)
