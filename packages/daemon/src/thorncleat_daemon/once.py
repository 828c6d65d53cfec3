"""At-most-once execution of requests by their idempotency keys.

Owns: nothing.
Relies on: the owner of a key's shard, which grants a claim once (:mod:`.claims`).
"""

import dataclasses
import secrets
import typing as t

from thorncleat_core.daemon.claims import ClaimAnswer
from thorncleat_core.daemon.claims import Outcome
from thorncleat_core.daemon.claims import Reply
from thorncleat_core.daemon.claims import request_digest

from . import retry_after
from .callers import Caller
from .callers import require_key
from .claims import ClaimClient
from .claims import stored_outcome
from .exceptions import RequestError

# Random bytes in the id of an attempt.
ATTEMPT_BYTES = 8


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """A complete, unstreamed answer.

    :param repeated: whether it is the stored answer of an earlier run.
    """

    status: int
    content_type: str
    body: bytes
    repeated: bool = False


Run = t.Callable[[], t.Awaitable[WholeAnswer]]


def _answer_from_claim(reply: Reply) -> WholeAnswer:
    """Return the stored answer of an earlier run.

    :raises RequestError: if there is none; it says whether the earlier run happened.
    """
    outcome = reply.outcome
    if reply.answer is ClaimAnswer.DONE and outcome and outcome.body is not None:
        return WholeAnswer(outcome.status, outcome.content_type, outcome.body, repeated=True)
    if reply.answer is ClaimAnswer.MISMATCH:
        raise RequestError(
            422, "Key reused", "the key was used with another request", cause="bad_request"
        )
    if reply.answer is ClaimAnswer.RUNNING:
        raise RequestError(
            409,
            "Running",
            "the request with this key is running",
            executed="unknown",
            retry_after=retry_after.KEY_RUNNING,
            cause="repeat",
        )
    if reply.answer is ClaimAnswer.DONE:
        raise RequestError(
            409, "Ran before", "it ran; its answer was not kept", executed="yes", cause="repeat"
        )
    raise RequestError(
        409,
        "Fate unknown",
        "an earlier attempt with this key may have run; it is not run again",
        executed="unknown",
        cause="repeat",
    )


async def run_once(
    claims: ClaimClient, caller: Caller, method: str, path: str, body: bytes, run: Run
) -> WholeAnswer:
    """Run a request unless its key was claimed before.

    :param run: sends the request.
    :raises RequestError: if there is no answer; it says whether the request ran.
    """
    key = require_key(caller)
    workspace = caller.workspace.name
    attempt = secrets.token_hex(ATTEMPT_BYTES)
    reply = await claims.ask(workspace, key, request_digest(method, path, body), attempt)
    if reply.answer is not ClaimAnswer.GRANTED:
        return _answer_from_claim(reply)
    ran = "unknown"
    outcome: Outcome | None = None
    try:
        answered = await run()
        ran = "yes"
        outcome = stored_outcome(answered.status, answered.content_type, answered.body)
        return answered
    except RequestError as error:
        ran = error.executed
        raise
    finally:
        # Also reported if the caller disconnects: the outcome then stays unknown.
        await claims.report(workspace, key, attempt, ran, outcome)
