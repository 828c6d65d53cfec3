"""The gateway with real sockets, the platform's adapter and stand-ins of the platform."""

import asyncio
import contextlib
import pathlib
import time

import aiohttp
import pytest

from thorncleat_gateway import planned_stop
from thorncleat_gateway.gateway import Gateway
from thorncleat_platform import settings
from thorncleat_platform.engines import WorkerEngines
from thorncleat_platform.headers import PlatformHeaders
from thorncleat_platform.store import KeyValueStore
from thorncleat_standins.platform_store import PlatformStore
from thorncleat_standins.platform_worker import PlatformWorker
from thorncleat_standins.ports import free_ports

KEY = "secret-key"
HOST = "shop.example"
TIMEOUT_SECONDS = 10.0


def configuration(version: int = 1, keys=(KEY,)):
    return {
        "version": version,
        "routes": [
            _route("chat", "/chat/", "streaming", "narrator", resumable=True, max_attempts=2),
            _route("status", "/status/", "non_idempotent", "desk"),
            _route("ack", "/ack/", "idempotent", "desk", max_attempts=2),
        ],
        "services": [
            {"name": "narrator", "health_path": "/healthz", "engine": ENGINE},
            {"name": "desk", "health_path": "/healthz"},
        ],
        "limits": {"max_body_bytes": 1000},
        "tenants": [{"name": "growers", "api_keys": list(keys), "priority": 1}],
    }


ENGINE = {
    "slots": 4,
    "models": [{"name": "large", "size": 2, "share": 1.0, "load_s": 0.2, "warm_s": 0.1}],
    "loads_per_s": 10,
    "loads_at_once": 4,
}


def _route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "latency_target_ms": 500,
        "priority": 1,
        **more,
    }


