"""What happens to a request after a failed attempt: send it again, give it up, or cut it.

The retry budget comes in as a function, since taking a token is a part of the rule: it is asked
only where everything else allows another attempt.

Owns: nothing; every rule is a pure function of the failure, of what the request has used up and
of its route.
Relies on: :class:`~..exceptions.AttemptError` for what is known of a failed attempt, and
:mod:`.retry_after` for the times to come back.
"""

import dataclasses
import enum
import typing as t

from ..exceptions import AttemptError
from ..exceptions import CutError
from ..exceptions import Ran
from ..store.serving import Route
from . import retry_after
from .refusal import Refusal

# attempts that do not count towards the route's, after which none is left
MAX_UNSENT_ATTEMPTS = 4
# part of the route's target after which a repeatable request that has attempts left goes to
# another endpoint
ATTEMPT_TARGET_FRACTION = 0.8
# seconds for which a stream that has begun waits for a group to go on in
WAIT_FOR_GROUP_SECONDS = 2.0
# causes, as they stand in log lines and answers
OUT_OF_TIME = "out of time"
NO_ENDPOINT = "no endpoint"
ALL_PAUSED = "every endpoint wants no requests for a time"
NO_GROUP_LEFT = "no group to go on in"
ENDS_ENDPOINTS = "it ends its endpoints"
LAST_ENDPOINT = "it may end the last endpoint"


@dataclasses.dataclass(frozen=True)
class AttemptsUsed:
    """What a request has used up, its newest failed attempt included.

    :param sends: attempts that count towards the route's.
    :param unsent: attempts that don't, since they cannot have run.
    :param may_have_run: whether any attempt may have run.
    :param late: whether its time is over.
    """

    sends: int
    unsent: int
    may_have_run: bool
    late: bool


class NextStep(enum.Enum):
    """What to do other than end the request with an answer of the gateway's own."""

    RETRY = "send again"
    # the answer with a failure status that an endpoint of a plain service gave before
    RETURN_FAILED_ANSWER = "return kept answer"
    WAIT_FOR_GROUP = "wait for group"


@dataclasses.dataclass(frozen=True)
class CutAnswer:
    """Break the connection of a caller who has got a part of the answer."""

    cause: str

    def error(self) -> CutError:
        """Return the error that ends the request so."""
        return CutError(self.cause)


StreamDecision = t.Literal[NextStep.RETRY] | Refusal | CutAnswer
PlainDecision = t.Literal[NextStep.RETRY, NextStep.RETURN_FAILED_ANSWER] | Refusal


def give_up(cause: str, seconds: float | None, *, may_have_run: bool) -> Refusal:
    """Return the final answer; whether it promises anything depends on what may have run.

    :param seconds: after which coming back helps if nothing has run.
    """
    return Refusal(502, cause) if may_have_run else Refusal(503, cause, seconds)


def has_attempts_left(route: Route, sends: int, unsent: int) -> bool:
    """Return whether a request has attempts left."""
    return sends < route.max_attempts and unsent < MAX_UNSENT_ATTEMPTS


def after_stream_failure(
    failure: AttemptError,
    used: AttemptsUsed,
    route: Route,
    take_token: t.Callable[[], bool],
    *,
    begun: bool,
) -> StreamDecision:
    """Decide how a streamed request goes on.

    A route with a resumable stream lets an attempt that may have run go on in another group.

    :param take_token: takes a token of the retry budget; returns whether there was one.
    :param begun: whether the caller has got the head of the answer.
    """
    movable = failure.ran is Ran.NO or route.resumable
    allowed = not used.late and movable and has_attempts_left(route, used.sends, used.unsent)
    if allowed and take_token():
        return NextStep.RETRY
    cause = OUT_OF_TIME if used.late else failure.cause
    if begun:
        return CutAnswer(cause)
    return give_up(cause, retry_after.STREAM_SECONDS, may_have_run=used.may_have_run)


