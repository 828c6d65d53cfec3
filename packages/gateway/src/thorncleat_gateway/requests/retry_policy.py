"""Decides after a failed attempt whether a request is retried or refused, or its answer is cut.

Owns: nothing; every rule is a pure function of the failure, the attempts used and the route.
Relies on: :class:`~..exceptions.AttemptError` for the result of a failed attempt, and
:mod:`.retry_after` for the times after which callers should retry.
"""

import dataclasses
import enum
import typing as t

from ..exceptions import AnswerAbortedError
from ..exceptions import AttemptError
from ..exceptions import Executed
from ..store.serving import Route
from . import retry_after
from .refusal import Refusal

# Limit of the attempts that don't count towards the route's limit.
MAX_UNSENT_ATTEMPTS = 4
# Timeout, as a fraction of the route's target, of an attempt that can be repeated elsewhere.
ATTEMPT_TARGET_FRACTION = 0.8
# How long a stream that has begun waits for a group on which it can resume, if none is known to
# come back.
WAIT_FOR_GROUP_SECONDS = 2.0
# Longest pause that it outwaits, as a fraction of its time left; the rest is for its answer.
MAX_PAUSE_FRACTION = 0.5
# Causes in log lines and answers.
OUT_OF_TIME = "out of time"
NO_ENDPOINT = "no endpoint"
ALL_PAUSED = "every endpoint wants no requests for a time"
EVACUATED = "failure domain evacuated"
NO_GROUP_LEFT = "no group to go on in"
CRASHES_ENDPOINTS = "it ends its endpoints"
STOPPING = "stopping"
DENIED_LAST_ENDPOINT = "it may end the last endpoint"


@dataclasses.dataclass(frozen=True)
class AttemptsUsed:
    """The attempts of a request, including the latest failed one.

    :param sends: attempts that count towards the route's limit.
    :param unsent: attempts that don't count, since they cannot have run.
    :param may_have_run: whether any attempt may have run.
    :param is_late: whether the request has run out of time.
    """

    sends: int
    unsent: int
    may_have_run: bool
    is_late: bool


class NextStep(enum.Enum):
    """What to do next, other than refuse the request or cut its answer."""

    RETRY = "send again"
    # The latest answer with a failure status from an endpoint of a plain service.
    RETURN_FAILED_ANSWER = "return kept answer"
    WAIT_FOR_GROUP = "wait for group"


@dataclasses.dataclass(frozen=True)
class CutAnswer:
    """Break the connection of a caller who has got a part of the answer."""

    cause: str

    def error(self) -> AnswerAbortedError:
        """Return the error that ends the request in this way."""
        return AnswerAbortedError(self.cause)


StreamDecision = t.Literal[NextStep.RETRY] | Refusal | CutAnswer
PlainDecision = t.Literal[NextStep.RETRY, NextStep.RETURN_FAILED_ANSWER] | Refusal


