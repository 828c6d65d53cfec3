"""HTTP calls that the client library never sends a second time by itself.

Owns: nothing.
Relies on: aiohttp repeating a call only after the two errors that are turned into another here.
"""

import aiohttp


class _LostError(aiohttp.ClientError):
    """A connection was lost after something may have been sent.

    The name stands in causes that callers and logs are shown.
    """


def is_connection_lost(error: BaseException) -> bool:
    """Return whether an error says that a call's connection was lost before its answer began."""
    return isinstance(error, _LostError)


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client library from sending a request twice; a middleware of a session.

    It repeats some methods by itself, PUT and DELETE among them, when a connection is lost,
    on a new connection too. It knows those errors by their class, so they get another.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _LostError(repr(error)) from error
