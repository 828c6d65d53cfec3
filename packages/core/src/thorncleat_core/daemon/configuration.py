"""The configuration that operators change: workspaces, operators, services and intents.

Owns: nothing.
Relies on: pydantic for the validation of documents.
"""

import dataclasses
import functools
import typing as t

import pydantic

from ..exceptions import DocumentError
from ..exceptions import Problem
from . import keys

# Availability objective of a workspace that defines none.
DEFAULT_AVAILABILITY = 0.999
# Instances in one group.
MIN_GROUP_SIZE = 4
MAX_GROUP_SIZE = 32
Name = t.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


def _checked_digest(value: str) -> str:
    if not keys.is_digest(value):
        raise ValueError("a SHA-256 digest in hexadecimal is wanted, see `thorncleat key`")
    return value


KeyDigest = t.Annotated[str, pydantic.AfterValidator(_checked_digest)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class Workspace(_StrictModel):
    """A customer with its keys, its share of the capacity and its service level objectives.

    :param key_digests: SHA-256 digests of the callers' keys.
    :param share: weight of the workspace when it competes with others.
    :param availability: objective for the fraction of requests that succeed.
    :param first_token_seconds: objective for the 95th percentile of the time to first token.
    """

    name: Name
    key_digests: list[KeyDigest] = pydantic.Field(min_length=1, max_length=16)
    share: float = pydantic.Field(default=1.0, gt=0, le=1000)
    availability: float = pydantic.Field(default=DEFAULT_AVAILABILITY, gt=0, lt=1)
    first_token_seconds: float = pydantic.Field(default=1.3, gt=0, le=600)


class Operator(_StrictModel):
    """A person or program with access to the operators' API."""

    name: Name
    key_digest: KeyDigest
    rights: t.Literal["read", "change"]


class Service(_StrictModel):
    """An HTTP service that doesn't run on model engines.

    :param endpoints: ``host:port`` of each endpoint.
    :param workspaces: names of the workspaces that may call it.
    :param not_repeatable: ``METHOD /path/prefix`` of the calls that must not run twice.
    """

    name: Name
    endpoints: list[str] = pydantic.Field(min_length=1, max_length=256)
    workspaces: list[Name] = pydantic.Field(min_length=1)
    not_repeatable: list[t.Annotated[str, pydantic.Field(pattern=r"^[A-Z]+ /\S*$")]] = []

    def can_repeat(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once."""
        rules = (rule.split(" ", 1) for rule in self.not_repeatable)
        return not any(method == verb and path.startswith(prefix) for verb, prefix in rules)


class Intent(_StrictModel):
    """A model to serve, the workspaces that may use it, and its replicas.

    :param replicas: number of groups.
    :param instances_per_replica: instances in each group, all in the same fabric domain.
    :param spares: instances to keep free in each fabric domain that has a group.
    :param failure_domains: failure domains where groups may be placed; empty for all.
    """

    name: Name
    model: Name
    version: Name
    workspaces: list[Name] = pydantic.Field(min_length=1)
    replicas: int = pydantic.Field(ge=1, le=10_000)
    instances_per_replica: int = pydantic.Field(ge=MIN_GROUP_SIZE, le=MAX_GROUP_SIZE)
    spares: int = pydantic.Field(default=0, ge=0, le=MAX_GROUP_SIZE)
    failure_domains: list[Name] = []


class Removals(_StrictModel):
    """Names to remove from the configuration."""

    workspaces: list[Name] = []
    operators: list[Name] = []
    services: list[Name] = []
    intents: list[Name] = []
    draining: list[str] = []


class Change(_StrictModel):
    """A change that an operator submits. An existing item of the same name is replaced.

    :param draining: ids of the instances to drain.
    :param remove: names to remove.
    """

    workspaces: list[Workspace] = []
    operators: list[Operator] = []
    services: list[Service] = []
    intents: list[Intent] = []
    draining: list[t.Annotated[str, pydantic.Field(min_length=1, max_length=128)]] = []
    remove: Removals = Removals()


class _Named(t.Protocol):
    @property
    def name(self) -> str: ...


Item = t.TypeVar("Item", bound=_Named)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The complete configuration at one revision."""

    workspaces: t.Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    operators: t.Mapping[str, Operator] = dataclasses.field(default_factory=dict)
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    intents: t.Mapping[str, Intent] = dataclasses.field(default_factory=dict)
    draining: frozenset[str] = frozenset()

    def with_change(self, change: Change) -> "Configuration":
        """Return the configuration with a change applied.

        :raises DocumentError: if the result is inconsistent, or a name to remove doesn't exist.
        """
        removed = change.remove
        result = Configuration(
            workspaces=_merge(self.workspaces, change.workspaces, removed.workspaces),
            operators=_merge(self.operators, change.operators, removed.operators),
            services=_merge(self.services, change.services, removed.services),
            intents=_merge(self.intents, change.intents, removed.intents),
            draining=(self.draining | frozenset(change.draining)) - frozenset(removed.draining),
        )
        problems = list(_find_inconsistencies(result)) + list(_find_unknown_removals(self, removed))
        if problems:
            raise DocumentError("change", problems)
        return result

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace that a caller's key belongs to, or None."""
        # Comparing digests prevents timing attacks on the keys.
        return self._by_digest.get(keys.digest(key))

    @functools.cached_property
    def shares(self) -> t.Mapping[str, float]:
        """The share of each workspace, cached because every request reads it."""
        return {name: workspace.share for name, workspace in self.workspaces.items()}

    @functools.cached_property
    def _by_digest(self) -> dict[str, Workspace]:
        return {
            key_digest: workspace
            for workspace in self.workspaces.values()
            for key_digest in workspace.key_digests
        }

    def intents_for(self, workspace: str, model: str) -> list[Intent]:
        """Return the intents that serve a model to a workspace."""
        return [
            intent
            for intent in self.intents.values()
            if intent.model == model and workspace in intent.workspaces
        ]


def _merge(
    old: t.Mapping[str, Item], new: t.Iterable[Item], removed: t.Iterable[str]
) -> dict[str, Item]:
    merged = dict(old)
    merged.update((item.name, item) for item in new)
    for name in removed:
        merged.pop(name, None)
    return merged


def _find_inconsistencies(result: Configuration) -> t.Iterator[Problem]:
    owners: dict[str, str] = {}
    for workspace in result.workspaces.values():
        for key_digest in workspace.key_digests:
            other = owners.setdefault(key_digest, workspace.name)
            if other != workspace.name:
                text = f"workspaces {other!r} and {workspace.name!r} share a key"
                yield Problem(0, f"workspaces.{workspace.name}.key_digests", text)
    users = [("intents", intent.name, intent.workspaces) for intent in result.intents.values()]
    users += [
        ("services", service.name, service.workspaces) for service in result.services.values()
    ]
    for section, name, workspaces in users:
        for missing in sorted(set(workspaces) - set(result.workspaces)):
            text = f"unknown workspace {missing!r}"
            yield Problem(0, f"{section}.{name}.workspaces", text)


def _find_unknown_removals(old: Configuration, removed: Removals) -> t.Iterator[Problem]:
    existing: dict[str, t.Container[str]] = {
        "workspaces": old.workspaces,
        "operators": old.operators,
        "services": old.services,
        "intents": old.intents,
        "draining": old.draining,
    }
    for section, names in existing.items():
        for name in getattr(removed, section):
            if name not in names:
                yield Problem(0, f"remove.{section}", f"{name!r} is not there to remove")
