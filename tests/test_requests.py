"""Guards the answers, errors and access rights of callers and operators, with real processes."""

import asyncio
import json
import os
import pathlib
import socket
import subprocess
import sys

import pytest

from thorncleat_standins.cluster import Site

from .lab import Lab
from .lab import completion
from .lab import expected
from .lab import intent
from .makers import digest

CHAT = "/v1/chat/completions"
ACK = "/v1/services/telemetry/alarms/7/ack"


@pytest.fixture(scope="module")
def lab(tmp_path_factory):
    lab = Lab(tmp_path_factory.mktemp("requests"), Site(), body=20_000)
    try:
        lab.start()
        yield lab
    finally:
        lab.close()


class TestCompletions:
    def test_whole_answer(self, lab):
        status, headers, body = lab.call("POST", CHAT, json=completion("alarms today", 5))
        assert status == 200
        assert body["choices"][0]["message"]["content"] == expected("alarms today", 5)
        assert body["id"] == f"chatcmpl-{headers['X-Request-Id']}"

    @pytest.mark.parametrize("daemon", ["daemon-0", "daemon-1", "daemon-2"])
    def test_streamed_answer_at_every_daemon(self, lab, daemon):
        found = lab.run(lab.stream(completion("turbine 7", 12), daemon))
        assert (found.text, found.done) == (expected("turbine 7", 12), True)

    def test_concurrent_callers_get_their_own_answers(self, lab):
        async def call_concurrently():
            texts = [f"turbine {number}" for number in range(60)]
            daemons = [f"daemon-{number % 3}" for number in range(60)]
            calls = [
                lab.stream(completion(text, 10), daemon)
                for text, daemon in zip(texts, daemons, strict=True)
            ]
            return texts, await asyncio.gather(*calls)

        texts, answers = lab.run(call_concurrently())
        assert [answer.text for answer in answers] == [expected(text, 10) for text in texts]
        assert all(answer.done for answer in answers)

    def test_models(self, lab):
        _, _, body = lab.call("GET", "/v1/models")
        assert [model["id"] for model in body["data"]] == ["m"]
        _, _, body = lab.call("GET", "/v1/models", key="other-key")
        assert body["data"] == []

    def test_not_repeatable_completion_is_answered_again_not_run_again(self, lab):
        headers = {"X-Request-Repeatable": "no", "Idempotency-Key": "note-1"}
        first = lab.call("POST", CHAT, headers=headers, json=completion("note", 4))
        again = lab.call("POST", CHAT, "daemon-2", headers=headers, json=completion("note", 4))
        assert first[0] == again[0] == 200
        assert again[1]["X-Repeated"] == "yes"
        assert first[2]["id"] == again[2]["id"]


class TestBadRequests:
    def _assert_refused(self, answer, status: int, text: str) -> None:
        assert answer[0] == status
        assert answer[1]["Content-Type"].startswith("application/problem+json")
        assert text in answer[2]["detail"]
        assert answer[2]["executed"] == "no"

    @pytest.mark.parametrize(
        ("body", "text"),
        [
            (b"{", "Invalid JSON"),
            (b"[]", "be an object"),
            (json.dumps({"messages": [{}]}).encode(), "model: Field required"),
            (json.dumps({"model": "m", "messages": []}).encode(), "messages: "),
            (json.dumps(completion(tokens=0)).encode(), "max_tokens: "),
        ],
    )
    def test_body(self, lab, body, text):
        self._assert_refused(lab.call("POST", CHAT, data=body), 400, text)

    def test_oversize_body(self, lab):
        self._assert_refused(lab.call("POST", CHAT, data=b"x" * 30_000), 413, "20000 bytes")

    @pytest.mark.parametrize(
        ("headers", "text"),
        [
            ({"X-Request-Deadline": "-1"}, "has passed"),
            ({"X-Request-Deadline": "soon"}, "not a number"),
            ({"X-Request-Deadline": "nan"}, "over 3600"),
            ({"X-Request-Priority": "high"}, "not between 0 and 9"),
            ({"X-Request-Repeatable": "maybe"}, "neither 'yes' nor 'no'"),
            ({"X-Request-Repeatable": "no"}, "needs Idempotency-Key"),
            ({"Idempotency-Key": "x" * 201}, "1 to 200 characters"),
        ],
    )
    def test_header(self, lab, headers, text):
        answer = lab.call("POST", CHAT, headers=headers, json=completion())
        self._assert_refused(answer, 400, text)

    @pytest.mark.parametrize("key", ["", "wrong"])
    def test_key(self, lab, key):
        self._assert_refused(
            lab.call("POST", CHAT, key=key, json=completion()), 401, "workspace's key"
        )

    def test_model_of_another_workspace(self, lab):
        answer = lab.call("POST", CHAT, key="other-key", json=completion())
        self._assert_refused(answer, 404, "no model 'm' for workspace 'b'")

    def test_service_of_another_workspace(self, lab):
        self._assert_refused(lab.call("GET", ACK, key="other-key"), 404, "no service 'telemetry'")

    def test_injected_header_does_not_pass(self, lab):
        host, _, port = lab.cluster.callers("daemon-0").removeprefix("http://").rpartition(":")
        raw = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-A: a\rX-B: b\r\n\r\n"
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(raw)
            assert b" 400 " in connection.recv(200).split(b"\r\n")[0]