def give_up(cause: str, seconds: float | None, *, may_have_run: bool) -> Refusal:
    """Return the refusal of a request; its status promises that nothing has run if that is certain.

    :param seconds: seconds after which the caller should retry if nothing has run, or None.
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
    has_begun: bool,
) -> StreamDecision:
    """Decide how a streamed request proceeds after a failed attempt.

    On a resumable route an attempt that may have run can resume on another group.

    :param take_token: takes a token of the retry budget, and returns whether there was one; called
        only if everything else allows a retry.
    :param has_begun: whether the caller has got the head of the answer.
    """
    can_migrate = failure.ran is Executed.NO or route.resumable
    # Without any way to an endpoint the caller is told at once, so that it can go elsewhere.
    is_hopeless = failure.is_hopeless and not has_begun
    can_retry = can_migrate and not is_hopeless and not used.is_late
    allowed = can_retry and has_attempts_left(route, used.sends, used.unsent)
    if allowed and take_token():
        return NextStep.RETRY
    cause = OUT_OF_TIME if used.is_late else failure.cause
    if has_begun:
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
    """Decide how a request to a plain service proceeds after a failed attempt.

    :param take_token: takes a token of the retry budget, and returns whether there was one; called
        only if everything else allows a retry.
    :param has_failed_answer: whether an endpoint has answered with a failure status.
    """
    if used.is_late and has_failed_answer:
        # An endpoint's failed answer is more useful to the caller than a refusal.
        return NextStep.RETURN_FAILED_ANSWER
    if used.is_late:
        return give_up(OUT_OF_TIME, retry_after.PLAIN_SECONDS, may_have_run=used.may_have_run)
    if used.may_have_run and not route.is_repeatable:
        return give_up(failure.cause, None, may_have_run=True)
    can_retry = has_attempts_left(route, used.sends, used.unsent) and not failure.is_hopeless
    if can_retry and take_token():
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
    """Decide how a request to a plain service ends if no endpoint is left for it.

    :param has_failed_answer: whether an endpoint has answered with a failure status.
    :param pause_left: seconds until a pausing endpoint accepts requests; 0 if none pauses.
    """
    if has_failed_answer:
        return NextStep.RETURN_FAILED_ANSWER
    seconds = retry_after.during_pause(retry_after.PLAIN_SECONDS, pause_left)
    return give_up(cause, seconds, may_have_run=may_have_run)


def has_waited(waited: float, pause_left: float, left: float) -> bool:
    """Return whether a stream that has begun stops waiting for a group.

    It outwaits a pause that leaves enough time for the rest of the answer, since the group is known
    to come back.

    :param waited: seconds for which it has waited.
    :param pause_left: seconds until a pausing group accepts requests; 0 if none pauses.
    :param left: seconds until the request is given up.
    """
    if left <= 0:
        return True
    if 0 < pause_left <= MAX_PAUSE_FRACTION * left:
        return False
    return waited >= WAIT_FOR_GROUP_SECONDS


def without_group(
    cause: str,
    *,
    may_have_run: bool,
    has_begun: bool,
    waited: bool,
    pause_left: float = 0.0,
    is_late: bool = False,
) -> t.Literal[NextStep.WAIT_FOR_GROUP] | Refusal | CutAnswer:
    """Decide how a streamed request proceeds while no group can take it.

    :param cause: the cause if the request is refused.
    :param pause_left: seconds until a pausing endpoint accepts requests; 0 if none pauses.
    :param has_begun: whether the caller has got the head of the answer. Before that the request is
        refused without a wait, since the caller can retry at another daemon.
    :param waited: whether its wait is over, as :func:`has_waited` says.
    :param is_late: whether the request has run out of time.
    """
    if not has_begun:
        seconds = retry_after.during_pause(retry_after.STREAM_SECONDS, pause_left)
        return give_up(cause, seconds, may_have_run=may_have_run)
    if not waited:
        return NextStep.WAIT_FOR_GROUP
    return CutAnswer(OUT_OF_TIME if is_late else NO_GROUP_LEFT)


def refuse_quarantined(
    seconds: float, *, may_have_run: bool, has_begun: bool
) -> Refusal | CutAnswer:
    """Decide how a quarantined request ends.

    Status 429 distinguishes the quarantine from a lack of capacity and promises that the request
    has not run, so that callers may retry after its release.

    :param seconds: seconds until the release.
    :param has_begun: whether the caller has got the head of an answer.
    """
    if has_begun:
        return CutAnswer(CRASHES_ENDPOINTS)
    if may_have_run:
        return Refusal(502, CRASHES_ENDPOINTS)
    return Refusal(429, CRASHES_ENDPOINTS, seconds)


def refuse_stopping(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request to which a planned stop leaves no time."""
    return give_up(STOPPING, retry_after.STOPPING_SECONDS, may_have_run=may_have_run)


def can_try_elsewhere(route: Route, sends: int, *, is_late: bool) -> bool:
    """Return whether a plain request could go to another endpoint if its next attempt fails.

    If so, the attempt may be given up early, and its failed answer need not be passed on.

    :param sends: earlier attempts that count towards the route's limit.
    :param is_late: whether the request has run out of time.
    """
    return route.is_repeatable and sends + 1 < route.max_attempts and not is_late


def attempt_seconds(route: Route, left: float, *, elsewhere: bool) -> float:
    """Return the timeout in seconds of an attempt at a plain service.

    :param left: seconds until the request is given up.
    :param elsewhere: whether the request could go to another endpoint afterwards.
    """
    return min(left, ATTEMPT_TARGET_FRACTION * route.target) if elsewhere else left


def can_leave_group(route: Route, sends: int) -> bool:
    """Return whether a stream can leave a silent group for another one.

    :param sends: attempts before the running one that count towards the route's limit.
    """
    return route.resumable and sends + 1 < route.max_attempts


def counts_as_sent(failure: AttemptError, *, had_contact_since_sent: bool) -> bool:
    """Return whether a failed attempt at a group counts towards the route's limit.

    The limit bounds how many endpoints may run a request. An endpoint that declined the request has
    not run it, nor has a group that was silent from before the attempt on.

    :param had_contact_since_sent: whether the group has sent anything since the attempt began.
    """
    return failure.ran is Executed.MAYBE and had_contact_since_sent
