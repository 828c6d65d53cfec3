"""Daemons whose background tasks fail: what callers, the store and the endpoints see."""

import asyncio
import collections
import dataclasses
import importlib
import pkgutil

import aiohttp
import pytest
from mode.services import ServiceTask

import thorncleat_gateway
from thorncleat_gateway import events
from thorncleat_gateway import service
from thorncleat_gateway.service import Service
from thorncleat_platform import settings
from thorncleat_platform.headers import READINESS_PATH

from .test_gateway import HOST
from .test_gateway import configuration
from .test_gateway import site

# Failures of a task before it has run at all.
FAILED_BEGINS = 3
# Each time a task has waited for that many things, what it waits for raises.
FAILED_WAITS = (1, 2, 3, 5, 8, 13)
# A task whose waits are rare fails in its begin alone.
MIN_FAILURES = FAILED_BEGINS
DAEMONS = 2
LATER_HOST = "later.example"
# How old a configuration may be by the bounds of the site, and how long a call for changes waits.
REVOKE_SECONDS = 2.0
VIEW_WAIT_SECONDS = 1.5
REQUESTS = 6
# Of two places each, in which the count doubles.
MAX_LINES_PER_TASK = 20


def _subclasses(parent):
    for child in parent.__subclasses__():
        yield child
        yield from _subclasses(child)


def _find_tasks():
    """Return the background tasks of all services, by their names in the log."""
    for module in pkgutil.walk_packages(thorncleat_gateway.__path__, "thorncleat_gateway."):
        importlib.import_module(module.name)
    return {
        f"{owner.__name__}.{name}": owner
        for owner in _subclasses(Service)
        if owner.__module__.startswith("thorncleat_gateway.")
        for name, value in vars(owner).items()
        if isinstance(value, ServiceTask)
    }


class InjectedError(Exception):
    """What a task raises."""


class _FailingWaits:
    """Runs a coroutine, in which some of the things that it waits for raise."""

    def __init__(self, work, is_failed) -> None:
        self._work = work
        self._is_failed = is_failed

    def __await__(self):
        running = self._work.__await__()
        step, value = running.send, None
        while True:
            try:
                waited_for = step(value)
            except StopIteration as end:
                return end.value
            try:
                yield waited_for
                step, value = running.send, None
                if self._is_failed():
                    step, value = running.throw, InjectedError("wait")
            except BaseException as error:
                step, value = running.throw, error


class Faults:
    """Lets a background task of all daemons fail, in its begin and while it waits.

    :ivar begins: how often each task has begun, by name.
    :ivar task: the one that fails.
    :ivar always: those that fail at each pass, in the daemon that was started last.
    """

    def __init__(self) -> None:
        self.begins = collections.Counter()
        self.lines = []
        self.task = ""
        self.always = set()
        self._waits = {}
        self._last_owners = {}

    def install(self, monkeypatch) -> None:
        run_task = Service.run_task

        async def run_failing(owner, name, run):
            begins = 0
            self._last_owners[name] = owner

            async def begin():
                nonlocal begins
                begins += 1
                self.begins[name] += 1
                fails_first = name == self.task and begins <= FAILED_BEGINS
                if fails_first or self._is_always(owner, name):
                    raise InjectedError("begin")
                await _FailingWaits(run(), lambda: self._is_failed_wait(owner, name))

            await run_task(owner, name, begin)

        monkeypatch.setattr(Service, "run_task", run_failing)
        monkeypatch.setattr(
            type(events.TASK_FAILED), "log", lambda event, **fields: self._log(event, fields)
        )
        monkeypatch.setattr(service, "MIN_RESTART_SECONDS", 0.005)
        monkeypatch.setattr(service, "MAX_RESTART_SECONDS", 0.04)

    def _is_always(self, owner, name) -> bool:
        return name in self.always and self._last_owners[name] is owner

    def _is_failed_wait(self, owner, name) -> bool:
        if name != self.task:
            return self._is_always(owner, name)
        waits = self._waits.setdefault(owner, [*FAILED_WAITS, -1])
        waits[0] -= 1
        if waits[0]:
            return False
        del waits[0]
        return True

    def _log(self, event, fields) -> None:
        if event is events.TASK_FAILED:
            self.lines.append(fields)

    def logged(self) -> set[str]:
        """Return the names of what has failed."""
        return {line["task"] for line in self.lines}


@pytest.fixture
def faults(monkeypatch):
    found = Faults()
    found.install(monkeypatch)
    return found


