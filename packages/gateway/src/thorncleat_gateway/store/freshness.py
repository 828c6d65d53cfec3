"""How old what is known from the store may be, and whether an unlisted endpoint has gone.

Owns: nothing; each call or failure leads to another :class:`Freshness`.
Relies on: times of this daemon's own clock, and on :func:`thorncleat_gateway.ports.proven_part`
for what an answer proves.
"""

import dataclasses

# a failure of the store that lasts so long may let entries of living endpoints run out
LAPSING_OUTAGE_SECONDS = 1.0
# after the store's return, for those entries to be written anew
RETURN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Freshness:
    """What the calls to the store so far have shown; times on this daemon's clock.

    :param fresh_at: up to which every change is known.
    :param settled_at: before which an endpoint that is missing may yet be listed anew.
    :param failing_since: at which calls began to fail; None if the last one was answered.
    """

    fresh_at: float = float("-inf")
    settled_at: float = float("inf")
    failing_since: float | None = None

    def age(self, now: float) -> float:
        """Return the seconds for which a change may have been made that isn't known."""
        return now - self.fresh_at

    def settled(self, now: float) -> bool:
        """Return whether an endpoint that isn't listed is gone.

        For a short time after the first reading, and after an outage of the store, it may only
        not have been written anew yet.
        """
        return now >= self.settled_at

    def removed_at(self, now: float) -> float | None:
        """Return when an endpoint that isn't listed is to be removed; None for at once."""
        return None if self.settled(now) else self.settled_at

    def failed(self, now: float) -> "Freshness":
        """Return what is known once a call has failed."""
        if self.failing_since is not None:
            return self
        return dataclasses.replace(self, failing_since=now)

    def answered(self, now: float, proven_at: float) -> "Freshness":
        """Return what is known once a call has been answered.

        :param proven_at: up to which the answer holds every change.
        """
        failing, settled_at = self.failing_since, self.settled_at
        first_reading = settled_at == float("inf")
        after_outage = failing is not None and now - failing >= LAPSING_OUTAGE_SECONDS
        if first_reading or after_outage:
            settled_at = now + RETURN_SECONDS
        return Freshness(max(self.fresh_at, proven_at), settled_at)
