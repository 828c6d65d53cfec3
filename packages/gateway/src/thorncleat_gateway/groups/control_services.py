"""Creates and wires the services by which a daemon controls the groups.

Each daemon has them, since each may become the controller, and answers the controller's probes.

Owns: the window of this daemon's own calls to endpoints, and the orders, which the services share.
Relies on: the services named by :class:`ControlDependencies`. :class:`..gateway.Gateway` starts and
stops what is created here.
"""

import dataclasses
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.load_reporter import LoadReporter
from ..peers.load_table import LoadTable
from ..peers.probe_answers import ProbeAnswers
from ..ports import Engines
from ..ports import RecordStore
from ..settings import GatewaySettings
from ..store.complete_era_writer import CompleteEraWriter
from ..store.registration import Registration
from ..store.roster import Endpoint
from ..store.view import StoreView
from ..tunnels.endpoint_paths import EndpointPaths
from .call_window import CallWindow
from .controller import Controller
from .election import Election
from .ended import EndedGroups
from .orders import Orders
from .placement_records import PlacementRecords
from .records import GroupRecords
from .term import TermFactory


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlDependencies:
    """What the control of the groups needs of the rest of the daemon.

    :param records: the gateway's own records in the platform's store.
    :param engines: reports of engines and orders to them.
    :param clock: a clock that never goes back, in seconds.
    :param before_requests: returns whether no caller has sent a request yet since the system's
        first start.
    """

    settings: GatewaySettings
    records: RecordStore
    engines: Engines
    view: StoreView
    registration: Registration
    peers: PeerChannel
    paths: EndpointPaths
    detector: FailureDetector
    load_table: LoadTable
    reporter: LoadReporter
    ended: EndedGroups
    clock: t.Callable[[], float]
    before_requests: t.Callable[[], bool]


class ControlServices:
    """The services of the control of the groups.

    :param election: of the daemon that is the controller.
    :param complete_era_writer: runs on each daemon; the controller writes first.
    :param calls: limits the calls to endpoints, other than callers' requests.
    :param probe_answers: answers the probes of the controller.
    :param controller: forms and ends groups while this daemon is the controller.
    """

    def __init__(self, dependencies: ControlDependencies) -> None:
        self._dependencies = dependencies
        self.election = self._create_election()
        self.complete_era_writer = CompleteEraWriter(
            dependencies.records, dependencies.view, dependencies.clock, self._is_controller
        )
        self.calls = CallWindow(dependencies.detector.lateness, dependencies.clock)
        self._orders = self._create_orders()
        self.probe_answers = self._create_probe_answers()
        self._placements = PlacementRecords(dependencies.records, dependencies.view, self.election)
        self.controller = self._create_controller()

    def _is_controller(self) -> bool:
        return self.election.is_controller

    def _create_election(self) -> Election:
        dependencies = self._dependencies
        return Election(
            dependencies.settings,
            dependencies.records,
            dependencies.view,
            dependencies.clock,
            dependencies.registration.capacities,
            dependencies.paths.reach,
            lambda: (
                dependencies.paths.has_carriers() or dependencies.detector.others_reach_endpoints()
            ),
        )

    def _create_orders(self) -> Orders:
        dependencies = self._dependencies
        return Orders(
            dependencies.settings.control,
            dependencies.engines,
            dependencies.view,
            self._is_controller,
            self._record_answer,
            self.calls,
            dependencies.clock,
            dependencies.paths.reach.record_failure,
            dependencies.paths.reach.record_success,
        )

    def _record_answer(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has answered a call of this daemon's own."""
        self._dependencies.paths.reach.record_success(endpoint)
        self._dependencies.detector.record_contact(endpoint.id, self._dependencies.clock())

    def _create_probe_answers(self) -> ProbeAnswers:
        dependencies = self._dependencies
        return ProbeAnswers(
            dependencies.view,
            dependencies.peers,
            dependencies.reporter,
            self._orders.is_responding,
            dependencies.clock,
            dependencies.paths.check.confirms_reach,
        )

    def _create_controller(self) -> Controller:
        dependencies = self._dependencies
        return Controller(
            dependencies.view,
            self.election,
            dependencies.detector,
            self._create_term_factory(),
            self._placements,
            dependencies.clock,
            dependencies.before_requests,
        )

    def _create_term_factory(self) -> TermFactory:
        dependencies = self._dependencies
        return TermFactory(
            dependencies.settings.control,
            dependencies.view,
            self._orders,
            GroupRecords(dependencies.records, dependencies.view, self.election),
            self._placements,
            dependencies.detector,
            dependencies.load_table,
            dependencies.peers,
            dependencies.ended,
            dependencies.clock,
            dependencies.paths.check.confirms_reach,
        )
