"""One daemon of the gateway: creates its services, wires them together and runs them.

Owns: the services, and the order in which they start and stop.
Relies on: the adapter's ports for the store, the engines and the names of headers,
:mod:`.groups.control_services` and :mod:`.requests.request_services` to wire the services of the
control of the groups and of the path of a request.
"""

import asyncio
import contextlib
import socket
import typing as t

from . import events
from .callers.body_budget import BodyBudget
from .callers.bounds import CallerBounds
from .exceptions import StoreError
from .failures import FailureLog
from .groups.control_services import ControlDependencies
from .groups.control_services import ControlServices
from .groups.election import Election
from .groups.ended import EndedGroups
from .listeners import Listeners
from .metrics import Metrics
from .peers.datagrams import PeerChannel
from .peers.failure_detector import FailureDetector
from .peers.load_reporter import LoadReporter
from .peers.load_table import LoadTable
from .peers.workspace_loads import WorkspaceLoads
from .peers.workspace_loads import WorkspaceReporter
from .planned_stop import PlannedStop
from .ports import ChangeFeed
from .ports import Engines
from .ports import HeaderCodec
from .ports import RecordStore
from .requests.cold_endpoints import ColdEndpoints
from .requests.connection_pool import ConnectionPool
from .requests.crash_reporter import CrashReporter
from .requests.endpoint_limits import EndpointLimits
from .requests.endpoint_notices import EndpointNotices
from .requests.evacuations import Evacuations
from .requests.frontend import Frontend
from .requests.lifted_holds import ReleasedRequests
from .requests.limit_reporter import LimitReporter
from .requests.quarantine import Quarantine
from .requests.request_services import RequestDependencies
from .requests.request_services import RequestServices
from .requests.retry_budget import RetryBudgets
from .requests.retry_reporter import RetryReporter
from .requests.unanswered_attempts import UnansweredAttempts
from .service import Service
from .settings import GatewaySettings
from .store.registration import DAEMONS
from .store.registration import RELAYS
from .store.registration import Registration
from .store.relay_feed import RelayFeed
from .store.relay_server import RelayServer
from .store.relays import Daemon
from .store.relays import coalescing_seconds
from .store.roster import Endpoint
from .store.serving import Limits
from .store.view import StoreView
from .tunnels.endpoint_paths import EndpointPaths

# How long to wait for the first configuration before callers' connections are accepted.
FIRST_CONFIGURATION_TIMEOUT_SECONDS = 0.25
# Part of a group's slots from which on they may all be taken: load reports are some tenths of a
# second old, and as many requests may have been sent since.
FULL_FRACTION = 0.8
# Window of the metric that shows the lateness of the event loop.
LATENESS_WINDOW_SECONDS = 1.0


