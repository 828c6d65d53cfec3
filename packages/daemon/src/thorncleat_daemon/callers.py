"""Authentication and common headers of callers' requests.

Owns: nothing.
Relies on: the configuration for the workspaces' keys.
"""

import dataclasses
import math
import uuid

from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.daemon import keys
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.configuration import Workspace

from .exceptions import RequestError

DEADLINE_HEADER = "X-Request-Deadline"
PRIORITY_HEADER = "X-Request-Priority"
REPEATABLE_HEADER = "X-Request-Repeatable"
KEY_HEADER = "Idempotency-Key"
MAX_PRIORITY = 9
MAX_KEY_CHARACTERS = 200
MAX_DEADLINE_SECONDS = 3600.0
# Used for a call at the deadline, since a timeout of 0 means no limit.
MIN_CALL_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class Caller:
    """The attributes common to all requests of callers.

    :param id: assigned by this daemon; identifies the request in logs, errors and to endpoints.
    :param deadline: on the monotonic clock, in seconds.
    :param repeatable: whether the request may be run more than once.
    :param key: the idempotency key, if any.
    """

    id: str
    workspace: Workspace
    deadline: float
    priority: int
    repeatable: bool
    key: str | None

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; negative after it."""
        return self.deadline - clock.now()

    def timeout(self) -> float:
        """Return the timeout of a call to an endpoint in seconds."""
        return max(MIN_CALL_SECONDS, self.seconds_left())


def _bad_request(detail: str) -> RequestError:
    return RequestError(400, "Bad request", detail, cause="bad_request")


def _parse_deadline(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        raise _bad_request(f"{DEADLINE_HEADER} {text!r} is not a number of seconds") from None
    if not math.isfinite(seconds) or seconds > MAX_DEADLINE_SECONDS:
        raise _bad_request(f"{DEADLINE_HEADER} {text!r} is over {MAX_DEADLINE_SECONDS!r} seconds")
    if seconds <= 0:
        raise _bad_request(f"{DEADLINE_HEADER} {text!r} has passed")
    return seconds


def _parse_priority(text: str | None) -> int:
    if text is None:
        return 0
    if not text.isdigit() or int(text) > MAX_PRIORITY:
        raise _bad_request(f"{PRIORITY_HEADER} {text!r} is not between 0 and {MAX_PRIORITY}")
    return int(text)


def _parse_repeatable(text: str | None) -> bool:
    if text not in (None, "yes", "no"):
        raise _bad_request(f"{REPEATABLE_HEADER} {text!r} is neither 'yes' nor 'no'")
    return text != "no"


def _parse_key(text: str | None) -> str | None:
    if text is not None and not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise _bad_request(
            f"{KEY_HEADER} must have 1 to {MAX_KEY_CHARACTERS} characters, not {len(text)}"
        )
    return text


def identify(request: web.Request, configuration: Configuration, deadline: float) -> Caller:
    """Authenticate a request and parse its headers.

    :param deadline: default deadline in seconds.
    :raises RequestError: if its key is unknown or a header is invalid.
    """
    key = keys.parse_bearer(request.headers.get("Authorization"))
    workspace = configuration.workspace_for_key(key) if key else None
    if workspace is None:
        raise RequestError(
            401, "Unknown key", "a workspace's key is wanted as a bearer", cause="unauthorized"
        )
    headers = request.headers
    repeatable = _parse_repeatable(headers.get(REPEATABLE_HEADER))
    seconds = _parse_deadline(headers.get(DEADLINE_HEADER), deadline)
    return Caller(
        uuid.uuid4().hex,
        workspace,
        clock.now() + seconds,
        _parse_priority(headers.get(PRIORITY_HEADER)),
        repeatable,
        _parse_key(headers.get(KEY_HEADER)),
    )


async def read_body(request: web.Request, limit: int) -> bytes:
    """Return a request's body.

    :param limit: in bytes.
    :raises RequestError: if it is too large or incomplete.
    """
    length = request.content_length
    if length is not None and length > limit:
        raise _too_large(limit)
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise _too_large(limit) from None
    except (web.RequestPayloadError, ConnectionError) as error:
        raise _bad_request(f"the body broke off: {error}") from error


def _too_large(limit: int) -> RequestError:
    detail = f"a body may have {limit} bytes"
    return RequestError(413, "Body too large", detail, cause="bad_request")


def require_key(caller: Caller) -> str:
    """Return the idempotency key of a request that may not be repeated.

    :raises RequestError: if it has none.
    """
    if caller.key is None:
        raise _bad_request(f"a request that may not be repeated needs {KEY_HEADER}")
    return caller.key
