"""Demonstrates the system from end to end on a local cluster: ``bin/quickstart``.

Owns: the cluster.
Relies on: the operators' client being installed next to this interpreter.
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


async def _run_client(cluster: Cluster, *arguments: str) -> None:
    """Run the operators' client."""
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


async def _stream_completion(cluster: Cluster) -> None:
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
        finished = False
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                finished = True
            elif line.startswith(b"data: "):
                choice = json.loads(line.removeprefix(b"data: "))["choices"][0]
                print(choice["delta"].get("content", ""), end="", flush=True)
    print()
    if not finished:
        raise LaunchError("the streamed answer is incomplete")


async def _send_acknowledgement_twice(cluster: Cluster) -> None:
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


async def _wait_for_interrupt(cluster: Cluster) -> None:
    print("\nleft up until interrupted:")
    for name, process in sorted(cluster.processes.items()):
        print(f"  {name}: pid {process.pid} {json.dumps(process.announcement)}")
    print(f"  workspace key: {CALLER_KEY}")
    print(f"  operator key: {cluster.operator_key}")
    print(f"  logs and settings: {cluster.directory}", flush=True)
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, interrupted.set)
    await interrupted.wait()


async def _run(directory: pathlib.Path, keep: bool) -> None:
    cluster = Cluster(directory, Site())
    try:
        print("starting a store, a service, four engines and three daemons", flush=True)
        await cluster.start()
        await cluster.wait_until_ready()
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        intent = directory / "intent.json"
        intent.write_text(INTENT % {"digest": digest, "service": cluster.service})
        await _run_client(cluster, "plan", str(intent), "--out=plan.json")
        await _run_client(cluster, "confirm", "plan.json")
        await cluster.wait_for_open_groups(1)
        await _run_client(cluster, "groups")
        await _stream_completion(cluster)
        await _send_acknowledgement_twice(cluster)
        if keep:
            await _wait_for_interrupt(cluster)
    finally:
        await cluster.stop()
    print("\nall stopped")


def quickstart(keep: bool = False) -> None:
    """Run the demonstration.

    :param keep: whether the cluster stays up until interrupted.
    """
    with tempfile.TemporaryDirectory(prefix="thorncleat-") as name:
        try:
            asyncio.run(_run(pathlib.Path(name), keep))
        except LaunchError as error:
            print(f"quickstart failed: {error}", file=sys.stderr)
            raise SystemExit(1) from error


if __name__ == "__main__":
    fire.Fire(quickstart)
