"""The number of a term, from which the epochs of its groups are made.

Endpoints refuse epochs below those that they have seen, so each term's number is higher than all
earlier ones.

Owns: no state.
Relies on: the epochs that endpoints and the groups' records name.
"""

import typing as t

# Number of epochs that one term can use.
EPOCHS_PER_TERM = 100_000
# Revisions by which a copy may be behind the store that is restored from it: over a minute of the
# store's whole rate of writes.
MAX_LOST_REVISIONS = 100_000


def term_number(
    revision: int, epochs: t.Iterable[int], numbers: t.Iterable[int] = (), era: int = 0
) -> int:
    """Return the number of a term: higher for a later era, then for a later revision.

    Revisions go back when the store is restored from a copy, and a controller that has started
    since knows none of the earlier ones. But each answer names the era, which only rises.

    :param revision: store revision at which the controller's record was created.
    :param epochs: epochs of present and former groups.
    :param numbers: numbers of other terms.
    :param era: the store's era in which the record was created.
    """
    used = [epoch // EPOCHS_PER_TERM for epoch in epochs]
    own = era * MAX_LOST_REVISIONS + revision
    return max([own, *(number + 1 for number in (*used, *numbers))])
