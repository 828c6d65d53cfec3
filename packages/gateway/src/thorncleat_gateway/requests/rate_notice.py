"""The rate limit that an endpoint states in an answer, and which of two notices prevails.

Owns: nothing; every rule is a pure function.
Relies on: times on the clock of the daemon that compares the notices.
"""

import typing as t


class RateNotice(t.NamedTuple):
    """The rate limit that an answer states; the endpoint stated it between the two times.

    :param limit: requests per second; None if the answer states no limit.
    :param sent_at: when the request was sent, on the gateway's clock.
    :param answered_at: when the answer arrived.
    """

    limit: float | None
    sent_at: float
    answered_at: float


def merge_notices(current: RateNotice | None, new: RateNotice) -> RateNotice:
    """Return the notice that prevails after a new one arrived, in any order.

    If the order in which the endpoint stated them can't be determined, the stricter one prevails.

    :param current: the notice that prevailed before; None if there was none.
    """
    if current is None:
        return new
    if new.limit == current.limit:
        sent_at, answered_at = (
            max(current.sent_at, new.sent_at),
            max(current.answered_at, new.answered_at),
        )
        return RateNotice(current.limit, sent_at, answered_at)
    return new if _is_replaced_by(current, new) else current


def _is_replaced_by(current: RateNotice, new: RateNotice) -> bool:
    """Return whether the current notice is replaced by one with a different limit."""
    if new.sent_at > current.answered_at:
        return True
    if new.sent_at < current.sent_at or new.limit is None:
        return False
    return current.limit is None or new.limit < current.limit
