"""How old what is known from the store may be, and whether an unlisted endpoint has gone.

Entries may run out while the store is away, though their endpoints live; they are back soon after
its return. Only for that, an entry that is missing is kept for a while. The while is counted from
the store's return, by those that saw it, and passed on as what is left of it: were it counted
by each daemon from when it hears, it would begin anew at each, and with each that starts.

Owns: nothing; each call or failure leads to another :class:`Freshness`.
Relies on: times of this daemon's own clock, and on
:func:`thorncleat_gateway.ports.proven_wait_seconds` for what an answer proves.
"""

import dataclasses

from ..ports import SettlingTimes

# a failure of the store that lasts so long may let entries of living endpoints run out
MIN_EXPIRING_OUTAGE_SECONDS = 1.0
# after the store's return, for those entries to be written anew
ENTRY_REWRITE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Freshness:
    """What the calls to the store so far have shown; times on this daemon's clock.

    :param fresh_at: up to which every change is known.
    :param settled_at: before which an endpoint that is missing may yet be listed anew.
    :param returned_at: before which entries that ran out in an outage may yet be written anew.
    :param failing_since: at which calls began to fail; None if the last one was answered.
    """

    current_as_of: float = float("-inf")
    settled_at: float = float("inf")
    rewritten_at: float = float("-inf")
    failing_since: float | None = None

    def age(self, now: float) -> float:
        """Return the seconds for which a change may have been made that isn't known."""
        return now - self.current_as_of

    def is_settled(self, now: float) -> bool:
        """Return whether an endpoint that isn't listed is gone.

        For a short time after the first reading, and after an outage of the store, it may only
        not have been written anew yet.
        """
        return now >= self.settled_at

    def removal_time(self, now: float) -> float | None:
        """Return when an endpoint whose entry vanishes is to be removed; None for at once."""
        return None if now >= self.rewritten_at else self.rewritten_at

    def settling_times(self, now: float) -> SettlingTimes:
        """Return what is left of both times, for a daemon that learns from this one."""
        return SettlingTimes(max(0.0, self.settled_at - now), max(0.0, self.rewritten_at - now))

    def after_failure(self, now: float) -> "Freshness":
        """Return what is known once a call has failed."""
        if self.failing_since is not None:
            return self
        return dataclasses.replace(self, failing_since=now)

    def after_answer(
        self,
        now: float,
        proven_at: float,
        told: SettlingTimes | None = None,
        *,
        restored: bool = False,
    ) -> "Freshness":
        """Return what is known once a call has been answered.

        :param proven_at: up to which the answer holds every change.
        :param told: what the daemon that answered knows of both times; None if the store did.
        :param restored: whether the store has come back from a copy since the last answer.
        """
        settled_at, rewritten_at = self.settled_at, self.rewritten_at
        if settled_at == float("inf"):
            # the first reading
            settled_at = now + (ENTRY_REWRITE_SECONDS if told is None else told.settled_in)
        if restored or self._outage_ended(now):
            # a relay's answer proves that the store was back by then
            back_at = now if told is None else min(now, proven_at)
            rewritten_at = max(rewritten_at, back_at + ENTRY_REWRITE_SECONDS)
        if told is not None and told.rewritten_in > 0.0:
            rewritten_at = max(rewritten_at, now + told.rewritten_in)
        return Freshness(
            max(self.current_as_of, proven_at), max(settled_at, rewritten_at), rewritten_at
        )

    def _outage_ended(self, now: float) -> bool:
        """Return whether an answer now ends an outage that may have let entries run out."""
        failing = self.failing_since
        return failing is not None and now - failing >= MIN_EXPIRING_OUTAGE_SECONDS
