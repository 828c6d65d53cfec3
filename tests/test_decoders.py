"""Documents and relayed changes are rejected by their decoder, or accepted by all their users."""

import base64
import contextlib
import json
import math

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_core import codec
from thorncleat_core.exceptions import DecodeError
from thorncleat_gateway import events
from thorncleat_gateway.exceptions import RelayError
from thorncleat_gateway.groups.records import _group_of
from thorncleat_gateway.groups.records import _key
from thorncleat_gateway.groups.records import _LeaderRecord
from thorncleat_gateway.peers import message_codec
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.ports import ForwardMeta
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.ports import SettlingTimes
from thorncleat_gateway.requests import expected_time
from thorncleat_gateway.requests.route_split import service_for
from thorncleat_gateway.store import change_codec
from thorncleat_gateway.store import relay_answer
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.tunnels import frames
from thorncleat_platform import documents
from thorncleat_platform import store
from thorncleat_platform import store_forms
from thorncleat_platform.headers import PlatformHeaders
from thorncleat_platform.wire import parse

from .odd_values import check_address
from .odd_values import check_headers
from .odd_values import check_number
from .odd_values import check_time
from .odd_values import odd_documents
from .odd_values import odd_lists
from .wire_forms import CHANGES

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1,
    "domain": "d",
    "models": ["m"],
    "staged": [{"name": "m"}],
    "group": {"name": "g", "epoch": 3, "rank": 2, "state": "open"},
}
REPORT = {key: ENTRY[key] for key in ("born", "group", "models", "staged", "seq")} | {"pace": 1.5}
ENGINE = {
    "slots": 4,
    "models": [{"name": "m", "size": 2, "share": 1, "pace": 1, "load_s": 3, "warm_s": 1}],
    "loads_per_s": 1,
    "loads_at_once": 2,
    "step_ms": 10,
    "per_seq_ms": 1,
    "context_per_k": 1,
    "read_per_s": 500,
    "pairs_per_m": 1,
    "chunk": 100,
    "stride": 4,
    "usual": {"prompt": 100, "answer": 50},
    "delays": [{"from": "a", "target_version": "b", "delay_ms": 3}],
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "chat",
            "host": "h",
            "path_prefix": "/c/",
            "route_kind": "streaming",
            "timeout_ms": 1500,
            "latency_target_ms": 100,
            "gap_target_ms": 100,
            "priority": 1,
            "service": "desk",
            "split": [{"service": "desk", "weight": 1}, {"service": "b", "weight": 1}],
            "max_attempts": 2,
            "public": True,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "desk",
            "health_path": "/",
            "cold_start_s": 3,
            "cold_per_s": 2,
            "max_conns": 9,
            "engine": ENGINE,
        }
    ],
    "tenants": [{"name": "growers", "api_keys": ["k"], "priority": 1}],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    },
}
PAGE = {
    "timestamp": 9,
    "has_more": False,
    "entries": [
        {"private_key": "servers/i-1", "value": "e30=", "revision": 3, "created": 2},
    ],
}


def check_relayed(change):
    """Check that daemons can pass a change on."""
    assert change_codec.decode(change_codec.encode(9, [change])) == (9, [change])
    if not isinstance(change, RecordChanged):
        json.dumps(codec.to_plain(change), default=codec.to_plain, allow_nan=False)


def check_membership(place):
    if place is not None:
        check_number(place.rank)
        assert 0 <= place.group.epoch <= 2**62
        assert _group_of(_key(place.group)) == place.group
        suspicion = message_codec.Suspicion("i-1", place.group, "silent")
        assert message_codec.decode(message_codec.encode("edge-1", suspicion)) is not None


def check_endpoint(endpoint):
    check_address(endpoint.address)
    headers = PlatformHeaders().for_endpoint([], ForwardMeta(1.0, endpoint.id, None, 0))
    check_headers(headers)
    check_time(endpoint.cold_for)
    assert endpoint.slots >= 0
    assert endpoint.cold_for >= 0
    for number in (endpoint.slots, endpoint.order_count, endpoint.born or 0):
        check_number(number)
    check_membership(endpoint.membership)
    check_relayed(EndpointListed(endpoint))
    opening = frames.Opening("edge-1", endpoint.id, endpoint.born)
    assert frames.decode_opening(frames.encode_opening(opening)) == opening
    record = _LeaderRecord.of(endpoint)
    assert _LeaderRecord.decode(record.encode()) == record
    for name in (endpoint.service, endpoint.failure_domain, *endpoint.models, *endpoint.staged):
        check_name(name)


