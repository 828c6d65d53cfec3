"""How old this daemon's copy of the store may be, and whether an unlisted endpoint is removed.

During an outage of the store the entries of running endpoints may expire, so missing endpoints
stay listed until shortly after the store's return.

Owns: nothing; each call or failure leads to another :class:`Freshness`.
Relies on: times of this daemon's own clock, and on
:func:`thorncleat_gateway.ports.proven_wait_seconds` for what an answer proves.
"""

import dataclasses

from ..ports import SettlingTimes

# The shortest outage of the store in which entries of running endpoints may expire.
MIN_EXPIRING_OUTAGE_SECONDS = 1.0
# How long after the store's return endpoints write expired entries again.
ENTRY_REWRITE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Freshness:
    """The freshness of a copy after the calls so far; times on this daemon's clock.

    :param current_as_of: time up to which every change is known.
    :param settled_at: time until which a missing endpoint may still be listed again.
    :param rewritten_at: time until which entries that expired in an outage may be written again.
    :param failing_since: time at which calls began to fail; None if the last one was answered.
    """

    current_as_of: float = float("-inf")
    settled_at: float = float("inf")
    rewritten_at: float = float("-inf")
    failing_since: float | None = None

    def age(self, now: float) -> float:
        """Return the seconds for which an unknown change may have been in force."""
        return now - self.current_as_of

    def is_settled(self, now: float) -> bool:
        """Return whether an endpoint that isn't listed counts as removed.

        Shortly after the first read, and after an outage of the store, its expired entry may still
        be written again.
        """
        return now >= self.settled_at

    def removal_time(self, now: float) -> float | None:
        """Return the time to remove an endpoint whose entry vanishes; None for at once."""
        return None if now >= self.rewritten_at else self.rewritten_at

    def settling_times(self, now: float) -> SettlingTimes:
        """Return the time left until both times, for a daemon that asks this one.

        A daemon that counted from its own first answer would start that time again.
        """
        return SettlingTimes(max(0.0, self.settled_at - now), max(0.0, self.rewritten_at - now))

    def after_failure(self, now: float) -> "Freshness":
        """Return the freshness after a failed call."""
        if self.failing_since is not None:
            return self
        return dataclasses.replace(self, failing_since=now)

    def after_answer(
        self,
        now: float,
        proven_at: float,
        reported: SettlingTimes | None = None,
        *,
        restored: bool = False,
    ) -> "Freshness":
        """Return the freshness after an answered call.

        :param proven_at: time up to which the answer holds every change.
        :param reported: settling times of the daemon that answered; None if the store answered.
        :param restored: whether the store was restored from a copy since the last answer.
        """
        settled_at, rewritten_at = self.settled_at, self.rewritten_at
        if settled_at == float("inf"):
            # This is the first read.
            settled_at = now + (ENTRY_REWRITE_SECONDS if reported is None else reported.settled_in)
        if restored or self._ends_expiring_outage(now):
            # A relay's answer proves that the store was back at its proven time.
            back_at = now if reported is None else min(now, proven_at)
            rewritten_at = max(rewritten_at, back_at + ENTRY_REWRITE_SECONDS)
        if reported is not None and reported.rewritten_in > 0.0:
            rewritten_at = max(rewritten_at, now + reported.rewritten_in)
        return Freshness(
            max(self.current_as_of, proven_at), max(settled_at, rewritten_at), rewritten_at
        )

    def _ends_expiring_outage(self, now: float) -> bool:
        """Return whether an answer now ends an outage in which entries may have expired."""
        failing = self.failing_since
        return failing is not None and now - failing >= MIN_EXPIRING_OUTAGE_SECONDS
