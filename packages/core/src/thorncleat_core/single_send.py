"""A client middleware that turns off the automatic retries of aiohttp.

Owns: nothing.
Relies on: aiohttp retrying a request only after ``ClientOSError`` or ``ServerDisconnectedError``.
"""

import aiohttp


class _LostError(aiohttp.ClientError):
    """A connection was lost after part of the request may have been sent.

    The name of this class appears in log fields and answers, so it must not change.
    """


def is_connection_lost(error: BaseException) -> bool:
    """Return whether an error means that a connection was lost before the response began."""
    return isinstance(error, _LostError)


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Call the next handler, without the retry of idempotent methods after a lost connection.

    The library decides by the class of the error, so this middleware raises another class.

    :raises aiohttp.ClientError: if the connection was lost or could not be made.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _LostError(repr(error)) from error
