"""The number of a term, from which the epochs of its groups are made.

Endpoints refuse epochs below those that they have seen, so each term's number is higher than all
earlier ones.

Owns: no state.
Relies on: the epochs that endpoints and the groups' records name.
"""

import typing as t

# Number of epochs that one term can use.
EPOCHS_PER_TERM = 100_000


def term_number(revision: int, epochs: t.Iterable[int], numbers: t.Iterable[int] = ()) -> int:
    """Return the number of a term: the store's revision, or more if earlier terms need it.

    Revisions go back when the store is restored from a copy.

    :param revision: store revision at which the controller's record was created.
    :param epochs: epochs of present and former groups.
    :param numbers: numbers of other terms.
    """
    used = [epoch // EPOCHS_PER_TERM for epoch in epochs]
    return max([revision, *(number + 1 for number in (*used, *numbers))])