@pytest.fixture
def _workspaces(monkeypatch):
    """Let daemons share their load by workspace, as they do under overload control."""
    load = settings.load

    def load_controlled(*paths):
        loaded = load(*paths)
        gateway = dataclasses.replace(loaded.gateway, overload_control=True)
        return dataclasses.replace(loaded, gateway=gateway)

    monkeypatch.setattr(settings, "load", load_controlled)


def _later_configuration():
    """Return a configuration with a route that the first one lacks."""
    later = configuration(version=2)
    (added,) = [dict(route) for route in later["routes"] if route["name"] == "status"]
    later["routes"].append({**added, "name": "later", "host": LATER_HOST})
    return later


async def check_sound(cluster) -> None:
    """Check what a sound site shows: to callers, in the store, and between the daemons."""
    cluster.store.write("op/config", _later_configuration())
    await cluster.until(
        lambda: all(gateway.view.configuration_version() == 2 for gateway in cluster.gateways)
    )
    ids = {gateway._settings.id for gateway in cluster.gateways}
    await cluster.until(
        lambda: all(set(gateway._registration.daemons()) == ids for gateway in cluster.gateways)
    )
    await cluster.until(
        lambda: sum(gateway._election.is_controller for gateway in cluster.gateways) == 1
    )
    for daemon in range(len(cluster.gateways)):
        for number, host in enumerate((HOST, LATER_HOST)):
            call = cluster.call("POST", "/status/x", daemon=daemon, number=f"p{number}", Host=host)
            assert (await call)[0] == 200
        assert (await cluster.chat(number=f"s{daemon}", daemon=daemon))[0] == 200
    await check_loads_arrive(*cluster.gateways, cluster)


async def check_loads_arrive(sender, receiver, cluster) -> None:
    """Check that one daemon's count of requests arrives at another one."""
    with sender.load_table.track_request("desk0"):
        await cluster.until(lambda: receiver.load_table.request_count("desk0") > 0)


@pytest.mark.parametrize("task", _find_tasks())
@pytest.mark.usefixtures("_workspaces")
async def test_daemons_do_their_work_though_a_task_has_failed(tmp_path, faults, task):
    """Guards against an exception in one task that ends all of them, but not the process."""
    faults.task = task
    async with site(tmp_path, daemons=DAEMONS) as cluster:
        await cluster.until(lambda: faults.begins[task] >= DAEMONS * MIN_FAILURES)
        await check_sound(cluster)
        assert faults.logged() == {task}


@pytest.mark.usefixtures("_workspaces")
async def test_each_task_that_there_is_runs_in_a_daemon(tmp_path, faults):
    """Guards against a task that the other tests of this file don't cover."""
    async with site(tmp_path, daemons=DAEMONS):
        assert set(faults.begins) == set(_find_tasks())
        assert not faults.lines


async def _is_ready(gateway) -> bool:
    host, port = gateway._settings.readiness
    url = f"http://{host}:{port}{READINESS_PATH}"
    async with aiohttp.ClientSession() as client, client.get(url) as response:
        return response.status == 200


@pytest.mark.parametrize(
    ("tasks", "ready"),
    [
        pytest.param({"StoreView._follow_task"}, False, id="view"),
        pytest.param(set(_find_tasks()) - {"StoreView._follow_task"}, True, id="all others"),
    ],
)
@pytest.mark.usefixtures("_workspaces")
async def test_daemon_whose_tasks_always_fail_serves_or_is_not_ready(
    tmp_path, faults, tasks, ready
):
    """Guards against a daemon that says that it is ready and refuses its callers for good."""
    async with site(tmp_path, daemons=DAEMONS) as cluster:
        faults.always = tasks
        cluster.store.write("op/config", _later_configuration())
        await asyncio.sleep(REVOKE_SECONDS + VIEW_WAIT_SECONDS)
        first, last = cluster.gateways
        assert (await _is_ready(first), await _is_ready(last)) == (True, ready)
        for number in range(REQUESTS):
            found = [
                await cluster.call(
                    "POST", "/status/x", daemon=daemon, number=f"a{number}", Host=host
                )
                for daemon in range(1 + ready)
                for host in (HOST, LATER_HOST)
            ]
            found += [
                await cluster.chat(daemon=daemon, number=f"b{number}")
                for daemon in range(1 + ready)
            ]
            assert {status for status, _, _ in found} == {200}
        assert faults.logged() <= tasks
        # Each failure counts, but few are logged.
        assert len(faults.lines) <= MAX_LINES_PER_TASK * len(tasks)
