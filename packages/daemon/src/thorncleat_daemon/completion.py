"""A request for a completion, as far as the daemon reads it, and the engine's refusals.

Owns: nothing.
Relies on: the engine to check what is not read here.
"""

import dataclasses
import json
import typing as t

import pydantic

from . import retry_after
from .callers import Caller
from .dispatch import Slot
from .exceptions import RequestError

PATH = "/v1/chat/completions"
# tokens of an answer when the request doesn't say
DEFAULT_MAX_TOKENS = 256
# most tokens that a request may ask for
MAX_TOKENS = 131_072
# the engine is not (or no longer) what the directory says, or has no room
REFUSAL_STATUSES = frozenset({404, 409, 429, 503})


class _Completion(pydantic.BaseModel):
    """What the daemon needs of a request; the engine checks the rest."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=128)
    messages: list[dict[str, t.Any]] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int = pydantic.Field(default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS)


@dataclasses.dataclass(frozen=True)
class Completion:
    """A request for a completion.

    :param text: all messages, for its cost and its prefix.
    :param raw: all of its fields, for the engine.
    """

    model: str
    text: str
    stream: bool
    max_tokens: int
    raw: t.Mapping[str, t.Any]

    def body(self, priority: int, resume_from: int, *, stream: bool = True) -> bytes:
        """Return the body for the engine.

        :param resume_from: events that the caller has already.
        """
        fields = {**self.raw, "max_tokens": self.max_tokens, "priority": priority}
        fields["stream"] = stream
        if resume_from:
            fields["resume_from"] = resume_from
        return json.dumps(fields).encode()


def parse(body: bytes) -> Completion:
    """Parse and validate a body.

    :raises RequestError: naming what is wrong.
    """
    try:
        found = _Completion.model_validate_json(body)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(step) for step in fault["loc"]) or "body"
        detail = f"{path}: {fault['msg']}"
        raise RequestError(400, "Bad request", detail, cause="bad_request") from error
    text = "\n".join(str(message.get("content", "")) for message in found.messages)
    raw = found.model_dump()
    return Completion(found.model, text, found.stream, found.max_tokens, raw)


def engine_url(slot: Slot) -> str:
    """Return where a request is sent."""
    return f"http://{slot.leader}{PATH}"


def engine_headers(caller: Caller) -> dict[str, str]:
    """Return the headers of a request to an engine; the id comes back in its answer."""
    return {"Content-Type": "application/json", "X-Request-Id": caller.id}


def check_status(status: int, text: bytes) -> None:
    """Make sure that an engine took a request.

    :raises RequestError: if it did not.
    """
    if status == 200:
        return
    detail = f"the engine answered {status!r}: {text[:200]!r}"
    if status in REFUSAL_STATUSES:
        raise RequestError(
            502,
            "Engine refused",
            detail,
            retry_after=retry_after.ENGINE_REFUSED,
            cause="engine_refused",
        )
    if 400 <= status < 500:
        raise RequestError(status, "Bad request", detail, cause="bad_request")
    raise RequestError(502, "Engine failed", detail, executed="unknown", cause="engine_failed")
