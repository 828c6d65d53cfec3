"""The instances that the platform lists.

Owns: nothing.
Relies on: the platform's list, which may be out of date.
"""

import dataclasses
import enum
import typing as t

import pydantic


class InstanceKind(enum.StrEnum):
    """The role of an instance."""

    ENDPOINT = "endpoint"
    ENTRY = "entry"


class InstanceState(enum.StrEnum):
    """The state of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(pydantic.BaseModel):
    """The schema of an instance in the platform's list."""

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

    :param id: unique id. A replacement instance has a different one.
    :param address: ``host:port``. For an entry instance, the port is the one for other daemons.
    :param accelerators: number of accelerators.
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
        """Return the instance for an entry of the platform's list."""
        return cls(**listed.model_dump())


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All listed instances.

    :param instances: instances by id.
    """

    instances: t.Mapping[str, Instance]

    @classmethod
    def from_instances(cls, instances: t.Iterable[Instance]) -> "Fleet":
        """Return the fleet that consists of some instances."""
        return cls({instance.id: instance for instance in instances})

    def endpoints(self) -> list[Instance]:
        """Return all endpoint instances, sorted by id."""
        endpoints = [
            instance
            for instance in self.instances.values()
            if instance.kind is InstanceKind.ENDPOINT
        ]
        return sorted(endpoints, key=lambda instance: instance.id)

    def in_domain(self, fabric_domain: str) -> list[Instance]:
        """Return the endpoint instances of a fabric domain, sorted by id."""
        return [
            instance for instance in self.endpoints() if instance.fabric_domain == fabric_domain
        ]