class Site:
    """Gateways in front of stand-ins of the platform; one gateway by default."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._adapters: list[KeyValueStore | WorkerEngines] = []
        self.store = PlatformStore()
        self.workers: list[PlatformWorker] = []
        self.frontends: list[str] = []
        self._bounds = ""
        self._kind = PlatformWorker
        self.readiness = ""
        self.gateways: list[Gateway] = []

    @property
    def gateway(self) -> Gateway:
        return self.gateways[0]

    @property
    def frontend(self) -> str:
        return self.frontends[0]

    async def start(
        self,
        domains: int = 2,
        desks: int = 2,
        metrics: str = "",
        daemons: int = 1,
        bounds: str = "",
        kind: type[PlatformWorker] = PlatformWorker,
    ) -> None:
        self._bounds, self._kind = bounds, kind
        address = await self.store.start()
        self.store.write("op/config", configuration())
        for number in range(domains * 2):
            await self.add(f"w{number}", "narrator", f"d{number // 2}")
        for number in range(desks):
            await self.add(f"desk{number}", "desk")
        for number in range(daemons):
            await self._start_gateway(address, metrics, number + 1)
        await self.until(
            lambda: sum(worker.is_serving_leader for worker in self.workers) == domains
        )
        await self.until(lambda: self._listed_leaders() == domains * daemons)

    async def _start_gateway(self, address: str, metrics: str, number: int) -> None:
        loaded = settings.load(self._settings(address, number), metrics)
        store, engines = KeyValueStore(loaded.store), WorkerEngines()
        self._adapters += [store, engines]
        gateway = Gateway(
            loaded.gateway,
            store,
            store,
            engines,
            PlatformHeaders(),
            time.monotonic,
            first_start=True,
        )
        self.gateways.append(gateway)
        await gateway.start()

    def _listed_leaders(self) -> int:
        return sum(
            endpoint.is_serving_leader
            for gateway in self.gateways
            for endpoint in gateway.view.roster.endpoints.values()
        )

    async def add(self, name: str, service: str, domain: str = "") -> PlatformWorker:
        worker = self._kind(self.store, name, service, domain)
        await worker.start()
        self.workers.append(worker)
        return worker

    def _settings(self, store: str, number: int) -> pathlib.Path:
        ports = free_ports(4)
        frontend, self.readiness = (f"127.0.0.1:{port}" for port in ports[:2])
        self.frontends.append(frontend)
        path = self._directory / f"settings-{number}.toml"
        path.write_text(
            f"""
            node_name = "edge-{number}"
            ip = "127.0.0.1"
            bootstrap = true
            something_new = 1
            internal_ports = [{ports[2]}, {ports[3]}]
            [listen]
            frontend = "{frontend}"
            readiness = "{self.readiness}"
            [bounds]
            revoke_fail_closed = true
            revoke_ms = 2000
            # A daemon that has just started has no share of the fixed number of retries.
            retry_budget_ratio = 10
            {self._bounds}
            [platform]
            address = "{store}"
            """
        )
        return path

    async def until(self, condition) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "the condition was not met in time"
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
        for adapter in self._adapters:
            await adapter.close()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    async def call(self, method, path, body=b"", key=KEY, number="r1", daemon=0, **headers):
        sent = {"Host": HOST, "X-Thorncleat-Attempt-Id": number, **headers}
        sent.setdefault("X-Thorncleat-Deadline-Ms", "3000")
        if key:
            sent["Authorization"] = f"Token {key}"
        async with (
            aiohttp.ClientSession(auto_decompress=False) as client,
            client.request(
                method, f"http://{self.frontends[daemon]}{path}", data=body, headers=sent
            ) as response,
        ):
            return response.status, response.headers, await response.read()

    async def chat(self, body=b"prompt", **headers):
        return await self.call(
            "POST", "/chat/x", body, **{"X-Thorncleat-Model": "large", **headers}
        )

    async def try_fatal(self, body, number, **headers):
        """Send a request that crashes its endpoint, to the daemons in turn."""
        daemon = number % len(self.frontends)
        try:
            status, answered, _ = await self.chat(
                body, daemon=daemon, number=f"fatal-{number}", **headers
            )
        except aiohttp.ClientPayloadError:
            return 0, {}
        return status, answered

    def runs(self, service: str):
        return [run for worker in self.workers if worker.service == service for run in worker.runs]


@contextlib.asynccontextmanager
async def site(directory, **sizes):
    cluster = Site(directory)
    await cluster.start(**sizes)
    try:
        yield cluster
    finally:
        await cluster.stop()


def events(*numbers):
    return b"".join(b"id: %d\ndata: event %d\n\n" % (number, number) for number in numbers)


async def test_stream_is_served_from_a_group(tmp_path):
    async with site(tmp_path) as cluster:
        status, headers, body = await cluster.chat()
        assert status == 200
        assert body == events(1, 2, 3, 4, 5)
        assert headers["X-Thorncleat-Response-Stamp"].startswith("stamp-w")


def _group_leaders(cluster):
    return [worker for worker in cluster.workers if worker.domain and worker.is_serving_leader]


async def test_stream_is_served_by_another_group_after_a_failure_status(tmp_path):
    async with site(tmp_path) as cluster:
        failing, _ = _group_leaders(cluster)
        failing.failure_status = 500
        for number in range(6):
            status, _, body = await cluster.chat(**{"X-Thorncleat-Attempt-Id": f"r{number}"})
            assert (status, body) == (200, events(1, 2, 3, 4, 5))


async def test_failure_status_of_all_groups_is_passed_on(tmp_path):
    async with site(tmp_path) as cluster:
        for leader in _group_leaders(cluster):
            leader.failure_status = 500
        status, headers, body = await cluster.chat()
        assert (status, body) == (500, b"failed")
        assert headers["X-Thorncleat-Response-Stamp"].startswith("stamp-w")


async def test_workspace_is_forwarded_and_key_is_not(tmp_path):
    async with site(tmp_path) as cluster:
        await cluster.call(
            "POST", "/status/a%20b?c=d", b"body", **{"X-Thorncleat-Tenant": "forged"}
        )
        (run,) = cluster.runs("desk")
        assert run.path == "/status/a%20b?c=d"
        assert run.body == b"body"
        assert run.headers.getall("X-Thorncleat-Tenant") == ["growers"]
        assert "Authorization" not in run.headers
        assert 0 < int(run.headers["X-Thorncleat-Deadline-Ms"]) <= 3000


@pytest.mark.parametrize("key", [None, "another"])
async def test_unknown_key_is_refused(tmp_path, key):
    async with site(tmp_path) as cluster:
        status, _, _ = await cluster.call("POST", "/status/x", key=key)
        assert status == 401
        assert cluster.runs("desk") == []


async def test_unknown_route_is_refused(tmp_path):
    async with site(tmp_path) as cluster:
        status, _, _ = await cluster.call("POST", "/nowhere/x")
        assert status == 404


async def test_oversize_body_is_refused(tmp_path):
    async with site(tmp_path) as cluster:
        status, _, _ = await cluster.call("POST", "/status/x", b"x" * 1001)
        assert status == 413


async def test_stream_resumes_on_another_group_when_its_connection_is_cut(tmp_path):
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.cut_after = 2
        status, _, body = await cluster.chat()
        assert status == 200
        assert body.startswith(events(1, 2, 3, 4))
        first, second = cluster.runs("narrator")
        assert first.worker != second.worker
        assert second.headers["Last-Event-Id"] == "2"


async def test_stream_resumes_on_another_group_when_its_own_is_silent(tmp_path):
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.stall_after = 3
        _, _, body = await cluster.chat()
        assert body == events(1, 2, 3, 4, 5)


async def test_stream_that_cannot_be_completed_is_cut(tmp_path):
    async with site(tmp_path, domains=1) as cluster:
        for worker in cluster.workers:
            worker.cut_after = 2
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.chat(**{"X-Thorncleat-Deadline-Ms": "400"})


async def test_answer_without_a_length_that_is_reset_is_incomplete(tmp_path):
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.reset_body = True
        status, headers, _ = await cluster.call("POST", "/status/x")
        assert status == 502
        assert "X-Thorncleat-Response-Stamp" not in headers
        assert len(cluster.runs("desk")) == 1


async def test_repeatable_request_is_tried_at_another_endpoint(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.workers[-1].failure_status = 500
        for number in range(4):
            status, _, _ = await cluster.call("GET", "/ack/x", number=f"r{number}")
            assert status == 200


async def test_draining_endpoint_gets_no_requests(tmp_path):
    async with site(tmp_path) as cluster:
        draining, other = cluster.workers[-1], cluster.workers[-2]
        draining.draining = True
        draining.publish()
        roster = cluster.gateway.view.roster
        await cluster.until(lambda: roster.endpoints[draining.id].draining)
        other.failure_status = 500
        status, _, _ = await cluster.call("GET", "/ack/x")
        assert status == 500
        assert draining.runs == []


async def test_revoked_key_is_refused(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.store.write("op/config", configuration(version=4, keys=("new-key",)))
        await cluster.until(lambda: cluster.gateway.view.configuration.version == 4)
        assert (await cluster.call("POST", "/status/x"))[0] == 401
        assert (await cluster.call("POST", "/status/x", key="new-key"))[0] == 200


MARKER = {
    "service": "x",
    "address": "127.0.0.1:1",
    "zone": "",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 0,
}


async def test_older_configuration_is_ignored(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.store.write("op/config", configuration(version=4, keys=("new-key",)))
        await cluster.until(lambda: cluster.gateway.view.configuration.version == 4)
        cluster.store.write("op/config", configuration(version=3))
        cluster.store.write("servers/mark", MARKER)
        await cluster.until(lambda: "mark" in cluster.gateway.view.roster.endpoints)
        assert cluster.gateway.view.configuration.version == 4


async def test_keys_are_refused_when_the_configuration_is_too_old(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.store.refuse = True
        await cluster.until(lambda: cluster.gateway.view.age() > 1.9)
        status, headers, _ = await cluster.call("POST", "/status/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert cluster.runs("desk") == []
        cluster.store.refuse = False
        await cluster.until(lambda: cluster.gateway.view.age() < 1.0)
        assert (await cluster.call("POST", "/status/x"))[0] == 200


async def test_snapshot_is_read_when_the_change_history_is_compacted(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.store.write("op/config", configuration(version=7))
        cluster.store.compact()
        await cluster.until(lambda: cluster.gateway.view.configuration.version == 7)


async def test_control_continues_when_answers_of_writes_are_lost(tmp_path):
    cluster = Site(tmp_path)
    cluster.store.lose_answers = 2
    await cluster.start()
    try:
        assert (await cluster.chat())[0] == 200
    finally:
        await cluster.stop()


async def test_planned_stop_finishes_running_requests(tmp_path):
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.events = 40
        running = asyncio.create_task(cluster.chat())
        await cluster.until(lambda: cluster.runs("narrator"))
        stopping = asyncio.create_task(cluster.gateway.drain())
        async with aiohttp.ClientSession() as client:
            url = f"http://{cluster.readiness}/thorncleat/readyz"
            await cluster.until(lambda: cluster.gateway._frontend.stopping)
            async with client.get(url) as answer:
                assert answer.status == 503
        status, _, body = await running
        assert status == 200
        assert body == events(*range(1, 41))
        await stopping


# Number of events of a stream that is still running when requests are refused.
LONG_EVENTS = 80


async def test_planned_stop_ends_even_if_requests_keep_arriving(tmp_path, monkeypatch):
    monkeypatch.setattr(planned_stop, "ACCEPT_SECONDS", 0.2)
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.events = LONG_EVENTS
        # Keeps the daemon from stopping while other requests are refused.
        long_stream = asyncio.create_task(cluster.chat())
        await cluster.until(lambda: cluster.runs("narrator"))
        for worker in cluster.workers:
            worker.events = 20
        stopping = asyncio.create_task(cluster.gateway.drain())
        answers = []

        async def keep_calling(caller):
            for number in range(1000):
                if stopping.done():
                    return
                answers.append(
                    await cluster.chat(**{"X-Thorncleat-Attempt-Id": f"{caller}-{number}"})
                )

        callers = [asyncio.create_task(keep_calling(number)) for number in range(4)]
        await asyncio.wait_for(stopping, 3.0)
        await asyncio.gather(*callers)
        served = [body for status, _, body in answers if status == 200]
        refused = [headers for status, headers, _ in answers if status == 503]
        assert len(served) + len(refused) == len(answers)
        assert refused
        assert served
        assert all(body == events(*range(1, 21)) for body in served)
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        status, _, body = await long_stream
        assert status == 200
        assert body == events(*range(1, LONG_EVENTS + 1))
        assert len(cluster.runs("narrator")) == len(served) + 1


async def test_request_ends_when_its_caller_disconnects(tmp_path):
    async with site(tmp_path) as cluster:
        for worker in cluster.workers:
            worker.events = 500
        running = asyncio.create_task(cluster.chat())
        await cluster.until(lambda: cluster.gateway.load_table.local_counts)
        running.cancel()
        await cluster.until(lambda: not cluster.gateway.load_table.local_counts)


async def test_groups_are_recorded_under_one_controller(tmp_path):
    async with site(tmp_path) as cluster:
        assert len(cluster.store.keys("thorncleat/groups/")) == 2
        assert cluster.store.keys("thorncleat/controller") == ["thorncleat/controller"]


async def _all_statuses(cluster):
    """Return the statuses of a stream and of a plain request at each daemon."""
    daemons = range(len(cluster.frontends))
    found = [(await cluster.chat(daemon=daemon))[0] for daemon in daemons]
    return found + [(await cluster.call("GET", "/ack/x", daemon=daemon))[0] for daemon in daemons]


async def _until_all_answer(cluster, status):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while set(await _all_statuses(cluster)) != {status}:
            pass


async def test_evacuated_failure_domain_gets_no_requests(tmp_path):
    async with site(tmp_path, daemons=2, bounds="evacuate_ms = 5000") as cluster:
        cluster.store.evacuate("zone-a")
        await _until_all_answer(cluster, 503)
        ran = len(cluster.runs("narrator")) + len(cluster.runs("desk"))
        status, _, body = await cluster.chat()
        assert (status, body) == (503, b"failure domain evacuated\n")
        assert len(cluster.runs("narrator")) + len(cluster.runs("desk")) == ran
        cluster.store.end_evacuation("zone-a")
        await _until_all_answer(cluster, 200)


async def test_evacuation_is_ignored_without_its_setting(tmp_path):
    async with site(tmp_path) as cluster:
        cluster.store.evacuate("zone-a")
        record = "thorncleat/evacuations/zone-a"
        await cluster.until(lambda: record in cluster.gateway.view.records)
        assert set(await _all_statuses(cluster)) == {200}


@pytest.mark.parametrize("switched_on", [True, False])
async def test_cold_endpoint_is_limited_with_its_setting_alone(tmp_path, switched_on):
    bounds = "cold_overage = 1.5\ncold_slack = 5" if switched_on else ""
    async with site(tmp_path, bounds=bounds) as cluster:
        document = configuration()
        document["version"] += 1
        document["services"] = [{**one, "cold_per_s": 23} for one in document["services"]]
        cluster.store.write("op/config", document)
        worker = cluster.workers[-1]
        worker.cold_until = time.monotonic() + 30
        worker.publish()
        view, limits = cluster.gateway.view, cluster.gateway._limits
        await cluster.until(lambda: view.roster.endpoints[worker.id].cold_for)
        await cluster.until(lambda: view.configuration.version == document["version"])
        assert limits.is_limited(view.roster.endpoints[worker.id]) is switched_on
