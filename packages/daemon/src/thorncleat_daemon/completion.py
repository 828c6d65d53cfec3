"""The part of a completion request that the daemon reads, and the statuses of engines.

Owns: nothing.
Relies on: the engine to validate all other fields.
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
# Limit of an answer's tokens if the request names none.
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131_072
# The engine doesn't serve the model at present or is full; it did not run the request.
REFUSAL_STATUSES = frozenset({404, 409, 429, 503})


class _Completion(pydantic.BaseModel):
    """The validated fields of a request; the engine validates the others."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=128)
    messages: list[dict[str, t.Any]] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int = pydantic.Field(default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS)


@dataclasses.dataclass(frozen=True)
class Completion:
    """A request for a completion.

    :param text: all messages, for the cost and the prefix.
    :param raw: all fields, for the engine.
    """

    model: str
    text: str
    stream: bool
    max_tokens: int
    raw: t.Mapping[str, t.Any]

    def body(self, priority: int, resume_from: int, *, stream: bool = True) -> bytes:
        """Return the body of the request to the engine.

        :param resume_from: number of events that the caller already has.
        """
        fields = {**self.raw, "max_tokens": self.max_tokens, "priority": priority}
        fields["stream"] = stream
        if resume_from:
            fields["resume_from"] = resume_from
        return json.dumps(fields).encode()


def parse(body: bytes) -> Completion:
    """Parse and validate a request's body.

    :raises RequestError: if it is invalid; the detail names the first fault.
    """
    try:
        parsed = _Completion.model_validate_json(body)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(step) for step in fault["loc"]) or "body"
        detail = f"{path}: {fault['msg']}"
        raise RequestError(400, "Bad request", detail, cause="bad_request") from error
    text = "\n".join(str(message.get("content", "")) for message in parsed.messages)
    raw = parsed.model_dump()
    return Completion(parsed.model, text, parsed.stream, parsed.max_tokens, raw)


def engine_url(slot: Slot) -> str:
    """Return the URL for completions of a slot's group."""
    return f"http://{slot.leader}{PATH}"


def engine_headers(caller: Caller) -> dict[str, str]:
    """Return the headers of a request to an engine, which repeats the id in its answer."""
    return {"Content-Type": "application/json", "X-Request-Id": caller.id}


def check_status(status: int, text: bytes) -> None:
    """Check that an engine accepted a request.

    :param text: body of the engine's answer.
    :raises RequestError: if it did not; it says whether the request may have run.
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
