"""Creates and wires the services by which a daemon answers callers' requests.

Owns: the HTTP client for the endpoints, and the pool of connections to them.
Relies on: the services named by :class:`RequestDependencies`.
"""

import dataclasses
import random
import typing as t

from ..callers.bounded_log import Cause
from ..groups.ended import EndedGroups
from ..metrics import Metrics
from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..peers.workspace_loads import WorkspaceLoads
from ..ports import HeaderCodec
from ..settings import GatewaySettings
from ..store.roster import Endpoint
from ..store.view import StoreView
from ..tunnels.endpoint_paths import EndpointPaths
from . import endpoint_client
from . import kept_connections
from .answer_budget import AnswerBudget
from .connection_pool import ConnectionPool
from .crash_reporter import CrashReporter
from .crash_watch import CrashWatch
from .endpoint_client import EndpointClient
from .endpoint_limits import EndpointLimits
from .endpoint_notices import EndpointNotices
from .endpoint_selector import EndpointSelector
from .evacuations import Evacuations
from .first_event_offsets import FirstEventOffsets
from .frontend import Frontend
from .group_times import GroupTimes
from .overload.control import OverloadControl
from .plain import PlainForwarder
from .quarantine import Quarantine
from .retry_budget import RetryBudgets
from .slow_groups import SlowGroups
from .stop_window import StopWindow
from .streams import StreamForwarder
from .unanswered_attempts import UnansweredAttempts


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestDependencies:
    """What the path of a request needs of the rest of the daemon.

    :param codec: translates between headers and their meaning.
    :param evacuations: None to ignore evacuations.
    :param clock: a clock that never goes back, in seconds.
    """

    settings: GatewaySettings
    codec: HeaderCodec
    view: StoreView
    peers: PeerChannel
    paths: EndpointPaths
    detector: FailureDetector
    load_table: LoadTable
    workspace_loads: WorkspaceLoads
    ended: EndedGroups
    notices: EndpointNotices
    limits: EndpointLimits
    evacuations: Evacuations | None
    retry_budgets: RetryBudgets
    unanswered: UnansweredAttempts
    quarantine: Quarantine
    crash_reporter: CrashReporter
    metrics: Metrics
    clock: t.Callable[[], float]
    memory: int
    record_bounded: t.Callable[[Cause], None]


class RequestServices:
    """The services of the path of a request, created within a running event loop.

    :param pool: connections that carry several attempts; None without overload control.
    :param answers: the memory for endpoints' answers.
    :param frontend: answers callers' requests.
    """

    def __init__(self, dependencies: RequestDependencies) -> None:
        self._dependencies = dependencies
        connector = dependencies.paths.create_connector(**endpoint_client.CONNECTOR_OPTIONS)
        self._session = endpoint_client.create_session(connector)
        self.pool = self._create_pool() if dependencies.settings.overload_control else None
        self.answers = AnswerBudget(dependencies.settings.memory)
        self.frontend = self._create_frontend()

    def _create_pool(self) -> ConnectionPool:
        dependencies = self._dependencies
        return ConnectionPool(
            self._can_keep_connections,
            lambda: dependencies.peers.daemon_count,
            dependencies.retry_budgets.take_token,
            dependencies.settings.connect_timeout,
        )

    def _can_keep_connections(self, endpoint: Endpoint) -> bool:
        """Return whether idle connections to an endpoint may be used."""
        roster = self._dependencies.view.roster
        return kept_connections.is_usable(
            endpoint,
            roster.endpoints.get(endpoint.id),
            is_missing=endpoint.id in roster.missing,
            is_suspected=self._dependencies.detector.is_suspected(endpoint),
        )

    def _create_frontend(self) -> Frontend:
        dependencies = self._dependencies
        client = self._create_client()
        stop_window = StopWindow(dependencies.clock)
        shared = (
            client,
            self._create_selector(client),
            dependencies.load_table,
            dependencies.retry_budgets,
            dependencies.detector,
            self._create_crash_watch(),
            dependencies.clock,
            self._create_overload_control() if dependencies.settings.overload_control else None,
            self.answers,
            stop_window,
            dependencies.unanswered,
        )
        return Frontend(
            dependencies.settings,
            dependencies.view,
            dependencies.codec,
            PlainForwarder(*shared),
            StreamForwarder(*shared),
            dependencies.clock,
            dependencies.paths.has_way,
            stop_window,
            dependencies.memory,
            dependencies.record_bounded,
        )

    def _create_client(self) -> EndpointClient:
        dependencies = self._dependencies
        return EndpointClient(
            self._session,
            dependencies.codec,
            dependencies.notices,
            dependencies.limits,
            dependencies.settings.connect_timeout,
            evacuations=dependencies.evacuations,
            pool=self.pool,
            reach=dependencies.paths.reach,
        )

    def _create_selector(self, client: EndpointClient) -> EndpointSelector:
        dependencies = self._dependencies
        return EndpointSelector(
            dependencies.view,
            dependencies.load_table,
            dependencies.detector,
            dependencies.ended,
            dependencies.notices,
            dependencies.limits,
            dependencies.clock,
            dependencies.settings.failure_domain,
            times=self._create_group_times() if dependencies.settings.overload_control else None,
            evacuations=dependencies.evacuations,
            has_connection=client.has_idle_connection,
        )

    def _create_group_times(self) -> GroupTimes:
        dependencies = self._dependencies
        return GroupTimes(
            dependencies.load_table,
            FirstEventOffsets(dependencies.clock, dependencies.metrics.record_first_event),
            SlowGroups(dependencies.clock),
            dependencies.settings.failure_domain,
        )

    def _create_crash_watch(self) -> CrashWatch:
        dependencies = self._dependencies
        return CrashWatch(
            dependencies.quarantine,
            dependencies.view,
            dependencies.detector,
            dependencies.crash_reporter,
            dependencies.clock,
            lambda: dependencies.peers.other_daemons,
            dependencies.settings.id,
        )

    def _create_overload_control(self) -> OverloadControl:
        dependencies = self._dependencies
        return OverloadControl(
            lambda: dependencies.view.configuration,
            dependencies.workspace_loads,
            lambda: dependencies.peers.daemon_count,
            dependencies.clock,
            random.Random(),
            dependencies.metrics.record_pressure,
        )

    async def close(self) -> None:
        """Close the connections to endpoints."""
        await self._session.close()
        if self.pool is not None:
            await self.pool.close()
