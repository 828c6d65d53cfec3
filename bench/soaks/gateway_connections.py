"""Faults of workers on connections that daemons keep between requests.

Owns: what one worker knows of its open connections.
Relies on: the checks of callers' answers, which detect an answer to another request.
"""

import asyncio
import random
import weakref

from aiohttp import web

from thorncleat_standins.platform_worker import ATTEMPT_ID
from thorncleat_standins.platform_worker import RESPONSE_STAMP

# A connection that was idle for longer may be forgotten.
MIN_IDLE_SECONDS = 0.3
FORGET_PROBABILITY = 0.25
SURPLUS_PROBABILITY = 0.05
# Lets the answer leave before the surplus one.
SURPLUS_DELAY_SECONDS = 0.02


class ConnectionFaults:
    """Forgets idle connections of one worker, and sends surplus answers on others.

    :param name: name of the worker, the seed of its faults.
    :ivar is_active: whether there are any faults.
    :ivar forgotten: number of forgotten connections.
    :ivar surplus: number of surplus answers.
    """

    def __init__(self, name: str) -> None:
        self._random = random.Random(name)
        self._idle_since: weakref.WeakKeyDictionary[asyncio.Transport, float] = (
            weakref.WeakKeyDictionary()
        )
        self.is_active = True
        self.forgotten = 0
        self.surplus = 0

    def reset_if_forgotten(self, request: web.BaseRequest) -> None:
        """Reset the connection of a request at times, if it was idle before.

        :raises ConnectionResetError: if it was reset; the request must not run.
        """
        transport = request.transport
        if transport is None or not self.is_active:
            return
        now = asyncio.get_running_loop().time()
        idle_since = self._idle_since.pop(transport, now)
        if now - idle_since > MIN_IDLE_SECONDS and self._random.random() < FORGET_PROBABILITY:
            self.forgotten += 1
            transport.abort()
            raise ConnectionResetError("the connection was forgotten")

    def record_end(self, request: web.BaseRequest) -> None:
        """Record that a request was answered, and send a second answer at times."""
        transport = request.transport
        if transport is None or not self.is_active:
            return
        self._idle_since[transport] = asyncio.get_running_loop().time()
        if self._random.random() < SURPLUS_PROBABILITY:
            id = request.headers[ATTEMPT_ID]
            asyncio.get_running_loop().call_later(
                SURPLUS_DELAY_SECONDS, self._send_surplus, transport, id
            )

    def _send_surplus(self, transport: asyncio.Transport, id: str) -> None:
        """Send another answer to a request, unless its connection is in use again."""
        if transport.is_closing() or transport not in self._idle_since:
            return
        self.surplus += 1
        head = f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\n{RESPONSE_STAMP}: surplus\r\n"
        transport.write(f"{head}Content-Length: 7\r\n\r\nsurplus".encode())
