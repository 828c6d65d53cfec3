"""Keeps the groups of all fabric domains as the layout requires.

The daemon that holds the controller's lease plans at a fixed interval and on each change of the
list. All daemons observe the domains' sizes and the records of the placement, since each may become
the controller.

Owns: the current term, and the sizes of the fabric domains.
Relies on: :class:`.Election` for whether this daemon is the controller and its view has caught up,
:class:`.Planner` for each plan.
"""

import asyncio
import contextlib
import typing as t

from ..peers.failure_detector import FailureDetector
from ..peers.messages import Suspicion
from ..service import Service
from ..service import background_task
from ..store.view import StoreView
from .domain_sizes import DomainSizes
from .election import Election
from .group_inspector import GroupInspector
from .list_growth import ListGrowth
from .placement_records import PlacementRecords
from .planner import Planner
from .term import Term
from .term import TermFactory

# Interval between two plans while the list doesn't change.
PLAN_INTERVAL_SECONDS = 0.25
# Pause after a plan, as a multiple of its duration. With hundreds of endpoints, a plan at each
# change of the list would leave a small instance no time for its orders.
PLAN_PAUSE_FACTOR = 3.0


class Controller(Service):
    """Plans and carries out plans while this daemon holds the controller's lease.

    :param before_requests: returns whether no caller has sent a request yet since the system's
        first start.
    """

    def __init__(
        self,
        view: StoreView,
        election: Election,
        detector: FailureDetector,
        term_factory: TermFactory,
        placements: PlacementRecords,
        clock: t.Callable[[], float],
        before_requests: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._view = view
        self._election = election
        self._detector = detector
        self._term_factory = term_factory
        self._placements = placements
        self._clock = clock
        self._before_requests = before_requests
        self._wake = asyncio.Event()
        self._sizes = DomainSizes(clock)
        self._observed_at = float("-inf")
        self._growth = ListGrowth(clock)
        self._planner: Planner | None = None
        view.on_change(self._wake.set)
        detector.on_suspicion(self._on_suspicion)

    @property
    def term(self) -> Term | None:
        """The latest term of this daemon; None before the first."""
        return self._planner.term if self._planner is not None else None

    def utilizations(self) -> dict[tuple[str, str], float]:
        """Return the utilization by service and model; empty unless this is the controller."""
        if self.term is None or not self._election.is_controller:
            return {}
        return {key: found.utilization for key, found in self.term.moves.demands().items()}

    @background_task
    async def _plan_task(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PLAN_INTERVAL_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            is_active = self._election.is_controller and self._election.is_caught_up
            if is_active or self._clock() - self._observed_at >= PLAN_INTERVAL_SECONDS:
                self._observe()
            if not is_active:
                continue
            started_at = self._clock()
            planner = self._current_planner()
            try:
                self._plan(planner)
            except Exception as error:
                self._failures.record("plan", error)
            await asyncio.sleep(PLAN_PAUSE_FACTOR * (self._clock() - started_at))

    def _observe(self) -> None:
        """Observe what a controller must know from before its term."""
        self._observed_at = self._clock()
        self._placements.observe()
        self._sizes.observe(self._view.roster.endpoints.values())

    async def on_stop(self) -> None:
        """Cancel the jobs of the latest term."""
        self._cancel_jobs()

    def _cancel_jobs(self) -> None:
        if self.term is not None:
            self.term.jobs.cancel()

    def _current_planner(self) -> Planner:
        """Return the planner of the current term; create it if the term has just begun."""
        planner, position = self._planner, self._election.term
        assert position is not None
        if planner is None or planner.term.position != position:
            self._cancel_jobs()
            term = self._term_factory.begin(position, self._wake.set)
            inspector = GroupInspector(self._view, term, self._clock)
            planner = Planner(self._view, self._sizes, term, inspector, self._before_requests)
            self._planner = planner
            self._examine_suspected(inspector)
        return planner

    def _examine_suspected(self, inspector: GroupInspector) -> None:
        """Probe the members of groups that were suspected before the term began.

        Streams that have left such a group don't suspect it again.
        """
        for group in self._view.roster.groups.values():
            if group.leader is not None and self._detector.is_suspected(group.leader):
                inspector.examine(group.id)

    def _plan(self, planner: Planner) -> None:
        configuration = self._view.configuration
        if configuration is None:
            return
        if self._before_requests() and self._growth.is_growing(len(self._view.roster.endpoints)):
            return
        planner.plan(configuration)

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        planner = self._planner
        if planner is None or not self._election.is_controller:
            return
        if planner.term.position == self._election.term:
            planner.inspector.examine(suspicion.group)
