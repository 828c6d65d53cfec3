"""Which of two notices about an endpoint's rate limit prevails: a table of cases."""

import hypothesis
import pytest
from hypothesis import strategies as st

from thorncleat_gateway.requests.rate_notice import RateNotice
from thorncleat_gateway.requests.rate_notice import merge_notices


def named(limit, sent_at, answered_at):
    return RateNotice(limit, sent_at, answered_at)


CURRENT = named(2.0, 10.0, 11.0)
ENDED = named(None, 20.0, 21.0)
CASES = {
    "the first notice prevails": (None, CURRENT, CURRENT),
    "also one without a limit": (None, ENDED, ENDED),
    "the same limit in a newer answer": (CURRENT, named(2.0, 12.0, 13.0), (2.0, 12.0, 13.0)),
    "the same limit in an older answer": (CURRENT, named(2.0, 8.0, 9.0), CURRENT),
    "an answer to a later request ends a limit": (CURRENT, ENDED, ENDED),
    "an answer to a request sent before the limit was received doesn't": (
        CURRENT,
        named(None, 10.5, 12.0),
        CURRENT,
    ),
    "nor to a request sent before the limit was": (CURRENT, named(None, 9.0, 14.0), CURRENT),
    "an older notice doesn't restore a limit": (ENDED, named(2.0, 19.0, 22.0), ENDED),
    "a newer notice restores a limit": (ENDED, named(2.0, 20.5, 22.0), (2.0, 20.5, 22.0)),
    "a lower limit applies at once": (CURRENT, named(1.0, 10.5, 12.0), (1.0, 10.5, 12.0)),
    "unless it is older": (CURRENT, named(1.0, 9.0, 12.0), CURRENT),
    "a higher limit applies only if it is certainly newer": (
        CURRENT,
        named(3.0, 10.5, 12.0),
        CURRENT,
    ),
    "a higher limit that is certainly newer": (CURRENT, named(3.0, 11.5, 12.0), (3.0, 11.5, 12.0)),
    "zero is a limit": (CURRENT, named(0.0, 11.5, 12.0), (0.0, 11.5, 12.0)),
}


@pytest.mark.parametrize("case", CASES)
def test_cases(case):
    current, new, expected = CASES[case]
    assert merge_notices(current, new) == expected


def limit_at(at, change_at):
    """Return the endpoint's limit at a time; None after it has ended."""
    return 2.0 if at < change_at else None


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 50), st.floats(0, 5), st.floats(0, 0.2)), min_size=1, max_size=20
    ),
    st.permutations(range(20)),
)
def test_end_of_a_limit_prevails_in_any_order_of_answers(answers, order):
    """Each answer states the limit at one time between its request and its arrival."""
    change_at = 25.0
    notices = []
    for sent_at, wait, delay in answers:
        stated_at = sent_at + wait
        notices.append(RateNotice(limit_at(stated_at, change_at), sent_at, stated_at + delay))
    current = None
    for number in order:
        if number < len(notices):
            current = merge_notices(current, notices[number])
    last_named = max(
        (notice.answered_at for notice in notices if notice.limit is not None), default=None
    )
    shows_the_end = [notice.sent_at for notice in notices if notice.limit is None]
    if last_named is None or max(shows_the_end, default=0.0) > last_named:
        assert current.limit is None
