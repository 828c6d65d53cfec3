"""Instances and where they stand, as the platform lists them.

Owns: nothing.
Relies on: the platform's list, which lags behind.
"""

import dataclasses
import enum
import typing as t

import pydantic


class InstanceKind(enum.StrEnum):
    """What an instance is for."""

    ENDPOINT = "endpoint"
    ENTRY = "entry"


class InstanceState(enum.StrEnum):
    """What the platform says of an instance; the list lags."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(pydantic.BaseModel):
    """An instance as it stands in the platform's list."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    id: str = pydantic.Field(min_length=1, max_length=128)
    kind: InstanceKind
    address: str = pydantic.Field(min_length=3, max_length=128)
    fabric_domain: str = ""
    failure_domain: str
    region: str
    accelerators: int = pydantic.Field(default=0, ge=0)
    state: InstanceState = InstanceState.LIVE


@dataclasses.dataclass(frozen=True)
class Instance:
    """An instance.

    :param id: unique for the life of the instance; a replacement has another.
    :param address: ``host:port``; of an entry instance the port for other daemons.
    :param accelerators: how many accelerators it carries.
    """

    id: str
    kind: InstanceKind
    address: str
    fabric_domain: str
    failure_domain: str
    region: str
    accelerators: int
    state: InstanceState

    @classmethod
    def from_listed(cls, listed: ListedInstance) -> "Instance":
        """Build from a validated row of the platform's list."""
        return cls(**listed.model_dump())


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All listed instances.

    :param instances: by instance id.
    """

    instances: t.Mapping[str, Instance]

    @classmethod
    def from_instances(cls, instances: t.Iterable[Instance]) -> "Fleet":
        """Build from instances."""
        return cls({instance.id: instance for instance in instances})

    def endpoints(self) -> list[Instance]:
        """Return all endpoint instances, sorted by id."""
        found = [
            instance
            for instance in self.instances.values()
            if instance.kind is InstanceKind.ENDPOINT
        ]
        return sorted(found, key=lambda instance: instance.id)

    def in_domain(self, fabric_domain: str) -> list[Instance]:
        """Return the endpoint instances of a fabric domain, sorted by id."""
        return [
            instance for instance in self.endpoints() if instance.fabric_domain == fabric_domain
        ]
