"""Guards the settings file and the deploy file against unintended changes."""

import hashlib
import pathlib
import tomllib

import pytest

from thorncleat_core.exceptions import DocumentError
from thorncleat_platform import settings
from thorncleat_platform.early_socket import SETTINGS_VARIABLE
from thorncleat_platform.main import METRICS_VARIABLE

ROOT = pathlib.Path(__file__).parent.parent

MINIMAL = """
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


def as_plain_data(platform_settings):
    """Return the settings under fixed names, so that renamed fields do not change the snapshot."""
    gateway = platform_settings.gateway
    control, streams, relay, retry = gateway.control, gateway.streams, gateway.relay, gateway.retry
    return {
        "store": platform_settings.store,
        "first start": platform_settings.first_start,
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
        "retry": [float(value) for value in (retry.ratio, retry.extra, retry.window)],
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


@pytest.mark.parametrize("text", [MINIMAL, FULL], ids=["least", "full"])
def test_file(tmp_path, text, snapshot):
    assert as_plain_data(load(tmp_path, text)) == snapshot


@pytest.mark.parametrize(("text", "seconds"), [(MINIMAL, 5.0), (FULL, 3.5)], ids=["least", "full"])
def test_time_after_which_a_group_is_broken(tmp_path, text, seconds):
    assert load(tmp_path, text).gateway.control.stall == seconds


@pytest.mark.parametrize("place", ["", "9464/metrics", "9464", "/metrics"])
def test_place_of_metrics(tmp_path, place, snapshot):
    assert load(tmp_path, MINIMAL, place).gateway.metrics == snapshot


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
        ('frontend = "0.0.0.0:8000"', 'frontend = "0.0.0.0"'),
        ('frontend = "0.0.0.0:8000"', 'frontend = "0.0.0.0:http"'),
        ('address = "10.0.0.5:2379"', 'address = "10.0.0.5:65536"'),
        ('address = "10.0.0.5:2379"', 'address = "10.0.0.5:"'),
    ],
)
def test_value_that_is_wrong(tmp_path, old, new, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, MINIMAL.replace(old, new))
    assert str(caught.value).replace(str(tmp_path), "<directory>") == snapshot


def test_several_values_that_are_wrong(tmp_path, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, 'node_name = 1\ninternal_ports = "x"\n[listen]\n')
    assert str(caught.value).replace(str(tmp_path), "<directory>") == snapshot


@pytest.mark.parametrize("place", ["here/metrics", "-1/metrics"])
def test_place_of_metrics_that_is_wrong(tmp_path, place, snapshot):
    with pytest.raises(DocumentError) as caught:
        load(tmp_path, MINIMAL, place)
    assert str(caught.value) == snapshot


def test_missing_file(tmp_path):
    with pytest.raises(DocumentError, match="No such file"):
        settings.load(tmp_path / "none.toml")


def test_environment_variables():
    assert (SETTINGS_VARIABLE, METRICS_VARIABLE) == ("THORNCLEAT_CONFIG", "THORNCLEAT_METRICS")


def test_deploy_file(snapshot):
    data = (ROOT / "deploy/system.toml").read_bytes()
    assert tomllib.loads(data.decode()) == snapshot(name="parsed")
    assert hashlib.sha256(data).hexdigest() == snapshot(name="digest")