class TestPlainServices:
    def test_body_and_status_pass_through(self, lab):
        status, _, body = lab.call("GET", "/v1/services/telemetry/turbines/7?full=1")
        assert (status, body["path"]) == (200, "/turbines/7?full=1")

    def test_not_repeatable_needs_a_key(self, lab):
        status, _, body = lab.call("POST", ACK, json={})
        assert (status, body["executed"]) == (400, "no")

    def test_repeat_at_another_daemon_runs_once(self, lab):
        headers = {"Idempotency-Key": "ack-1", "X-Call": "ack-1"}
        answers = [
            lab.call("POST", ACK, f"daemon-{number}", headers=headers, json={"by": "me"})
            for number in (0, 1, 2, 0)
        ]
        assert {answer[0] for answer in answers} == {201}
        assert len({json.dumps(answer[2]) for answer in answers}) == 1
        assert lab.run(lab.ledger())["ack-1"] == 1

    def test_repeats_at_the_same_time_run_once(self, lab):
        headers = {"Idempotency-Key": "ack-2", "X-Call": "ack-2"}

        async def race():
            calls = [
                lab.call_async("POST", ACK, f"daemon-{n % 3}", headers=headers, json={})
                for n in range(12)
            ]
            return await asyncio.gather(*calls), await lab.ledger()

        answers, ledger = lab.run(race())
        assert ledger["ack-2"] == 1
        assert 201 in {answer[0] for answer in answers}
        for status, _, body in answers:
            assert status == 201 or (status == 409 and body["executed"] in ("unknown", "yes"))

    def test_same_key_with_another_body(self, lab):
        headers = {"Idempotency-Key": "ack-3"}
        lab.call("POST", ACK, headers=headers, json={"by": "me"})
        status, _, body = lab.call("POST", ACK, "daemon-1", headers=headers, json={"by": "you"})
        assert (status, body["title"]) == (422, "Key reused")

    @pytest.mark.parametrize("method", ["POST", "PUT"])
    def test_lost_answer_is_unknown_and_never_run_again(self, lab, method):
        # PUT too, which the HTTP client would retry by itself on a reused connection.
        call = f"lost-{method}"
        headers = {"Idempotency-Key": call, "X-Call": call}

        async def lose():
            service = lab.cluster.service
            await lab.call_async("GET", "/v1/services/telemetry/warm")
            await lab.cluster.call_standin("POST", service, "/behaviour", break_after=1)
            first = await lab.call_async(method, ACK, headers=headers, json={})
            again = await lab.call_async(method, ACK, "daemon-1", headers=headers, json={})
            return first, again, await lab.ledger()

        first, again, ledger = lab.run(lose())
        assert (first[0], first[2]["executed"]) == (502, "unknown")
        assert (again[0], again[2]["executed"]) == (409, "unknown")
        assert ledger[call] == 1


