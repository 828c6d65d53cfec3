"""The operators' configuration: what should hold, as documents and as data.

Owns: nothing.
Relies on: documents being validated whole before any of it is used.
"""

import dataclasses
import functools
import typing as t

import pydantic

from ..exceptions import DocumentError
from ..exceptions import Problem
from . import keys

# share of requests answered, where a workspace doesn't say
DEFAULT_AVAILABILITY = 0.999
# instances in a replica; bound of the house brief: 4 to 32 in one fabric domain
MIN_GROUP_SIZE = 4
# the same bound
MAX_GROUP_SIZE = 32
Name = t.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


def _checked_digest(value: str) -> str:
    if not keys.is_digest(value):
        raise ValueError("a SHA-256 digest in hexadecimal is wanted, see `thorncleat key`")
    return value


KeyDigest = t.Annotated[str, pydantic.AfterValidator(_checked_digest)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class Workspace(_Strict):
    """Callers that are served and accounted for together.

    :param share: weight of the workspace where it competes with others.
    :param availability: objective, share of requests answered.
    :param first_token_seconds: objective for the first token, 95 in 100.
    """

    name: Name
    key_digests: list[KeyDigest] = pydantic.Field(min_length=1, max_length=16)
    share: float = pydantic.Field(default=1.0, gt=0, le=1000)
    availability: float = pydantic.Field(default=DEFAULT_AVAILABILITY, gt=0, lt=1)
    first_token_seconds: float = pydantic.Field(default=1.3, gt=0, le=600)


class Operator(_Strict):
    """A person or program that may look at the system or change it."""

    name: Name
    key_digest: KeyDigest
    rights: t.Literal["read", "change"]


class Service(_Strict):
    """A plain service beside the model engines.

    :param endpoints: ``host:port`` of each endpoint.
    :param workspaces: who may call it.
    :param not_repeatable: ``METHOD /path/prefix`` of the calls that may run at most once.
    """

    name: Name
    endpoints: list[str] = pydantic.Field(min_length=1, max_length=256)
    workspaces: list[Name] = pydantic.Field(min_length=1)
    not_repeatable: list[t.Annotated[str, pydantic.Field(pattern=r"^[A-Z]+ /\S*$")]] = []

    def can_repeat(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once."""
        marks = (mark.split(" ", 1) for mark in self.not_repeatable)
        return not any(method == verb and path.startswith(prefix) for verb, prefix in marks)


class Intent(_Strict):
    """Which model should serve which workspaces, where, and with how much room.

    :param replicas: serving groups wanted.
    :param instances_per_replica: instances of one group, all in one fabric domain.
    :param spares: instances kept free for each fabric domain used.
    :param failure_domains: where groups may stand; empty for anywhere.
    """

    name: Name
    model: Name
    version: Name
    workspaces: list[Name] = pydantic.Field(min_length=1)
    replicas: int = pydantic.Field(ge=1, le=10_000)
    instances_per_replica: int = pydantic.Field(ge=MIN_GROUP_SIZE, le=MAX_GROUP_SIZE)
    spares: int = pydantic.Field(default=0, ge=0, le=MAX_GROUP_SIZE)
    failure_domains: list[Name] = []


class Removals(_Strict):
    """Names to take out of the configuration."""

    workspaces: list[Name] = []
    operators: list[Name] = []
    services: list[Name] = []
    intents: list[Name] = []
    draining: list[str] = []


class Change(_Strict):
    """What an operator's file states; named items are added or replaced whole.

    :param draining: instances to empty of work.
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
    """The whole configuration at one revision."""

    workspaces: t.Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    operators: t.Mapping[str, Operator] = dataclasses.field(default_factory=dict)
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    intents: t.Mapping[str, Intent] = dataclasses.field(default_factory=dict)
    draining: frozenset[str] = frozenset()

    def with_change(self, change: Change) -> "Configuration":
        """Return the configuration after a change.

        :raises DocumentError: if the result would contradict itself.
        """
        removed = change.remove
        result = Configuration(
            workspaces=_merged(self.workspaces, change.workspaces, removed.workspaces),
            operators=_merged(self.operators, change.operators, removed.operators),
            services=_merged(self.services, change.services, removed.services),
            intents=_merged(self.intents, change.intents, removed.intents),
            draining=(self.draining | frozenset(change.draining)) - frozenset(removed.draining),
        )
        problems = list(_contradictions(result)) + list(_missing_removals(self, removed))
        if problems:
            raise DocumentError("change", problems)
        return result

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace whose key this is."""
        # looked up by the digest: whoever times it learns of digests, not of keys
        return self._by_digest.get(keys.digest(key))

    @functools.cached_property
    def shares(self) -> t.Mapping[str, float]:
        """The share of each workspace; made once, since every request asks for it."""
        return {name: workspace.share for name, workspace in self.workspaces.items()}

    @functools.cached_property
    def _by_digest(self) -> dict[str, Workspace]:
        return {
            known: workspace
            for workspace in self.workspaces.values()
            for known in workspace.key_digests
        }

    def intents_for(self, workspace: str, model: str) -> list[Intent]:
        """Return the intents that serve a model to a workspace."""
        return [
            intent
            for intent in self.intents.values()
            if intent.model == model and workspace in intent.workspaces
        ]


def _merged(
    old: t.Mapping[str, Item], new: t.Iterable[Item], removed: t.Iterable[str]
) -> dict[str, Item]:
    merged = dict(old)
    merged.update((item.name, item) for item in new)
    for name in removed:
        merged.pop(name, None)
    return merged


def _contradictions(result: Configuration) -> t.Iterator[Problem]:
    owners: dict[str, str] = {}
    for workspace in result.workspaces.values():
        for known in workspace.key_digests:
            other = owners.setdefault(known, workspace.name)
            if other != workspace.name:
                text = f"workspaces {other!r} and {workspace.name!r} share a key"
                yield Problem(0, f"workspaces.{workspace.name}.key_digests", text)
    users = [("intents", intent.name, intent.workspaces) for intent in result.intents.values()]
    users += [
        ("services", service.name, service.workspaces) for service in result.services.values()
    ]
    for section, name, wanted in users:
        for missing in sorted(set(wanted) - set(result.workspaces)):
            text = f"unknown workspace {missing!r}"
            yield Problem(0, f"{section}.{name}.workspaces", text)


def _missing_removals(old: Configuration, removed: Removals) -> t.Iterator[Problem]:
    known: dict[str, t.Container[str]] = {
        "workspaces": old.workspaces,
        "operators": old.operators,
        "services": old.services,
        "intents": old.intents,
        "draining": old.draining,
    }
    for section, names in known.items():
        for name in getattr(removed, section):
            if name not in names:
                yield Problem(0, f"remove.{section}", f"{name!r} is not there to remove")
