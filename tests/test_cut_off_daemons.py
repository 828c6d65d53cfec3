"""A daemon that is cut off from all endpoints still serves its callers, by way of its peers."""

import asyncio
import contextvars

import pytest

from .test_gateway import events
from .test_gateway import site

# The daemon whose code runs: the number in its settings, from 1.
current_daemon: contextvars.ContextVar[int] = contextvars.ContextVar("current_daemon", default=0)
# A caller that comes after this much of a cut is served at its first attempt.
LEARNING_SECONDS = 0.5
# A request that is served late is as lost to a caller as a refused one.
CALL_TIMEOUT_SECONDS = 3.0


class Cut:
    """Fails the new connections of some daemons to the workers.

    :ivar daemons: numbers of the daemons that are cut off.
    :ivar how: ``silent`` or ``reset``.
    """

    def __init__(self, cluster, loop) -> None:
        self._cluster = cluster
        self._connect = loop.sock_connect
        self.daemons: set[int] = set()
        self.how = "silent"
        loop.sock_connect = self._sock_connect

    async def _sock_connect(self, sock, address):
        workers = {worker.address for worker in self._cluster.workers}
        to_worker = f"{address[0]}:{address[1]}" in workers
        if to_worker and current_daemon.get() in self.daemons:
            if self.how == "reset":
                raise ConnectionRefusedError(111, "refused on the way")
            await asyncio.Event().wait()
        await self._connect(sock, address)


@pytest.fixture(autouse=True)
def _daemons_are_told_apart(monkeypatch):
    """Let all tasks of a daemon know to which daemon they belong."""
    from thorncleat_gateway.gateway import Gateway

    start = Gateway.start

    async def start_in_context(gateway):
        number = int(gateway._settings.id.rpartition("-")[2])
        context = contextvars.copy_context()
        context.run(current_daemon.set, number)
        await asyncio.get_running_loop().create_task(start(gateway), context=context)

    monkeypatch.setattr(Gateway, "start", start_in_context)


async def _statuses(cluster, daemon: int, count: int) -> list[int]:
    """Return the statuses of streams and plain requests, sent to a daemon in turn."""

    async def call(number: int) -> int:
        name = f"r{daemon}-{number}"
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            if number % 2:
                return (await cluster.call("POST", "/status/x", number=name, daemon=daemon))[0]
            status, _, body = await cluster.chat(number=name, daemon=daemon)
            assert status != 200 or body == events(1, 2, 3, 4, 5)
            return status

    statuses = []
    for number in range(count):
        statuses.append(await call(number))
        await asyncio.sleep(0.02)
    return statuses


def _controller(cluster) -> int:
    """Return the number of the daemon that controls the groups."""
    return next(
        number
        for number, gateway in enumerate(cluster.gateways, 1)
        if gateway._election.is_controller
    )


@pytest.mark.parametrize("how", ["silent", "reset"])
@pytest.mark.parametrize("with_controller", [False, True], ids=["others", "controller"])
async def test_cut_off_daemons_serve_first_attempts(tmp_path, how, with_controller):
    async with site(tmp_path, daemons=3) as cluster:
        loop = asyncio.get_running_loop()
        cut = Cut(cluster, loop)
        controller = _controller(cluster)
        others = [number for number in (1, 2, 3) if number != controller]
        cut.how = how
        cut.daemons = {controller, others[0]} if with_controller else set(others)
        victim = others[0] - 1
        # Callers that come at once make the daemon notice the cut.
        await asyncio.gather(
            *(_statuses(cluster, victim, 1) for _ in range(4)), return_exceptions=True
        )
        await asyncio.sleep(LEARNING_SECONDS)
        assert await _statuses(cluster, victim, 12) == [200] * 12
