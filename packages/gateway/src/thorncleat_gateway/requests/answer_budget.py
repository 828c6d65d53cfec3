"""Bounds the bytes of endpoints' answers that this daemon holds.

An answer is held until it is known to be sound, since nothing of it can be taken back once it has
been passed on. Without a bound, endpoints that send without end would take all memory.

Owns: the number of bytes held.
Relies on: the forwarders to release what a request holds when it ends.
"""

import contextlib
import typing as t

# Part of the process's memory for answers. Each may be in memory twice, while its parts are joined
# or beside an earlier one with a failure status.
MEMORY_FRACTION = 0.125
# Memory of a process that doesn't know its own.
DEFAULT_MEMORY_BYTES = 256 << 20
# Bytes that may be held of one answer.
MAX_HELD_BYTES = 1 << 20
# Bytes that may be held of it even if the budget is used up, so that small answers are served then.
ALWAYS_HELD_BYTES = 16_384


class AnswerBudget:
    """The bytes that all held answers together may take.

    :param memory: bytes that the process may use; None if unknown.
    :ivar held: bytes held.
    """

    def __init__(self, memory: int | None = None) -> None:
        self._limit = int((memory or DEFAULT_MEMORY_BYTES) * MEMORY_FRACTION)
        self.held = 0

    def has_room(self, size: int) -> bool:
        """Return whether a number of bytes may be held in addition."""
        return self.held + size <= self._limit

    @contextlib.contextmanager
    def hold(self) -> t.Iterator["HeldBytes"]:
        """Return a context in which one request's answers are held."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            self.held -= held.size


class HeldBytes:
    """The bytes that are held of the answer to one request.

    :ivar size: bytes that count towards the budget.
    """

    def __init__(self, budget: AnswerBudget) -> None:
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> bool:
        """Hold a number of bytes instead of those held so far; return whether there is room.

        Without room nothing changes.
        """
        more = size - self.size
        is_small = size <= ALWAYS_HELD_BYTES
        has_room = size <= MAX_HELD_BYTES and self._budget.has_room(more)
        if more > 0 and not is_small and not has_room:
            return False
        self._budget.held += more
        self.size = size
        return True
