"""Guards the daemon's wire formats, metrics, settings and tables against changes."""

import ast
import asyncio
import json
import pathlib

import aiohttp
import msgpack
import pytest
import zmq
import zmq.asyncio
from prometheus_client.parser import text_string_to_metric_families

from thorncleat_client import tables
from thorncleat_core.daemon import settings
from thorncleat_core.daemon.budget import FleetRates
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.budget import StoreBudget
from thorncleat_core.daemon.settings import PeerKeys
from thorncleat_daemon import problems
from thorncleat_daemon.engines import HttpEngines
from thorncleat_daemon.exceptions import EndpointError
from thorncleat_daemon.exceptions import PeerError
from thorncleat_daemon.exceptions import RequestError
from thorncleat_daemon.exceptions import StaleOrderError
from thorncleat_daemon.exceptions import StoreOutcomeUnknownError
from thorncleat_daemon.exceptions import StoreRefusedError
from thorncleat_daemon.exceptions import StoreUnavailableError
from thorncleat_daemon.metrics import Metrics
from thorncleat_daemon.peers import ZmqPeers
from thorncleat_daemon.platform import HttpInstanceList
from thorncleat_daemon.ports import Erase
from thorncleat_daemon.ports import KeyNotRecreated
from thorncleat_daemon.ports import Order
from thorncleat_daemon.ports import Unchanged
from thorncleat_daemon.ports import Write
from thorncleat_daemon.store import EtcdStore

from . import recording
from .recording import Answer
from .test_documents import GOOD

ROOT = pathlib.Path(__file__).parent.parent
FULL = {
    "operators": [{"name": "ops", "key_digest": "0" * 64}],
    "control": {
        "shards": 4,
        "probe": 0.1,
        "window": 1.0,
        "permit": 1.5,
        "lease": 4.0,
        "lease_margin": 0.5,
        "member_probe": 0.3,
        "repair_after": 0.6,
        "load": 60.0,
        "repair": "spares",
    },
    "log_level": "debug",
}
CONDITIONS = [Unchanged("/a", 3), KeyNotRecreated("/b", 4)]
OPERATIONS = [Write("/a", b"\xff", 7), Write("/b", b""), Erase("/c"), Erase("/d/", prefix=True)]
ROW = {"key": "L2E=", "value": "/w==", "create_revision": "3", "mod_revision": "4"}
STORE_CALLS = {
    "read": (lambda store: store.read("/a", Purpose.CONFIG), {"kvs": [ROW]}),
    "read nothing": (lambda store: store.read("/a", Purpose.CONFIG), {}),
    "read under": (lambda store: store.read_under("/a/", Purpose.READ), {"kvs": [ROW]}),
    "transact": (
        lambda store: store.transact(CONDITIONS, OPERATIONS, Purpose.ASSIGN),
        {"header": {"revision": "9"}, "succeeded": True},
    ),
    "transact in vain": (
        lambda store: store.transact(CONDITIONS, [], Purpose.ASSIGN),
        {"header": {"revision": "9"}},
    ),
    "grant": (lambda store: store.grant(6.0), {"ID": "77"}),
    "renew": (lambda store: store.renew(77), {"result": {"TTL": "6"}}),
    "renew in vain": (lambda store: store.renew(77), {"result": {}}),
    "revoke": (lambda store: store.revoke(77), {}),
}


async def ask_store(work, answer):
    async with recording.recorder() as server, aiohttp.ClientSession() as client:
        server.answers = [answer]
        store = EtcdStore(client, [server.address], StoreBudget(FleetRates()), "d-1")
        return await work(store), server.calls


def row(found):
    if isinstance(found, list):
        return [row(stored) for stored in found]
    if found is None or isinstance(found, int):
        return found
    return [found.key, found.value.hex(), found.create_revision, found.mod_revision]


