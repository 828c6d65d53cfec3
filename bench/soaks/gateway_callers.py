"""Callers of the gateway's soak, which send requests and record the answers.

Owns: the current exchange of each caller.
Relies on: the site for valid and revoked API keys.
"""

import asyncio
import collections
import random
import typing as t

import aiohttp

from .gateway_checks import Checks
from .gateway_checks import Exchange
from .gateway_checks import RequestKind
from .gateway_daemons import Daemon
from .gateway_retries import RetryChecks
from .gateway_site import HOST
from .gateway_site import PATHS
from .gateway_site import SERVICES

REQUEST_TIMEOUT_SECONDS = 4.0
# Mean pause after an answer with another status than 200.
MEAN_PAUSE_SECONDS = 0.05
# Share of the requests that use a revoked key.
REVOKED_KEY_SHARE = 0.1
# Bytes that are kept of an answer; sound ones are much smaller.
MAX_KEPT_BYTES = 1 << 20
KINDS = (RequestKind.STREAM, RequestKind.NON_REPEATABLE, RequestKind.REPEATABLE)


class CallerSite(t.Protocol):
    """What a caller needs of the site: the daemons, the keys and what records its requests."""

    daemons: list[Daemon]
    valid_keys: list[str]
    revoked_keys: collections.deque[str]
    exchanges: dict[str, Exchange]
    checks: Checks
    retries: RetryChecks


class Caller:
    """A client that reuses its connections.

    :param name: unique prefix of the ids of its requests.
    :param timeout_seconds: time after which it gives up a request, also its stated deadline.
    :ivar current_exchange: the exchange in progress; None between two requests.
    """

    def __init__(
        self,
        site: CallerSite,
        name: str,
        rng: random.Random,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        self._site = site
        self._timeout_seconds = timeout_seconds
        self._name = name
        self.rng = rng
        self._request_count = 0
        self.current_exchange: Exchange | None = None

    async def run(self, ends_at: float) -> None:
        """Send requests to random daemons.

        :param ends_at: end on the loop's clock, in seconds.
        """
        async with aiohttp.ClientSession(auto_decompress=False) as client:
            while asyncio.get_running_loop().time() < ends_at:
                daemon = self.rng.choice(self._site.daemons)
                kind = self.rng.choice(KINDS)
                uses_revoked_key = self.rng.random() < REVOKED_KEY_SHARE
                keys = self._site.revoked_keys if uses_revoked_key else self._site.valid_keys
                key = self.rng.choice(keys)
                exchange = await self.call(client, daemon, kind, key)
                if exchange.status != 200:
                    await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))

    async def call(
        self,
        client: aiohttp.ClientSession,
        daemon: Daemon,
        kind: RequestKind,
        key: str,
        *,
        body: bytes = b"",
        prompt: str = "",
    ) -> Exchange:
        """Send one request and return the exchange, complete or not.

        :param body: body that replaces the generated one unless it is empty; requests with such a
            body share a path.
        :param prompt: the parts of the prompt as the platform's header lists them; empty for none.
        """
        self._request_count += 1
        loop = asyncio.get_running_loop()
        name = f"{self._name}-{self._request_count}"
        exchange = Exchange(
            name, kind, loop.time(), key, body or b"body of " + name.encode(), daemon=daemon.name
        )
        self._site.exchanges[name] = self.current_exchange = exchange
        self._site.retries.record_request(SERVICES[kind])
        try:
            async with asyncio.timeout(self._timeout_seconds):
                await self._send(client, daemon, exchange, "same" if body else name, prompt)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        exchange.ended_at = loop.time()
        self.current_exchange = None
        self._site.checks.check_answer(exchange)
        return exchange

    def body_of(self, exchange: Exchange) -> bytes | t.AsyncIterator[bytes]:
        """Return the body of a request, or its pieces."""
        return exchange.request_body

    async def _send(
        self,
        client: aiohttp.ClientSession,
        daemon: Daemon,
        exchange: Exchange,
        path: str,
        prompt: str,
    ) -> None:
        headers = {
            "Host": HOST,
            "X-Thorncleat-Attempt-Id": exchange.id,
            "X-Thorncleat-Deadline-Ms": str(int(self._timeout_seconds * 1000)),
            "Authorization": f"Token {exchange.key}",
        }
        if exchange.kind is RequestKind.STREAM:
            headers["X-Thorncleat-Model"] = "large"
        if prompt:
            headers["X-Thorncleat-Prompt-Prefix"] = prompt
        url = f"http://{daemon.callers_address}{PATHS[exchange.kind]}{path}"
        # POST, since the client library retries GET by itself.
        async with client.post(url, data=self.body_of(exchange), headers=headers) as response:
            exchange.status = response.status
            exchange.signed = "X-Thorncleat-Response-Stamp" in response.headers
            exchange.echoed = response.headers.get("X-Thorncleat-Attempt-Id", "")
            async for chunk in response.content.iter_any():
                if len(exchange.body) <= MAX_KEPT_BYTES:
                    exchange.body += chunk
            exchange.is_complete = True
