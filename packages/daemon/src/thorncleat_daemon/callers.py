"""What every request of a caller has: identity, workspace, deadline, priority, key.

Owns: nothing.
Relies on: the configuration for keys; nothing else of a request is believed.
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

DEADLINE = "X-Request-Deadline"
PRIORITY = "X-Request-Priority"
REPEATABLE = "X-Request-Repeatable"
KEY = "Idempotency-Key"
# highest priority that a caller may name
MAX_PRIORITY = 9
# characters of a key
MAX_KEY = 200
# longest deadline in seconds
MAX_DEADLINE = 3600.0
# for a call that is begun at the deadline: 0 would mean no limit
MIN_CALL_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller's request: who asks, until when, how urgently and whether it may run again.

    :param id: given by this daemon; names the request in logs, errors and towards endpoints.
    :param deadline: on the monotonic clock, in seconds.
    :param key: the caller's name for a request that may be asked for again.
    """

    id: str
    workspace: Workspace
    deadline: float
    priority: int
    repeatable: bool
    key: str | None

    def left(self) -> float:
        """Return the seconds to the deadline."""
        return self.deadline - clock.now()

    def timeout(self) -> float:
        """Return the seconds for a call to an endpoint."""
        return max(MIN_CALL_SECONDS, self.left())


def _bad(detail: str) -> RequestError:
    return RequestError(400, "Bad request", detail, cause="bad_request")


def _deadline(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        raise _bad(f"{DEADLINE} {text!r} is not a number of seconds") from None
    if not math.isfinite(seconds) or seconds > MAX_DEADLINE:
        raise _bad(f"{DEADLINE} {text!r} is over {MAX_DEADLINE!r} seconds")
    if seconds <= 0:
        raise _bad(f"{DEADLINE} {text!r} has passed")
    return seconds


def _priority(text: str | None) -> int:
    if text is None:
        return 0
    if not text.isdigit() or int(text) > MAX_PRIORITY:
        raise _bad(f"{PRIORITY} {text!r} is not between 0 and {MAX_PRIORITY}")
    return int(text)


def _repeatable(text: str | None) -> bool:
    if text not in (None, "yes", "no"):
        raise _bad(f"{REPEATABLE} {text!r} is neither 'yes' nor 'no'")
    return text != "no"


def _key(text: str | None) -> str | None:
    if text is not None and not 0 < len(text) <= MAX_KEY:
        raise _bad(f"{KEY} must have 1 to {MAX_KEY} characters, not {len(text)}")
    return text


def identify(request: web.Request, configuration: Configuration, deadline: float) -> Caller:
    """Return the particulars of a request.

    :param deadline: seconds for a request that doesn't say.
    :raises RequestError: if its key is unknown or a header is wrong.
    """
    key = keys.parse_bearer(request.headers.get("Authorization"))
    workspace = configuration.workspace_for_key(key) if key else None
    if workspace is None:
        raise RequestError(
            401, "Unknown key", "a workspace's key is wanted as a bearer", cause="unauthorized"
        )
    found = request.headers
    repeatable = _repeatable(found.get(REPEATABLE))
    seconds = _deadline(found.get(DEADLINE), deadline)
    return Caller(
        uuid.uuid4().hex,
        workspace,
        clock.now() + seconds,
        _priority(found.get(PRIORITY)),
        repeatable,
        _key(found.get(KEY)),
    )


async def read_body(request: web.Request, limit: int) -> bytes:
    """Return a request's body.

    :param limit: in bytes.
    :raises RequestError: if it is too large or breaks off.
    """
    length = request.content_length
    if length is not None and length > limit:
        raise _too_large(limit)
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise _too_large(limit) from None
    except (web.RequestPayloadError, ConnectionError) as error:
        raise _bad(f"the body broke off: {error}") from error


def _too_large(limit: int) -> RequestError:
    detail = f"a body may have {limit} bytes"
    return RequestError(413, "Body too large", detail, cause="bad_request")


def require_key(caller: Caller) -> str:
    """Return the key of a request that may not be repeated.

    :raises RequestError: if it has none.
    """
    if caller.key is None:
        raise _bad(f"a request that may not be repeated needs {KEY}")
    return caller.key