@pytest.mark.parametrize("name", STORE_CALLS)
async def test_store_call(name, snapshot):
    work, answer = STORE_CALLS[name]
    found, calls = await ask_store(work, Answer(document=answer))
    assert calls == snapshot(name="call")
    assert row(found) == snapshot(name="result")


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, StoreRefusedError),
        (429, StoreUnavailableError),
        (503, StoreUnavailableError),
        (500, StoreOutcomeUnknownError),
    ],
)
async def test_store_call_that_fails(status, error):
    with pytest.raises(error):
        await ask_store(STORE_CALLS["transact"][0], Answer(status))


ORDER = Order(3, "narrator-0", 6, 1, "m", "v1")
REPORT = {
    "instance": "i-1",
    "boot": "b",
    "ready": True,
    "epoch": 3,
    "group": "narrator-0",
    "generation": 6,
    "rank": 1,
}


async def ask_engine(work, answer):
    async with recording.recorder() as server, aiohttp.ClientSession() as client:
        server.answers = [answer]
        return await work(HttpEngines(client, 5.0), server.address), server.calls


async def test_order(snapshot):
    _, calls = await ask_engine(lambda engines, address: engines.order(address, ORDER), Answer())
    assert calls == snapshot


@pytest.mark.parametrize(("status", "error"), [(409, StaleOrderError), (500, EndpointError)])
async def test_order_that_fails(status, error):
    with pytest.raises(error):
        await ask_engine(lambda engines, address: engines.order(address, ORDER), Answer(status))


async def test_probe(snapshot):
    answer = Answer(document=REPORT, headers={"Content-Type": "application/json"})
    found, calls = await ask_engine(lambda engines, address: engines.probe(address), answer)
    assert calls == snapshot(name="call")
    fields = ("instance", "boot", "ready", "epoch", "group", "generation", "rank", "running")
    assert [getattr(found, field) for field in fields] == snapshot(name="result")


async def test_list_of_instances(snapshot):
    listed = {
        "id": "i-1",
        "kind": "endpoint",
        "address": "10.0.0.1:81",
        "failure_domain": "z1",
        "region": "here",
        "something_new": 1,
    }
    headers = {"Content-Type": "application/json", "ETag": "t1"}
    async with recording.recorder() as server, aiohttp.ClientSession() as client:
        server.answers = [
            Answer(document={"instances": [listed]}, headers=headers),
            Answer(304),
            Answer(document={"instances": []}, headers=headers),
            Answer(document={"instances": []}, headers=headers),
        ]
        instances = HttpInstanceList(client, [server.address])
        first = await instances.entries()
        assert await instances.entries() == first
        await instances.domain("fabric-0")
        await instances.everything()
    assert server.calls == snapshot(name="calls")
    (found,) = first
    fields = ("id", "kind", "address", "fabric_domain", "failure_domain", "region", "state")
    assert [str(getattr(found, field)) for field in fields] == snapshot(name="result")


class TestFrames:
    """Frames between a daemon and a plain socket."""

    async def _exchange(self, kind, body, answers):
        public, secret = (key.decode() for key in zmq.curve_keypair())
        keys = PeerKeys(public=public, secret=secret, accepted=[public])
        context = zmq.asyncio.Context()
        other = context.socket(zmq.ROUTER)
        other.curve_server = True
        other.curve_publickey, other.curve_secretkey = public.encode(), secret.encode()
        port = other.bind_to_random_port("tcp://127.0.0.1")
        peers = ZmqPeers("c", "d-1", keys, lambda: {"d-2": f"127.0.0.1:{port}"})
        try:
            await peers.send("d-2", kind, body)
            _, sent = await other.recv_multipart()
            wait = asyncio.create_task(peers.ask("d-2", kind, body, 5.0))
            identity, asked = await other.recv_multipart()
            await other.send_multipart([identity, msgpack.packb(answers)])
            return sent, asked, await wait
        finally:
            await peers.stop()
            context.destroy(linger=0)

    async def test_frames(self, snapshot):
        answer = {"v": 1, "d": {"n": 1, "b": {"x": 1}}}
        sent, asked, found = await self._exchange("ping", {"a": [1, b"\xff"]}, answer)
        assert [sent.hex(), asked.hex(), found] == snapshot

    async def test_error(self):
        with pytest.raises(PeerError, match="no such shard"):
            await self._exchange("ping", None, {"v": 1, "d": {"n": 1, "e": "no such shard"}})


