"""The workers of the gateway's soak: stand-ins that check the rules of groups.

Owns: whether each worker lives, and its proxy.
Relies on: what callers of the site sent, to know whether a request that runs was asked for.
"""

import asyncio
import typing as t

from aiohttp import web

from thorncleat_standins.platform_worker import ATTEMPT
from thorncleat_standins.platform_worker import EVENT_SECONDS
from thorncleat_standins.platform_worker import RETRY_AFTER
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.platform_worker import Run

from .proxy import Proxy

if t.TYPE_CHECKING:
    from .gateway_site import SoakSite

# the body of a request that ends each worker of a group which runs it
FATAL = b"a request that no worker survives"
# of each stream
STREAM_EVENTS = 20
# a leader without a member stands still for so long before it breaks its group; told to the
# daemons as their bound
STALL_SECONDS = 1.0
# from a worker's end to the end of its entry in the store
LAPSE_SECONDS = 1.5
# after which a worker that a request has ended is back under its id
BACK_SECONDS = 1.0


class SoakWorker(PlatformWorker):
    """A worker that checks the rules of groups, and stands still without a member."""

    def __init__(self, site: "SoakSite", name: str, service: str, domain: str = "") -> None:
        super().__init__(site.store, name, service, domain)
        self._site = site
        self.proxy: Proxy | None = None
        self.events = STREAM_EVENTS
        self.crashes_on = FATAL if domain else None
        # a worker sends the head as soon as a request runs
        self.crash_events = 1
        self.back_after = BACK_SECONDS
        # told in its first life as well: a life that isn't told apart counts as the same one
        self.born = 1
        self.alive = True
        self._lapse: asyncio.TimerHandle | None = None

    @property
    def takes_work(self) -> bool:
        """Whether it lives and is not draining."""
        return self.alive and not self.draining

    @property
    def is_willing(self) -> bool:
        """Whether it takes all requests, and says nothing else."""
        return self.takes_work and not self.leaving and self.turns_away is None

    @property
    def whole(self) -> bool:
        """Whether all members live and are in the group."""
        members = [self._site.workers[name] for name in self._members]
        return all(member.alive and self._same_group(member) for member in members)

    async def start(self) -> None:
        """Listen behind a proxy, and enter the store with its address."""
        await super().start()
        self.proxy = Proxy(self.address)
        self.address = await self.proxy.start()
        self.publish()

    def refuse(self) -> None:
        """Take no more connections; requests under way go on."""
        assert self.proxy is not None
        self.proxy.refuse()

    async def crash(self) -> None:
        """End without a word; the entry runs out later."""
        self.alive = False
        assert self.proxy is not None
        assert self._runner is not None
        await self.proxy.stop()
        await self._runner.cleanup()
        self._lapse = asyncio.get_running_loop().call_later(
            LAPSE_SECONDS, self._store.delete, f"servers/{self.id}"
        )

    async def start_again(self) -> None:
        """Start under the same id, behind another proxy."""
        if self._lapse is not None:
            self._lapse.cancel()
        self.alive = True
        self.leaving, self.turns_away, self.limit = False, None, None
        self._site.notices.forget(self)
        self._site.limits.end(self.id)
        await super().start_again()

    def publish(self) -> None:
        """Write its entry while it lives."""
        if self.alive:
            super().publish()

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return an event that names its request."""
        return b"%s %d" % (request.headers["X-Thorncleat-Attempt-Id"].encode(), number)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, after a look at whether it should have come."""
        exchange = self._site.exchanges.get(request.headers[ATTEMPT])
        if exchange is not None:
            daemon = self._site.daemon_named(exchange.daemon)
            self._site.notices.arrived(self, daemon, exchange.id, exchange.sent_at)
            if self.leads or not self.domain:
                self._site.limits.arrived(self, daemon, exchange.id)
            if self.leaving:
                self._site.notices.said_leaving(self, daemon)
        return await super()._serve(request)

    def turned_away(self, request: web.BaseRequest) -> web.Response | None:
        """Note the time for which it wants no requests of a daemon."""
        response = super().turned_away(request)
        exchange = self._site.exchanges.get(request.headers[ATTEMPT])
        if response is not None and exchange is not None:
            daemon = self._site.daemon_named(exchange.daemon)
            self._site.notices.asked(self, daemon, response.headers.get(RETRY_AFTER, ""))
        return response

    def began(self, run: Run) -> None:
        """Check what must hold when a request begins to run."""
        super().began(run)
        exchange = self._site.exchanges.get(run.id)
        if exchange is None:
            self._site.checks.faults.append(f"UNASKED {run.id} ran at {self.id}")
            return
        self._site.checks.ran(run, exchange.kind, exchange.sent_at, exchange.key)
        if self.domain:
            self._check_members(run.id)

    def _check_members(self, request_id: str) -> None:
        for name in self._members:
            member = self._site.workers[name]
            if member.alive and not self._same_group(member):
                text = f"PARTIAL {request_id} began at {self.id}, {name} is in {member._group}"
                self._site.checks.faults.append(text)

    def _same_group(self, member: "SoakWorker") -> bool:
        own, other = self._group, member._group
        return own is not None and other is not None and own["epoch"] == other["epoch"]

    async def step(self) -> None:
        """Stand still while a member is missing; break after the stall."""
        await asyncio.sleep(EVENT_SECONDS)
        since = asyncio.get_running_loop().time()
        while not self.whole:
            if asyncio.get_running_loop().time() - since > STALL_SECONDS:
                if self._group is not None:
                    self._group["state"] = "broken"
                    self.publish()
                raise ConnectionResetError("the group is broken")
            await asyncio.sleep(EVENT_SECONDS)

    def _join(self, order: dict[str, t.Any]) -> int:
        former = self._group
        if former is not None and former["epoch"] != order["epoch"]:
            for other in self._site.workers.values():
                if other.alive and other.answers and self._same_group(other):
                    self._site.checks.faults.append(
                        f"TWO {self.id} joins {order['group']}, {other.id} leads {former['name']}"
                    )
        return super()._join(order)
