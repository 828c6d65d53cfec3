"""HTTP sessions of the parts that call the store, relays and engines.

Owns: the session and its connections.
Relies on: aiohttp, which repeats a call by itself if its method allows that and a kept
connection turns out to be closed. Requests of callers must never be repeated so; they go
through :func:`thorncleat_gateway.requests.endpoint_client.create_session`.
"""

import aiohttp


class LazySession:
    """A session that is opened by its first use, since it needs a running event loop.

    :param keep_connections: whether a connection serves several calls.
    """

    def __init__(self, *, keep_connections: bool) -> None:
        self._keep_connections = keep_connections
        self._session: aiohttp.ClientSession | None = None

    def get(self) -> aiohttp.ClientSession:
        """Return the open session."""
        if self._session is None:
            # addresses are IP numbers: there is never a second address to try at the same time
            connector = aiohttp.TCPConnector(
                limit=0, force_close=not self._keep_connections, happy_eyeballs_delay=None
            )
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
