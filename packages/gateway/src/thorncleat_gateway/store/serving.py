"""What is served: routes, services, engines and the keys of workspaces, as one configuration.

The operators' documents are translated into these data classes at the border. A version is
only ever replaced by a higher one.

Owns: nothing; a configuration keeps the tables by which it finds routes and workspaces.
Relies on: nothing.
"""

import dataclasses
import enum
import functools
import hmac
import typing as t


class RouteKind(enum.Enum):
    """How often a request on a route may run."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Split:
    """A part of a route's traffic.

    :param weight: relative to the other parts of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and within which bounds.

    :param prefix: begins and ends with a slash.
    :param timeout: seconds a request may be held at most.
    :param target: seconds to the answer, or to a stream's first event, that earn full credit.
    :param gap_target: seconds between a stream's events.
    :param max_attempts: endpoints one request may be sent to.
    :param public: whether no key is asked for.
    :param resumable: whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target: float
    gap_target: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RouteKind.REPEATABLE


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """A model that the engines of a service can serve.

    :param size: instances of one group.
    :param share: part of the service's work, from 0 to 1.
    :param pace: factor on all of the engine's times, lower is faster; unused, kept for
        :mod:`.change_codec`.
    :param load: seconds to load it from the weight store.
    :param warm: seconds to load it from the host.
    """

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load: float = 60.0
    warm: float = 5.0


@dataclasses.dataclass(frozen=True)
class Engine:
    """The cost model of a service's engines.

    :param slots: requests that a group runs at once.
    :param loads_per_second: loads from the weight store that may begin in a second.
    :param loads_at_once: loads that run together without slowing each other down.
    """

    slots: int
    models: tuple[EngineModel, ...]
    loads_per_second: float = 1.0
    loads_at_once: int = 1

    def model(self, name: str) -> EngineModel | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that routes lead to; with an engine its endpoints form groups.

    :param health_path: path of the health check; unused, kept for :mod:`.change_codec`.
    """

    name: str
    health_path: str = "/"
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """What callers may send; sizes in bytes, times in seconds.

    Only ``body_bytes`` is enforced (docs/FINDINGS.md, Open).

    :param header_bytes: of a request's headers.
    :param body_bytes: of a request's body.
    :param header_timeout: for the headers to arrive.
    :param idle_timeout: that a connection may rest between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace as the request path sees it: its keys and its rank.

    :param priority: 0 is the highest.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 5


@dataclasses.dataclass(frozen=True)
class ServingConfiguration:
    """Everything that decides where a request goes, at one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of the host whose prefix is the longest that begins the path."""
        prefixes = self._routes.get(host.lower())
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
        """Return the workspace that holds a key.

        The key that the table finds is compared in constant time.
        """
        found = self._by_key.get(key)
        if found is None:
            return None
        known, workspace = found
        return workspace if hmac.compare_digest(known.encode(), key.encode()) else None

    @functools.cached_property
    def _routes(self) -> dict[str, dict[str, Route]]:
        table: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            table.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    @functools.cached_property
    def _by_key(self) -> dict[str, tuple[str, Workspace]]:
        return {key: (key, workspace) for workspace in self.workspaces for key in workspace.keys}
