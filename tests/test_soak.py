"""A short run of the gateway's soak, and the soak's own checks."""

import asyncio
import collections
import dataclasses
import random
import types

import pytest
from bench.soaks import gateway as gateway_soak
from bench.soaks import harness
from bench.soaks.gateway_checks import Checks
from bench.soaks.gateway_checks import Exchange
from bench.soaks.gateway_checks import RequestKind
from bench.soaks.gateway_checks import expected_body
from bench.soaks.gateway_evacuations import EVACUATION_SECONDS
from bench.soaks.gateway_evacuations import EvacuationChecks
from bench.soaks.gateway_limits import LimitChecks
from bench.soaks.gateway_notices import NoticeChecks
from bench.soaks.gateway_retries import RetryChecks
from bench.soaks.gateway_troubles import is_endless
from bench.soaks.gateway_troubles import is_out_of_time
from bench.soaks.proxy import Mode
from bench.soaks.proxy import Proxy

from thorncleat_standins.platform_worker import Run

from . import virtual_time

EVENTS = 3
SOAK_MINUTES = 0.15
# Seeds that failed once, each with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_real_processes_keep_the_promises_under_faults(tmp_path, seed):
    fault_names = gateway_soak.faults.names
    result = await gateway_soak.run(tmp_path, seed, SOAK_MINUTES, 3, fault_names)
    assert result.site.checks.violations == []
    assert result.site.checks.counts["stream 200"] > 0
    assert all(not daemon.is_running for daemon in result.site.daemons)


async def test_planned_stop_cuts_nothing(tmp_path):
    result = await gateway_soak.run(tmp_path, 2, SOAK_MINUTES, 3, ["watched_stop"])
    assert result.site.checks.violations == []


class TestVerdict:
    def _run_seeds(self, violations_of_seeds, tmp_path):
        async def run_seed(directory, seed):
            assert directory == tmp_path / f"seed-{seed}"
            violations = violations_of_seeds[seed]
            return harness.Soak(
                rng=random.Random(seed), ends_at=0.0, fault_names=[], violations=violations
            )

        with pytest.raises(SystemExit) as ended:
            harness.run_seeds(run_seed, violations_of_seeds, str(tmp_path))
        return ended.value.code

    def test_seeds_without_violations_pass(self, tmp_path, capsys):
        assert self._run_seeds({1: [], 2: []}, tmp_path) == 0
        assert "verdict, seed 2: passed, 0 faults" in capsys.readouterr().out

    def test_violation_of_a_seed_fails_the_run_and_the_next_seed_runs(self, tmp_path, capsys):
        assert self._run_seeds({1: ["TWICE r1"], 2: []}, tmp_path) == 1
        shown = capsys.readouterr().out
        assert "FAULT TWICE r1\nverdict, seed 1: FAILED, 1 faults" in shown
        assert "verdict, seed 2: passed, 0 faults" in shown

    def test_directory_of_another_run_is_refused(self, tmp_path):
        assert self._run_seeds({1: []}, tmp_path) == 0
        with pytest.raises(FileExistsError, match="seed-1"):
            harness.run_seeds(lambda *_: None, [1], str(tmp_path))


def exchange(kind=RequestKind.NON_REPEATABLE, **fields):
    made = Exchange(
        "r1", kind, 10.0, "key", b"body", 200, is_complete=True, signed=True, echoed="r1"
    )
    made.body = expected_body(made, EVENTS)
    return dataclasses.replace(made, **fields)


def run(worker="w1"):
    return Run(worker, "r1", "/", {}, b"body")