def check_name(name):
    check_headers([("X-Name", name)])
    query = message_codec.TunnelQuery(name)
    data = message_codec.encode("edge-1", query)
    assert message_codec.decode(data).message == query
    assert len(data) < 2**16


def check_configuration(configuration):
    check_relayed(ConfigurationChanged(configuration))
    for route in configuration.routes:
        for seconds in (route.timeout, route.target, route.gap_target):
            check_time(seconds)
        assert route.max_attempts >= 1
        check_number(route.priority)
        for number in range(3):
            check_name(service_for(configuration, route, number).name)
    for workspace in configuration.workspaces:
        meta = ForwardMeta(1.0, "i-1", workspace.name, workspace.priority)
        check_headers(PlatformHeaders().for_endpoint([], meta))
    for service in configuration.services.values():
        for number in (service.cold_start, service.cold_rate, service.max_connections):
            check_number(number)
            assert number >= 0
        if service.engine is not None:
            check_engine(service.engine)


def check_engine(engine):
    assert engine.slots >= 1
    assert engine.loads_at_once >= 1
    check_number(engine.loads_per_second)
    for model in engine.models:
        check_name(model.name)
        # Groups of no size are formed without end.
        assert model.size >= 1
        assert model.share >= 0
        check_time(model.load)
        check_time(model.warm)
        if engine.times is not None:
            work = expected_time.usual_work(engine.times)
            seconds = expected_time.service_seconds(engine.times, model, work, 2)
            check_time(expected_time.wait_seconds(9.0, engine.slots, seconds))
            check_time(1.0 / seconds)


@pytest.mark.parametrize("endpoint_id", ["i-1", "a\nb", "a\0b", "a\x7fb", "", "x" * 70_000])
def test_entry_under_any_id(endpoint_id):
    with contextlib.suppress(DecodeError):
        check_endpoint(documents.endpoint(endpoint_id, json.dumps(ENTRY).encode()))


def test_odd_entries():
    for data in odd_documents(ENTRY):
        with contextlib.suppress(DecodeError):
            check_endpoint(documents.endpoint("i-1", data))


def test_odd_reports():
    for data in odd_documents(REPORT):
        with contextlib.suppress(DecodeError):
            report = documents.report(data)
            check_membership(report.membership)
            check_number(report.order_count)
            check_number(1.0 / report.pace)
            for name in (*report.models, *report.staged):
                check_name(name)


def test_odd_configurations():
    for data in odd_documents(CONFIGURATION):
        with contextlib.suppress(DecodeError):
            check_configuration(documents.configuration(data))


def test_odd_pages():
    for data in odd_documents(PAGE):
        with contextlib.suppress(DecodeError):
            page = parse(store_forms.Page, "kv-range", data)
            check_number(page.revision)
            for item in page.items:
                check_number(item.revision)
                check_relayed(item.record)


@given(st.binary())
def test_documents_of_any_bytes(data):
    for decode in (
        documents.configuration,
        documents.report,
        lambda data: documents.endpoint("i-1", data),
        lambda data: parse(store_forms.Page, "kv-range", data),
        lambda data: parse(store_forms.WatchResult, "kv-watch", data),
        change_codec.decode,
    ):
        with contextlib.suppress(DecodeError):
            decode(data)


ODD_ENTRIES = {
    "deep": b'{"x":' * 100_000,
    "deep value": json.dumps(ENTRY)[:-1].encode() + b', "more": ' + b"[" * 100_000,
    "large number": json.dumps(ENTRY | {"slots": 10**400}).encode(),
    "infinite number": json.dumps(ENTRY | {"cold_left_ms": math.inf}).encode(),
    "no number": json.dumps(ENTRY | {"cold_left_ms": math.nan}).encode(),
    "large port": json.dumps(ENTRY | {"address": "10.0.0.1:70000"}).encode(),
    "port of many digits": json.dumps(ENTRY | {"address": "10.0.0.1:" + "9" * 5_000}).encode(),
    "bytes": b"\xff\xfe",
}


