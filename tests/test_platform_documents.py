"""How the adapter parses documents and store answers: defaults and rejected values."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_core.exceptions import DecodeError
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.serving import Limits
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Split
from thorncleat_platform import documents
from thorncleat_platform import store_forms
from thorncleat_platform.wire import parse

ROUTE = {
    "name": "chat",
    "host": "h",
    "path_prefix": "/c/",
    "route_kind": "streaming",
    "timeout_ms": 1500,
    "service": "desk",
}
ENGINE = {"slots": 4, "models": [{"name": "large"}]}
# The fields that every worker writes.
ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
GROUP = {"name": "g", "epoch": 3, "rank": 2, "state": "open"}
# Of a worker without a group; the other fields mean nothing.
NO_GROUP = {"name": "", "epoch": -1, "rank": -1, "state": ""}


def encode(document):
    return json.dumps(document).encode()


def configuration(**changes):
    document = {"version": 1, "routes": [ROUTE], "services": [{"name": "desk"}], **changes}
    return documents.configuration(encode(document))


def route(**changes):
    return configuration(routes=[ROUTE | changes]).routes[0]


def engine(**changes):
    services = [{"name": "desk", "engine": ENGINE | changes}]
    return configuration(services=services).services["desk"].engine


def endpoint(**changes):
    return documents.endpoint("i-1", encode(ENTRY | changes))


@pytest.mark.parametrize(
    ("found", "wanted"),
    [
        (lambda: route().target, 0.5),
        (lambda: route(latency_target_ms=None).target, 0.5),
        (lambda: route(latency_target_ms=0).target, 0.0),
        (lambda: route(max_attempts=0).max_attempts, 1),
        (lambda: route(max_attempts=2.9).max_attempts, 2),
        (lambda: route(priority=None).priority, 0),
        (lambda: route(public=None).public, False),
        (lambda: route(route_kind="of tomorrow").kind, RouteKind.ONCE),
        (lambda: route(split=[]).splits, (Split("desk", 1.0),)),
        (lambda: route(split=[{"service": "a", "weight": 3}]).splits, (Split("a", 3.0),)),
        (lambda: configuration(tenants=None).workspaces, ()),
        (lambda: configuration(limits=None).limits, Limits()),
        (lambda: configuration(limits={"max_body_bytes": 0}).limits, Limits()),
        (lambda: configuration().services["desk"].engine, None),
        (lambda: engine(models=[]), None),
        (lambda: engine(loads_per_s=0).loads_per_second, 0.0),
        (lambda: engine(loads_at_once=0).loads_at_once, 1),
        (lambda: engine().models[0].load, 60.0),
        (lambda: engine(models=[{"name": "m", "share": 0}]).models[0].share, 0.0),
        (lambda: endpoint().membership, None),
        (lambda: endpoint(group={}).membership, None),
        (lambda: endpoint(group={"name": "", "epoch": 0, "state": ""}).membership, None),
        (
            lambda: endpoint(group=GROUP).membership,
            Membership(GroupId(3, "g"), 2, GroupState.OPEN),
        ),
        (lambda: endpoint().draining, False),
        (lambda: endpoint(state="draining").draining, True),
        (lambda: endpoint(zone="z", domain="d").failure_domain, "z"),
        (lambda: endpoint(zone="z", domain="d").fabric_domain, "d"),
        (lambda: endpoint(models=["a", {"name": "b", "version": 1}]).models, ("a", "b")),
        (lambda: endpoint(slots=7).slots, 7),
        (lambda: endpoint(cold_left_ms=12.5).id, "i-1"),
        (lambda: endpoint().born, None),
        (lambda: endpoint(born=1_800_000_000_000).born, 1_800_000_000_000),
        (lambda: documents.report(encode({"born": 5, "seq": 7})).born, 5),
        (lambda: documents.report(b"{}").born, None),
        (lambda: documents.report(encode({"seq": 7})).order_count, 7),
        (lambda: endpoint(group=NO_GROUP).membership, None),
        (lambda: documents.report(encode({"group": NO_GROUP})).membership, None),
        (lambda: documents.report(b"{}").order_count, 0),
        # One that has computed nothing yet.
        (lambda: documents.report(encode({"pace": 0})).pace, 1.0),
    ],
)
def test_optional_fields(found, wanted):
    assert found() == wanted


@pytest.mark.parametrize(
    ("read", "message"),
    [
        (lambda: documents.configuration(b"{"), "configuration: "),
        (lambda: documents.configuration(b"[]"), "configuration: "),
        (lambda: documents.configuration(b"\xff{}"), "configuration: "),
        (lambda: configuration(version=None), "configuration: version: "),
        (lambda: configuration(routes=None), "configuration: routes: "),
        (lambda: route(timeout_ms="soon"), "configuration: routes.0.timeout_ms: "),
        (lambda: route(service=None), "configuration: route 'chat' leads to no service"),
        (lambda: engine(slots=None), "configuration: services.0.engine.slots: "),
        (lambda: endpoint(address=None), "endpoint 'i-1': address: "),
        (lambda: endpoint(address="10.0.0.1"), "endpoint 'i-1': address: "),
        (lambda: endpoint(address="10.0.0.1:http"), "endpoint 'i-1': address: "),
        (lambda: endpoint(group={"name": "g"}), "endpoint 'i-1': group 'g' has no epoch"),
        (
            lambda: endpoint(group=GROUP | {"state": "odd"}),
            "endpoint 'i-1': group 'g': 'odd' is not",
        ),
        (lambda: endpoint(group=GROUP | {"rank": None}), "endpoint 'i-1': group 'g' has no rank"),
        (
            lambda: documents.report(encode({"group": GROUP | {"rank": None}})),
            "report: group 'g' has",
        ),
        (lambda: documents.report(encode({"born": 1.5})), "report: born: "),
        (lambda: documents.report(b"null"), "report: "),
        (lambda: documents.report(encode({"seq": "x"})), "report: seq: "),
    ],
)
def test_error_names_the_invalid_field(read, message):
    with pytest.raises(DecodeError) as caught:
        read()
    assert str(caught.value).startswith(message)


VALUES_OF_ALL_TYPES = [None, True, 1.5, "1", "", [], {}, ["a"], {"a": 1}]


def assert_is_rejected(document):
    with pytest.raises(DecodeError, match="endpoint 'i-1': "):
        documents.endpoint("i-1", document)


@pytest.mark.parametrize("field", ENTRY)
def test_entry_without_a_required_field_is_rejected(field):
    assert_is_rejected(encode({name: value for name, value in ENTRY.items() if name != field}))


@pytest.mark.parametrize("field", [*ENTRY, "born", "group", "models", "staged", "domain"])
@pytest.mark.parametrize("value", VALUES_OF_ALL_TYPES, ids=repr)
def test_entry_with_a_field_of_the_wrong_type_is_rejected(field, value):
    """No value is converted to the type of its field; no text among these is an address."""
    is_text = field in ("service", "zone", "version", "domain")
    is_valid = {
        "cold_left_ms": value == 1.5 and value is not True,
        "models": value in (None, [], ["a"]),
        "staged": value in (None, [], ["a"]),
        "group": value in (None, {}, {"a": 1}),
        "domain": value is None or isinstance(value, str),
    }.get(field, is_text and isinstance(value, str))
    if is_valid:
        assert endpoint(**{field: value}).id == "i-1"
    else:
        assert_is_rejected(encode(ENTRY | {field: value}))


@pytest.mark.parametrize("state", ["", "Ready", "parked", "closing"])
def test_entry_with_an_unknown_state_is_rejected(state):
    assert_is_rejected(encode(ENTRY | {"state": state}))


@given(st.binary())
def test_invalid_bytes_are_rejected(document):
    assert_is_rejected(document)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from([*ENTRY, "born", "group", "models"]), JSON))
def test_entry_is_parsed_or_rejected(changes):
    document = {**ENTRY, **changes}
    try:
        entry = documents.endpoint("i-1", json.dumps(document).encode())
    except DecodeError:
        return
    assert entry.draining is (document["state"] == "draining")
    assert entry.address == document["address"]
    assert entry.born is None or type(document["born"]) is int


def test_error_contains_no_key():
    with pytest.raises(DecodeError) as caught:
        configuration(tenants=[{"name": "growers", "api_keys": ["secret", {"x": "secret"}]}])
    assert "secret" not in str(caught.value)


def item(**changes):
    document = {"private_key": "servers/i-1", "revision": 3, **changes}
    return parse(store_forms.Item, "kv-key", encode(document))


@pytest.mark.parametrize("value", [None, "a", "ä"], ids=["none", "cut off", "not ASCII"])
def test_item_with_an_invalid_value_is_rejected(value):
    with pytest.raises(DecodeError, match="'servers/i-1'"):
        item(value=value).value  # noqa: B018


def test_record_has_the_revision_of_its_creation():
    value = base64.b64encode(b"\x01").decode()
    record = item(value=value, created=2, lease_id=5).record
    assert (record.value, record.revision, record.created) == (b"\x01", 3, 2)
    assert item(deleted=True).record.value is None


@pytest.mark.parametrize(
    ("stated", "read"), [({}, 0), ({"max_conns": 64}, 64), ({"max_conns": -1}, 0)]
)
def test_connections_that_workers_accept(stated, read):
    service = configuration(services=[{"name": "desk", **stated}]).services["desk"]
    assert service.max_connections == read


@pytest.mark.parametrize(
    "engine",
    [
        pytest.param({"slots": 0}, id="no slots"),
        pytest.param({"chunk": 0, "stride": -1}, id="no chunk"),
        pytest.param({"read_per_s": -1, "loads_per_s": -2.5}, id="negative rates"),
        pytest.param({"models": [{"name": "large", "pace": 0}]}, id="no pace"),
        pytest.param({"models": [{"name": "large", "share": -1, "load_s": -5}]}, id="negative"),
    ],
)
def test_configuration_with_a_number_out_of_range_is_in_force(engine):
    """Guards against routes and keys that stay as they were for the sake of one engine's figure."""
    service = {"name": "desk", "engine": {**ENGINE, **engine}}
    found = documents.configuration(
        json.dumps({"version": 2, "routes": [ROUTE], "services": [service]}).encode()
    )
    assert found.version == 2
    found_engine = found.services["desk"].engine
    assert found_engine.slots >= 1
    assert all(model.pace > 0 and model.share >= 0 for model in found_engine.models)