ERRORS = [
    RequestError(503, "No group", "no group for 'm'", retry_after=0.4, cause="no_group"),
    RequestError(502, "Lost", "the answer was lost", executed="unknown"),
]


@pytest.mark.parametrize("error", ERRORS, ids=["before", "after"])
def test_problem(error, snapshot):
    response = problems.response(error, "r1")
    headers = recording.headers_form(response.headers.items())
    assert (response.status, headers, response.text) == snapshot(name="response")
    assert problems.stream_event(error, "r1").decode() == snapshot(name="event")


def test_metrics(snapshot):
    metrics = Metrics()
    metrics.requests.labels("growers", "good").inc()
    metrics.tokens.labels("growers", "m").inc()
    metrics.dropped.labels("late").inc()
    metrics.retries.labels("lost").inc()
    metrics.distribution("first_token", "m").record(0.2)
    found = [
        [
            family.name,
            family.documentation,
            family.type,
            sorted(
                [sample.name, sorted(map(list, sample.labels.items()))]
                for sample in family.samples
                if not sample.name.endswith("_created")
            ),
        ]
        for family in text_string_to_metric_families(metrics.render().decode())
    ]
    assert sorted(found) == snapshot


def test_gauges(snapshot):
    # Gauges need a whole daemon, so their names are read from the source.
    found = [
        [argument.value for argument in node.args[:2]]
        for path in (ROOT / "packages/daemon/src").rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "gauge"
    ]
    assert sorted(found) == snapshot


@pytest.mark.parametrize("more", [{}, FULL], ids=["least", "full"])
def test_settings(more, tmp_path, snapshot):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**GOOD, **more}))
    # The keys of the file are the fields of the models.
    assert settings.load(path).model_dump(mode="json") == snapshot


STEP = {
    "action": "start",
    "group": "narrator-0",
    "domain": "fabric-0",
    "members": ["i-1", "i-2"],
    "seconds": 120.0,
    "downtime_seconds": 700.0,
    "idle_accelerator_seconds": 7200.0,
}
TABLES = {
    "plan": (
        tables.plan,
        {
            "digest": "0123456789abcdef",
            "plan": {"base_revision": 4, "steps": [STEP]},
            "downtime_seconds": 30.0,
            "idle_accelerator_seconds": 3600.0,
        },
    ),
    "empty plan": (
        tables.plan,
        {
            "digest": "0123456789abcdef",
            "plan": {"base_revision": 4, "steps": []},
            "downtime_seconds": 0.0,
            "idle_accelerator_seconds": 0.0,
        },
    ),
    "groups": (
        tables.groups,
        {
            "groups": [
                {
                    "group": "narrator-0",
                    "state": "open",
                    "model": "m",
                    "version": "v1",
                    "domain": "fabric-0",
                    "generation": 6,
                    "members": ["i-1", "i-2"],
                }
            ]
        },
    ),
    "fields": (tables.fields, {"a": 1, "b": ["x", {"y": 2}], "c": [], "d": {}}),
    "burn": (
        tables.burn,
        {
            "rows": [
                {
                    "subject": {"workspace": "growers", "target": "m"},
                    "total": 9,
                    "rates": {"5m": 1.0, "1h": 2.0, "6h": 3.0},
                    "alert": "",
                    "causes": {"lost": 2},
                }
            ],
            "down_seconds": {"narrator-0": 12.0},
            "stranded_accelerator_seconds": 1800.0,
            "silent": ["d-2"],
        },
    ),
}


@pytest.mark.parametrize("name", TABLES)
def test_table(name, capsys, snapshot):
    show, answer = TABLES[name]
    show(answer)
    assert capsys.readouterr().out == snapshot
