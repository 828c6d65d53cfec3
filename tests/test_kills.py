"""Guards against lost and repeated requests when processes are killed or the store is down."""

import asyncio
import random
import signal

import pytest

from thorncleat_standins.cluster import Site
from thorncleat_standins.traffic import RepeatingCaller
from thorncleat_standins.traffic import ledger_faults
from thorncleat_standins.traffic import log_faults

from .lab import Lab
from .lab import completion
from .lab import expected
from .makers import CALLER_KEY

ACK = "/v1/services/telemetry/alarms/7/ack"
CALLS = 2000
CALLERS = 40


@pytest.fixture
def lab(tmp_path):
    lab = Lab(tmp_path, Site(daemons=4, instances=4))
    try:
        lab.start()
        yield lab
    finally:
        lab.close()


class TestStoreOutage:
    def test_streams_continue_and_changes_are_refused(self, lab):
        async def scenario():
            cluster = lab.cluster
            body = {"document": '{"workspaces": [{"name": "z", "key_digests": ["%s"]}]}'}
            body["document"] %= "9" * 64
            await cluster.set_store_faults(down=True)
            # Longer than every lease.
            await asyncio.sleep(4.0)
            streamed = await lab.stream(completion("turbine", 20), "daemon-2")
            headers = {"Idempotency-Key": "away", "X-Call": "away"}
            refused = await lab.call_async("POST", ACK, headers=headers, json={})
            _, plan = await cluster.call_operator_api("daemon-0", "POST", "/plans", body)
            confirmed = await cluster.call_operator_api(
                "daemon-0", "POST", "/confirm", {"plan": plan["plan"]}
            )
            models = await lab.call_async("GET", "/v1/models", "daemon-3")
            ledger = await lab.ledger()
            await cluster.set_store_faults(down=False)

            async def runs_again() -> bool:
                return (await lab.call_async("POST", ACK, headers=headers, json={}))[0] == 201

            await cluster.wait_for("the call to run", runs_again, 20.0)
            return streamed, refused, confirmed, models, ledger, await lab.ledger()

        streamed, refused, confirmed, models, during, after = lab.run(scenario())
        assert (streamed.text, streamed.done) == (expected("turbine", 20), True)
        assert (refused[0], refused[2]["executed"]) == (503, "no")
        assert int(refused[1]["Retry-After"]) >= 1
        assert confirmed[0] == 503
        assert [model["id"] for model in models[2]["data"]] == ["m"]
        assert "away" not in during
        assert after["away"] == 1


class TestAtMostOnce:
    def test_no_call_runs_twice_through_kills_and_an_outage(self, lab):
        """Calls repeated at random daemons while daemons and the service fail."""
        rng = random.Random(7)
        callers = [
            RepeatingCaller(lab.cluster, CALLER_KEY, random.Random(n)) for n in range(CALLERS)
        ]

        async def traffic(number: int) -> None:
            for index in range(number, CALLS, CALLERS):
                await callers[number].call(f"call-{index}")

        async def inject_faults() -> None:
            cluster = lab.cluster
            service = cluster.service
            for turn in range(6):
                await asyncio.sleep(rng.uniform(0.4, 0.9))
                victim = f"daemon-{1 + turn % 3}"
                await cluster.call_standin("POST", service, "/behaviour", break_after=3)
                if turn % 3 == 2:
                    await cluster.set_store_faults(down=True)
                    await asyncio.sleep(1.0)
                    await cluster.set_store_faults(down=False)
                if turn % 2:
                    cluster.processes[victim].send(signal.SIGSTOP)
                    await asyncio.sleep(3.5)
                    cluster.processes[victim].send(signal.SIGCONT)
                else:
                    await cluster.processes[victim].stop(signal.SIGKILL)
                    await cluster.start_daemon(victim)
                await cluster.call_standin("POST", service, "/behaviour", break_before=3)
                await cluster.set_store_faults(lose_answers=1)

        async def scenario() -> dict[str, int]:
            await asyncio.gather(inject_faults(), *(traffic(number) for number in range(CALLERS)))
            return await lab.ledger()

        ledger = lab.run(scenario())
        reports = {
            key: results for caller in callers for key, results in caller.reported_outcomes.items()
        }
        assert len(reports) == CALLS
        assert not ledger_faults(reports, ledger)
        assert not log_faults(lab.cluster)
        done = sum(results[-1] == "yes" for results in reports.values())
        print(f"{done} of {CALLS} done, {sum(map(len, reports.values()))} attempts")
        assert done > CALLS * 0.5
