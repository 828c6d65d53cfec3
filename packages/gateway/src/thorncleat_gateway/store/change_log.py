"""What a daemon has learnt lately, in order, for those that learn it from this daemon.

Owns: the newest batches of changes.
Relies on: nothing.
"""

import collections
import dataclasses
import typing as t

from ..ports import Change

# batches that are kept; a daemon that is further behind is sent to the store
BATCHES = 256


@dataclasses.dataclass(frozen=True)
class _Batch:
    """Changes that came together.

    :param revision: the store's revision with them.
    """

    revision: int
    changes: t.Sequence[Change]


class ChangeLog:
    """The newest batches of changes.

    :param limit: batches that are kept.
    """

    def __init__(self, limit: int = BATCHES) -> None:
        self._limit = limit
        self._batches: collections.deque[_Batch] = collections.deque()
        self._begin = 0

    def begin(self, revision: int) -> None:
        """Forget all: what comes next continues a revision."""
        self._batches.clear()
        self._begin = revision

    def add(self, revision: int, changes: t.Sequence[Change]) -> None:
        """Keep a batch.

        :param revision: the store's revision with it.
        """
        if changes:
            self._batches.append(_Batch(revision, changes))
        if len(self._batches) > self._limit:
            self._begin = self._batches.popleft().revision

    def since(self, revision: int) -> list[Change] | None:
        """Return all changes after a revision, and perhaps some that are not newer.

        What is not newer comes before what is, so that taking all of them in order is right.

        :returns: None if some may be missing.
        """
        if revision < self._begin:
            return None
        newer = [batch for batch in self._batches if batch.revision > revision]
        return [change for batch in newer for change in batch.changes]
