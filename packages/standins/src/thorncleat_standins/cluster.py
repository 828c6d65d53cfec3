"""A cluster of stand-ins and daemons as plain processes, for quickstart, tests and benchmarks.

Owns: the processes that it started, their settings and logs in one directory, and the list of
instances that the stand-in store shows to the daemons.
Relies on: free loopback ports. No part of the product starts a process.
"""

import asyncio
import dataclasses
import hashlib
import itertools
import json
import pathlib
import secrets
import typing as t

import aiohttp
import zmq

from .processes import LaunchError
from .processes import Process
from .processes import spawn

Json = dict[str, t.Any]
# between two looks at what is waited for
LOOK_SECONDS = 0.05
# for daemons that start, meet and form groups
WAIT_SECONDS = 30.0
# of each instance (docs/DEVELOPERS.md: 80,000 on 10,000 instances)
ACCELERATORS = 8
# where a cluster sets none: few shards, quick loads and looks at the list, for short runs
CONTROL = {"shards": 4, "load": 1.0}
LIST_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Site:
    """Where the instances stand: how many in how many fabric domains.

    :param domains: fabric domains; each lies in a failure domain of its own.
    :param instances: endpoint instances in each.
    """

    daemons: int = 3
    domains: int = 1
    instances: int = 4
    token_seconds: float = 0.02
    load_seconds: float = 0.2