class TestChecks:
    def test_correct_answer_is_no_violation(self):
        checks = Checks(EVENTS)
        checks.check_run(run(), RequestKind.NON_REPEATABLE, 10.0, "key")
        checks.check_answer(exchange())
        assert checks.violations == []

    @pytest.mark.parametrize("status", [0, 101, 600])
    def test_status_that_no_answer_has_is_detected(self, status):
        checks = Checks(EVENTS)
        checks.check_answer(exchange(status=status))
        assert checks.violations == [f"MIXED r1: status {status}"]

    def test_second_run_is_detected(self):
        checks = Checks(EVENTS)
        checks.check_run(run("w1"), RequestKind.NON_REPEATABLE, 10.0, "key")
        checks.check_run(run("w2"), RequestKind.NON_REPEATABLE, 10.0, "key")
        assert checks.violations == ["TWICE r1 ran at ['w1', 'w2']"]

    @pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
    def test_repeatable_request_may_run_twice(self, kind):
        checks = Checks(EVENTS)
        checks.check_run(run("w1"), kind, 10.0, "key")
        checks.check_run(run("w2"), kind, 10.0, "key")
        assert checks.violations == []

    def test_refusal_of_executed_request_is_detected(self):
        checks = Checks(EVENTS)
        checks.check_run(run(), RequestKind.NON_REPEATABLE, 10.0, "key")
        checks.check_answer(exchange(status=503))
        assert checks.violations == ["REFUSED r1 got 503 and had run"]

    def test_run_after_its_refusal_is_detected(self):
        checks = Checks(EVENTS)
        checks.check_answer(exchange(status=503))
        checks.check_run(run(), RequestKind.NON_REPEATABLE, 10.0, "key")
        assert checks.violations == ["REFUSED r1 ran at w1 after its refusal"]

    def test_accepted_revoked_key_is_detected(self):
        checks = Checks(EVENTS)
        checks.record_revocation("key", 9.0)
        checks.check_run(run(), RequestKind.NON_REPEATABLE, 8.9, "key")
        assert checks.violations == []
        checks.check_run(run(), RequestKind.REPEATABLE, 9.1, "key")
        assert checks.violations == ["CONFIG r1 ran with a key taken away before"]

    @pytest.mark.parametrize(
        ("wrong", "fault"),
        [
            ({"signed": False}, "an answer that no endpoint signed for it"),
            ({"echoed": "r2"}, "an answer that no endpoint signed for it"),
            ({"body": b"answer to another"}, "not the endpoint's whole body"),
        ],
    )
    def test_answer_to_another_request_is_detected(self, wrong, fault):
        checks = Checks(EVENTS)
        checks.check_answer(exchange(**wrong))
        assert fault in checks.violations[0]

    def test_duplicate_event_in_a_stream_is_detected(self):
        checks = Checks(EVENTS)
        body = exchange(RequestKind.STREAM).body
        checks.check_answer(exchange(RequestKind.STREAM, body=body + body[-20:]))
        assert len(checks.violations) == 1


class TestProxy:
    async def _send_through_proxy(self, mode, seconds=0.2):
        """Return what a proxy passes back after a change of its mode; None for nothing."""

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        host, _, port = (await proxy.start()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"first")
            assert await reader.readexactly(5) == b"first"
            proxy.mode = mode
            if mode is Mode.RESET:
                proxy.reset()
            writer.write(b"second")
            try:
                return await asyncio.wait_for(reader.read(100), seconds)
            except TimeoutError:
                return None
        finally:
            writer.close()
            await proxy.stop()
            server.close()

    async def test_forwards(self):
        assert await self._send_through_proxy(Mode.PASS) == b"second"

    @pytest.mark.parametrize("mode", [Mode.SILENCE, Mode.LOSE_ANSWERS, Mode.LOSE_REQUESTS])
    async def test_blocks_one_or_both_directions(self, mode):
        assert await self._send_through_proxy(mode) is None

    async def test_resets(self):
        with pytest.raises(ConnectionResetError):
            await self._send_through_proxy(Mode.RESET)


