"""What an endpoint's answers say of the requests that it takes from all daemons together.

Answers overtake each other, and daemons tell each other what they have heard. So a notice holds
the moments between which the endpoint has said it, and of two notices the one is kept that holds
whichever came first. Where that can't be told, the limit goes on: to keep to it for one more answer
costs little, and to leave it too soon gives the endpoint more than it takes.

Pure.

Owns: nothing.
Relies on: times of one daemon's own clock.
"""

import typing as t


class RateNotice(t.NamedTuple):
    """A limit that an endpoint has named in an answer, or that it named none.

    :param limit: requests a second; None if it named none.
    :param sent_at: when the request was sent that it answers, on the gateway's clock.
    :param heard_at: when the answer came.
    """

    limit: float | None
    sent_at: float
    answered_at: float


def merge_notices(known: RateNotice | None, told: RateNotice) -> RateNotice:
    """Return what holds of an endpoint after another notice.

    :param known: what held before; None if nothing was known.
    """
    if known is None:
        return told
    if told.limit == known.limit:
        sent_at, answered_at = (
            max(known.sent_at, told.sent_at),
            max(known.answered_at, told.answered_at),
        )
        return RateNotice(known.limit, sent_at, answered_at)
    return told if _is_newer(known, told) else known


def _is_newer(known: RateNotice, told: RateNotice) -> bool:
    """Return whether a notice with another figure takes the place of the known one."""
    if told.sent_at > known.answered_at:
        return True
    if told.sent_at < known.sent_at or told.limit is None:
        return False
    return known.limit is None or told.limit < known.limit
