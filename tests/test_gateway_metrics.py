"""Metrics of the gateway, and the listener that serves them."""

import re

import aiohttp
import pytest

from thorncleat_core import distributions
from thorncleat_core import log_events
from thorncleat_core.exceptions import DocumentError
from thorncleat_gateway import events
from thorncleat_gateway.metrics import MAX_TARGETS
from thorncleat_gateway.metrics import Metrics
from thorncleat_platform import settings
from thorncleat_standins.ports import free_port

from .test_gateway import site


def done(**fields):
    return {
        "request": "r1",
        "route": "chat",
        "workspace": "growers",
        "status": 200,
        "first_event": 0.2,
        "longest_pause": 0.1,
        "seconds": 1.5,
        "config_age": 0.3,
        **fields,
    }


def value(text, series):
    found = re.search(rf"^{re.escape(series)} (\S+)$", text.decode(), re.MULTILINE)
    return float(found[1]) if found else None


def test_answers_are_counted_by_route_workspace_and_status():
    metrics = Metrics()
    for _ in range(3):
        metrics.record(events.REQUEST_DONE, done())
    series = 'thorncleat_requests_total{route="chat",status="200",workspace="growers"}'
    assert value(metrics.render(), series) == 3


def test_durations_are_shown_as_quantiles():
    metrics = Metrics()
    metrics.record(events.REQUEST_DONE, done(seconds=1.5))
    series = (
        'thorncleat_seconds{quantile="0.95",target="chat",what="request_done_seconds_by_route"}'
    )
    assert value(metrics.render(), series) == pytest.approx(1.5, rel=0.02)


def test_distribution_is_created_once_for_each_target(monkeypatch):
    """A distribution is large, and each request records several durations."""
    created = []

    class Counted(distributions.Distribution):
        def __init__(self) -> None:
            super().__init__()
            created.append(self)

    monkeypatch.setattr(distributions, "Distribution", Counted)
    distribution_set = distributions.Distributions()
    for _ in range(3):
        distribution_set.get_or_create("seconds", "chat").record(0.1)
    assert distribution_set.get_or_create("seconds", "chat").count == 3
    assert len(created) == 1


@pytest.mark.parametrize(
    ("cause", "kind"),
    [
        ("no answer in 0.350 s", "no answer in"),
        ("no group for 'm': 3 open, 1 of them suspected", "no group for"),
        ("out of time", "out of time"),
    ],
)
def test_causes_are_counted_by_their_constant_part(cause, kind):
    metrics = Metrics()
    metrics.record(events.REQUEST_REFUSED, {"cause": cause, "after": 0.1})
    series = f'thorncleat_events_total{{cause="{kind}",name="request_refused"}}'
    assert value(metrics.render(), series) == 1


def test_number_of_targets_is_limited():
    metrics = Metrics()
    for number in range(3 * MAX_TARGETS):
        metrics.record(events.REQUEST_DONE, done(route=f"route-{number}"))
    text = metrics.render().decode()
    assert text.count("thorncleat_durations{") <= MAX_TARGETS + 5
    assert 'target="others"' in text


def test_events_are_counted_even_if_their_lines_are_dropped(monkeypatch):
    monkeypatch.setattr(log_events, "_observers", [])
    metrics = Metrics()
    log_events.add_observer(metrics.record)
    events.STORE_BACK.log(revision=3)
    series = 'thorncleat_events_total{cause="",name="feed_back"}'
    assert value(metrics.render(), series) == 1


async def test_metrics_are_served_at_their_address(tmp_path):
    port = free_port()
    async with site(tmp_path, metrics=f"{port}/metrics") as cluster:
        await cluster.chat()
        async with (
            aiohttp.ClientSession() as client,
            client.get(f"http://127.0.0.1:{port}/metrics") as response,
        ):
            text = await response.read()
    assert response.status == 200
    assert value(text, "thorncleat_configuration_version") == 1
    assert value(text, "thorncleat_controls_groups") == 1


def test_metrics_address_without_a_port_is_an_error(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(
        'node_name = "e"\nip = "127.0.0.1"\ninternal_ports = [1, 2]\n'
        '[listen]\nfrontend = "127.0.0.1:3"\nreadiness = "127.0.0.1:4"\n'
        '[platform]\naddress = "127.0.0.1:5"\n'
    )
    with pytest.raises(DocumentError, match="'here/metrics' is not PORT/PATH"):
        settings.load(path, "here/metrics")
