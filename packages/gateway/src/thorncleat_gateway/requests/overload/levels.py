"""The level of a request: by workspace, and within a workspace's priority by route.

A level is the number of more urgent pairs of priorities that requests to the service may have, so 0
is the most urgent.

Owns: the levels of each service of the latest configuration.
Relies on: :mod:`...store.serving` for the priorities.
"""

import bisect
import typing as t

from ...store.serving import Route
from ...store.serving import ServingConfiguration
from ...store.serving import Workspace

# Priorities that engines accept: 0, the most urgent, to 9.
ENGINE_PRIORITIES = 10


class Priorities(t.NamedTuple):
    """The priorities that decide how urgent a request is; the least is the most urgent."""

    workspace: int
    route: int


def priorities_of(route: Route, workspace: Workspace | None) -> Priorities:
    """Return the priorities of a request; without a workspace the route alone decides."""
    return Priorities(workspace.priority if workspace else 0, route.priority)


def levels_of_service(configuration: ServingConfiguration, service: str) -> tuple[Priorities, ...]:
    """Return what the requests to a service may have; the place of each is its level."""
    workspaces: t.Sequence[Workspace | None] = configuration.workspaces or (None,)
    return tuple(
        sorted(
            {
                priorities_of(route, workspace)
                for route in configuration.routes
                if any(split.service == service for split in route.splits)
                for workspace in ((None,) if route.public else workspaces)
            }
        )
    )


def engine_priority(level: int, level_count: int) -> int:
    """Return the priority for engines of a level.

    Levels share priorities only if there are more of them than priorities.

    :param level_count: levels of the service.
    """
    if level_count <= ENGINE_PRIORITIES:
        return min(level, ENGINE_PRIORITIES - 1)
    return min(level * ENGINE_PRIORITIES // level_count, ENGINE_PRIORITIES - 1)


class Levels:
    """The levels of requests.

    :param configuration: returns the configuration in force.
    """

    def __init__(self, configuration: t.Callable[[], ServingConfiguration | None]) -> None:
        self._current = configuration
        self._configuration: ServingConfiguration | None = None
        self._by_service: dict[str, tuple[Priorities, ...]] = {}

    def level(self, service: str, route: Route, workspace: Workspace | None) -> int:
        """Return the level of a request to a service."""
        return bisect.bisect_left(self._of(service), priorities_of(route, workspace))

    def engine_priority(self, service: str, level: int) -> int:
        """Return the priority for engines of a level."""
        return engine_priority(level, self.count(service))

    def count(self, service: str) -> int:
        """Return the number of levels of a service."""
        return len(self._of(service))

    def _of(self, service: str) -> tuple[Priorities, ...]:
        configuration = self._current()
        if configuration is not self._configuration:
            self._configuration, self._by_service = configuration, {}
        if configuration is not None and service not in self._by_service:
            self._by_service[service] = levels_of_service(configuration, service)
        return self._by_service.get(service, ())
