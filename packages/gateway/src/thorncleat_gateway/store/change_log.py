"""What a daemon has learnt lately, in order, for those that learn it from this daemon.

Owns: the newest batches of changes.
Relies on: nothing.
"""

import collections
import dataclasses
import typing as t

from ..ports import Change
from ..ports import Position

# batches that are kept; a daemon that is further behind is sent to the store
BATCHES = 256


@dataclasses.dataclass(frozen=True)
class _Batch:
    """Changes that came together.

    :param position: the store's with them.
    """

    position: Position
    changes: t.Sequence[Change]


class ChangeLog:
    """The newest batches of changes.

    :param limit: batches that are kept.
    """

    def __init__(self, limit: int = BATCHES) -> None:
        self._limit = limit
        self._batches: collections.deque[_Batch] = collections.deque()
        self._begin = Position(0, 0)

    def restart_at(self, position: Position) -> None:
        """Forget all: what comes next continues a position."""
        self._batches.clear()
        self._begin = position

    def add(self, position: Position, changes: t.Sequence[Change]) -> None:
        """Keep a batch.

        :param position: the store's with it.
        """
        if changes:
            self._batches.append(_Batch(position, changes))
        if len(self._batches) > self._limit:
            self._begin = self._batches.popleft().position

    def since(self, position: Position) -> list[Change] | None:
        """Return all changes after a position, and perhaps some that are not newer.

        What is not newer comes before what is, so that taking all of them in order is right.

        :returns: None if some may be missing.
        """
        if position < self._begin:
            return None
        newer = [batch for batch in self._batches if batch.position > position]
        return [change for batch in newer for change in batch.changes]
