"""What follows a failed attempt: a table of cases for each rule."""

import pytest

from thorncleat_gateway.exceptions import AnswerAbortedError
from thorncleat_gateway.exceptions import AttemptError
from thorncleat_gateway.exceptions import Executed
from thorncleat_gateway.exceptions import RefusalError
from thorncleat_gateway.requests import retry_after
from thorncleat_gateway.requests import retry_policy
from thorncleat_gateway.requests.refusal import Refusal
from thorncleat_gateway.requests.retry_policy import MAX_UNSENT_ATTEMPTS
from thorncleat_gateway.requests.retry_policy import AttemptsUsed
from thorncleat_gateway.requests.retry_policy import CutAnswer
from thorncleat_gateway.requests.retry_policy import NextStep
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Split

NO = AttemptError("no connection: X", Executed.NO, sent=False)
DECLINED = AttemptError("declined with 503", Executed.NO)
MAYBE = AttemptError("answer cut: X", Executed.MAYBE)


def route(kind=RouteKind.REPEATABLE, max_attempts=2, resumable=False):
    return Route(
        "r", "h", "/", kind, 3.0, 0.5, 0.3, 1, (Split("s", 1.0),), max_attempts, False, resumable
    )


REPEATABLE, ONCE = route(), route(RouteKind.ONCE)
RESUMABLE, STREAM = (route(RouteKind.STREAMING, resumable=value) for value in (True, False))


def attempts(sends=1, unsent=0, ran=False, late=False):
    return AttemptsUsed(sends, unsent, ran, late)


