"""The class of connections to endpoints.

Owns: nothing.
Relies on: aiohttp's class of connections, whose handling of resets it makes stricter.
"""

import typing as t

import aiohttp

from thorncleat_core.answer_connection import AnswerConnection
from thorncleat_core.answer_connection import use_connections
from thorncleat_core.single_send import prevent_resend

from ..socket_options import abort_with_reset
from ..tunnels.connector import current_path

# Headers that the client library would add by itself; only the caller's own are sent.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class EndpointConnection(AnswerConnection):
    """A connection to an endpoint, which handles resets more strictly than the client library.

    A reset fails an answer without a length, which the library would take for complete. Closing the
    connection before the answer is complete drops the unsent data. What was sent may still reach an
    endpoint that stands still (:mod:`.unanswered_attempts`).
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete answer if the connection was not closed cleanly."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def set_response_params(self, **parameters: t.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        path = current_path.get()
        if path is not None:
            path.is_connected = True
        super().set_response_params(**parameters)

    def close(self) -> None:
        """Close the connection, with a reset if the answer is incomplete."""
        transport = self.transport
        is_complete = self._payload is not None and self._payload.is_eof()
        if transport is not None and not is_complete:
            abort_with_reset(transport)
        super().close()


def open_session(
    connector: aiohttp.TCPConnector, factory: t.Callable[[], EndpointConnection]
) -> aiohttp.ClientSession:
    """Return a session for endpoints that sends each request once.

    :param factory: creates the connections.
    """
    return aiohttp.ClientSession(
        connector=use_connections(connector, factory),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        middlewares=(prevent_resend,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
