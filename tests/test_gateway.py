"""The whole path with real sockets: gateway, adapter, and stand-ins of the platform."""

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
PATIENCE_SECONDS = 10.0


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
    """Gateways before stand-ins; one unless more are asked for."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._adapters: list[KeyValueStore | WorkerEngines] = []
        self.store = PlatformStore()
        self.workers: list[PlatformWorker] = []
        self.frontends: list[str] = []
        self.readiness = ""
        self.gateways: list[Gateway] = []

    @property
    def gateway(self) -> Gateway:
        return self.gateways[0]

    @property
    def frontend(self) -> str:
        return self.frontends[0]

    async def start(
        self, domains: int = 2, desks: int = 2, metrics: str = "", daemons: int = 1
    ) -> None:
        address = await self.store.start()
        self.store.write("op/config", configuration())
        for number in range(domains * 2):
            await self.add(f"w{number}", "narrator", f"d{number // 2}")
        for number in range(desks):
            await self.add(f"desk{number}", "desk")
        for number in range(daemons):
            await self._start_gateway(address, metrics, number + 1)
        await self.until(lambda: sum(worker.leads for worker in self.workers) == domains)
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
            endpoint.leads
            for gateway in self.gateways
            for endpoint in gateway.view.roster.endpoints.values()
        )

    async def add(self, name: str, service: str, domain: str = "") -> PlatformWorker:
        worker = PlatformWorker(self.store, name, service, domain)
        await worker.start()
        self.workers.append(worker)
        return worker

    def _settings(self, store: str, number: int) -> pathlib.Path:
        ports = free_ports(3)
        frontend, self.readiness = (f"127.0.0.1:{port}" for port in ports[:2])
        self.frontends.append(frontend)
        path = self._directory / f"settings-{number}.toml"
        path.write_text(
            f"""
            node_name = "edge-{number}"
            ip = "127.0.0.1"
            bootstrap = true
            something_new = 1
            internal_ports = [{ports[2]}, {ports[2] + 1}]
            [listen]
            frontend = "{frontend}"
            readiness = "{self.readiness}"
            [bounds]
            revoke_fail_closed = true
            revoke_ms = 2000
            [platform]
            address = "{store}"
            """
        )
        return path

    async def until(self, true) -> None:
        end = time.monotonic() + PATIENCE_SECONDS
        while not true():
            assert time.monotonic() < end, "it did not come to be in time"
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

    async def try_fatal(self, body, number):
        """Send a request that no endpoint survives, to one daemon after the other."""
        daemon = number % len(self.frontends)
        try:
            status, headers, _ = await self.chat(body, daemon=daemon, number=f"fatal-{number}")
        except aiohttp.ClientPayloadError:
            return 0, {}
        return status, headers

    def runs(self, service: str):
        return [run for worker in self.workers if worker.service == service for run in worker.runs]


@contextlib.asynccontextmanager
async def site(directory, **sizes):
    made = Site(directory)
    await made.start(**sizes)
    try:
        yield made
    finally:
        await made.stop()


def events(*numbers):
    return b"".join(b"id: %d\ndata: event %d\n\n" % (number, number) for number in numbers)


async def test_stream_is_served_from_a_group(tmp_path):
    async with site(tmp_path) as made:
        status, headers, body = await made.chat()
        assert status == 200
        assert body == events(1, 2, 3, 4, 5)
        assert headers["X-Thorncleat-Response-Stamp"].startswith("stamp-w")


def _leaders(made):
    return [worker for worker in made.workers if worker.domain and worker.leads]


async def test_stream_goes_on_elsewhere_when_its_group_answers_with_a_failure(tmp_path):
    async with site(tmp_path) as made:
        failing, _ = _leaders(made)
        failing.fail = 500
        for number in range(6):
            status, _, body = await made.chat(**{"X-Thorncleat-Attempt-Id": f"r{number}"})
            assert (status, body) == (200, events(1, 2, 3, 4, 5))


async def test_failure_of_all_groups_is_passed_on_as_they_gave_it(tmp_path):
    async with site(tmp_path) as made:
        for leader in _leaders(made):
            leader.fail = 500
        status, headers, body = await made.chat()
        assert (status, body) == (500, b"failed")
        assert headers["X-Thorncleat-Response-Stamp"].startswith("stamp-w")


async def test_key_stays_here_and_workspace_goes_on(tmp_path):
    async with site(tmp_path) as made:
        await made.call("POST", "/status/a%20b?c=d", b"body", **{"X-Thorncleat-Tenant": "forged"})
        (run,) = made.runs("desk")
        assert run.path == "/status/a%20b?c=d"
        assert run.body == b"body"
        assert run.headers.getall("X-Thorncleat-Tenant") == ["growers"]
        assert "Authorization" not in run.headers
        assert 0 < int(run.headers["X-Thorncleat-Deadline-Ms"]) <= 3000


@pytest.mark.parametrize("key", [None, "another"])
async def test_unknown_key_is_refused(tmp_path, key):
    async with site(tmp_path) as made:
        status, _, _ = await made.call("POST", "/status/x", key=key)
        assert status == 401
        assert made.runs("desk") == []


async def test_unknown_route_is_refused(tmp_path):
    async with site(tmp_path) as made:
        status, _, _ = await made.call("POST", "/nowhere/x")
        assert status == 404


async def test_oversize_body_is_refused(tmp_path):
    async with site(tmp_path) as made:
        status, _, _ = await made.call("POST", "/status/x", b"x" * 1001)
        assert status == 413


async def test_stream_goes_on_in_another_group_when_its_connection_is_cut(tmp_path):
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.cut_after = 2
        status, _, body = await made.chat()
        assert status == 200
        assert body.startswith(events(1, 2, 3, 4))
        first, second = made.runs("narrator")
        assert first.worker != second.worker
        assert second.headers["Last-Event-Id"] == "2"


async def test_stream_goes_on_in_another_group_when_its_own_is_silent(tmp_path):
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.silent_after = 3
        _, _, body = await made.chat()
        assert body == events(1, 2, 3, 4, 5)


async def test_stream_that_cannot_be_completed_is_cut(tmp_path):
    async with site(tmp_path, domains=1) as made:
        for worker in made.workers:
            worker.cut_after = 2
        with pytest.raises(aiohttp.ClientPayloadError):
            await made.chat(**{"X-Thorncleat-Deadline-Ms": "400"})


async def test_answer_without_a_length_that_is_reset_is_not_whole(tmp_path):
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.reset_body = True
        status, headers, _ = await made.call("POST", "/status/x")
        assert status == 502
        assert "X-Thorncleat-Response-Stamp" not in headers
        assert len(made.runs("desk")) == 1


async def test_repeatable_request_is_tried_at_another_endpoint(tmp_path):
    async with site(tmp_path) as made:
        made.workers[-1].fail = 500
        for number in range(4):
            status, _, _ = await made.call("GET", "/ack/x", number=f"r{number}")
            assert status == 200


async def test_draining_endpoint_gets_nothing(tmp_path):
    async with site(tmp_path) as made:
        draining, other = made.workers[-1], made.workers[-2]
        draining.draining = True
        draining.publish()
        roster = made.gateway.view.roster
        await made.until(lambda: roster.endpoints[draining.id].draining)
        other.fail = 500
        status, _, _ = await made.call("GET", "/ack/x")
        assert status == 500
        assert draining.runs == []


async def test_key_that_was_taken_away_is_refused(tmp_path):
    async with site(tmp_path) as made:
        made.store.write("op/config", configuration(version=4, keys=("new-key",)))
        await made.until(lambda: made.gateway.view.configuration.version == 4)
        assert (await made.call("POST", "/status/x"))[0] == 401
        assert (await made.call("POST", "/status/x", key="new-key"))[0] == 200


MARK = {
    "service": "x",
    "address": "",
    "zone": "",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 0,
}


async def test_older_configuration_never_comes_back(tmp_path):
    async with site(tmp_path) as made:
        made.store.write("op/config", configuration(version=4, keys=("new-key",)))
        await made.until(lambda: made.gateway.view.configuration.version == 4)
        made.store.write("op/config", configuration(version=3))
        made.store.write("servers/mark", MARK)
        await made.until(lambda: "mark" in made.gateway.view.roster.endpoints)
        assert made.gateway.view.configuration.version == 4


async def test_keys_are_refused_when_the_configuration_is_too_old_to_be_sure(tmp_path):
    async with site(tmp_path) as made:
        made.store.refuse = True
        await made.until(lambda: made.gateway.view.age() > 1.9)
        status, headers, _ = await made.call("POST", "/status/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert made.runs("desk") == []
        made.store.refuse = False
        await made.until(lambda: made.gateway.view.age() < 1.0)
        assert (await made.call("POST", "/status/x"))[0] == 200


async def test_history_that_is_gone_is_read_again(tmp_path):
    async with site(tmp_path) as made:
        made.store.write("op/config", configuration(version=7))
        made.store.forget()
        await made.until(lambda: made.gateway.view.configuration.version == 7)


async def test_control_goes_on_when_answers_of_writes_are_lost(tmp_path):
    made = Site(tmp_path)
    made.store.lose_answers = 2
    await made.start()
    try:
        assert (await made.chat())[0] == 200
    finally:
        await made.stop()


async def test_planned_stop_finishes_what_runs(tmp_path):
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.events = 40
        running = asyncio.create_task(made.chat())
        await made.until(lambda: made.runs("narrator"))
        drained = asyncio.create_task(made.gateway.drain())
        async with aiohttp.ClientSession() as client:
            url = f"http://{made.readiness}/thorncleat/readyz"
            await made.until(lambda: made.gateway._frontend.stopping)
            async with client.get(url) as answer:
                assert answer.status == 503
        status, _, body = await running
        assert status == 200
        assert body == events(*range(1, 41))
        await drained


# of a stream that lasts for longer than requests are let in after the order to stop
LONG_EVENTS = 80


async def test_planned_stop_ends_though_requests_keep_coming(tmp_path, monkeypatch):
    monkeypatch.setattr(planned_stop, "ACCEPT_SECONDS", 0.2)
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.events = LONG_EVENTS
        # runs on while others are refused; with none running, the stop would end and refuse nobody
        long = asyncio.create_task(made.chat())
        await made.until(lambda: made.runs("narrator"))
        for worker in made.workers:
            worker.events = 20
        drained = asyncio.create_task(made.gateway.drain())
        answers = []

        async def keep_calling(caller):
            for number in range(1000):
                if drained.done():
                    return
                answers.append(await made.chat(**{"X-Thorncleat-Attempt-Id": f"{caller}-{number}"}))

        callers = [asyncio.create_task(keep_calling(number)) for number in range(4)]
        await asyncio.wait_for(drained, 3.0)
        await asyncio.gather(*callers)
        served = [body for status, _, body in answers if status == 200]
        refused = [headers for status, headers, _ in answers if status == 503]
        assert len(served) + len(refused) == len(answers)
        assert refused
        assert served
        assert all(body == events(*range(1, 21)) for body in served)
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        status, _, body = await long
        assert status == 200
        assert body == events(*range(1, LONG_EVENTS + 1))
        assert len(made.runs("narrator")) == len(served) + 1


async def test_caller_that_leaves_ends_the_run(tmp_path):
    async with site(tmp_path) as made:
        for worker in made.workers:
            worker.events = 500
        running = asyncio.create_task(made.chat())
        await made.until(lambda: made.gateway.load_table.local_counts)
        running.cancel()
        await made.until(lambda: not made.gateway.load_table.local_counts)


async def test_groups_are_recorded_and_kept_under_one_controller(tmp_path):
    async with site(tmp_path) as made:
        assert len(made.store.keys("thorncleat/groups/")) == 2
        assert made.store.keys("thorncleat/controller") == ["thorncleat/controller"]
