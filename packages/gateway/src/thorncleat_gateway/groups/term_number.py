"""The number of a term, from which the epochs of its groups are made.

It is the store revision at which the controller's record was created, and so rises with each
controller. If the store was restored from a copy, revisions have gone back while endpoints refuse
epochs below those that they have seen; then the number continues above all known ones.

Owns: no state.
Relies on: the epochs that endpoints and the groups' records name.
"""

import typing as t

# Number of epochs that one term can use.
EPOCHS_PER_TERM = 100_000


def term_number(revision: int, epochs: t.Iterable[int], numbers: t.Iterable[int] = ()) -> int:
    """Return the number of a term.

    :param revision: store revision at which the controller's record was created.
    :param epochs: known epochs of present and former groups.
    :param numbers: known numbers of other terms.
    """
    used = [epoch // EPOCHS_PER_TERM for epoch in epochs]
    return max([revision, *(number + 1 for number in (*used, *numbers))])
