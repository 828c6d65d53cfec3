"""The callers of the gateway's soak: each keeps its connections, and notes each answer.

Owns: the answer that each caller waits for.
Relies on: the site for keys that are valid and keys that were taken away.
"""

import asyncio
import random

import aiohttp

from .gateway_checks import Exchange
from .gateway_checks import RequestKind
from .gateway_daemons import Daemon
from .gateway_site import HOST
from .gateway_site import PATHS
from .gateway_site import SoakSite

# of each request
DEADLINE_SECONDS = 4.0
# on average, after an answer that is not 200
MEAN_PAUSE_SECONDS = 0.05
# part of the calls that are made with a key that was taken away
REVOKED_KEY_SHARE = 0.1
KINDS = (RequestKind.STREAM, RequestKind.NON_REPEATABLE, RequestKind.REPEATABLE)


class Caller:
    """One caller.

    :param name: unique; begins its requests' ids.
    """

    def __init__(self, site: SoakSite, name: str, rng: random.Random) -> None:
        self._site = site
        self._name = name
        self.rng = rng
        self._request_count = 0
        self.current_exchange: Exchange | None = None

    async def run(self, ends_at: float) -> None:
        """Call one daemon after the other until a moment on the loop's clock."""
        async with aiohttp.ClientSession(auto_decompress=False) as client:
            while asyncio.get_running_loop().time() < ends_at:
                daemon = self.rng.choice(self._site.daemons)
                kind = self.rng.choice(KINDS)
                is_revoked = self.rng.random() < REVOKED_KEY_SHARE
                keys = self._site.revoked_keys if is_revoked else self._site.valid_keys
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
    ) -> Exchange:
        """Send one request and note the answer.

        :param body: if not empty, in place of one that names the request; the path is then the
            same for all requests with it.
        """
        self._request_count += 1
        loop = asyncio.get_running_loop()
        name = f"{self._name}-{self._request_count}"
        exchange = Exchange(
            name, kind, loop.time(), key, body or b"body of " + name.encode(), daemon=daemon.name
        )
        self._site.exchanges[name] = self.current_exchange = exchange
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                await self._send(client, daemon, exchange, "same" if body else name)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        exchange.ended_at = loop.time()
        self.current_exchange = None
        self._site.checks.check_answer(exchange)
        return exchange

    async def _send(
        self, client: aiohttp.ClientSession, daemon: Daemon, exchange: Exchange, path: str
    ) -> None:
        headers = {
            "Host": HOST,
            "X-Thorncleat-Attempt-Id": exchange.id,
            "X-Thorncleat-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "Authorization": f"Token {exchange.key}",
        }
        if exchange.kind is RequestKind.STREAM:
            headers["X-Thorncleat-Model"] = "large"
        url = f"http://{daemon.callers_address}{PATHS[exchange.kind]}{path}"
        # a library that sends GET again by itself would hide what happened to the first
        async with client.post(url, data=exchange.request_body, headers=headers) as response:
            exchange.status = response.status
            exchange.signed = "X-Thorncleat-Response-Stamp" in response.headers
            exchange.echoed = response.headers.get("X-Thorncleat-Attempt-Id", "")
            async for piece in response.content.iter_any():
                exchange.body += piece
            exchange.is_complete = True
