"""The serving configuration: routes, services, engines and the keys of workspaces.

The platform's adapter translates the operators' documents into these data classes. A
configuration is replaced only by one with a higher version.

Owns: the lookup tables of each configuration.
Relies on: :mod:`thorncleat_core.values` for the types by which data of other daemons is checked.
"""

import dataclasses
import enum
import functools
import hmac
import typing as t

from thorncleat_core.values import NOT_EMPTY
from thorncleat_core.values import Amount
from thorncleat_core.values import Count
from thorncleat_core.values import Divisor
from thorncleat_core.values import Integer
from thorncleat_core.values import Name
from thorncleat_core.values import Number


class RouteKind(enum.Enum):
    """Whether a request on a route may run more than once, and whether its answer is a stream."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Split:
    """A service's share of a route's traffic.

    :param weight: weight relative to the other splits of the route.
    """

    service: Name
    weight: Amount


@dataclasses.dataclass(frozen=True)
class Route:
    """The services and the limits for requests of one host and path prefix.

    :param prefix: path prefix that begins and ends with a slash.
    :param timeout: greatest duration of a request in seconds.
    :param target: target in seconds until the answer, or until a stream's first event.
    :param gap_target: target in seconds between two events of a stream.
    :param max_attempts: how many endpoints one request may be sent to.
    :param public: whether requests need no key.
    :param resumable: whether a stream may resume at another endpoint.
    """

    name: Name
    host: str
    prefix: str
    kind: RouteKind
    timeout: Number
    target: Number
    gap_target: Number
    priority: Integer
    splits: t.Annotated[tuple[Split, ...], NOT_EMPTY]
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.REPEATABLE


@dataclasses.dataclass(frozen=True)
class DomainDelay:
    """The one-way delay between two failure domains, in seconds; the same in both directions."""

    first: Name
    second: Name
    seconds: Amount


@dataclasses.dataclass(frozen=True)
class EngineTimes:
    """What a pass of an engine costs; each time is multiplied by the pace of the model.

    Engines write the tokens of all running requests in passes and read prompts between them.

    :param step: seconds of a pass for one token of each running request.
    :param per_request: seconds that each running request adds to a step.
    :param per_context_token: seconds that each token of context of a request adds to a step.
    :param read_rate: prompt tokens read in a second.
    :param per_token_pair: seconds for each pair of a prompt token and one before it.
    :param chunk: prompt tokens that are read at most in one step.
    :param stride: steps in a pass, which is also the number of tokens in an event of a stream.
    :param usual_prompt: mean tokens of a prompt.
    :param usual_answer: mean tokens of an answer.
    :param delays: the delays between the failure domains.
    """

    step: Amount
    per_request: Amount
    per_context_token: Amount
    read_rate: Divisor
    per_token_pair: Amount
    chunk: Count
    stride: Count
    usual_prompt: Amount
    usual_answer: Amount
    delays: tuple[DomainDelay, ...] = ()


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """A model that the engines of a service can serve.

    :param size: number of instances in a group.
    :param share: the model's share of the service's work, from 0 to 1.
    :param pace: factor on all of the engine's times.
    :param load: seconds to load the model from the weight store.
    :param warm: seconds to load the model from the host.
    """

    name: Name
    size: Count
    share: Amount = 1.0
    pace: Divisor = 1.0
    load: Amount = 60.0
    warm: Amount = 5.0


@dataclasses.dataclass(frozen=True)
class Engine:
    """The cost model of a service's engines.

    :param slots: how many requests a group runs at once.
    :param loads_per_second: how many loads from the weight store may begin in a second.
    :param loads_at_once: how many loads run at once without slowing each other down.
    :param times: what its passes cost; None if the configuration doesn't say.
    """

    slots: Count
    models: tuple[EngineModel, ...]
    loads_per_second: Amount = 1.0
    loads_at_once: Count = 1
    times: EngineTimes | None = None

    def model(self, name: str) -> EngineModel | None:
        """Return the model with a name, or None."""
        return next((model for model in self.models if model.name == name), None)


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that routes send requests to; its endpoints form groups if it has an engine.

    :param health_path: path of the health check; unused, kept for :mod:`.change_codec`.
    :param cold_start: seconds for which an endpoint is cold after a start; 0 if never.
    :param cold_rate: requests per second that a cold endpoint takes from all daemons together; 0 if
        it takes as many as a warm one.
    :param max_connections: connections that an endpoint accepts from all daemons together; 0 if the
        configuration doesn't say.
    """

    name: Name
    health_path: str = "/"
    engine: Engine | None = None
    cold_start: Amount = 0.0
    cold_rate: Amount = 0.0
    max_connections: Integer = 0


@dataclasses.dataclass(frozen=True)
class Limits:
    """The limits on callers' requests; sizes in bytes, times in seconds.

    :param header_bytes: greatest size of a request's headers.
    :param body_bytes: greatest size of a request's body.
    :param header_timeout: timeout for a request's headers to arrive.
    :param idle_timeout: timeout of an idle connection between two requests.
    """

    header_bytes: Integer = 16_384
    body_bytes: Integer = 4_194_304
    header_timeout: Number = 3.0
    idle_timeout: Number = 15.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace's keys and its priority.

    :param priority: 0 is the highest.
    """

    name: Name
    keys: tuple[str, ...]
    priority: Integer = 5


@dataclasses.dataclass(frozen=True)
class ServingConfiguration:
    """The routes, services, workspaces and limits of one version."""

    version: Integer
    routes: tuple[Route, ...] = ()
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix of a path, or None."""
        prefixes = self._routes_by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route

    def workspace_for(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, or None.

        The key in the table is compared in constant time.
        """
        found = self._workspaces_by_key.get(key)
        if found is None:
            return None
        stored_key, workspace = found
        return workspace if hmac.compare_digest(stored_key.encode(), key.encode()) else None

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        """The routes by host in lower case, then by prefix."""
        table: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            table.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    @functools.cached_property
    def _workspaces_by_key(self) -> dict[str, tuple[str, Workspace]]:
        return {key: (key, workspace) for workspace in self.workspaces for key in workspace.keys}