class Budget:
    """A retry budget with some tokens."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.calls = 0

    def take(self):
        self.calls += 1
        self.tokens -= 1
        return self.tokens >= 0


RETRY = NextStep.RETRY
FAILED_ANSWER = NextStep.RETURN_FAILED_ANSWER

# Failure, attempts used, route, begun, tokens; decision, whether the budget was consulted.
STREAMS = [
    ("not run, has attempts", DECLINED, attempts(), STREAM, False, 1, RETRY, True),
    ("not sent, has attempts", NO, attempts(0, 1), STREAM, False, 1, RETRY, True),
    ("may have run, resumable", MAYBE, attempts(ran=True), RESUMABLE, False, 1, RETRY, True),
    ("begun, resumable", MAYBE, attempts(ran=True), RESUMABLE, True, 1, RETRY, True),
    (
        "may have run, not resumable",
        MAYBE,
        attempts(ran=True),
        STREAM,
        False,
        1,
        Refusal(502, "answer cut: X", None),
        False,
    ),
    (
        "begun, not resumable",
        MAYBE,
        attempts(ran=True),
        STREAM,
        True,
        1,
        CutAnswer("answer cut: X"),
        False,
    ),
    (
        "not run, no attempts left",
        DECLINED,
        attempts(2),
        STREAM,
        False,
        1,
        Refusal(503, "declined with 503", 0.4),
        False,
    ),
    (
        "not sent, too often",
        NO,
        attempts(0, MAX_UNSENT_ATTEMPTS),
        STREAM,
        False,
        1,
        Refusal(503, "no connection: X", 0.4),
        False,
    ),
    (
        "not run, budget spent",
        DECLINED,
        attempts(),
        STREAM,
        False,
        0,
        Refusal(503, "declined with 503", 0.4),
        True,
    ),
    (
        "not run now but perhaps before, budget spent",
        DECLINED,
        attempts(ran=True),
        RESUMABLE,
        False,
        0,
        Refusal(502, "declined with 503", None),
        True,
    ),
    (
        "begun, budget spent",
        MAYBE,
        attempts(ran=True),
        RESUMABLE,
        True,
        0,
        CutAnswer("answer cut: X"),
        True,
    ),
    (
        "late, not run",
        DECLINED,
        attempts(late=True),
        STREAM,
        False,
        1,
        Refusal(503, "out of time", 0.4),
        False,
    ),
    (
        "late, may have run",
        MAYBE,
        attempts(ran=True, late=True),
        RESUMABLE,
        False,
        1,
        Refusal(502, "out of time", None),
        False,
    ),
    (
        "late, begun",
        MAYBE,
        attempts(ran=True, late=True),
        RESUMABLE,
        True,
        1,
        CutAnswer("out of time"),
        False,
    ),
]


@pytest.mark.parametrize(
    ("failure", "spent", "on", "has_begun", "tokens", "expected", "is_consulted"),
    [pytest.param(*row, id=name) for name, *row in STREAMS],
)
def test_streamed_request_after_a_failure(
    failure, spent, on, has_begun, tokens, expected, is_consulted
):
    budget = Budget(tokens)
    decision = retry_policy.after_stream_failure(
        failure, spent, on, budget.take, has_begun=has_begun
    )
    assert decision == expected
    assert budget.calls == is_consulted


# Failure, attempts used, route, has failed answer, tokens; decision, whether the budget was
# consulted.
PLAIN = [
    ("not sent", NO, attempts(0, 1), ONCE, False, 1, RETRY, True),
    ("declined", DECLINED, attempts(), ONCE, False, 1, RETRY, True),
    ("may have run, repeatable", MAYBE, attempts(ran=True), REPEATABLE, False, 1, RETRY, True),
    ("failure status, repeatable", MAYBE, attempts(ran=True), REPEATABLE, True, 1, RETRY, True),
    (
        "may have run, once",
        MAYBE,
        attempts(ran=True),
        ONCE,
        False,
        1,
        Refusal(502, "answer cut: X", None),
        False,
    ),
    (
        "not run, no attempts left",
        DECLINED,
        attempts(2),
        ONCE,
        False,
        1,
        Refusal(503, "declined with 503", 0.3),
        False,
    ),
    (
        "not sent, too often",
        NO,
        attempts(0, MAX_UNSENT_ATTEMPTS),
        ONCE,
        False,
        1,
        Refusal(503, "no connection: X", 0.3),
        False,
    ),
    (
        "not run, budget spent",
        DECLINED,
        attempts(),
        ONCE,
        False,
        0,
        Refusal(503, "declined with 503", 0.3),
        True,
    ),
    (
        "may have run, repeatable, budget spent",
        MAYBE,
        attempts(ran=True),
        REPEATABLE,
        False,
        0,
        Refusal(502, "answer cut: X", None),
        True,
    ),
    (
        "failed answer, budget spent",
        MAYBE,
        attempts(ran=True),
        REPEATABLE,
        True,
        0,
        FAILED_ANSWER,
        True,
    ),
    (
        "failed answer, no attempts left",
        MAYBE,
        attempts(2, ran=True),
        REPEATABLE,
        True,
        1,
        FAILED_ANSWER,
        False,
    ),
    (
        "late, not run",
        DECLINED,
        attempts(late=True),
        ONCE,
        False,
        1,
        Refusal(503, "out of time", 0.3),
        False,
    ),
    (
        "late, may have run",
        MAYBE,
        attempts(ran=True, late=True),
        ONCE,
        False,
        1,
        Refusal(502, "out of time", None),
        False,
    ),
    (
        "late, failed answer",
        MAYBE,
        attempts(ran=True, late=True),
        REPEATABLE,
        True,
        1,
        FAILED_ANSWER,
        False,
    ),
]


@pytest.mark.parametrize(
    ("failure", "spent", "on", "has_failed_answer", "tokens", "expected", "is_consulted"),
    [pytest.param(*row, id=name) for name, *row in PLAIN],
)
def test_plain_request_after_a_failure(
    failure, spent, on, has_failed_answer, tokens, expected, is_consulted
):
    budget = Budget(tokens)
    decision = retry_policy.after_plain_failure(
        failure, spent, on, budget.take, has_failed_answer=has_failed_answer
    )
    assert decision == expected
    assert budget.calls == is_consulted


@pytest.mark.parametrize(
    ("may_have_run", "has_failed_answer", "expected"),
    [
        pytest.param(False, False, Refusal(503, "no endpoint", 0.3), id="nothing has run"),
        pytest.param(True, False, Refusal(502, "no endpoint", None), id="may have run"),
        pytest.param(True, True, FAILED_ANSWER, id="an endpoint has answered"),
    ],
)
def test_request_without_an_endpoint(may_have_run, has_failed_answer, expected):
    found = retry_policy.without_endpoint(
        may_have_run=may_have_run, has_failed_answer=has_failed_answer
    )
    assert found == expected


@pytest.mark.parametrize(
    ("may_have_run", "has_begun", "waited", "expected"),
    [
        pytest.param(False, False, False, Refusal(503, "c", 0.4), id="nothing has run"),
        pytest.param(True, False, False, Refusal(502, "c", None), id="may have run"),
        pytest.param(True, True, False, NextStep.WAIT_FOR_GROUP, id="begun: wait"),
        pytest.param(True, True, True, CutAnswer("no group to go on in"), id="waited in vain"),
    ],
)
def test_request_without_a_group(may_have_run, has_begun, waited, expected):
    found = retry_policy.without_group(
        "c", may_have_run=may_have_run, has_begun=has_begun, waited=waited
    )
    assert found == expected


def test_cut_for_want_of_time_says_so():
    """A stream whose time was over was said to have found no group."""
    found = retry_policy.without_group(
        "c", may_have_run=True, has_begun=True, waited=True, is_late=True
    )
    assert found == CutAnswer("out of time")


@pytest.mark.parametrize(
    ("waited", "pause_left", "left", "ends"),
    [
        pytest.param(1.9, 0.0, 5.0, False, id="a group may come"),
        pytest.param(2.0, 0.0, 5.0, True, id="none came"),
        pytest.param(2.5, 0.7, 5.0, False, id="a pause ends in time"),
        pytest.param(2.5, 2.5, 5.0, False, id="half of its time is left after the pause"),
        pytest.param(2.5, 2.6, 5.0, True, id="too little is left after the pause"),
        pytest.param(2.5, 0.7, 0.5, True, id="the pause ends too late"),
        pytest.param(0.5, 0.7, 0.5, False, id="another group may come before"),
        pytest.param(0.5, 0.0, 0.0, True, id="no time is left"),
        pytest.param(0.5, 0.7, -0.1, True, id="no time is left, while a group pauses"),
    ],
)
def test_wait_of_a_stream_that_has_begun(waited, pause_left, left, ends):
    assert retry_policy.has_waited(waited, pause_left, left) is ends


@pytest.mark.parametrize(
    ("failure", "heard", "counts"),
    [
        pytest.param(NO, False, False, id="not sent"),
        pytest.param(NO, True, False, id="not sent, endpoint answers others"),
        pytest.param(DECLINED, False, False, id="declined"),
        pytest.param(DECLINED, True, False, id="declined, endpoint answers others"),
        pytest.param(MAYBE, True, True, id="may have run, heard since"),
        pytest.param(MAYBE, False, False, id="silent since before: did not begin"),
    ],
)
def test_attempts_that_count_towards_the_route(failure, heard, counts):
    assert retry_policy.counts_as_sent(failure, had_contact_since_sent=heard) is counts


@pytest.mark.parametrize(
    ("on", "sends", "late", "expected"),
    [
        pytest.param(REPEATABLE, 0, False, True, id="first of two"),
        pytest.param(REPEATABLE, 1, False, False, id="second of two"),
        pytest.param(ONCE, 0, False, False, id="not repeatable"),
        pytest.param(REPEATABLE, 0, True, False, id="late"),
    ],
)
def test_plain_request_can_try_elsewhere(on, sends, late, expected):
    assert retry_policy.can_try_elsewhere(on, sends, is_late=late) is expected


@pytest.mark.parametrize(
    ("left", "elsewhere", "seconds"),
    [
        pytest.param(3.0, True, 0.4, id="0.8 of the target of 0.5 s"),
        pytest.param(0.2, True, 0.2, id="less is left"),
        pytest.param(3.0, False, 3.0, id="no other endpoint"),
    ],
)
def test_timeout_of_a_plain_attempt(left, elsewhere, seconds):
    assert retry_policy.attempt_seconds(REPEATABLE, left, elsewhere=elsewhere) == seconds


@pytest.mark.parametrize(
    ("on", "sends", "expected"),
    [
        pytest.param(RESUMABLE, 0, True, id="first of two"),
        pytest.param(RESUMABLE, 1, False, id="second of two"),
        pytest.param(STREAM, 0, False, id="not resumable"),
    ],
)
def test_stream_can_leave_a_silent_group(on, sends, expected):
    assert retry_policy.can_leave_group(on, sends) is expected


def test_decisions_become_errors_with_their_fields():
    error = Refusal(503, "c", 0.4).error()
    assert type(error) is RefusalError
    assert (error.status, error.cause, error.retry_after) == (503, "c", 0.4)
    cut = CutAnswer("c").error()
    assert type(cut) is AnswerAbortedError
    assert cut.cause == "c"


def test_stream_that_has_begun_is_not_cut_for_a_decline():
    """Only the group that the stream left counts; the full group that declined does not."""
    counted = [
        retry_policy.counts_as_sent(failure, had_contact_since_sent=True)
        for failure in (MAYBE, DECLINED)
    ]
    spent = attempts(counted.count(True), counted.count(False), ran=True)
    decision = retry_policy.after_stream_failure(
        DECLINED, spent, RESUMABLE, Budget(1).take, has_begun=True
    )
    assert decision is RETRY


# Pausing endpoints.


@pytest.mark.parametrize(
    ("pause_left", "lowest", "highest"),
    [
        pytest.param(0.0, 0.3, 0.3, id="no pause: the usual time"),
        pytest.param(0.1, 0.1, 0.4, id="after the first pause, spread over the usual time"),
        pytest.param(2.0, 2.0, 2.3, id="longer"),
        pytest.param(3600.0, 2.7, 3.0, id="no longer than callers wait"),
    ],
)
def test_time_to_retry_during_a_pause(pause_left, lowest, highest):
    found = [retry_after.during_pause(0.3, pause_left) for _ in range(50)]
    assert lowest <= min(found) <= max(found) <= highest
    assert lowest == highest or max(found) - min(found) > 0.2


@pytest.mark.parametrize("plain", [True, False])
def test_refusal_while_all_pause(plain):
    """Nothing has run, so the caller learns at once when to retry."""
    if plain:
        end = retry_policy.without_endpoint(
            may_have_run=False, has_failed_answer=False, pause_left=1.5
        )
    else:
        end = retry_policy.without_group(
            "c", may_have_run=False, has_begun=False, waited=False, pause_left=1.5
        )
    assert end.status == 503
    assert 1.5 <= end.retry_after <= 1.9
