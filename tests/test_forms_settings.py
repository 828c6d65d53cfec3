"""The settings file, what is made of it, and the deploy file, as at b7c2758."""

import hashlib
import pathlib
import tomllib

import pytest

from thorncleat_core.exceptions import DocumentError
from thorncleat_platform import settings
from thorncleat_platform.early_socket import SETTINGS_VARIABLE
from thorncleat_platform.main import METRICS_VARIABLE

ROOT = pathlib.Path(__file__).parent.parent

LEAST = """
node_name = "edge-1"
ip = "10.0.0.1"
internal_ports = [7100, 7199]
[listen]
frontend = "0.0.0.0:8000"
readiness = "127.0.0.1:8001"
[platform]
address = "10.0.0.5:2379"
"""
FULL = """
node_name = "edge-7"
ip = "10.0.0.7"
zone = "z3"
bootstrap = true
something_new = 1
internal_ports = [7100, 7199]
[listen]
frontend = "10.0.0.7:8000"
readiness = "10.0.0.7:8001"
unheard_of = "x"
[limits]
cpu_share = 0.5
cores = 4
link_mbps = 250.0
memory_mb = 512
[bounds]
grace_s = 6.5
revoke_fail_closed = true
revoke_ms = 4000
retry_budget_ratio = 0.1
budget_window_s = 20
budget_extra = 5
stall_ms = 3500
drain_ms = 9000
[platform]
address = "10.0.0.5:2379"
region = "x"
[unheard_of]
a = 1
"""


def form(loaded):
    """Return all that was made of a file, under names of this test's own."""
    gateway = loaded.gateway
    control, streams, relay, retry = gateway.control, gateway.streams, gateway.relay, gateway.retry
    return {
        "store": loaded.store,
        "first start": loaded.first_start,
        "id": gateway.id,
        "failure domain": gateway.failure_domain,
        "callers": list(gateway.callers),
        "readiness": list(gateway.readiness),
        "peers": list(gateway.peers),
        "metrics": list(gateway.metrics) if gateway.metrics else None,
        "revoke within": gateway.revoke_within,
        "grace": float(gateway.grace),
        "connect timeout": gateway.connect_timeout,
        "capacity": gateway.capacity,
        "watch": gateway.watch,
        "coalesce": gateway.coalesce,
        "quick coalesce": gateway.quick_coalesce,
        "retry": [float(one) for one in (retry.ratio, retry.extra, retry.window)],
        "control": {
            "lease": control.lease,
            "margin": control.margin,
            "order timeout": control.order_timeout,
            "probe timeout": control.probe_timeout,
            "form timeout": control.form_timeout,
        },
        "streams": {
            "gaps": streams.gaps,
            "least silence": streams.least_silence,
            "most silence": streams.most_silence,
            "first event": streams.first_event,
            "suspected": streams.suspected,
            "suspicion": streams.suspicion,
        },
        "relay": {
            "wait": relay.wait,
            "patience": relay.patience,
            "oldest": relay.oldest,
            "avoid": relay.avoid,
        },
    }


def load(directory, text, metrics=""):
    path = directory / "settings.toml"
    path.write_text(text)
    return settings.load(path, metrics)


@pytest.mark.parametrize("text", [LEAST, FULL], ids=["least", "full"])
def test_file(tmp_path, text, snapshot):
    assert form(load(tmp_path, text)) == snapshot


@pytest.mark.parametrize("place", ["", "9464/metrics", "9464", "/metrics"])
def test_place_of_metrics(tmp_path, place, snapshot):
    assert load(tmp_path, LEAST, place).gateway.metrics == snapshot


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('node_name = "edge-1"', ""),
        ('ip = "10.0.0.1"', "ip = 5"),
        ("[7100, 7199]", "[7100]"),
        ("[7100, 7199]", '["x", 7199]'),
        ('frontend = "0.0.0.0:8000"', ""),
        ("[platform]", "[bounds]\nrevoke_ms = 'soon'\n[platform]"),
        ("[platform]", "[bounds]\nrevoke_fail_closed = 'maybe'\n[platform]"),
        ("[platform]", "[limits]\ncores = 'many'\n[platform]"),
        ('address = "10.0.0.5:2379"', ""),
        ("[platform]\n", ""),
        ("[listen]", "[listen"),
    ],
)
def test_value_that_is_wrong(tmp_path, old, new, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, LEAST.replace(old, new))
    assert str(caught.value).replace(str(tmp_path), "<directory>") == snapshot


def test_several_values_that_are_wrong(tmp_path, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, 'node_name = 1\ninternal_ports = "x"\n[listen]\n')
    assert str(caught.value).replace(str(tmp_path), "<directory>") == snapshot


@pytest.mark.parametrize("place", ["here/metrics", "-1/metrics"])
def test_place_of_metrics_that_is_wrong(tmp_path, place, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, LEAST, place)
    assert str(caught.value) == snapshot


def test_file_that_is_not_there(tmp_path):
    with pytest.raises(DocumentError, match="No such file"):
        settings.load(tmp_path / "none.toml")


def test_variables_by_which_the_platform_tells_them():
    assert (SETTINGS_VARIABLE, METRICS_VARIABLE) == ("THORNCLEAT_CONFIG", "THORNCLEAT_METRICS")


def test_deploy_file(snapshot):
    data = (ROOT / "deploy/system.toml").read_bytes()
    assert tomllib.loads(data.decode()) == snapshot(name="parsed")
    assert hashlib.sha256(data).hexdigest() == snapshot(name="digest")
