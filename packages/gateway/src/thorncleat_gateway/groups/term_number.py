"""The number of a term, from which the epochs of its groups are made.

It is the store's revision at which the controller's record was created, so it rises with each
controller. Where the store came back from a copy, revisions have gone back: endpoints have seen
higher epochs, and refuse lower ones. Then the number continues above all that anybody names.

Pure.

Owns: nothing.
Relies on: the epochs that endpoints and the groups' records name.
"""

import typing as t

# formations that one term can number
EPOCHS_PER_TERM = 100_000


def term_number(revision: int, epochs: t.Iterable[int], numbers: t.Iterable[int] = ()) -> int:
    """Return the number of a term.

    :param revision: of the store, at which the controller's record was created.
    :param epochs: those that are known, of groups that stand or have ended.
    :param numbers: other terms' that are known.
    """
    used = [epoch // EPOCHS_PER_TERM for epoch in epochs]
    return max([revision, *(number + 1 for number in (*used, *numbers))])
