"""Runs a cluster of stand-ins and daemons as processes, for quickstart, tests and benchmarks.

Owns: the processes, the directory of their settings and logs, and the platform's list of
instances.
Relies on: free loopback ports.
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
POLL_INTERVAL_SECONDS = 0.05
# Limit for daemons to start, connect and form groups.
WAIT_TIMEOUT_SECONDS = 30.0
ACCELERATORS_PER_INSTANCE = 8
# Few shards and short loads keep runs short.
DEFAULT_CONTROL = {"shards": 4, "load": 1.0}
LIST_POLL_INTERVAL_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Site:
    """The size of a cluster.

    :param domains: number of fabric domains, each in its own failure domain.
    :param instances: number of endpoint instances in each fabric domain.
    :param token_seconds: duration of an engine's batch step.
    :param load_seconds: duration of loading a model.
    """

    daemons: int = 3
    domains: int = 1
    instances: int = 4
    token_seconds: float = 0.02
    load_seconds: float = 0.2


class Cluster:
    """Stand-ins and daemons on free loopback ports.

    :param directory: directory of settings and logs.
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
        self._control = {**DEFAULT_CONTROL, **(control or {})}
        self._requests = requests or {}
        self._listen = listen or {}
        public, secret = zmq.curve_keypair()
        self._peer_keys = {"public": public.decode(), "secret": secret.decode()}
        self._listed_instances: dict[str, Json] = {}
        directory.mkdir(parents=True, exist_ok=True)

    # Addresses

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
        """Names of the started daemons."""
        return sorted(name for name in self.processes if name.startswith("daemon-"))

    def callers(self, daemon: str) -> str:
        """Return the URL of a daemon's listener for callers."""
        return f"http://{self.processes[daemon].announcement['callers']}"

    def operators(self, daemon: str) -> str:
        """Return the URL of a daemon's listener for operators."""
        return f"http://{self.processes[daemon].announcement['operators']}"

    # Processes

    async def start(self, *, shared_engines: bool = False) -> None:
        """Start all processes and list the instances.

        :param shared_engines: whether the engines of a domain share a process, which saves memory.
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

        :param name: for example ``d0-i2`` for instance 2 of fabric domain 0.
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
            self._list_instance(
                name,
                kind="endpoint",
                address=address,
                fabric_domain=f"fabric-{domain}",
                failure_domain=f"fd-{domain}",
                accelerators=ACCELERATORS_PER_INSTANCE,
            )
        await self.publish_list()

    async def start_daemon(self, name: str) -> None:
        """Start a daemon and list it."""
        path = self.write_settings(name)
        process = await self.spawn(name, "thorncleat_daemon", "run", str(path))
        self._list_instance(
            name,
            kind="entry",
            address=process.announcement["peers"],
            fabric_domain="",
            failure_domain="fd-0",
            accelerators=0,
        )
        await self.publish_list()

    def write_settings(self, name: str) -> pathlib.Path:
        """Write a daemon's settings file and return its path."""
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
            "platform": {"endpoints": [self.store], "poll": LIST_POLL_INTERVAL_SECONDS},
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

        :raises LaunchError: if it fails to start.
        """
        process = await spawn(self.directory, name, module, *arguments)
        self.processes[name] = process
        return process

    async def stop(self) -> None:
        """Stop all processes, daemons first."""
        daemons = [self.processes[name] for name in self.daemons]
        others = [process for process in self.processes.values() if process not in daemons]
        await asyncio.gather(*(daemon.stop() for daemon in daemons))
        await asyncio.gather(*(process.stop() for process in others))

    # Instances and faults

    def _list_instance(self, name: str, **row: t.Any) -> None:
        """Add an instance to the list, see :meth:`publish_list`."""
        # Moves an instance that is listed already to the end.
        self._listed_instances.pop(name, None)
        self._listed_instances[name] = {"id": name, "region": "here", "state": "live", **row}

    async def publish_list(self) -> None:
        """Send the list of instances to the store, from which the daemons read it."""
        rows = list(self._listed_instances.values())
        await self.call_standin("PUT", self.store, "/platform/instances", instances=rows)

    async def call_standin(self, method: str, address: str, path: str, **body: t.Any) -> Json:
        """Call a stand-in's HTTP interface and return the JSON answer."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{address}{path}", json=body) as response,
        ):
            response.raise_for_status()
            return t.cast(Json, await response.json())

    async def set_store_faults(self, **faults: t.Any) -> None:
        """Change the store's faults."""
        await self.call_standin("POST", self.store, "/faults", **faults)

    # Operators

    async def call_operator_api(
        self, daemon: str, method: str, path: str, body: Json | None = None
    ) -> tuple[int, Json]:
        """Call a daemon's operator interface; return the status and the body."""
        url = f"{self.operators(daemon)}/operators/v1{path}"
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status, t.cast(Json, await response.json(content_type=None))

    async def apply(self, change: Json, daemon: str = "daemon-0") -> int:
        """Plan and confirm a change of the configuration; return its revision.

        :raises LaunchError: if it is refused.
        """
        body = {"document": json.dumps(change), "name": "change"}
        status, response_body = await self.call_operator_api(daemon, "POST", "/plans", body)
        if status != 200:
            raise LaunchError(f"plan refused: {response_body}")
        status, confirmation = await self.call_operator_api(
            daemon, "POST", "/confirm", {"plan": response_body["plan"]}
        )
        if status != 200:
            raise LaunchError(f"confirmation refused: {confirmation}")
        return int(confirmation["revision"])

    async def wait_for(
        self,
        what: str,
        condition: t.Callable[[], t.Awaitable[bool]],
        seconds: float = WAIT_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until a condition holds.

        :param what: names the condition in the error.
        :raises LaunchError: if the condition does not hold in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise LaunchError(f"timed out after {seconds} s waiting for {what}")

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""

        async def all_ready() -> bool:
            async with aiohttp.ClientSession() as session:
                for name in self.daemons:
                    async with session.get(f"{self.callers(name)}/readyz") as response:
                        if response.status != 200:
                            return False
            return True

        await self.wait_for("the daemons to be ready", all_ready)

    async def wait_for_open_groups(self, groups: int) -> None:
        """Wait until every running daemon lists at least that many open groups."""

        async def have_open_groups() -> bool:
            for name in self.daemons:
                if not self.processes[name].is_running:
                    continue
                _, response_body = await self.call_operator_api(name, "GET", "/groups")
                if sum(group["state"] == "open" for group in response_body["groups"]) < groups:
                    return False
            return True

        await self.wait_for(f"{groups} open groups", have_open_groups)