def after_plain_failure(
    failure: AttemptError,
    used: AttemptsUsed,
    route: Route,
    take_token: t.Callable[[], bool],
    *,
    has_failed_answer: bool,
) -> PlainDecision:
    """Decide how a request to a plain service goes on.

    :param take_token: takes a token of the retry budget; returns whether there was one.
    :param has_kept: whether an endpoint has answered with a failure status.
    """
    if used.late and has_failed_answer:
        # an endpoint's own answer, though a failure, tells the caller more than one of ours
        return NextStep.RETURN_FAILED_ANSWER
    if used.late:
        return give_up(OUT_OF_TIME, retry_after.PLAIN_SECONDS, may_have_run=used.may_have_run)
    if used.may_have_run and not route.repeatable:
        return give_up(failure.cause, None, may_have_run=True)
    if has_attempts_left(route, used.sends, used.unsent) and take_token():
        return NextStep.RETRY
    if has_failed_answer:
        return NextStep.RETURN_FAILED_ANSWER
    return give_up(failure.cause, retry_after.PLAIN_SECONDS, may_have_run=used.may_have_run)


def without_endpoint(
    *,
    may_have_run: bool,
    has_failed_answer: bool,
    cause: str = NO_ENDPOINT,
    pause_left: float = 0.0,
) -> t.Literal[NextStep.RETURN_FAILED_ANSWER] | Refusal:
    """Decide how a request to a plain service ends if there is no endpoint that it may try.

    :param has_kept: whether an endpoint has answered with a failure status.
    :param pause_left: seconds until one takes requests that wants none now; 0 if none does.
    """
    if has_failed_answer:
        return NextStep.RETURN_FAILED_ANSWER
    seconds = retry_after.during_pause(retry_after.PLAIN_SECONDS, pause_left)
    return give_up(cause, seconds, may_have_run=may_have_run)


def without_group(
    cause: str, *, may_have_run: bool, begun: bool, waited: bool, pause_left: float = 0.0
) -> t.Literal[NextStep.WAIT_FOR_GROUP] | Refusal | CutAnswer:
    """Decide how a streamed request goes on while no group can take it.

    :param cause: of the refusal if nothing has begun.
    :param pause_left: seconds until one takes requests that wants none now; 0 if none does.
    :param begun: whether the caller has got the head of the answer; only then is it worth
        waiting, since a caller who has nothing can come back to another daemon.
    :param waited: whether the time to wait for a group is over.
    """
    if not begun:
        seconds = retry_after.during_pause(retry_after.STREAM_SECONDS, pause_left)
        return give_up(cause, seconds, may_have_run=may_have_run)
    return CutAnswer(NO_GROUP_LEFT) if waited else NextStep.WAIT_FOR_GROUP


def refuse_quarantined(seconds: float, *, may_have_run: bool, begun: bool) -> Refusal | CutAnswer:
    """Decide how a request ends that is not to be sent, since it ends its endpoints.

    429 tells it apart from a want of room, promises that it has not run, and lets callers whose
    requests may run once come back when it is let in again.

    :param seconds: after which it is let in again.
    :param begun: whether the caller has got the head of an answer.
    """
    if begun:
        return CutAnswer(ENDS_ENDPOINTS)
    if may_have_run:
        return Refusal(502, ENDS_ENDPOINTS)
    return Refusal(429, ENDS_ENDPOINTS, seconds)


def can_try_elsewhere(route: Route, sends: int, *, late: bool) -> bool:
    """Return whether a plain request whose next attempt fails could go to another endpoint.

    So its answer need not be waited for to the end, nor be passed on if it says that the
    endpoint failed.

    :param sends: attempts before the next one that count towards the route's.
    """
    return route.repeatable and sends + 1 < route.max_attempts and not late


def attempt_seconds(route: Route, left: float, *, elsewhere: bool) -> float:
    """Return the seconds that an attempt at a plain service gets.

    :param left: seconds until the request is given up.
    :param elsewhere: whether it could go to another endpoint after that.
    """
    return min(left, ATTEMPT_TARGET_FRACTION * route.target) if elsewhere else left


def can_leave_group(route: Route, sends: int) -> bool:
    """Return whether a stream may leave a silent group for another one.

    :param sends: attempts before the running one that count towards the route's.
    """
    return route.resumable and sends + 1 < route.max_attempts


def counts_as_sent(failure: AttemptError, *, heard_since_sent: bool) -> bool:
    """Return whether a failed attempt at a group counts towards the route's attempts.

    The route bounds how many endpoints may run a request. One that declined it has not run it;
    nor has a group that nobody has heard since: it was silent before.
    """
    return failure.ran is Ran.MAYBE and heard_since_sent