class Gateway(Service):
    """One daemon of the gateway.

    :param feed: changes of the platform's store.
    :param records: the gateway's own records in that store.
    :param engines: reports of engines and orders to them.
    :param codec: translates between headers and their meaning.
    :param clock: a clock that never goes back, in seconds.
    :param first_start: whether this is the very first start of the whole system.
    :param callers: a socket that already listens at the callers' address; None to open one.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feed: ChangeFeed,
        records: RecordStore,
        engines: Engines,
        codec: HeaderCodec,
        clock: t.Callable[[], float],
        *,
        first_start: bool = False,
        callers: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._codec = codec
        self._clock = clock
        self._first_start = first_start
        self._callers = callers
        self._listeners = Listeners()
        self._caller_bounds = CallerBounds(settings, self._request_limits, clock)
        self._request_services: RequestServices | None = None
        self._records = records
        self._feed = RelayFeed(settings.relay, feed, self._relays, self._listed_relays, clock)
        self.view = StoreView(self._feed, clock, settings.watch, self._coalesce_seconds)
        self._registration = Registration(settings, records, self.view, clock)
        self._relay_server = RelayServer(self.view, self._daemons)
        self._notices = EndpointNotices(self.view, clock)
        self._evacuations = None if settings.evacuation is None else Evacuations(self.view)
        self._cold = None if settings.cold is None else ColdEndpoints(self.view, clock)
        if self._evacuations is not None and self._cold is not None:
            self._evacuations.on_end(self._cold.record_evacuation_end)
        self._limits = EndpointLimits(self._registration, clock, self._cold)
        self._create_peer_services()
        engines.on_answer(self._notices.record_answer)
        engines.on_answer(lambda endpoint, meta: self._limits.record_answer(endpoint, meta, None))
        self._control = self._create_control_services(records, engines)
        self.metrics = Metrics()
        self._add_gauges()

    def _create_peer_services(self) -> None:
        self._peers = PeerChannel(
            self._settings, self._registration.addresses, self._registration.domain_peers
        )
        self._paths = EndpointPaths(
            self._settings,
            self.view,
            self._registration,
            self._peers,
            lambda since: self._detector.lateness.max_lateness_since(since),
            self._clock,
        )
        self._detector = FailureDetector(
            self._settings.streams, self._peers, self._clock, self._is_full, self._paths.reach
        )
        self.load_table = LoadTable(self._clock, self._peers.report_interval_seconds)
        self._reporter = LoadReporter(
            self._peers, self.load_table, self._detector, self._settings.failure_domain
        )
        self._retry_budgets = RetryBudgets(
            self._settings.retry,
            self._clock,
            lambda: self._peers.daemon_count,
            self._has_retry_share,
        )
        self._unanswered = UnansweredAttempts(lambda: self.view.roster, self._clock)
        self._retry_reporter = RetryReporter(
            self._retry_budgets, self._peers, self._clock, self._unanswered
        )
        self._workspace_loads = WorkspaceLoads(self._clock)
        self._ended_groups = EndedGroups(self._peers, self._clock)
        self._quarantine = Quarantine(self._clock)
        self._crash_reporter = CrashReporter(self._quarantine, self._peers, self._clock)
        self._released_requests = ReleasedRequests(self.view, self._quarantine)
        self._limit_reporter = LimitReporter(
            self._limits, self.view, self._peers, self._clock, self._detector.has_just_paused
        )

    def _has_retry_share(self, had_share: bool) -> bool:
        """Return whether this daemon has a share of the fixed number of retries."""
        return self._registration.has_share_of_window(
            self._settings.retry.window, had_share=had_share
        )

    def _is_full(self, leader: Endpoint) -> bool:
        """Return whether the slots of a leader's group may all be taken, under overload control.

        A group whose requests wait for a slot would otherwise look silent to daemons that have no
        other request there, and the loss of it would fill the queues of the others.
        """
        configuration = self.view.configuration
        if not self._settings.overload_control or configuration is None:
            return False
        service = configuration.services.get(leader.service)
        if service is None or service.engine is None:
            return False
        return self.load_table.request_count(leader.id) >= FULL_FRACTION * service.engine.slots

    def _create_control_services(self, records: RecordStore, engines: Engines) -> ControlServices:
        return ControlServices(
            ControlDependencies(
                settings=self._settings,
                records=records,
                engines=engines,
                view=self.view,
                registration=self._registration,
                peers=self._peers,
                paths=self._paths,
                detector=self._detector,
                load_table=self.load_table,
                reporter=self._reporter,
                ended=self._ended_groups,
                clock=self._clock,
                before_requests=lambda: self._has_no_requests_yet,
            )
        )

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("configuration_age_seconds", "Since a newer one was excluded", self.view.age)
        add("configuration_version", "In force here", self.view.configuration_version)
        add("requests_running", "Requests being answered", self._running_requests)
        add("endpoints_listed", "Endpoints known", lambda: len(self.view.roster.endpoints))
        add("daemons_registered", "Daemons known", lambda: self._peers.daemon_count)
        add("controls_groups", "1 if this daemon does", lambda: float(self._election.is_controller))
        add(
            "controller_lease_seconds",
            "Left of the lease",
            lambda: self._election.lease_seconds_left,
        )
        add(
            "endpoint_calls_allowed",
            "At once, by the controller",
            lambda: self._control.calls.limit,
        )
        add("endpoint_calls_waiting", "For their turn", lambda: self._control.calls.waiting)
        add("loop_late_seconds", "At most, of the last second", self._recent_lateness)
        add(
            "endpoints_cut_off",
            "1 if this daemon is, of a service",
            lambda: float(self._paths.reach.cut_off_seconds > 0),
        )
        add("tunnels_carried", "For other daemons, now", lambda: self._paths.server.running)
        add("datagrams_rejected", "From unknown senders", lambda: self._peers.rejected_count)
        add("requests_quarantined", "Held back", lambda: len(self._quarantine.quarantined))
        add("retries_sent", "With a token, since the start", lambda: self._retry_budgets.taken)
        add("retries_denied", "Without one, since the start", lambda: self._retry_budgets.denied)
        add("attempts_unanswered", "Given up, may arrive", lambda: self._unanswered.count)
        if self._evacuations is not None:
            add("failure_domains_evacuated", "Get no requests", self._evacuations.count)
        if self._cold is not None:
            add("endpoints_cold", "Get few requests", self._cold.count)
        self.metrics.add_utilization(self._control.controller.utilizations)
        add("relayed_answers", "Given to other daemons", lambda: self._relay_server.answered_count)

        add("answer_bytes_held", "Of endpoints", self._answer_bytes_held)
        self._caller_bounds.add_metrics(self.metrics)
        add("body_bytes_held", "Of callers", lambda: self._bodies.held if self._bodies else 0)
        add("bodies_refused", "No memory", lambda: self._bodies.refused if self._bodies else 0)
        add("unexpected_errors", "Since the start", lambda: FailureLog.total)

        if self._settings.overload_control:
            self._add_overload_gauges()

    def _add_overload_gauges(self) -> None:
        add = self.metrics.gauge
        add("connections_opened", "To endpoints", lambda: self._pool.opened if self._pool else 0)
        add("connections_reused", "By requests", lambda: self._pool.reused if self._pool else 0)
        add("connections_idle", "Kept open", lambda: self._pool.idle if self._pool else 0)
        add(
            "connections_kept_reset", "By endpoints", lambda: self._pool.resets if self._pool else 0
        )
        add("connections_surplus", "Closed", lambda: self._pool.surplus if self._pool else 0)

    @property
    def _election(self) -> Election:
        return self._control.election

    @property
    def _frontend(self) -> Frontend | None:
        return self._request_services.frontend if self._request_services is not None else None

    @property
    def _pool(self) -> ConnectionPool | None:
        return self._request_services.pool if self._request_services is not None else None

    def _answer_bytes_held(self) -> int:
        services = self._request_services
        return services.answers.held if services is not None else 0

    @property
    def _bodies(self) -> BodyBudget | None:
        return self._frontend.bodies if self._frontend is not None else None

    def _recent_lateness(self) -> float:
        return self._detector.lateness.max_lateness_since(self._clock() - LATENESS_WINDOW_SECONDS)

    def _running_requests(self) -> float:
        return self._frontend.running if self._frontend is not None else 0

    @property
    def _has_no_requests_yet(self) -> bool:
        """Whether no daemon has received a request since the very first start of the system."""
        has_local_requests = self._frontend is not None and self._frontend.requests > 0
        return (
            self._first_start
            and not has_local_requests
            and not self._reporter.has_seen_remote_requests
        )

    def _coalesce_seconds(self) -> float:
        """Return the delay in seconds between two calls for changes.

        It is longer for a daemon that reads from the store although relays are available.
        """
        asks_store = self._feed.asks_store
        if asks_store and self._relays():
            return self._settings.coalesce
        return coalescing_seconds(
            self._settings.quick_coalesce, self._peers.daemon_count, asks_store=asks_store
        )

    def _daemons(self) -> t.Iterable[Daemon]:
        return self._registration.daemons().values()

    def _relays(self) -> t.Sequence[Daemon]:
        """Return the relays from which to read changes."""
        return self._registration.sources(is_controller=self._election.is_controller)

    async def _listed_relays(self) -> t.Sequence[Daemon]:
        """Return the relays that are recorded in the store."""
        return self._registration.listed_relays(await self._records.list_records(RELAYS))

    async def on_start(self) -> None:
        """Start the services and listeners.

        Callers are accepted last among the listeners, after the wait for a configuration.
        """
        self._request_services = self._create_request_services()
        frontend = self._request_services.frontend
        if self._first_start:
            self.add_future(self._confirm_first_start())
        for service in (
            self.view,
            self._registration,
            self._peers,
            self._detector,
            self._paths.check,
            self._paths.offers,
            self._election,
            self._control.complete_era_writer,
            self._control.controller,
            self._caller_bounds.expiry,
        ):
            await self.add_runtime_dependency(service)
        await self._listeners.open(self._relay_server.handle, self._settings.peers)
        await self._paths.open()
        if self._settings.metrics is not None:
            await self._listeners.open(
                self.metrics.handle, self._settings.metrics, bounds=self._caller_bounds.metrics
            )
        await self._listeners.open(
            frontend.readiness, self._settings.readiness, bounds=self._caller_bounds.readiness
        )
        await self._wait_for_first_configuration()
        await self.add_runtime_dependency(self._unanswered)
        await self.add_runtime_dependency(self._retry_reporter)
        await self._listeners.open(
            frontend.handle, self._settings.callers, self._callers, self._caller_bounds.callers
        )
        await self.add_runtime_dependency(self._reporter)
        await self.add_runtime_dependency(self._crash_reporter)
        await self.add_runtime_dependency(self._limit_reporter)
        await self.add_runtime_dependency(self._control.probe_answers)
        if self._settings.overload_control:
            reporter = WorkspaceReporter(
                self._workspace_loads, self._peers, self._settings.failure_domain
            )
            await self.add_runtime_dependency(reporter)
        events.STARTED.log(callers=self._settings.callers, first_start=self._first_start)

    async def _wait_for_first_configuration(self) -> None:
        """Wait for the first configuration, without which every request would be refused."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.view.wait_loaded(), FIRST_CONFIGURATION_TIMEOUT_SECONDS)

    def _create_request_services(self) -> RequestServices:
        return RequestServices(
            RequestDependencies(
                settings=self._settings,
                codec=self._codec,
                view=self.view,
                peers=self._peers,
                paths=self._paths,
                detector=self._detector,
                load_table=self.load_table,
                workspace_loads=self._workspace_loads,
                ended=self._ended_groups,
                notices=self._notices,
                limits=self._limits,
                evacuations=self._evacuations,
                retry_budgets=self._retry_budgets,
                unanswered=self._unanswered,
                quarantine=self._quarantine,
                crash_reporter=self._crash_reporter,
                metrics=self.metrics,
                clock=self._clock,
                memory=self._caller_bounds.memory,
                record_bounded=self._caller_bounds.callers.record,
            )
        )

    async def _confirm_first_start(self) -> None:
        """Use the whole retry budget at once if no daemon has run before.

        The settings may be those of an earlier start, so they don't prove that this is the first.
        Without an answer this daemon begins as after any start.
        """
        with contextlib.suppress(StoreError):
            if not await self._records.list_records(DAEMONS):
                self._retry_budgets.begin_complete()

    def _request_limits(self) -> Limits:
        """Return the limits on requests in force; the defaults without a configuration."""
        configuration = self.view.configuration
        return configuration.limits if configuration is not None else Limits()

    async def drain(self, ordered_at: float | None = None) -> None:
        """Finish the running requests before a planned stop.

        :param ordered_at: time of the order to stop, from which the grace period runs; None for
            now.
        """
        assert self._frontend is not None
        planned_stop = PlannedStop(
            self._frontend,
            self._election,
            self._settings.grace,
            self._clock,
            self._paths.server,
        )
        await planned_stop.wait(ordered_at)

    async def on_stop(self) -> None:
        """Close the listeners."""
        await self._paths.server.close()
        await self._listeners.close()

    async def on_shutdown(self) -> None:
        """Close the connections to endpoints and the feed."""
        if self._request_services is not None:
            await self._request_services.close()
        await self._feed.close()
        events.STOPPED.log()
