"""What this daemon counts and measures, served in the Prometheus text format.

Whatever is decided is an event (:mod:`.events`); each is counted here, whether its log line is
written or left out.

Owns: the counters of events and requests.
Relies on: :mod:`thorncleat_core.metrics_registry` for the registry and its text form, and on
:func:`thorncleat_core.log_events.add_observer` to be shown each event.
"""

import re
import typing as t

from aiohttp import web

from thorncleat_core.log_events import Event
from thorncleat_core.metrics_registry import MetricsRegistry

from . import events

# targets whose durations are kept apart, later ones are counted together; a histogram takes some
# kilobytes, and configurations may have hundreds of routes
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


class Metrics(MetricsRegistry):
    """All that one daemon counts."""

    def __init__(self) -> None:
        super().__init__()
        self._events = self._counter("events", "Decisions", "name", "cause")
        self._requests = self._counter(
            "requests", "Answers by route, workspace and status", "route", "workspace", "status"
        )

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
        self._distributions.get_or_create(*key).record(seconds)

    async def handle(self, _: web.BaseRequest) -> web.StreamResponse:
        """Answer whoever collects metrics."""
        return web.Response(body=self.render(), content_type="text/plain")


def _kind(cause: str) -> str:
    """Return the part of a cause that does not vary from case to case."""
    return _VARYING.split(cause, maxsplit=1)[0].strip()
