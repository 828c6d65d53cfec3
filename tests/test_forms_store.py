"""The requests to the platform's store, and the decoding of its answers."""

import base64
import json
import time

import pytest

from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import LeaseExpiredError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.groups.election import Election
from thorncleat_gateway.groups.formation import GroupPlan
from thorncleat_gateway.groups.records import Detached
from thorncleat_gateway.groups.records import GroupRecords
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.registration import Registration
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_platform.store import KeyValueStore

from . import recording
from . import wire_forms
from .recording import Answer
from .wire_forms import CHANGES
from .wire_forms import GROUP_MEMBER
from .wire_forms import OWN_SETTINGS
from .wire_forms import PEER_DAEMON
from .wire_forms import PLAIN_ENDPOINT
from .wire_forms import FixedFeed
from .wire_forms import RecordedRecords

LEASE = Lease(0, 77)
GROUP = GroupId(41, "narrator-0")
# These records were written by an earlier build.
OWN_DAEMON = bytes.fromhex("94a93132372e302e302e31cd1bbca27a31cb4004000000000000")
OTHER_DAEMON = bytes.fromhex("94a831302e302e302e39cd1c20a27a32cb3ff8000000000000")
GROUP_RECORD = bytes.fromhex("93a3692d31a86e61727261746f72ab31302e302e302e313a3831")


def entry(key, document=None, **more):
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {"private_key": key, "value": value, "revision": 8, "created": 6, **more}


CALLS = {
    "snapshot": lambda store: store.snapshot(),
    "changes": lambda store: store.changes(Position(0, 41), 0.4),
    "create": lambda store: store.create("thorncleat/a", b"\x01\xff", LEASE),
    "put": lambda store: store.put("thorncleat/a", b"\x01\xff", LEASE),
    "commit": lambda store: store.commit(
        {"thorncleat/a": b"\x01", "thorncleat/b": b"\x02"},
        ["thorncleat/c"],
        {"thorncleat/d": Position(0, 5)},
    ),
    "find": lambda store: store.find("thorncleat/a b"),
    "grant": lambda store: store.grant(12.0),
    "renew": lambda store: store.renew(LEASE),
    "end": lambda store: store.end(LEASE),
}
ANSWERS = {
    "snapshot": [{"timestamp": 9, "entries": [], "has_more": False}],
    "changes": [{"timestamp": 43, "events": [entry("other/x")]}],
    "create": [{"revision": 40}],
    "put": [{"revision": 40}],
    "commit": [{"revision": 40}],
    "find": [entry("thorncleat/a b", 1)],
    "grant": [{"lease_id": 77}],
    "renew": [{"ttl_ms": 1}],
    "end": [None],
}


async def ask(name, *answers):
    async with recording.recorder() as server:
        server.answers = list(answers)
        store = KeyValueStore(server.address)
        try:
            return await CALLS[name](store), server.calls
        finally:
            await store.close()


@pytest.mark.parametrize("name", CALLS)
async def test_call(name, snapshot):
    found, calls = await ask(name, *(Answer(document=document) for document in ANSWERS[name]))
    assert calls == snapshot(name="call")
    if name in ("snapshot", "changes"):
        found = wire_forms.changes_form(found)
    if name == "create":
        found = found.revision
    if name == "grant":
        found = found.id
    if name == "find":
        found = wire_forms.plain(wire_forms.wire_form(found))
    assert found == snapshot(name="result")


async def test_listing_of_more_than_one_page(snapshot):
    first = {"timestamp": 9, "entries": [entry("other/x")], "has_more": True}
    second = {"timestamp": 12, "entries": [entry("thorncleat/a", 1)], "has_more": False}
    found, calls = await ask("snapshot", Answer(document=first), Answer(document=second))
    assert [call["target"] for call in calls] == snapshot(name="targets")
    assert wire_forms.changes_form(found) == snapshot(name="result")