def item(key, value, revision=3):
    document = {
        "private_key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
    }
    return parse(store_forms.Item, "kv-key", json.dumps(document).encode())


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_odd_entry_is_left_out_and_the_rest_is_followed(kind, caplog):
    """Guards against one odd entry that ends or stops the reading of the list."""
    good = json.dumps(ENTRY).encode()
    configuration = json.dumps(CONFIGURATION).encode()
    items = [
        item("servers/i-1", good),
        item("servers/odd", ODD_ENTRIES[kind]),
        item("op/config", configuration),
        item("servers/i-2", good),
    ]
    found = store._translate_items(items)
    assert [type(change) for change in found] == [
        EndpointListed,
        EndpointRemoved,
        ConfigurationChanged,
        EndpointListed,
    ]
    assert [record.message for record in caplog.records] == [events.BAD_DOCUMENT.text]
    encoded = change_codec.encode(9, found)
    assert change_codec.decode(encoded) == (9, found)


def test_entry_under_an_id_with_a_line_break_is_left_out():
    """Guards against an id that no header can hold, at which each attempt fails."""
    found = store._translate_items([item("servers/a\nb", json.dumps(ENTRY).encode())])
    assert found == [EndpointRemoved("a\nb")]


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "...:8080"},
        {"address": "[::1:8080"},
        {"id": "a\nb"},
        {"slots": -5},
        {"cold_for": math.inf},
        {"born": 2**64 - 1},
    ],
    ids=str,
)
def test_odd_entry_from_a_relay_of_an_earlier_build_is_left_out(changes):
    """Guards against entries that come by a relay and would not have passed from the store."""
    good = Endpoint("i-1", "desk", "10.0.0.1:1", "z")
    odd = codec.to_plain(good) | changes
    forms = [["listed", codec.to_plain(good)], ["listed", odd]]
    _, found = change_codec.decode(change_codec.PLAIN + codec.pack([9, forms]))
    assert found == [EndpointListed(good), EndpointRemoved(odd["id"])]


def test_odd_changes_of_a_relay():
    head = relay_answer.write(0.0, 1, SettlingTimes(0.0, 0.0), 1, b"")
    for change in CHANGES.values():
        plain = msgpack.unpackb(change_codec._decompress(change_codec.encode(9, [change])))["d"]
        for content in odd_lists(plain):
            packed = msgpack.packb({"v": 1, "d": content})
            with contextlib.suppress(RelayError):
                answer = relay_answer.read("edge-1", 200, head + change_codec.PLAIN + packed, 1.0)
                check_number(answer.position.revision)
                for found in answer.changes:
                    if isinstance(found, EndpointListed):
                        check_endpoint(found.endpoint)
                    elif isinstance(found, ConfigurationChanged):
                        check_configuration(found.configuration)
                    else:
                        check_relayed(found)


ODD_CONFIGURATIONS = {
    "route": {"routes": [CONFIGURATION["routes"][0] | {"timeout_ms": math.nan}]},
    "one route of two": {
        "routes": [CONFIGURATION["routes"][0], CONFIGURATION["routes"][0] | {"timeout_ms": 1e999}]
    },
    "service": {"services": [{"name": "a\nb"}]},
    "model": {"services": [{"name": "desk", "engine": ENGINE | {"models": [{"name": "m\0"}]}}]},
    "workspace": {"tenants": [{"name": "a\r\nb: c", "api_keys": ["k"]}]},
    "version": {"version": 2**64},
}


@pytest.mark.parametrize("kind", ODD_CONFIGURATIONS)
def test_configuration_with_an_odd_value_changes_nothing(kind, caplog):
    """Guards against a configuration that is taken in half, or that no relay can pass on."""
    odd = json.dumps(CONFIGURATION | ODD_CONFIGURATIONS[kind]).encode()
    assert store._translate_items([item("op/config", odd)]) == []
    assert [record.message for record in caplog.records] == [events.BAD_DOCUMENT.text]
