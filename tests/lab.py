"""A cluster of real processes that synchronous tests can control."""

import asyncio
import json
import pathlib
import typing as t

import aiohttp

from thorncleat_standins.cluster import Cluster
from thorncleat_standins.cluster import Site

from .makers import CALLER_KEY
from .makers import digest

QUICK_CONTROL = {
    "probe": 0.15,
    "window": 1.0,
    "permit": 1.0,
    "lease": 3.0,
    "lease_margin": 0.5,
    "repair_after": 0.6,
    "member_probe": 0.3,
}


class Lab:
    """A cluster and the event loop of its calls."""

    def __init__(self, directory: pathlib.Path, site: Site, **requests: t.Any) -> None:
        self._runner = asyncio.Runner()
        self.cluster = Cluster(directory, site, control=QUICK_CONTROL, requests=requests)

    def run(self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return self._runner.run(coroutine)

    def start(self, replicas: int = 1, spares: int = 0) -> None:
        self.run(self._start(replicas, spares))

    async def _start(self, replicas: int, spares: int) -> None:
        await self.cluster.start()
        await self.cluster.wait_until_ready()
        await self.cluster.apply(intent(self.cluster.service, replicas, spares))
        await self.cluster.wait_for_open_groups(replicas)

    def close(self) -> None:
        self.run(self.cluster.stop())
        self._runner.close()

    def call(
        self, method: str, path: str, daemon: str = "daemon-0", **options: t.Any
    ) -> tuple[int, t.Mapping[str, str], t.Any]:
        """Call a daemon's listener for callers; return status, headers and body."""
        return self.run(self.call_async(method, path, daemon, **options))

    async def call_async(
        self,
        method: str,
        path: str,
        daemon: str = "daemon-0",
        key: str = CALLER_KEY,
        headers: t.Mapping[str, str] | None = None,
        **options: t.Any,
    ) -> tuple[int, t.Mapping[str, str], t.Any]:
        all_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        url = self.cluster.callers(daemon) + path
        async with (
            aiohttp.ClientSession(headers=all_headers) as session,
            session.request(method, url, **options) as response,
        ):
            text = await response.text()
            try:
                return response.status, response.headers, json.loads(text)
            except ValueError:
                return response.status, response.headers, text

    async def stream(self, body: t.Any, daemon: str = "daemon-0", on_event=None) -> "StreamResult":
        """Read a streamed completion to its end.

        :param on_event: coroutine function that is called after each event.
        """
        result = StreamResult()
        url = self.cluster.callers(daemon) + "/v1/chat/completions"
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json={**body, "stream": True}) as response,
        ):
            result.status = response.status
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                if line.startswith(b"data: [DONE]"):
                    result.done = True
                    continue
                event = json.loads(line[6:])
                if "error" in event:
                    result.error = event
                    continue
                result.text += event["choices"][0]["delta"].get("content", "")
                if on_event:
                    await on_event(result)
        return result

    async def ledger(self) -> dict[str, int]:
        """Return how often the plain service executed each call."""
        return await self.cluster.call_standin("GET", self.cluster.service, "/ledger")


class StreamResult:
    """The result of a stream."""

    def __init__(self) -> None:
        self.status = 0
        self.text = ""
        self.done = False
        self.error: t.Any = None


def intent(service: str, replicas: int = 1, spares: int = 0, version: str = "v1") -> t.Any:
    return {
        "workspaces": [
            {"name": "a", "key_digests": [digest(CALLER_KEY)]},
            {"name": "b", "key_digests": [digest("other-key")]},
        ],
        "operators": [{"name": "reader", "key_digest": digest("reader-key"), "rights": "read"}],
        "services": [
            {
                "name": "telemetry",
                "endpoints": [service],
                "workspaces": ["a"],
                "not_repeatable": ["POST /alarms", "PUT /alarms"],
            }
        ],
        "intents": [
            {
                "name": "narrator",
                "model": "m",
                "version": version,
                "workspaces": ["a"],
                "replicas": replicas,
                "instances_per_replica": 4,
                "spares": spares,
            }
        ],
    }


def completion(text: str = "summarise", tokens: int = 8, **more: t.Any) -> t.Any:
    messages = [{"role": "user", "content": text}]
    return {"model": "m", "messages": messages, "max_tokens": tokens, **more}


def expected(text: str, tokens: int) -> str:
    """Return the answer of all engines to a text."""
    from thorncleat_standins.completions import token_text

    return "".join(token_text(text.split(), index) for index in range(tokens))