@pytest.mark.parametrize(
    ("name", "status", "result"),
    [("create", 412, None), ("commit", 412, False), ("find", 404, None)],
)
async def test_refused_condition(name, status, result):
    found, _ = await ask(name, Answer(status, {"entries": []}))
    assert found is result


@pytest.mark.parametrize(
    ("name", "status", "error"),
    [
        ("changes", 410, HistoryCompactedError),
        ("renew", 404, LeaseExpiredError),
        *((name, 429, StoreUnavailableError) for name in CALLS),
        *((name, 503, StoreUnavailableError) for name in CALLS),
        *((name, 500, StoreUnavailableError) for name in CALLS if name != "end"),
    ],
)
async def test_failure(name, status, error):
    with pytest.raises(error):
        await ask(name, Answer(status))


DOCUMENTS = {
    "op/config": {
        "version": 7,
        "something_new": 1,
        "routes": [
            {
                "name": "chat",
                "host": "shop.example",
                "path_prefix": "/chat/",
                "route_kind": "streaming",
                "split": [{"service": "narrator", "weight": 3}, {"service": "next", "weight": 1}],
                "timeout_ms": 3000,
                "latency_target_ms": 500,
                "gap_target_ms": 200,
                "priority": 1,
                "max_attempts": 2,
                "resumable": True,
            },
            {
                "name": "ack",
                "host": "shop.example",
                "path_prefix": "/ack/",
                "route_kind": "idempotent",
                "service": "desk",
                "timeout_ms": 1500,
                "public": True,
            },
            {
                "name": "note",
                "host": "shop.example",
                "path_prefix": "/note/",
                "route_kind": "non_idempotent",
                "service": "desk",
                "timeout_ms": 1500,
            },
        ],
        "services": [
            {
                "name": "narrator",
                "health_path": "/healthz",
                "engine": {
                    "slots": 4,
                    "models": [
                        {
                            "name": "large",
                            "size": 2,
                            "share": 0.75,
                            "pace": 1.5,
                            "load_s": 40,
                            "warm_s": 3,
                        },
                        {"name": "small"},
                    ],
                    "loads_per_s": 2,
                    "loads_at_once": 3,
                },
            },
            {"name": "desk"},
        ],
        "limits": {
            "max_header_bytes": 1000,
            "max_body_bytes": 2000,
            "header_timeout_ms": 1500,
            "idle_timeout_ms": 12000,
        },
        "tenants": [{"name": "growers", "api_keys": ["key-1", "key-2"], "priority": 1}],
    },
    "servers/i-1": {
        "service": "narrator",
        "address": "10.0.0.1:81",
        "zone": "z1",
        "version": "v1",
        "state": "draining",
        "cold_left_ms": 0,
        "seq": 5,
        "domain": "d1",
        "models": [{"name": "large"}],
        "staged": ["large", "small"],
        "group": {"name": "narrator-0", "epoch": 3, "rank": 1, "state": "open"},
        "slots": 4,
    },
    "servers/i-2": {
        "service": "desk",
        "address": "10.0.0.2:82",
        "zone": "",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 0,
    },
    "thorncleat/a": 1,
    "other/x": 1,
}


@pytest.mark.parametrize("key", DOCUMENTS)
async def test_document_of_the_store(key, snapshot):
    answer = {"timestamp": 43, "events": [entry(key, DOCUMENTS[key])]}
    found, _ = await ask("changes", Answer(document=answer))
    assert wire_forms.changes_form(found) == snapshot


@pytest.mark.parametrize("key", ["servers/i-1", "thorncleat/a", "op/config", "other/x"])
async def test_deletion_in_the_store(key, snapshot):
    answer = {"timestamp": 43, "events": [{"private_key": key, "revision": 8, "deleted": True}]}
    found, _ = await ask("changes", Answer(document=answer))
    assert wire_forms.changes_form(found) == snapshot


async def test_invalid_configuration_is_skipped():
    answer = {"timestamp": 43, "events": [entry("op/config", {"version": "x"})]}
    found, _ = await ask("changes", Answer(document=answer))
    assert found.changes == []


