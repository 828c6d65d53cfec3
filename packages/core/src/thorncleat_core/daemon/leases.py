"""Leases on shards of the control work, held through the platform's store.

Times are readings of the holder's own monotonic clock, in seconds. Nothing compares the
clocks of two instances: a lease counts from before the call that got it, and a wait counts
from after the call that began it, so both err on the safe side.

Owns: nothing; the holder keeps its leases.
Relies on: clocks that run alike to :data:`MAX_DRIFT`, whatever they show.
"""

import dataclasses

from ..exceptions import LeaseError

# how much faster one instance's clock may run than another's
MAX_DRIFT = 0.01


@dataclasses.dataclass(frozen=True)
class LeaseTerms:
    """How leases are kept.

    :param ttl: seconds after which the store lets a lease lapse.
    :param margin: seconds before its end at which the holder stops acting.
    """

    ttl: float = 6.0
    margin: float = 1.0

    @property
    def renewal_interval(self) -> float:
        """Seconds between renewals: a third of the time to live."""
        return self.ttl / 3


@dataclasses.dataclass
class HeldLease:
    """The lease on a shard as its holder sees it.

    :param shard: the shard's number.
    :param epoch: rises with each new holder and fences its orders.
    :param create_revision: of the shard's key; store writes compare it.
    :param acquired_at: when the call that acquired it was answered.
    :param deadline: when the holder must have stopped acting.
    """

    shard: int
    epoch: int
    create_revision: int
    acquired_at: float
    deadline: float

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held for certain."""
        return now < self.deadline

    def check(self, now: float) -> None:
        """Make sure that the lease is held; called right before each act.

        :raises LeaseError: if it may have lapsed.
        """
        if not self.is_held(now):
            late = now - self.deadline
            raise LeaseError(f"lease on shard {self.shard!r} ended {late:.3f} s ago")


def deadline_of(sent_at: float, terms: LeaseTerms) -> float:
    """Return the holder's deadline for a grant or renewal.

    :param sent_at: when the call was sent, not when it was answered.
    """
    return sent_at + (terms.ttl - terms.margin) * (1 - MAX_DRIFT)