class TestOperators:
    def test_reader_may_not_change(self, lab):
        original_key, lab.cluster.operator_key = lab.cluster.operator_key, "reader-key"
        try:
            assert lab.run(lab.cluster.call_operator_api("daemon-1", "GET", "/status"))[0] == 200
            body = {"document": "{}"}
            assert (
                lab.run(lab.cluster.call_operator_api("daemon-1", "POST", "/plans", body))[0] == 403
            )
        finally:
            lab.cluster.operator_key = original_key

    def test_confirming_twice_acts_once(self, lab):
        async def confirm_twice():
            cluster = lab.cluster
            change = {"workspaces": [{"name": "c", "key_digests": ["0" * 64]}]}
            body = {"document": json.dumps(change)}
            _, plan = await cluster.call_operator_api("daemon-0", "POST", "/plans", body)
            sent = {"plan": plan["plan"]}
            first = await cluster.call_operator_api("daemon-1", "POST", "/confirm", sent)
            again = await cluster.call_operator_api("daemon-2", "POST", "/confirm", sent)
            return first, again

        first, again = lab.run(confirm_twice())
        assert first[0] == again[0] == 200
        assert first[1]["revision"] == again[1]["revision"]

    def test_racing_operators(self, lab):
        async def race():
            cluster = lab.cluster
            plans = []
            for number in range(3):
                change = {
                    "workspaces": [
                        {"name": f"r{number}", "key_digests": [digest(f"race {number}")]}
                    ]
                }
                body = {"document": json.dumps(change)}
                plans.append(
                    (await cluster.call_operator_api("daemon-0", "POST", "/plans", body))[1]
                )
            return await asyncio.gather(
                *(
                    cluster.call_operator_api(
                        f"daemon-{n}", "POST", "/confirm", {"plan": plan["plan"]}
                    )
                    for n, plan in enumerate(plans)
                )
            )

        answers = lab.run(race())
        assert sorted(status for status, _ in answers) == [200, 409, 409]
        for status, body in answers:
            assert status == 200 or body["fresh"]["plan"]["steps"] == []

    def test_new_key_works_without_a_restart(self, lab):
        async def change_key():
            await lab.cluster.apply(
                {"workspaces": [{"name": "k", "key_digests": [digest("new-key")]}]}
            )

            async def is_key_accepted() -> bool:
                answers = [
                    await lab.call_async("GET", "/v1/models", name, key="new-key")
                    for name in lab.cluster.daemons
                ]
                return all(status == 200 for status, _, _ in answers)

            await lab.cluster.wait_for("the key to be in force", is_key_accepted, 6.0)

        lab.run(change_key())

    def test_no_secret_in_logs_or_answers(self, lab):
        lab.call("POST", CHAT, key="a-leaked-key", json=completion())
        _, body = lab.run(lab.cluster.call_operator_api("daemon-0", "GET", "/status"))
        logs = "".join(path.read_text() for path in lab.cluster.directory.glob("*.log"))
        for secret in ("a-leaked-key", "caller-key", lab.cluster.operator_key):
            assert secret not in logs + json.dumps(body)

    def test_health_and_metrics(self, lab):
        assert lab.call("GET", "/healthz")[0] == 200
        assert lab.call("GET", "/readyz")[0] == 200
        text = lab.call("GET", "/metrics")[2]
        assert 'thorncleat_broken_invariants{name="instance_in_two_groups"} 0.0' in text

    def test_explain_a_request_at_another_daemon(self, lab):
        _, headers, _ = lab.call("POST", CHAT, json=completion())
        path = f"/explain/{headers['X-Request-Id']}"
        status, body = lab.run(lab.cluster.call_operator_api("daemon-2", "GET", path))
        assert (status, body["daemon"], body["executed"]) == (200, "daemon-0", "yes")


class TestClient:
    def _client(self, lab, tmp_path, *arguments: str, key: str | None = None):
        program = pathlib.Path(sys.executable).with_name("thorncleat")
        environment = {
            **os.environ,
            "THORNCLEAT_URL": lab.cluster.operators("daemon-0"),
            "THORNCLEAT_KEY": key or lab.cluster.operator_key,
        }
        return subprocess.run(
            [str(program), *arguments],
            env=environment,
            cwd=tmp_path,
            capture_output=True,
            text=True,
            timeout=30,
        )

    def test_plan_confirm_and_conflict(self, lab, tmp_path):
        (tmp_path / "intent.json").write_text('{"workspaces": [] /* nothing */}')
        assert self._client(lab, tmp_path, "plan", "intent.json", "--out=p").returncode == 0
        assert "accepted" in self._client(lab, tmp_path, "confirm", "p").stdout
        lab.run(lab.cluster.apply({"remove": {"workspaces": ["k"]}}))
        # A confirmation repeated after another change still finds the accepted plan.
        assert self._client(lab, tmp_path, "confirm", "p").returncode == 0

    def test_exit_codes(self, lab, tmp_path):
        (tmp_path / "bad.json").write_text('{"intents": [{"name": "x"}]}')
        bad = self._client(lab, tmp_path, "plan", "bad.json")
        assert bad.returncode == 2
        assert "bad.json:1: intents.0.model: this key is required" in bad.stderr
        assert self._client(lab, tmp_path, "status", key="wrong").returncode == 6
        assert self._client(lab, tmp_path, "explain", "nothing").returncode == 7
        assert self._client(lab, tmp_path, "--url=http://127.0.0.1:1", "status").returncode == 4

    def test_tables_and_json(self, lab, tmp_path):
        assert "narrator-0" in self._client(lab, tmp_path, "groups").stdout
        shown = json.loads(self._client(lab, tmp_path, "groups", "--json").stdout)
        assert shown["groups"][0]["group"] == "narrator-0"
        burn = self._client(lab, tmp_path, "report", "burn", "--html=burn.html")
        assert "workspace" in burn.stdout
        assert "<svg" in (tmp_path / "burn.html").read_text()

    def test_drain_shows_a_plan(self, lab, tmp_path):
        shown = self._client(lab, tmp_path, "drain", "d0-i1").stdout
        assert "move" in shown
        assert "narrator-0" in shown


def test_intent_is_what_the_lab_applies(lab):
    _, body = lab.run(lab.cluster.call_operator_api("daemon-0", "GET", "/status"))
    assert body["intents"] == [intent("x")["intents"][0]["name"]]
