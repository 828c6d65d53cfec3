"""Changes of the platform's store, and the records that the gateway keeps there.

Owns: nothing.
Relies on: the store having one order of all changes in each of its eras, counted by its revision.
"""

import dataclasses
import typing as t

from thorncleat_core.values import Natural

from ..store.roster import Endpoint
from ..store.serving import ServingConfiguration
from ..store.store_era import StoreEra
from .store_position import Lease
from .store_position import Position

# The fraction of a wait that has certainly passed when the other side answers, even if its clock
# is fast.
MIN_WAITED_FRACTION = 0.8


def proven_wait_seconds(wait: float, took: float, *, changed: bool) -> float:
    """Return the seconds after a call was sent up to which its answer rules out further changes.

    An answer that came before the end of the wait, or that has changes, proves nothing beyond the
    time at which the call was sent.

    :param wait: seconds that the other side was asked to wait for a change.
    :param took: seconds from the call to its answer.
    :param changed: whether the answer has changes.
    """
    return MIN_WAITED_FRACTION * wait if took >= wait and not changed else 0.0


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A new configuration is in force."""

    configuration: ServingConfiguration


@dataclasses.dataclass(frozen=True)
class EndpointListed:
    """An endpoint's entry is new or has changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True)
class EndpointRemoved:
    """An endpoint is no longer listed."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class RecordChanged:
    """One of the gateway's own records was written or deleted.

    Its revisions belong to the era of the answer that holds it.

    :param value: None if the record was deleted.
    :param revision: the store's revision at the record's last change.
    :param created: the store's revision at which the record was last created.
    """

    key: str
    value: bytes | None
    revision: Natural
    created: Natural = 0


Change = ConfigurationChanged | EndpointListed | EndpointRemoved | RecordChanged


@dataclasses.dataclass(frozen=True)
class SettlingTimes:
    """The seconds left until missing endpoints count as removed.

    :param settled_in: seconds until any endpoint that isn't listed counts as removed.
    :param rewritten_in: seconds until entries that expired in an outage of the store are written
        again.
    """

    settled_in: float
    rewritten_in: float


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in the store's order.

    :param position: the store's position with these changes, from which to continue.
    :param proven_seconds: seconds after the call was sent up to which there was no other change;
        negative for a time before the call.
    :param settling_times: those of the daemon that answered; None if the store answered.
    :param configuration: version of the configuration in force at the daemon that answered; 0 if
        the store answered. After a restore of the store it may be higher than the stored version,
        until the operator writes the lost configuration again.
    """

    position: Position
    changes: t.Sequence[Change]
    proven_seconds: float = 0.0
    settling_times: SettlingTimes | None = None
    configuration: int = 0


class ChangeFeed(t.Protocol):
    """Changes of the configuration, the endpoints and the gateway's records in the store.

    Every method raises :class:`StoreUnavailableError` if the store doesn't answer, or answers in an
    era that is over.
    """

    @property
    def era(self) -> StoreEra:
        """The newest era of the store."""
        ...

    async def snapshot(self) -> Changes:
        """Return the whole state as changes."""
        ...

    async def changes(self, since: Position, wait: float) -> Changes:
        """Wait for changes, and return those since a position.

        :param wait: timeout in seconds, after which no changes are returned.
        :raises HistoryCompactedError: if a new snapshot is needed, as after the end of an era.
        """
        ...


class RecordStore(t.Protocol):
    """The gateway's own records in the platform's store, under leases.

    Every method raises :class:`StoreUnavailableError` if the call was not carried out, and
    :class:`StoreOutcomeUnknownError` if it may have been, or may still be.
    """

    async def create(self, key: str, value: bytes, lease: Lease) -> Position | None:
        """Write a record that must not exist.

        :returns: the store's position after the write, or None if the record exists.
        :raises LeaseExpiredError: if the lease is of an era that is over.
        """
        ...

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        """Write a record, whether it exists or not.

        :raises LeaseExpiredError: if the lease is of an era that is over.
        """
        ...

    async def commit(
        self,
        puts: t.Mapping[str, bytes],
        removals: t.Sequence[str],
        unchanged: t.Mapping[str, Position],
    ) -> bool:
        """Write and remove records without a lease in one transaction.

        :param unchanged: records that must not have changed, with the positions of their last
            changes; a position of an era that is over counts as changed.
        :returns: whether the transaction was carried out.
        """
        ...

    async def find(self, key: str) -> RecordChanged | None:
        """Return a record, or None if it doesn't exist."""
        ...

    async def list_records(self, prefix: str) -> t.Sequence[RecordChanged]:
        """Return the records whose keys begin with a prefix."""
        ...

    async def grant(self, ttl: float) -> Lease:
        """Return a new lease.

        :param ttl: seconds until the lease expires unless it is renewed.
        """
        ...

    async def renew(self, lease: Lease) -> None:
        """Renew a lease.

        :raises LeaseExpiredError: if the lease has expired, or is of an era that is over.
        """
        ...

    async def end(self, lease: Lease) -> None:
        """Revoke a lease, unless it is of an era that is over."""
        ...
