"""Counts and distributions that the daemon shows at ``/metrics``."""

import functools
import time
import typing as t

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest

from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.distributions import Distribution
from thorncleat_core.distributions import Distributions

from .invariants import Invariant
from .invariants import Invariants


class Metrics:
    """All that one daemon counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.invariants = Invariants()
        self.burn = BurnCounts()
        self._distributions = Distributions()
        self.registry.register(t.cast(t.Any, self._distributions))
        self.requests = self._counter("requests", "Requests by outcome", "workspace", "outcome")
        self.tokens = self._counter("tokens", "Events of answers passed on", "workspace", "target")
        self.dropped = self._counter("dropped_pieces", "Pieces that were not their own", "reason")
        self.retries = self._counter("retries", "Requests sent again", "reason")
        self.in_flight = Gauge(
            "thorncleat_in_flight", "Requests being answered", registry=self.registry
        )
        # all are shown as 0 from the start: an alert needs the series to be there
        broken = Gauge(
            "thorncleat_broken_invariants",
            "What must hold and did not",
            ["name"],
            registry=self.registry,
        )
        for which in Invariant:
            broken.labels(str(which)).set_function(
                functools.partial(self.invariants.broken.__getitem__, which)
            )

    def distribution(self, what: str, target: str) -> Distribution:
        """Return the distribution of a kind of duration for a model or service."""
        return self._distributions.of(what, target)

    def gauge(self, name: str, help_text: str, value: t.Callable[[], float]) -> None:
        """Show a value that is read when it is asked for."""
        Gauge(f"thorncleat_{name}", help_text, registry=self.registry).set_function(value)

    def ended(self, workspace: str, target: str, cause: str) -> None:
        """Count how a request ended.

        :param cause: ``good``, or why it counts against the objective.
        """
        self.requests.labels(workspace, cause).inc()
        self.burn.note(Subject(workspace, target), cause, time.time())

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"thorncleat_{name}", help_text, labels, registry=self.registry)