async def test_invalid_entry_removes_its_endpoint():
    answer = {"timestamp": 43, "events": [entry("servers/i-1", {"version": "x"})]}
    found, _ = await ask("changes", Answer(document=answer))
    assert found.changes == [EndpointRemoved("i-1")]


class TestRecords:
    """The gateway's own records, under their keys."""

    async def test_own_daemon(self, snapshot):
        records = RecordedRecords()
        async with wire_forms.running_view(FixedFeed([]), lambda: 0.0) as view:
            registration = Registration(OWN_SETTINGS, records, view, time.monotonic)
            await registration.start()
            await wire_forms.wait_until(lambda: len(records.calls) >= 2)
            await registration.stop()
        assert records.calls == snapshot
        assert records.calls[1][2] == {"hex": OWN_DAEMON.hex()}

    async def test_daemon_records_of_an_earlier_build_are_decoded(self):
        written = [
            RecordChanged("thorncleat/daemons/edge-1", OWN_DAEMON, 3, 3),
            RecordChanged("thorncleat/daemons/edge-2", OTHER_DAEMON, 4, 4),
        ]
        async with wire_forms.running_view(FixedFeed(written), lambda: 0.0) as view:
            registration = Registration(OWN_SETTINGS, RecordedRecords(), view, time.monotonic)
            assert registration.daemons() == {"edge-1": registration.own, "edge-2": PEER_DAEMON}
            assert registration.own.capacity == 2.5

    async def test_controller(self, snapshot):
        records = RecordedRecords()
        feed = FixedFeed([CHANGES["configuration"]])
        async with wire_forms.running_view(feed, lambda: 0.0) as view:
            election = Election(
                OWN_SETTINGS, records, view, lambda: 0.0, lambda: {OWN_SETTINGS.id: 1.0}
            )
            await election.start()
            await wire_forms.wait_until(lambda: election.is_controller)
            assert election.term == Position(0, 40)
            election.stopping = True
            await wire_forms.wait_until(lambda: ["end", 77] in records.calls)
            await election.stop()
        assert [call for call in records.calls if call[0] != "renew"] == snapshot

    async def test_groups(self, snapshot):
        records, old = RecordedRecords(), GroupId(40, "narrator-1")
        written = [RecordChanged("thorncleat/groups/40/narrator-1", GROUP_RECORD, 5, 5)]
        async with wire_forms.running_view(FixedFeed(written), lambda: 0.0) as view:
            election = Election(
                OWN_SETTINGS, records, view, lambda: 0.0, lambda: {OWN_SETTINGS.id: 1.0}
            )
            election.term = Position(0, 40)
            group_records = GroupRecords(records, view, election)
            group_records.end(old, Detached.LEFT)
            assert await group_records.begin(
                GROUP, GroupPlan("d1", EngineModel("large", 2), (GROUP_MEMBER, PLAIN_ENDPOINT))
            )
        assert records.calls == snapshot
        assert records.calls[0][1]["thorncleat/groups/41/narrator-0"] == {"hex": GROUP_RECORD.hex()}

    async def test_group_records_of_an_earlier_build_are_decoded(self):
        written = [RecordChanged("thorncleat/groups/40/narrator-1", GROUP_RECORD, 5, 5)]
        async with wire_forms.running_view(FixedFeed(written), lambda: 0.0) as view:
            election = Election(
                OWN_SETTINGS, RecordedRecords(), view, lambda: 0.0, lambda: {OWN_SETTINGS.id: 1.0}
            )
            group_records = GroupRecords(RecordedRecords(), view, election)
            group = GroupId(40, "narrator-1")
            assert group_records.groups == [group]
            assert group_records.can_answer(group)
            leader = group_records.leader(group)
        assert isinstance(leader, Endpoint)
        assert (leader.id, leader.service, leader.address) == ("i-1", "narrator", "10.0.0.1:81")
        assert leader.membership.group == group