class Cluster:
    """Stand-ins and daemons on free loopback ports.

    :param directory: for settings and logs.
    :param control: overrides of the ``control`` settings.
    :param requests: overrides of the ``requests`` settings.
    :param listen: overrides of the ``listen`` settings.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        site: Site,
        control: Json | None = None,
        requests: Json | None = None,
        listen: Json | None = None,
    ) -> None:
        self.directory = directory
        self.site = site
        self.operator_key = secrets.token_urlsafe(18)
        self.processes: dict[str, Process] = {}
        self.instances: dict[str, str] = {}
        self._control = {**CONTROL, **(control or {})}
        self._requests = requests or {}
        self._listen = listen or {}
        public, secret = zmq.curve_keypair()
        self._peer_keys = {"public": public.decode(), "secret": secret.decode()}
        self._listed: dict[str, Json] = {}
        directory.mkdir(parents=True, exist_ok=True)

    # addresses

    @property
    def store(self) -> str:
        """Address of the store."""
        return str(self.processes["store"].announcement["addresses"][0])

    @property
    def service(self) -> str:
        """Address of the plain service."""
        return str(self.processes["service"].announcement["addresses"][0])

    @property
    def daemons(self) -> list[str]:
        """Names of the daemons that were started."""
        return sorted(name for name in self.processes if name.startswith("daemon-"))

    def callers(self, daemon: str) -> str:
        """URL of a daemon's callers' side."""
        return f"http://{self.processes[daemon].announcement['callers']}"

    def operators(self, daemon: str) -> str:
        """URL of a daemon's operators' side."""
        return f"http://{self.processes[daemon].announcement['operators']}"

    # starting and stopping

    async def start(self, *, shared_engines: bool = False) -> None:
        """Start everything and list it with the platform.

        :param shared_engines: one process for all engines of a domain, which saves memory
            where no single one has to be killed.
        """
        await self.spawn("store", "thorncleat_standins", "store")
        await self.spawn("service", "thorncleat_standins", "service")
        domains = [
            [f"d{domain}-i{number}" for number in range(self.site.instances)]
            for domain in range(self.site.domains)
        ]
        if shared_engines:
            await asyncio.gather(
                *(
                    self._start_engines(f"domain-{domain}", names)
                    for domain, names in enumerate(domains)
                )
            )
        else:
            names = itertools.chain.from_iterable(domains)
            await asyncio.gather(*(self.start_engine(name) for name in names))
        await asyncio.gather(
            *(self.start_daemon(f"daemon-{number}") for number in range(self.site.daemons))
        )

    async def start_engine(self, name: str) -> None:
        """Start an engine and list its instance.

        :param name: ``d0-i2`` for instance 2 of fabric domain 0.
        """
        await self._start_engines(name, [name])

    async def _start_engines(self, process_name: str, instances: list[str]) -> None:
        process = await self.spawn(
            process_name,
            "thorncleat_standins",
            "engine",
            ",".join(instances),
            f"--token_seconds={self.site.token_seconds}",
            f"--load_seconds={self.site.load_seconds}",
        )
        for name, address in zip(instances, process.announcement["addresses"], strict=True):
            self.instances[name] = address
            domain = name.partition("-")[0].removeprefix("d")
            self._list(
                name,
                kind="endpoint",
                address=address,
                fabric_domain=f"fabric-{domain}",
                failure_domain=f"fd-{domain}",
                accelerators=ACCELERATORS,
            )
        await self.publish_list()

    async def start_daemon(self, name: str) -> None:
        """Start a daemon and list it."""
        path = self.write_settings(name)
        process = await self.spawn(name, "thorncleat_daemon", "run", str(path))
        self._list(
            name,
            kind="entry",
            address=process.announcement["peers"],
            fabric_domain="",
            failure_domain="fd-0",
            accelerators=0,
        )
        await self.publish_list()

    def write_settings(self, name: str) -> pathlib.Path:
        """Write a daemon's settings."""
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        settings = {
            "cluster": "quickstart",
            "daemon": {"id": name, "failure_domain": "fd-0", "region": "here"},
            "listen": {
                "callers": "127.0.0.1:0",
                "operators": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
                **self._listen,
            },
            "peer_keys": {**self._peer_keys, "accepted": [self._peer_keys["public"]]},
            "store": {"endpoints": [self.store]},
            "platform": {"endpoints": [self.store], "poll": LIST_SECONDS},
            "operators": [{"name": "first", "key_digest": digest}],
            "control": self._control,
            "requests": self._requests,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        path.chmod(0o600)
        return path

    async def spawn(self, name: str, module: str, *arguments: str) -> Process:
        """Start a Python module as a process of the cluster.

        :raises LaunchError: if it does not start.
        """
        process = await spawn(self.directory, name, module, *arguments)
        self.processes[name] = process
        return process

    async def stop(self) -> None:
        """End all processes that were started, daemons first."""
        daemons = [self.processes[name] for name in self.daemons]
        others = [process for process in self.processes.values() if process not in daemons]
        await asyncio.gather(*(daemon.stop() for daemon in daemons))
        await asyncio.gather(*(process.stop() for process in others))

    # the platform's list

    def _list(self, name: str, **row: t.Any) -> None:
        """List an instance; published by :meth:`publish_list`."""
        # at the end also when it was listed before
        self._listed.pop(name, None)
        self._listed[name] = {"id": name, "region": "here", "state": "live", **row}

    async def publish_list(self) -> None:
        """Put the list before the daemons."""
        rows = list(self._listed.values())
        await self.call_standin("PUT", self.store, "/platform/instances", instances=rows)

    async def call_standin(self, method: str, address: str, path: str, **body: t.Any) -> Json:
        """Call a stand-in's switchboard."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{address}{path}", json=body) as response,
        ):
            response.raise_for_status()
            return t.cast(Json, await response.json())

    async def set_store_faults(self, **faults: t.Any) -> None:
        """Switch the store's faults."""
        await self.call_standin("POST", self.store, "/faults", **faults)

    # operators

    async def call_operator_api(
        self, daemon: str, method: str, path: str, body: Json | None = None
    ) -> tuple[int, Json]:
        """Call a daemon's operators' side as the first operator."""
        url = f"{self.operators(daemon)}/operators/v1{path}"
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status, t.cast(Json, await response.json(content_type=None))

    async def apply(self, change: Json, daemon: str = "daemon-0") -> int:
        """Plan and confirm a change; return its revision.

        :raises LaunchError: if it is refused.
        """
        body = {"document": json.dumps(change), "name": "change"}
        status, answer = await self.call_operator_api(daemon, "POST", "/plans", body)
        if status != 200:
            raise LaunchError(f"no plan: {answer}")
        status, done = await self.call_operator_api(
            daemon, "POST", "/confirm", {"plan": answer["plan"]}
        )
        if status != 200:
            raise LaunchError(f"not accepted: {done}")
        return int(done["revision"])

    async def wait_for(
        self, what: str, condition: t.Callable[[], t.Awaitable[bool]], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a condition holds.

        :raises LaunchError: naming what it waited for, if it does not in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            if await condition():
                return
            await asyncio.sleep(LOOK_SECONDS)
        raise LaunchError(f"waited {seconds} s in vain for {what}")

    async def wait_until_ready(self) -> None:
        """Wait until every daemon is ready."""

        async def ready() -> bool:
            async with aiohttp.ClientSession() as session:
                for name in self.daemons:
                    async with session.get(f"{self.callers(name)}/readyz") as response:
                        if response.status != 200:
                            return False
            return True

        await self.wait_for("the daemons to be ready", ready)

    async def wait_for_open_groups(self, groups: int) -> None:
        """Wait until every daemon knows that many open groups."""

        async def opened() -> bool:
            for name in self.daemons:
                if not self.processes[name].running:
                    continue
                _, answer = await self.call_operator_api(name, "GET", "/groups")
                if sum(group["state"] == "open" for group in answer["groups"]) < groups:
                    return False
            return True

        await self.wait_for(f"{groups} open groups", opened)
