"""The latest changes that a daemon has read, in order, for daemons that ask it for changes.

Owns: the newest batches of changes.
Relies on: nothing.
"""

import collections
import dataclasses
import typing as t

from ..ports import Change
from ..ports import Position

# A daemon that is further behind reads a snapshot.
MAX_BATCHES = 256


@dataclasses.dataclass(frozen=True)
class _Batch:
    """Changes that arrived together.

    :param position: the store's position with these changes.
    """

    position: Position
    changes: t.Sequence[Change]


class ChangeLog:
    """The newest batches of changes.

    :param limit: how many batches are retained.
    """

    def __init__(self, limit: int = MAX_BATCHES) -> None:
        self._limit = limit
        self._batches: collections.deque[_Batch] = collections.deque()
        self._begin = Position(0, 0)

    def restart_at(self, position: Position) -> None:
        """Discard all batches; later ones continue from a position."""
        self._batches.clear()
        self._begin = position

    def add(self, position: Position, changes: t.Sequence[Change]) -> None:
        """Append a batch.

        :param position: the store's position with the batch.
        """
        if changes:
            self._batches.append(_Batch(position, changes))
        if len(self._batches) > self._limit:
            self._begin = self._batches.popleft().position

    def since(self, position: Position) -> list[Change] | None:
        """Return all changes after a position, possibly preceded by older ones.

        The older ones come first, so applying all of them in order is correct.

        :returns: None if changes after the position may be missing.
        """
        if position < self._begin:
            return None
        newer = [batch for batch in self._batches if batch.position > position]
        return [change for batch in newer for change in batch.changes]
