"""Metrics of this daemon in the Prometheus text format.

Each log event is counted, even if its line is dropped.

Owns: the counters of events and requests.
Relies on: :mod:`thorncleat_core.metrics_registry` for the registry and its text format, and on
:func:`thorncleat_core.log_events.add_observer` to receive each event.
"""

import functools
import re
import typing as t

from aiohttp import web
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client.core import GaugeMetricFamily

from thorncleat_core.log_events import Event
from thorncleat_core.metrics_registry import MetricsRegistry

from . import events

# Beyond this number of distributions, new targets of a series share one, which limits memory.
MAX_TARGETS = 64
OTHER_TARGETS = "others"
# Where the variable part of a cause begins: a number, a name or a repr.
_VARIABLE_PART = re.compile(r"[:'\"(\d]")
# Durations of each event: the field of the duration, and the field that names its target; empty for
# a duration without a target.
DURATIONS: t.Mapping[int, tuple[tuple[str, str], ...]] = {
    events.REQUEST_DONE.number: (
        ("first_event", "route"),
        ("longest_pause", "route"),
        ("seconds", "route"),
        ("seconds", "workspace"),
        ("config_age", ""),
    ),
    events.REQUEST_REFUSED.number: (("after", "cause"),),
    events.REQUEST_SHED.number: (("retry_after", "level"),),
    events.GROUP_OPENED.number: (("seconds", "model"),),
    events.GROUP_DETACHED.number: (("seconds", "how"),),
    events.GROUP_SUSPECTED.number: (("heard_ago", "cause"),),
}


class _LabelledGauge:
    """A gauge by two labels, of which at most :data:`MAX_TARGETS` values are shown."""

    def __init__(
        self,
        name: str,
        text: str,
        labels: tuple[str, str],
        values: t.Callable[[], t.Mapping[tuple[str, str], float]],
    ) -> None:
        self._name = name
        self._text = text
        self._labels = labels
        self._values = values

    def describe(self) -> list[GaugeMetricFamily]:
        """Return nothing: the labels' values aren't known at the start."""
        return []

    def collect(self) -> t.Iterator[GaugeMetricFamily]:
        """Return the gauge; without values there is none."""
        values = sorted(self._values().items())[:MAX_TARGETS]
        if values:
            family = GaugeMetricFamily(self._name, self._text, labels=self._labels)
            for labels, value in values:
                family.add_metric(labels, value)
            yield family


class Metrics(MetricsRegistry):
    """The metrics of one daemon."""

    def __init__(self) -> None:
        super().__init__()
        self._events = self._counter("events", "Decisions", "name", "cause")
        self._requests = self._counter(
            "requests", "Answers by route, workspace and status", "route", "workspace", "status"
        )

    def add_utilization(self, values: t.Callable[[], t.Mapping[tuple[str, str], float]]) -> None:
        """Add the gauge of the models' utilizations, which are read at each scrape."""
        self._add_labelled(
            "thorncleat_model_utilization",
            "Running requests over slots of open groups, at the controller",
            ("service", "model"),
            values,
        )

    def add_bounded(self, values: t.Callable[[], t.Mapping[tuple[str, str], float]]) -> None:
        """Add the gauge of the callers that were bounded, which are read at each scrape."""
        self._add_labelled(
            "thorncleat_callers_bounded",
            "Refused or closed since they took too much, since the start",
            ("listener", "cause"),
            values,
        )

    def _add_labelled(
        self,
        name: str,
        text: str,
        labels: tuple[str, str],
        values: t.Callable[[], t.Mapping[tuple[str, str], float]],
    ) -> None:
        self._registry.register(t.cast(t.Any, _LabelledGauge(name, text, labels, values)))

    def record(self, event: Event, fields: t.Mapping[str, t.Any]) -> None:
        """Count an event and record its durations."""
        cause = _constant_part(str(fields.get("cause", "")))
        self._events.labels(event.name, cause).inc()
        if event is events.REQUEST_DONE:
            labels = (fields["route"], fields["workspace"] or "", fields["status"])
            self._requests.labels(*labels).inc()
        if event is events.REQUEST_SHED:
            self._shed_counter.labels(cause, fields.get("level", "")).inc()
        for field, target in DURATIONS.get(event.number, ()):
            seconds = fields.get(field)
            if seconds is not None:
                self._record_duration(event.name, field, target, fields, seconds)

    @functools.cached_property
    def _shed_counter(self) -> Counter:
        """Created at its first use, so that it is exported under overload control only."""
        return self._counter(
            "requests_shed", "Refusals by overload control by cause and level", "cause", "level"
        )

    @functools.cached_property
    def _pressure_gauge(self) -> Gauge:
        """Created at its first use, as the counter of refusals."""
        return self._gauge("pressure", "Requests for each slot", "service", "model")

    def record_pressure(self, service: str, model: str, pressure: float) -> None:
        """Record the requests for each slot of a model's groups, as last seen."""
        self._pressure_gauge.labels(service, model).set(pressure)

    def _record_duration(
        self, name: str, field: str, target: str, fields: t.Mapping[str, t.Any], seconds: float
    ) -> None:
        series = f"{name}_{field}_by_{target}" if target else f"{name}_{field}"
        label = (
            _constant_part(str(fields.get(target, ""))) if target == "cause" else fields.get(target)
        )
        key = (series, "" if label is None else str(label))
        if key not in self._distributions and len(self._distributions) >= MAX_TARGETS:
            key = (series, OTHER_TARGETS)
        self._distributions.get_or_create(*key).record(seconds)

    def record_first_event(self, model: str, expected: float, observed: float) -> None:
        """Record the expected and the observed seconds until the first event of an answer."""
        fields = {"model": model}
        for field, seconds in (("expected", expected), ("observed", observed)):
            self._record_duration("first_event", field, "model", fields, seconds)

    async def handle(self, _: web.BaseRequest) -> web.StreamResponse:
        """Answer a request for the metrics."""
        return web.Response(body=self.render(), content_type="text/plain")


def _constant_part(cause: str) -> str:
    """Return the constant part of a cause, which is used as a label."""
    return _VARIABLE_PART.split(cause, maxsplit=1)[0].strip()
