"""Which of two things holds that answers say of an endpoint's limit: a table of cases."""

import hypothesis
import pytest
from hypothesis import strategies as st

from thorncleat_gateway.requests.rate_notice import RateNotice
from thorncleat_gateway.requests.rate_notice import merge_notices


def named(limit, sent_at, answered_at):
    return RateNotice(limit, sent_at, answered_at)


KNOWN = named(2.0, 10.0, 11.0)
ENDED = named(None, 20.0, 21.0)
CASES = {
    "the first word counts": (None, KNOWN, KNOWN),
    "an answer without a limit too": (None, ENDED, ENDED),
    "the same again is remembered as newer": (KNOWN, named(2.0, 12.0, 13.0), (2.0, 12.0, 13.0)),
    "the same, heard earlier": (KNOWN, named(2.0, 8.0, 9.0), KNOWN),
    "an answer to a request sent after the word ends it": (KNOWN, ENDED, ENDED),
    "one sent before the word was heard doesn't": (KNOWN, named(None, 10.5, 12.0), KNOWN),
    "nor one sent before it was said": (KNOWN, named(None, 9.0, 14.0), KNOWN),
    "an older word doesn't bring a limit back": (ENDED, named(2.0, 19.0, 22.0), ENDED),
    "a newer one does": (ENDED, named(2.0, 20.5, 22.0), (2.0, 20.5, 22.0)),
    "a lower figure counts at once": (KNOWN, named(1.0, 10.5, 12.0), (1.0, 10.5, 12.0)),
    "but for an older one": (KNOWN, named(1.0, 9.0, 12.0), KNOWN),
    "a higher one only if it is surely newer": (KNOWN, named(3.0, 10.5, 12.0), KNOWN),
    "as it is here": (KNOWN, named(3.0, 11.5, 12.0), (3.0, 11.5, 12.0)),
    "zero is a limit": (KNOWN, named(0.0, 11.5, 12.0), (0.0, 11.5, 12.0)),
}


@pytest.mark.parametrize("case", CASES)
def test_cases(case):
    known, told, held = CASES[case]
    assert merge_notices(known, told) == held


def said(at, change_at):
    """Return what the endpoint says at a moment: a limit until it withdraws it."""
    return 2.0 if at < change_at else None


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 50), st.floats(0, 5), st.floats(0, 0.2)), min_size=1, max_size=20
    ),
    st.permutations(range(20)),
)
def test_in_whatever_order_answers_come_the_end_holds_once_one_shows_it(answers, order):
    """Each answer says what holds at one moment of its way; all of them come in any order."""
    change_at = 25.0
    notices = []
    for sent_at, waits, way in answers:
        said_at = sent_at + waits
        notices.append(RateNotice(said(said_at, change_at), sent_at, said_at + way))
    held = None
    for number in order:
        if number < len(notices):
            held = merge_notices(held, notices[number])
    last_named = max((one.answered_at for one in notices if one.limit is not None), default=None)
    shows_the_end = [one.sent_at for one in notices if one.limit is None]
    if last_named is None or max(shows_the_end, default=0.0) > last_named:
        assert held.limit is None
