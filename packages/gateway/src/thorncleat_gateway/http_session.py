"""HTTP sessions for calls to the store, relays and engines.

Not for requests of callers, which aiohttp must not retry by itself; these use
:func:`thorncleat_gateway.requests.endpoint_client.create_session`.

Owns: the session and its connections.
Relies on: aiohttp, which retries an idempotent call if a pooled connection turns out to be closed.
"""

import typing as t

import aiohttp

from thorncleat_core.answer_connection import use_connections


class LazySession:
    """A session that is opened on first use, since it needs a running event loop.

    :param keep_connections: whether to reuse a connection for several calls.
    """

    def __init__(self, *, keep_connections: bool) -> None:
        self._keep_connections = keep_connections
        self._session: aiohttp.ClientSession | None = None

    def request(
        self, method: str, url: str, **options: t.Any
    ) -> t.AsyncContextManager[aiohttp.ClientResponse]:
        """Send a call to the process at an address, and to no other that its answer names.

        :param options: of :meth:`aiohttp.ClientSession.request`.
        """
        return self._get().request(method, url, allow_redirects=False, **options)

    def _get(self) -> aiohttp.ClientSession:
        """Return the session, opened if necessary."""
        if self._session is None:
            # Addresses are IP addresses, so there is never a second one to try in parallel.
            connector = aiohttp.TCPConnector(
                limit=0, force_close=not self._keep_connections, happy_eyeballs_delay=None
            )
            self._session = aiohttp.ClientSession(connector=use_connections(connector))
        return self._session

    async def close(self) -> None:
        """Close the session with its connections."""
        if self._session is not None:
            await self._session.close()
