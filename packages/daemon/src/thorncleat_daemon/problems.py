"""Problem documents (RFC 9457) for callers.

Owns: nothing.
Relies on: errors that say whether the request ran.
"""

import json
import math
import typing as t

from aiohttp import web

from .exceptions import RequestError

CONTENT_TYPE = "application/problem+json"


def document(error: RequestError, request_id: str) -> dict[str, t.Any]:
    """Return the problem document of an error.

    The member ``error`` repeats it in the format that OpenAI clients read.
    """
    return {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
        "executed": error.executed,
        "request_id": request_id,
        "error": {"message": error.detail, "type": error.cause, "code": error.status},
    }


def headers(error: RequestError, request_id: str) -> dict[str, str]:
    """Return the headers of an error's response."""
    result = {"X-Request-Id": request_id}
    if error.retry_after is not None:
        result["Retry-After"] = str(math.ceil(error.retry_after))
    return result


def response(error: RequestError, request_id: str) -> web.Response:
    """Return the response for an error."""
    return web.Response(
        status=error.status,
        text=json.dumps(document(error, request_id)),
        content_type=CONTENT_TYPE,
        headers=headers(error, request_id),
    )


def stream_event(error: RequestError, request_id: str) -> bytes:
    """Return the event that ends a stream after an unrecoverable error."""
    body = json.dumps(document(error, request_id), separators=(",", ":"))
    return b"data: " + body.encode() + b"\n\n"
