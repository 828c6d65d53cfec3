"""Callers that retry at random daemons, and checks of the answers that they received.

Owns: the outcomes that each caller received.
Relies on: all engines returning the same tokens for the same prompt.
"""

import asyncio
import collections
import json
import random
import typing as t

import aiohttp

from .cluster import Cluster
from .completions import token_text

ACKNOWLEDGE = "/v1/services/telemetry/alarms/7/ack"
CHAT = "/v1/chat/completions"
MAX_ATTEMPTS = 6
# Must exceed DEADLINE_SECONDS.
CALL_TIMEOUT_SECONDS = 5.0
DEADLINE_SECONDS = 3
DONE_STATUS = 201


class RepeatingCaller:
    """Makes calls that must not run twice, and retries until one succeeds.

    :param key: the workspace's key.
    :ivar reported_outcomes: for each call, whether each attempt reported that it was executed:
        ``yes``, ``no`` or ``unknown``.
    """

    def __init__(self, cluster: Cluster, key: str, rng: random.Random) -> None:
        self._cluster = cluster
        self._headers = {
            "Authorization": f"Bearer {key}",
            "X-Request-Deadline": str(DEADLINE_SECONDS),
        }
        self._rng = rng
        self.reported_outcomes: dict[str, list[str]] = collections.defaultdict(list)

    async def call(self, name: str) -> None:
        """Make a call with up to :data:`MAX_ATTEMPTS` attempts."""
        for _ in range(MAX_ATTEMPTS):
            daemon = self._rng.choice(self._cluster.daemons)
            try:
                status, executed = await asyncio.wait_for(
                    self._attempt(daemon, name), CALL_TIMEOUT_SECONDS
                )
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                self.reported_outcomes[name].append("unknown")
                continue
            self.reported_outcomes[name].append(executed)
            if status == DONE_STATUS:
                return
            await asyncio.sleep(self._rng.uniform(0.02, 0.2))

    async def _attempt(self, daemon: str, name: str) -> tuple[int, str]:
        headers = {**self._headers, "Idempotency-Key": name, "X-Call": name}
        url = self._cluster.callers(daemon) + ACKNOWLEDGE
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json={}) as response,
        ):
            body = await response.json(content_type=None)
            executed = "yes" if response.status == DONE_STATUS else str(body["executed"])
            return response.status, executed


def ledger_faults(
    reported_outcomes: t.Mapping[str, list[str]], ledger: t.Mapping[str, int]
) -> list[str]:
    """Return the contradictions between the reported outcomes and the service's ledger."""
    faults = []
    for name, outcomes in reported_outcomes.items():
        runs = ledger.get(name, 0)
        if runs > 1:
            faults.append(f"{name} ran {runs} times: {outcomes}")
        if "yes" in outcomes and runs == 0:
            faults.append(f"{name} never ran, but was answered: {outcomes}")
        if set(outcomes) == {"no"} and runs:
            faults.append(f"{name} ran, but was always denied: {outcomes}")
    return faults


async def stream_fault(
    cluster: Cluster, key: str, daemon: str, text: str, tokens: int
) -> str | None:
    """Read a stream; return a description of its fault, or None if it is complete.

    A reported error or a broken connection is returned as ``refused: ...``.
    """
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}"}
    received, finished = "", False
    try:
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(cluster.callers(daemon) + CHAT, json=body) as response,
        ):
            if response.status != 200:
                return f"refused: {response.status}"
            async for line in response.content:
                if line.startswith(b"data: [DONE]"):
                    finished = True
                elif line.startswith(b"data: "):
                    event = json.loads(line.removeprefix(b"data: "))
                    if "error" in event:
                        return f"refused: {event['title']}"
                    received += event["choices"][0]["delta"].get("content", "")
    except (aiohttp.ClientError, OSError) as error:
        return f"refused: {type(error).__name__}"
    expected = "".join(token_text(text.split(), index) for index in range(tokens))
    if not expected.startswith(received):
        return f"wrong: {received!r} is not a prefix of {expected!r} for {text!r}"
    if finished and received != expected:
        return f"wrong: ended after {len(received)} of {len(expected)} characters"
    return None if finished else "refused: broke off"


def log_faults(cluster: Cluster) -> list[str]:
    """Return the log lines with faults that the daemons detected themselves."""
    faults = []
    for path in sorted(cluster.directory.glob("daemon-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            entry = json.loads(line) if line.startswith("{") and line.endswith("}") else {}
            broken = entry.get("name") == "invariant_broken"
            failed = entry.get("name") == "task_failed" and entry.get("expected") is False
            if broken or failed:
                faults.append(f"{path.name}: {line}")
    return faults
