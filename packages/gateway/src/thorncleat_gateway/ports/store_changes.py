"""What the platform's store says, and the records that the gateway keeps there.

Owns: nothing.
Relies on: the store having one order of all changes in each of its eras, counted by its revision.
"""

import dataclasses
import typing as t

from ..store.roster import Endpoint
from ..store.serving import ServingConfiguration
from ..store.store_era import StoreEra
from .store_position import Lease
from .store_position import Position

# part of a wait without a change that had passed at the other side when it answered, however
# quick its clock is
MIN_WAITED_FRACTION = 0.8


def proven_wait_seconds(wait: float, took: float, *, changed: bool) -> float:
    """Return the seconds after a call for changes was sent that its answer proves.

    An answer that came before the end of the wait, or that brings changes, proves no more than
    the moment at which the call was sent.

    :param wait: seconds that the other side was asked to wait for a change.
    :param took: seconds from sending the call to its answer.
    :param changed: whether the answer brought changes.
    """
    return MIN_WAITED_FRACTION * wait if took >= wait and not changed else 0.0


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A configuration is the newest one."""

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
    """One of the gateway's own records.

    Its revisions are of the era of the answer that brought it.

    :param value: None if it is gone.
    :param revision: the store's revision at its last change.
    :param created: the store's revision at which its present life began.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


Change = ConfigurationChanged | EndpointListed | EndpointRemoved | RecordChanged


@dataclasses.dataclass(frozen=True)
class SettlingTimes:
    """What is left of the times after which a missing endpoint counts as gone; in seconds.

    :param settled_in: until an endpoint that isn't listed is gone.
    :param returned_in: until entries that ran out in an outage of the store are back, or gone.
    """

    settled_in: float
    rewritten_in: float


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in the store's order.

    :param position: where to continue.
    :param proven: seconds after the call was sent, before it if negative, up to which there
        was no other change.
    :param settling: as the daemon that answered knows it; None if the store itself did.
    :param configuration: version of the configuration that is in force at the daemon that answered;
        0 if the store did. It is later than that of the changes where the store came back from a
        copy, until the operator has written it again.
    """

    position: Position
    changes: t.Sequence[Change]
    proven_seconds: float = 0.0
    settling_times: SettlingTimes | None = None
    configuration: int = 0


class ChangeFeed(t.Protocol):
    """What the platform's store says of configuration, endpoints and the gateway's records.

    Every method raises :class:`StoreUnavailableError` if there is no answer, or only one of an era
    that is over.
    """

    @property
    def era(self) -> StoreEra:
        """The newest era of the store."""
        ...

    async def snapshot(self) -> Changes:
        """Return everything there is."""
        ...

    async def changes(self, since: Position, wait: float) -> Changes:
        """Return what has changed since a position, as soon as something has.

        :param wait: seconds after which it returns without a change.
        :raises HistoryGoneError: if all has to be read again, as after the end of an era.
        """
        ...


class RecordStore(t.Protocol):
    """The gateway's own records in the platform's store, under leases.

    Every method raises :class:`StoreUnavailableError` if the call was not carried out, and
    :class:`StoreOutcomeUnknownError` if it may have been, or may still be.
    """

    async def create(self, key: str, value: bytes, lease: Lease) -> Position | None:
        """Write a record that must not be there.

        :returns: the store's position with it, or None if the record is there.
        :raises LeaseGoneError: if the lease is of an era that is over.
        """
        ...

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        """Write a record, whether it is there or not.

        :raises LeaseGoneError: if the lease is of an era that is over.
        """
        ...

    async def commit(
        self,
        puts: t.Mapping[str, bytes],
        removals: t.Sequence[str],
        unchanged: t.Mapping[str, Position],
    ) -> bool:
        """Write and remove records without a lease, all or none.

        :param unchanged: the position of the last change of records that must not have changed;
            one of an era that is over does not hold.
        :returns: whether that held; nothing is done otherwise.
        """
        ...

    async def find(self, key: str) -> RecordChanged | None:
        """Return a record, or None if it is not there."""
        ...

    async def list_records(self, prefix: str) -> t.Sequence[RecordChanged]:
        """Return the records whose keys begin so."""
        ...

    async def grant(self, ttl: float) -> Lease:
        """Return a new lease.

        :param ttl: seconds for which it lasts unless it is renewed.
        """
        ...

    async def renew(self, lease: Lease) -> None:
        """Renew a lease.

        :raises LeaseGoneError: if it is over, or of an era that is.
        """
        ...

    async def end(self, lease: Lease) -> None:
        """End a lease; nothing is done if it is of an era that is over."""
        ...
