"""Calls to endpoints on behalf of callers; errors say whether the call may have run.

Owns: the HTTP sessions for endpoints.
Relies on: an HTTP client that raises connector errors only if nothing was sent.
"""

import contextlib
import typing as t

import aiohttp

from thorncleat_core.answer_connection import use_connections
from thorncleat_core.single_send import prevent_resend

from . import retry_after
from .exceptions import RequestError

CONNECT_TIMEOUT_SECONDS = 1.0
# Bytes of an answer that is passed on as a whole.
MAX_ANSWER_BYTES = 16 << 20
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "accept-encoding",
    }
)


def single_session() -> aiohttp.ClientSession:
    """Return a session for calls that may run at most once; each uses a new connection."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=use_connections(connector),
        auto_decompress=False,
        middlewares=(prevent_resend,),
    )


def stream_session() -> aiohttp.ClientSession:
    """Return a session for HTTP/1.0, whose answers are unchunked and end with the connection."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True, happy_eyeballs_delay=None)
    return aiohttp.ClientSession(
        connector=use_connections(connector),
        auto_decompress=False,
        version=aiohttp.HttpVersion10,
    )


class Upstream:
    """The HTTP sessions for endpoints.

    :param shared: reuses connections.
    :param single: from :func:`single_session`.
    :param streams: from :func:`stream_session`.
    """

    def __init__(
        self,
        shared: aiohttp.ClientSession,
        single: aiohttp.ClientSession,
        streams: aiohttp.ClientSession,
    ) -> None:
        self._shared = shared
        self._single = single
        self._streams = streams

    @property
    def sessions(self) -> list[aiohttp.ClientSession]:
        """All sessions; the owner closes them."""
        return [self._shared, self._single, self._streams]

    def stream(
        self, url: str, body: bytes, headers: t.Mapping[str, str], timeout: float
    ) -> t.AsyncContextManager[aiohttp.ClientResponse]:
        """Send a request whose answer is a stream; otherwise like :meth:`call`."""
        return self._call(self._streams, "POST", url, body, headers, timeout)

    def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: t.Mapping[str, str],
        *,
        repeatable: bool,
        timeout: float,
    ) -> t.AsyncContextManager[aiohttp.ClientResponse]:
        """Send a request and yield the response after its head was received.

        :param timeout: seconds for the whole call.
        :raises RequestError: if there is no answer; it says whether the request ran.
        """
        session = self._shared if repeatable else self._single
        return self._call(session, method, url, body, headers, timeout)

    @contextlib.asynccontextmanager
    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        body: bytes,
        headers: t.Mapping[str, str],
        timeout: float,
    ) -> t.AsyncIterator[aiohttp.ClientResponse]:
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS)
        request = session.request(
            method, url, data=body, headers=headers, timeout=limits, allow_redirects=False
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(request)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
                raise not_sent_error(url, error) from error
            except (aiohttp.ClientError, TimeoutError) as error:
                raise answer_lost_error(url, error) from error
            yield response


def not_sent_error(url: str, error: BaseException) -> RequestError:
    """Return the error of a call that did not reach its endpoint."""
    detail = f"no connection to the endpoint: {type(error).__name__}"
    return RequestError(
        502,
        "Endpoint unreachable",
        detail,
        retry_after=retry_after.ENDPOINT_UNREACHABLE,
        cause="endpoint_unreachable",
    )


def answer_lost_error(url: str, error: BaseException) -> RequestError:
    """Return the error of a call that may have run."""
    detail = f"the endpoint's answer was lost: {type(error).__name__}"
    return RequestError(502, "Answer lost", detail, executed="unknown", cause="answer_lost")


def end_to_end_headers(headers: t.Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward."""
    return {name: value for name, value in headers.items() if name.lower() not in HOP_BY_HOP}
