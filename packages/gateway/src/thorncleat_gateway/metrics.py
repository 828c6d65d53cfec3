"""What this daemon counts and measures, served in the Prometheus text format.

Whatever is decided is an event (:mod:`.events`); each is counted here, whether its log line is
written or left out.

Owns: the registry of this daemon's series.
Relies on: :func:`thorncleat_core.log_events.observe` to be shown each event.
"""

import re
import typing as t

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest

from thorncleat_core.distributions import Distributions
from thorncleat_core.log_events import Event

from . import events

# targets whose durations are kept apart, later ones are counted together; a histogram takes some
# kilobytes, and configurations may have hundreds of routes; chosen, not measured
MOST_TARGETS = 64
OTHERS = "others"
# a cause's varying part: numbers, names and reprs
_VARYING = re.compile(r"[:'\"(\d]")
# durations that an event carries: its field, and the field that says for whom
DURATIONS: t.Mapping[int, tuple[tuple[str, str], ...]] = {
    events.REQUEST_DONE.number: (
        ("first_event", "route"),
        ("longest_pause", "route"),
        ("seconds", "route"),
        ("seconds", "workspace"),
        ("config_age", ""),
    ),
    events.REQUEST_REFUSED.number: (("after", "cause"),),
    events.GROUP_OPENED.number: (("seconds", "model"),),
    events.GROUP_DETACHED.number: (("seconds", "how"),),
    events.GROUP_SUSPECTED.number: (("heard_ago", "cause"),),
}


class Metrics:
    """All that one daemon counts."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._distributions = Distributions()
        self._registry.register(t.cast(t.Any, self._distributions))
        self._events = Counter(
            "thorncleat_events", "Decisions", ["name", "cause"], registry=self._registry
        )
        self._requests = Counter(
            "thorncleat_requests",
            "Answers by route, workspace and status",
            ["route", "workspace", "status"],
            registry=self._registry,
        )

    def gauge(self, name: str, help_text: str, value: t.Callable[[], float]) -> None:
        """Show a value that is read when it is asked for."""
        Gauge(f"thorncleat_{name}", help_text, registry=self._registry).set_function(value)

    def note(self, event: Event, fields: t.Mapping[str, t.Any]) -> None:
        """Count an event and the durations that it carries."""
        cause = _kind(str(fields.get("cause", "")))
        self._events.labels(event.name, cause).inc()
        if event is events.REQUEST_DONE:
            labels = (fields["route"], fields["workspace"] or "", fields["status"])
            self._requests.labels(*labels).inc()
        for field, target in DURATIONS.get(event.number, ()):
            seconds = fields.get(field)
            if seconds is not None:
                self._measure(event.name, field, target, fields, seconds)

    def _measure(
        self, name: str, field: str, target: str, fields: t.Mapping[str, t.Any], seconds: float
    ) -> None:
        what = f"{name}_{field}_by_{target}" if target else f"{name}_{field}"
        label = _kind(str(fields.get(target, ""))) if target == "cause" else fields.get(target)
        key = (what, str(label or ""))
        if key not in self._distributions and len(self._distributions) >= MOST_TARGETS:
            key = (what, OTHERS)
        self._distributions.of(*key).note(seconds)

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return generate_latest(self._registry)

    async def handle(self, _: web.BaseRequest) -> web.StreamResponse:
        """Answer whoever collects metrics."""
        return web.Response(body=self.text(), content_type="text/plain")


def _kind(cause: str) -> str:
    """Return the part of a cause that does not vary from case to case."""
    return _VARYING.split(cause, maxsplit=1)[0].strip()