class TestNoticeChecks:
    """Guards against missed and false violations of pauses and announcements."""

    @staticmethod
    def _make_checks(**daemon_fields):
        violations, counts = [], collections.Counter()
        proxy = types.SimpleNamespace(mode=Mode.PASS, changed_at=0.0)
        worker = types.SimpleNamespace(id="w1", proxy=proxy)
        daemon = types.SimpleNamespace(
            **{
                "name": "edge-1",
                "reads_notices": True,
                "disturbed_at": 0.0,
                "interrupted_at": 0.0,
                **daemon_fields,
            }
        )
        return NoticeChecks(violations, counts), worker, daemon, violations

    async def _pause(self, requests, pause="1", after=0.7, **daemon_fields):
        checks, worker, daemon, violations = self._make_checks(**daemon_fields)
        checks.record_pause(worker, daemon, pause)
        await asyncio.sleep(after)
        for _ in range(requests):
            checks.check_arrival(worker, daemon, "r1", asyncio.get_running_loop().time())
        return violations

    async def _drain(self, sent_after, **daemon_fields):
        checks, worker, daemon, violations = self._make_checks(**daemon_fields)
        checks.record_leaving(worker, daemon)
        checks.check_arrival(worker, daemon, "r1", asyncio.get_running_loop().time() + sent_after)
        return violations

    @pytest.mark.parametrize(
        ("given", "found"),
        [
            ({"requests": 2}, 0),
            ({"requests": 3}, 1),
            ({"requests": 9, "after": 0.1}, 0),
            ({"requests": 9, "pause": "0.6"}, 0),
            ({"requests": 9, "pause": "soon"}, 0),
            ({"requests": 9, "reads_notices": False}, 0),
            ({"requests": 9, "disturbed_at": float("inf")}, 0),
        ],
    )
    def test_pause(self, given, found):
        assert len(virtual_time.run(self._pause(**given))) == found

    @pytest.mark.parametrize(
        ("given", "found"),
        [
            ({"sent_after": 1.9}, 0),
            ({"sent_after": 2.1}, 1),
            ({"sent_after": 9.0, "reads_notices": False}, 0),
            ({"sent_after": 9.0, "interrupted_at": float("inf")}, 0),
            # A cut from the store doesn't excuse a daemon here.
            ({"sent_after": 9.0, "disturbed_at": float("inf")}, 1),
        ],
    )
    def test_leaving(self, given, found):
        assert len(virtual_time.run(self._drain(**given))) == found


class TestLimitChecks:
    """Guards against missed and false violations of workers' limits."""

    async def _send_requests(self, daemons, rate, limit="1", **daemon_fields):
        """Return whether requests that daemons send in turn to a worker violate its limit."""
        violations, counts = [], collections.Counter()
        checks = LimitChecks(violations, counts)
        worker = types.SimpleNamespace(
            id="w1", proxy=types.SimpleNamespace(mode=Mode.PASS, changed_at=0.0)
        )
        senders = [
            types.SimpleNamespace(
                **{"name": f"edge-{number}", "reads_limits": True, "interrupted_at": 0.0}
                | daemon_fields
            )
            for number in range(daemons)
        ]
        checks.set_limit("w1", limit)
        for number in range(int(9 * rate)):
            checks.check_arrival(worker, senders[number % daemons], f"r{number}")
            await asyncio.sleep(1 / rate)
        checks.clear_limit("w1")
        checks.check_arrival(worker, senders[0], "after its end")
        return bool(violations)

    @pytest.mark.parametrize(
        ("given", "found"),
        [
            ({"daemons": 4, "rate": 2.5}, False),
            ({"daemons": 4, "rate": 4.0}, True),
            ({"daemons": 1, "rate": 4.0}, True),
            ({"daemons": 4, "rate": 4.0, "limit": "3"}, False),
            ({"daemons": 4, "rate": 4.0, "limit": "1.3 "}, True),
            ({"daemons": 4, "rate": 4.0, "limit": "0"}, True),
            ({"daemons": 4, "rate": 9.0, "limit": "1,3"}, False),
            ({"daemons": 4, "rate": 9.0, "reads_limits": False}, False),
            ({"daemons": 4, "rate": 9.0, "interrupted_at": float("inf")}, False),
        ],
    )
    def test_limit(self, given, found):
        assert virtual_time.run(self._send_requests(**given)) is found


