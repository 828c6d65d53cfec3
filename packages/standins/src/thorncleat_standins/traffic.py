"""Callers as they are under failure: they repeat at random daemons, and remember what they
were told, so that it can be held against the service's own ledger.

Owns: what each caller was told of each call.
Relies on: engines answering the same tokens for the same prompt, whichever they are.
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
# of a call
ATTEMPTS = 6
# with one answer; more than the deadline that callers send
PATIENCE_SECONDS = 5.0
DEADLINE_SECONDS = 3
DONE_STATUS = 201


class RepeatingCaller:
    """Makes calls that may run once, each until it knows what became of it.

    :param key: the workspace's key.
    """

    def __init__(self, cluster: Cluster, key: str, draw: random.Random) -> None:
        self._cluster = cluster
        self._headers = {
            "Authorization": f"Bearer {key}",
            "X-Request-Deadline": str(DEADLINE_SECONDS),
        }
        self._draw = draw
        self.reported_outcomes: dict[str, list[str]] = collections.defaultdict(list)

    async def call(self, name: str) -> None:
        """Make a call, at most :data:`ATTEMPTS` times."""
        for _ in range(ATTEMPTS):
            daemon = self._draw.choice(self._cluster.daemons)
            try:
                status, executed = await asyncio.wait_for(
                    self._once(daemon, name), PATIENCE_SECONDS
                )
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                self.reported_outcomes[name].append("unknown")
                continue
            self.reported_outcomes[name].append(executed)
            if status == DONE_STATUS:
                return
            await asyncio.sleep(self._draw.uniform(0.02, 0.2))

    async def _once(self, daemon: str, name: str) -> tuple[int, str]:
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
    """Return where what callers were told and what the service ran do not agree."""
    faults = []
    for name, answers in reported_outcomes.items():
        runs = ledger.get(name, 0)
        if runs > 1:
            faults.append(f"{name} ran {runs} times: {answers}")
        if "yes" in answers and runs == 0:
            faults.append(f"{name} never ran, but was answered: {answers}")
        if set(answers) == {"no"} and runs:
            faults.append(f"{name} ran, and was always said not to have: {answers}")
    return faults


async def stream_fault(
    cluster: Cluster, key: str, daemon: str, text: str, tokens: int
) -> str | None:
    """Read a stream; return what is wrong with it, or None if it is whole.

    An error that is told is no fault of the stream: it is returned as ``refused: ...``.
    """
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}"}
    got, done = "", False
    try:
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(cluster.callers(daemon) + CHAT, json=body) as response,
        ):
            if response.status != 200:
                return f"refused: {response.status}"
            async for line in response.content:
                if line.startswith(b"data: [DONE]"):
                    done = True
                elif line.startswith(b"data: "):
                    event = json.loads(line.removeprefix(b"data: "))
                    if "error" in event:
                        return f"refused: {event['title']}"
                    got += event["choices"][0]["delta"].get("content", "")
    except (aiohttp.ClientError, OSError) as error:
        return f"refused: {type(error).__name__}"
    wanted = "".join(token_text(text.split(), index) for index in range(tokens))
    if not wanted.startswith(got):
        return f"wrong: {got!r} is no beginning of {wanted!r} for {text!r}"
    if done and got != wanted:
        return f"wrong: ended after {len(got)} of {len(wanted)} characters"
    return None if done else "refused: broke off"


def log_faults(cluster: Cluster) -> list[str]:
    """Return the faults that the daemons themselves logged."""
    faults = []
    for path in sorted(cluster.directory.glob("daemon-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            entry = json.loads(line) if line.startswith("{") and line.endswith("}") else {}
            broken = entry.get("name") == "invariant_broken"
            failed = entry.get("name") == "task_failed" and entry.get("expected") is False
            if broken or failed:
                faults.append(f"{path.name}: {line}")
    return faults
