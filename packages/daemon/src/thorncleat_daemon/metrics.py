"""The daemon's metrics, exported at ``/metrics``.

Owns: the daemon's counters, the counts of the error budget report, and the invariants.
Relies on: :mod:`thorncleat_core.metrics_registry` for the registry and its text format.
"""

import functools
import time

from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.distributions import Distribution
from thorncleat_core.metrics_registry import MetricsRegistry

from .invariants import Invariant
from .invariants import Invariants


class Metrics(MetricsRegistry):
    """The metrics of one daemon."""

    def __init__(self) -> None:
        super().__init__()
        self.invariants = Invariants()
        self.burn = BurnCounts()
        self.requests = self._counter("requests", "Requests by outcome", "workspace", "outcome")
        self.tokens = self._counter("tokens", "Events of answers passed on", "workspace", "target")
        self.dropped = self._counter("dropped_pieces", "Pieces that were not their own", "reason")
        self.retries = self._counter("retries", "Requests sent again", "reason")
        self.in_flight = self._gauge("in_flight", "Requests being answered")
        # All series exist from the start, since alerts need them at 0.
        broken = self._gauge("broken_invariants", "What must hold and did not", "name")
        for which in Invariant:
            broken.labels(str(which)).set_function(
                functools.partial(self.invariants.broken.__getitem__, which)
            )

    def distribution(self, what: str, target: str) -> Distribution:
        """Return the distribution of a duration for a model or service.

        :param what: kind of duration.
        """
        return self._distributions.get_or_create(what, target)

    def record_ended(self, workspace: str, target: str, cause: str) -> None:
        """Record the outcome of a request.

        :param cause: ``good``, or why it counts against the service level.
        """
        self.requests.labels(workspace, cause).inc()
        self.burn.record(Subject(workspace, target), cause, time.time())
