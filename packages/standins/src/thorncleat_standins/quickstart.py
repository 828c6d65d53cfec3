"""The main job from end to end, by plain processes: ``bin/quickstart``.

Owns: the cluster that it starts and ends.
Relies on: the operators' client being installed beside this interpreter.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import sys
import tempfile

import aiohttp
import fire

from .cluster import Cluster
from .cluster import Site
from .processes import LaunchError

CALLER_KEY = "quickstart-caller-key"
INTENT = """// What the night shift needs: one group of four instances.
{
  "workspaces": [{"name": "night-shift", "key_digests": ["%(digest)s"], "share": 2}],
  "services": [
    {
      "name": "telemetry",
      "endpoints": ["%(service)s"],
      "workspaces": ["night-shift"],
      // an acknowledgement may run once at most
      "not_repeatable": ["POST /alarms"],
    },
  ],
  "intents": [
    {
      "name": "narrator",
      "model": "fault-narrator",
      "version": "v1",
      "workspaces": ["night-shift"],
      "replicas": 1,
      "instances_per_replica": 4,
    },
  ],
}
"""


async def _client(cluster: Cluster, *arguments: str) -> None:
    """Run the operators' client as a process of its own."""
    environment = {
        **os.environ,
        "THORNCLEAT_URL": cluster.operators("daemon-0"),
        "THORNCLEAT_KEY": cluster.operator_key,
    }
    print(f"\n$ thorncleat {' '.join(arguments)}", flush=True)
    program = pathlib.Path(sys.executable).with_name("thorncleat")
    process = await asyncio.create_subprocess_exec(
        str(program), *arguments, env=environment, cwd=cluster.directory
    )
    if await process.wait():
        raise LaunchError(f"thorncleat {arguments[0]} failed")


async def _stream(cluster: Cluster) -> None:
    url = f"{cluster.callers('daemon-1')}/v1/chat/completions"
    body = {
        "model": "fault-narrator",
        "messages": [{"role": "user", "content": "Summarise the alarms of turbine 7."}],
        "max_tokens": 24,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    print(f"\nstreaming from {url}", flush=True)
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=body) as response,
    ):
        response.raise_for_status()
        ended = False
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                ended = True
            elif line.startswith(b"data: "):
                choice = json.loads(line.removeprefix(b"data: "))["choices"][0]
                print(choice["delta"].get("content", ""), end="", flush=True)
    print()
    if not ended:
        raise LaunchError("the answer was not whole")


async def _acknowledge_twice(cluster: Cluster) -> None:
    headers = {
        "Authorization": f"Bearer {CALLER_KEY}",
        "Idempotency-Key": "alarm-4711",
        "X-Call": "alarm-4711",
    }
    print("\nacknowledging alarm 4711 at two daemons with the same key", flush=True)
    async with aiohttp.ClientSession(headers=headers) as session:
        for daemon in ("daemon-0", "daemon-2"):
            url = f"{cluster.callers(daemon)}/v1/services/telemetry/alarms/4711/ack"
            async with session.post(url, json={"by": "shift 3"}) as response:
                print(f"{daemon}: {response.status} {await response.text()}")
                response.raise_for_status()
        async with session.get(f"http://{cluster.service}/ledger") as response:
            runs = (await response.json()).get("alarm-4711")
    print(f"the service ran it {runs} time(s)")
    if runs != 1:
        raise LaunchError("the acknowledgement did not run exactly once")


async def _keep_up(cluster: Cluster) -> None:
    print("\nleft up until interrupted:")
    for name, process in sorted(cluster.processes.items()):
        print(f"  {name}: pid {process.pid} {json.dumps(process.announcement)}")
    print(f"  workspace key: {CALLER_KEY}")
    print(f"  operator key: {cluster.operator_key}")
    print(f"  logs and settings: {cluster.directory}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def _run(directory: pathlib.Path, keep: bool) -> None:
    cluster = Cluster(directory, Site())
    try:
        print("starting a store, a service, four engines and three daemons", flush=True)
        await cluster.start()
        await cluster.wait_until_ready()
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        intent = directory / "intent.json"
        intent.write_text(INTENT % {"digest": digest, "service": cluster.service})
        await _client(cluster, "plan", str(intent), "--out=plan.json")
        await _client(cluster, "confirm", "plan.json")
        await cluster.wait_for_open_groups(1)
        await _client(cluster, "groups")
        await _stream(cluster)
        await _acknowledge_twice(cluster)
        if keep:
            await _keep_up(cluster)
    finally:
        await cluster.stop()
    print("\nall stopped")


def quickstart(keep: bool = False) -> None:
    """Run the main job once.

    :param keep: leave everything up until interrupted.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-") as name:
        try:
            asyncio.run(_run(pathlib.Path(name), keep))
        except LaunchError as error:
            print(f"quickstart failed: {error}", file=sys.stderr)
            raise SystemExit(1) from error


if __name__ == "__main__":
    fire.Fire(quickstart)
