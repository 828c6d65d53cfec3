"""Requests while daemons, engines and services are killed, and the store is away."""

import asyncio
import collections
import json
import random
import signal

import aiohttp
import pytest

from thorncleat_standins.launch import Site

from .lab import Lab
from .lab import completion
from .lab import expected

CHAT = "/v1/chat/completions"
ACK = "/v1/services/telemetry/alarms/7/ack"
CALLS = 2000
CALLERS = 40
ATTEMPTS = 6


@pytest.fixture
def lab(tmp_path):
    made = Lab(tmp_path, Site(daemons=4, instances=4))
    try:
        made.start()
        yield made
    finally:
        made.close()


class TestStoreAway:
    def test_what_goes_on_and_what_stops(self, lab):
        async def scenario():
            cluster = lab.cluster
            body = {"document": '{"workspaces": [{"name": "z", "key_digests": ["%s"]}]}'}
            body["document"] %= "9" * 64
            await cluster.store_faults(down=True)
            # longer than every lease
            await asyncio.sleep(4.0)
            streamed = await lab.stream(completion("turbine", 20), "daemon-2")
            headers = {"Idempotency-Key": "away", "X-Call": "away"}
            refused = await lab.acall("POST", ACK, headers=headers, json={})
            _, plan = await cluster.operate("daemon-0", "POST", "/plans", body)
            confirmed = await cluster.operate(
                "daemon-0", "POST", "/confirm", {"plan": plan["plan"]}
            )
            models = await lab.acall("GET", "/v1/models", "daemon-3")
            ledger = await lab.ledger()
            await cluster.store_faults(down=False)

            async def runs_again() -> bool:
                return (await lab.acall("POST", ACK, headers=headers, json={}))[0] == 201

            await cluster.wait_for("the call to run", runs_again, 20.0)
            return streamed, refused, confirmed, models, ledger, await lab.ledger()

        streamed, refused, confirmed, models, during, after = lab.run(scenario())
        assert (streamed.text, streamed.done) == (expected("turbine", 20), True)
        assert (refused[0], refused[2]["executed"]) == (503, "no")
        assert int(refused[1]["Retry-After"]) >= 1
        assert confirmed[0] == 503
        assert [one["id"] for one in models[2]["data"]] == ["m"]
        assert "away" not in during
        assert after["away"] == 1


class _Caller:
    """A caller who repeats at any daemon until it knows what became of its call."""

    def __init__(self, lab: Lab, draw: random.Random) -> None:
        self._lab = lab
        self._draw = draw
        self.answers: dict[str, list[tuple[int, str]]] = collections.defaultdict(list)

    async def call(self, key: str) -> None:
        headers = {"Idempotency-Key": key, "X-Call": key, "X-Request-Deadline": "3"}
        for _ in range(ATTEMPTS):
            daemon = self._draw.choice(self._lab.cluster.daemons)
            try:
                status, _, body = await asyncio.wait_for(
                    self._lab.acall("POST", ACK, daemon, headers=headers, json={}), 5.0
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.answers[key].append((0, "unknown"))
                continue
            if status == 201:
                self.answers[key].append((status, "yes"))
                return
            self.answers[key].append((status, body["executed"]))
            await asyncio.sleep(self._draw.uniform(0.02, 0.2))


class TestAtMostOnce:
    def test_no_call_runs_twice_through_kills_and_an_outage(self, lab):
        """2,000 calls, repeated at random daemons, while things die around them."""
        draw = random.Random(7)
        callers = [_Caller(lab, random.Random(n)) for n in range(CALLERS)]

        async def traffic(number: int) -> None:
            for index in range(number, CALLS, CALLERS):
                await callers[number].call(f"call-{index}")

        async def trouble() -> None:
            cluster = lab.cluster
            service = cluster.service
            for turn in range(6):
                await asyncio.sleep(draw.uniform(0.4, 0.9))
                victim = f"daemon-{1 + turn % 3}"
                await cluster.control_call("POST", service, "/behaviour", break_after=3)
                if turn % 3 == 2:
                    await cluster.store_faults(down=True)
                    await asyncio.sleep(1.0)
                    await cluster.store_faults(down=False)
                if turn % 2:
                    cluster.processes[victim].send(signal.SIGSTOP)
                    await asyncio.sleep(3.5)
                    cluster.processes[victim].send(signal.SIGCONT)
                else:
                    await cluster.processes[victim].stop(signal.SIGKILL)
                    await cluster.start_daemon(victim)
                await cluster.control_call("POST", service, "/behaviour", break_before=3)
                await cluster.store_faults(lose_answers=1)

        async def scenario() -> dict[str, int]:
            await asyncio.gather(trouble(), *(traffic(number) for number in range(CALLERS)))
            return await lab.ledger()

        ledger = lab.run(scenario())
        answers = {key: found for one in callers for key, found in one.answers.items()}
        assert len(answers) == CALLS
        twice = {key: runs for key, runs in ledger.items() if key in answers and runs > 1}
        assert not twice
        for key, found in answers.items():
            said = [executed for _, executed in found]
            if "yes" in said:
                assert ledger.get(key) == 1, (key, found)
            if set(said) == {"no"}:
                assert key not in ledger, (key, found)
        done = sum(found[-1][1] == "yes" for found in answers.values())
        print(f"{done} of {CALLS} done, {sum(map(len, answers.values()))} attempts")
        assert done > CALLS * 0.5
        self._check_invariants(lab)

    def _check_invariants(self, lab: Lab) -> None:
        logs = [
            json.loads(line)
            for one in lab.cluster.directory.glob("daemon-*.log")
            for line in one.read_text().splitlines()
            if line.startswith("{")
        ]
        assert not [line for line in logs if line.get("name") == "invariant_broken"]
        assert not [
            line
            for line in logs
            if line.get("name") == "task_failed" and line.get("expected") is False
        ]
