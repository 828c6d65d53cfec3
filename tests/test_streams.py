"""Guards against broken, truncated and foreign streams when engines or daemons fail."""

import asyncio
import re
import signal

import aiohttp
import pytest

from thorncleat_standins.cluster import Site

from .lab import Lab
from .lab import completion
from .lab import expected
from .makers import CALLER_KEY

CHAT = "/v1/chat/completions"


@pytest.fixture
def lab(tmp_path):
    lab = Lab(tmp_path, Site(domains=2, instances=5), stall=1.0)
    try:
        lab.start(replicas=2)
        yield lab
    finally:
        lab.close()


def _engines(lab: Lab) -> list[str]:
    """Return all engines, since a repaired group may have another leader."""
    return [name for name in lab.cluster.instances if re.fullmatch(r"d\d+-i\d+", name)]


async def _set_behaviour(lab: Lab, **changes) -> None:
    for name in _engines(lab):
        address = lab.cluster.instances[name]
        await lab.cluster.call_standin("POST", address, "/behaviour", **changes)


class TestFailingEngines:
    def test_death_of_the_engine_is_not_seen_by_the_caller(self, lab):
        async def kill_serving_engine(found):
            if found.text.count(" ") != 5:
                return
            for name in _engines(lab):
                state = f"http://{lab.cluster.instances[name]}/v1/state"
                async with aiohttp.ClientSession() as session, session.get(state) as response:
                    if (await response.json())["running"]:
                        lab.cluster.processes[name].send(signal.SIGKILL)
                        return

        found = lab.run(lab.stream(completion("turbine 7", 60), on_event=kill_serving_engine))
        assert (found.text, found.done, found.error) == (expected("turbine 7", 60), True, None)

    def test_death_of_another_member_moves_the_stream_too(self, lab):
        async def kill_member(found):
            if found.text.count(" ") == 5:
                lab.cluster.processes["d0-i2"].send(signal.SIGKILL)

        async def stream_concurrently():
            calls = [
                lab.stream(completion(f"turbine {n}", 80), on_event=kill_member) for n in range(8)
            ]
            return await asyncio.gather(*calls)

        answers = lab.run(stream_concurrently())
        assert [answer.text for answer in answers] == [
            expected(f"turbine {n}", 80) for n in range(8)
        ]
        assert all(answer.done for answer in answers)

    def test_clean_end_of_a_truncated_answer_is_noticed(self, lab):
        lab.run(_set_behaviour(lab, truncate_after=4))
        found = lab.run(lab.stream(completion("turbine", 10)))
        # Each attempt adds four events.
        assert found.text == expected("turbine", 10)
        assert found.done
        status, _, body = lab.call("POST", CHAT, json=completion("turbine", 10))
        assert (status, body["executed"]) == (502, "yes")

    def test_half_an_answer_and_then_silence(self, lab):
        lab.run(_set_behaviour(lab, stall_after=3))
        found = lab.run(lab.stream(completion("turbine", 9)))
        assert (found.text, found.done) == (expected("turbine", 9), True)

    def test_answers_of_another_request_are_never_passed_on(self, lab):
        lab.run(_set_behaviour(lab, foreign_identity=True))
        found = lab.run(lab.stream(completion("turbine", 5)))
        assert found.status == 502
        assert found.text == ""
        status, _, body = lab.call("POST", CHAT, json=completion("turbine", 5))
        assert status == 502
        assert "another request's identity" in body["detail"]


class TestCallers:
    def test_caller_who_leaves_cancels_the_engines_work(self, lab):
        async def leave():
            body = completion("turbine", 5000, stream=True)
            headers = {"Authorization": f"Bearer {CALLER_KEY}"}
            async with aiohttp.ClientSession(headers=headers) as session:
                url = lab.cluster.callers("daemon-0") + CHAT
                async with session.post(url, json=body) as response:
                    await response.content.readline()
                    response.close()

            async def are_engines_idle() -> bool:
                states = [
                    await lab.cluster.call_standin("GET", address, "/v1/state")
                    for address in lab.cluster.instances.values()
                ]
                return not any(state["running"] for state in states)

            await lab.cluster.wait_for("the engines to be idle", are_engines_idle, 5.0)

        lab.run(leave())
        text = lab.call("GET", "/metrics")[2]
        assert 'thorncleat_requests_total{outcome="caller_gone",workspace="a"} 1.0' in text

    def test_slow_reader_gets_all_of_it(self, lab):
        lab.run(_set_behaviour(lab, token_seconds=0.0001))

        async def read_slowly():
            body = completion("turbine", 20_000, stream=True)
            headers = {"Authorization": f"Bearer {CALLER_KEY}"}
            count = 0
            async with (
                aiohttp.ClientSession(headers=headers, read_bufsize=1024) as session,
                session.post(lab.cluster.callers("daemon-0") + CHAT, json=body) as response,
            ):
                await asyncio.sleep(1.5)
                async for line in response.content:
                    count += b'"content"' in line
            return count

        assert lab.run(read_slowly()) == 20_000


class TestPlannedStop:
    def test_daemon_that_is_stopped_finishes_its_streams(self, lab):
        async def stop_midway(found):
            if found.text.count(" ") == 3:
                lab.cluster.processes["daemon-1"].send(signal.SIGTERM)

        found = lab.run(lab.stream(completion("turbine", 50), "daemon-1", on_event=stop_midway))
        assert (found.text, found.done) == (expected("turbine", 50), True)
        assert lab.run(lab.cluster.processes["daemon-1"].process.wait()) == 0

    def test_drained_instance_finishes_its_streams(self, lab):
        async def drain_midway(found):
            if found.text.count(" ") == 3:
                await lab.cluster.apply({"draining": ["d0-i1", "d1-i1"]})

        found = lab.run(lab.stream(completion("turbine", 60), on_event=drain_midway))
        assert (found.text, found.done) == (expected("turbine", 60), True)

        async def have_groups_moved() -> bool:
            _, body = await lab.cluster.call_operator_api("daemon-0", "GET", "/groups")
            used = {member for group in body["groups"] for member in group["members"]}
            are_open = [group["state"] == "open" for group in body["groups"]]
            return not used & {"d0-i1", "d1-i1"} and all(are_open)

        lab.run(lab.cluster.wait_for("the groups to have moved", have_groups_moved))
        text = lab.call("GET", "/metrics")[2]
        assert "thorncleat_retries_total{" not in text
