"""Leases on control shards, granted by the platform's store.

All times are in seconds on the holder's own clock. A lease counts from the time its request was
sent, so the holder stops acting before the store lets the lease expire.

Owns: nothing.
Relies on: clocks whose rates differ by at most :data:`MAX_DRIFT`.
"""

import dataclasses

from ..exceptions import LeaseError

# Maximum relative difference between the clock rates of two instances.
MAX_DRIFT = 0.01


@dataclasses.dataclass(frozen=True)
class LeaseTerms:
    """The durations of leases in seconds.

    :param ttl: time after which the store lets a lease expire.
    :param margin: time before the expiry at which the holder stops acting.
    """

    ttl: float = 6.0
    margin: float = 1.0

    @property
    def renewal_interval(self) -> float:
        """The seconds between two renewals."""
        return self.ttl / 3


@dataclasses.dataclass
class HeldLease:
    """The lease on a shard from the perspective of its holder.

    :param shard: number of the shard.
    :param epoch: fencing token, which increases with each new holder.
    :param create_revision: create revision of the shard's key, compared on each write.
    :param acquired_at: time when the lease was granted.
    :param deadline: time when the holder must stop acting.
    """

    shard: int
    epoch: int
    create_revision: int
    acquired_at: float
    deadline: float

    def is_held(self, now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return now < self.deadline

    def check(self, now: float) -> None:
        """Check that the lease is held. Call this right before each action that needs it.

        :raises LeaseError: if the lease may have expired.
        """
        if not self.is_held(now):
            late = now - self.deadline
            raise LeaseError(f"lease on shard {self.shard!r} ended {late:.3f} s ago")


def deadline_of(sent_at: float, terms: LeaseTerms) -> float:
    """Return the deadline of a lease after a grant or renewal.

    :param sent_at: time when the request was sent.
    """
    return sent_at + (terms.ttl - terms.margin) * (1 - MAX_DRIFT)
