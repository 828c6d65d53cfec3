"""How long a change that the store has acknowledged may be unknown to this daemon.

An answer proves what the store holds. After the store was restored from a copy, that isn't what it
had acknowledged: writes are lost until their writers have written again. Until then an answer
proves nothing here, and the age continues from the former era.

Owns: the time up to which every acknowledged change of one kind is known.
Relies on: writers writing again within :data:`.freshness.ENTRY_REWRITE_SECONDS` of a restore.
"""

from .freshness import ENTRY_REWRITE_SECONDS


class AcknowledgedAge:
    """Tracks up to when this daemon knows every acknowledged change of one kind.

    Times are on this daemon's clock.
    """

    def __init__(self) -> None:
        self._current_as_of = float("-inf")
        # The era of the last answer; None before the first.
        self._era: int | None = None
        # Answers that hold every change up to a later time are complete again.
        self._complete_from = float("inf")

    @property
    def is_known(self) -> bool:
        """Whether there has been a time at which every acknowledged change was known."""
        return self._current_as_of > float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds for which an acknowledged change may be unknown."""
        return now - self._current_as_of

    def is_complete(self, now: float) -> bool:
        """Return whether the store holds again what it has acknowledged."""
        return now >= self._complete_from

    def begin_era(self, era: int, now: float, *, is_complete: bool) -> None:
        """Record the era of an answer; an era that is known already changes nothing.

        :param now: time of the answer, which came after the restore that began the era.
        :param is_complete: whether the store holds what it has acknowledged, as before any restore.
        """
        if era == self._era:
            return
        self._era = era
        self._complete_from = float("-inf") if is_complete else now + ENTRY_REWRITE_SECONDS

    def complete_era(self) -> None:
        """Record that what the store had lost in the restore has been written again."""
        self._complete_from = float("-inf")

    def record_proof(self, proven_at: float) -> None:
        """Record an answer of the era.

        :param proven_at: time up to which the answer holds every change that the store made.
        """
        if proven_at >= self._complete_from:
            self._current_as_of = max(self._current_as_of, proven_at)