class TestEvacuationChecks:
    """Guards against missed and false violations of evacuations."""

    @staticmethod
    async def _arrival(seconds, *, mode=Mode.PASS, zone="zone-a", fault_at=None):
        """Return the violations if a request arrives some seconds after the evacuation."""
        violations = []
        checks = EvacuationChecks(violations, collections.Counter())
        worker = types.SimpleNamespace(id="w1", zone=zone)
        proxy = types.SimpleNamespace(mode=mode)
        daemon = types.SimpleNamespace(name="edge-1", proxy=proxy, disturbed_at=0.0)
        checks.begin("zone-a")
        await asyncio.sleep(seconds / 2)
        if fault_at == "store":
            checks.record_store_fault()
        if fault_at == "daemon":
            daemon.disturbed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds / 2)
        checks.check_arrival(worker, daemon, "r1")
        return violations

    @pytest.mark.parametrize(
        ("seconds", "fields", "is_violation"),
        [
            (EVACUATION_SECONDS + 0.1, {}, True),
            (EVACUATION_SECONDS - 0.1, {}, False),
            (EVACUATION_SECONDS + 0.1, {"zone": "zone-b"}, False),
            (EVACUATION_SECONDS + 0.1, {"mode": Mode.SILENCE}, False),
            (EVACUATION_SECONDS + 0.1, {"fault_at": "store"}, False),
            (EVACUATION_SECONDS + 0.1, {"fault_at": "daemon"}, False),
            (2 * EVACUATION_SECONDS + 0.1, {"fault_at": "daemon"}, True),
        ],
    )
    def test_arrival(self, seconds, fields, is_violation):
        violations = virtual_time.run(self._arrival(seconds, **fields))
        assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("seconds", "is_allowed"),
    [
        pytest.param(4.03, True, id="as c6-43 of seed 1203, whose route's timeout was over"),
        pytest.param(3.95, True, id="the gateway gives up a little before"),
        pytest.param(3.9, False, id="it had time left"),
        pytest.param(1.7, False, id="it had much time left"),
    ],
)
def test_stop_may_cut_only_requests_that_are_out_of_time(seconds, is_allowed):
    exchange = Exchange("r", RequestKind.STREAM, 0.0, "key", b"", ended_at=seconds)
    assert is_out_of_time(exchange) is is_allowed


@pytest.mark.parametrize(
    ("ran_at", "is_allowed"),
    [([], False), (["w1"], False), (["w2"], True), (["w1", "w2"], True), (["w2", "w1"], False)],
)
def test_stop_may_cut_only_requests_whose_latest_run_has_no_end(ran_at, is_allowed):
    """A request that was answered so before must still be completed by its next endpoint."""
    sound, endless = (types.SimpleNamespace(endless_ids=ids) for ids in (set(), {"r"}))
    runs = [Run(worker, "r", "/", {}, b"") for worker in ran_at]
    assert is_endless(runs, {"w1": sound, "w2": endless}) is is_allowed


@pytest.mark.parametrize(
    ("only", "chosen"),
    [
        ("", gateway_soak.faults.names),
        ("kill", ["kill"]),
        (("kill", "stop"), ["kill", "stop"]),
    ],
)
def test_kinds_of_faults_can_be_chosen(only, chosen):
    assert gateway_soak._chosen_faults(only) == chosen


def test_unknown_kind_of_fault_is_named():
    with pytest.raises(SystemExit, match="unknown kinds of faults: kil"):
        gateway_soak._chosen_faults(("kil", "stop"))


class TestRetries:
    """Guards against a check that misses repeats which all daemons together send."""

    async def _repeat(self, requests, repeats, services=("narrator",)):
        """Return the violations of some requests, of which each arrives some times more."""
        violations, counts = [], collections.Counter()
        checks = RetryChecks(violations, counts)
        for number in range(requests):
            for service in services:
                checks.record_request(service)
                for _ in range(1 + repeats):
                    checks.check_arrival(service, f"{service}-{number}")
            await asyncio.sleep(0.1)
        return violations

    @pytest.mark.parametrize(
        ("requests", "repeats", "found"),
        [(300, 0, False), (60, 1, False), (100, 1, True), (100, 2, True)],
    )
    def test_ten_requests_a_second(self, requests, repeats, found):
        assert bool(virtual_time.run(self._repeat(requests, repeats))) is found

    def test_each_service_has_a_budget_of_its_own(self):
        assert virtual_time.run(self._repeat(60, 1, ("narrator", "desk"))) == []
