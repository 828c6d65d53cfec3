"""Serving a stand-in on a free port, alone in a process or inside a test.

Owns: the listening socket of each application.
Relies on: :mod:`thorncleat_standins.processes` reading the line that a process prints.
"""

import asyncio
import contextlib
import json
import signal
import typing as t

from aiohttp import web

# for handlers to end
SHUTDOWN_SECONDS = 0.5


class Served:
    """An HTTP application that is being served.

    :param address: ``host:port``.
    """

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self.address = address

    @classmethod
    async def start(cls, app: web.Application, host: str = "127.0.0.1", port: int = 0) -> "Served":
        """Start serving; port 0 takes a free one."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return cls(runner, f"{host}:{runner.addresses[0][1]}")

    async def stop(self) -> None:
        """Stop serving and close all connections."""
        await self._runner.cleanup()


async def _serve_until_signal(start: t.Callable[[], t.Awaitable[list[Served]]]) -> None:
    served = await start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # the launcher reads this one line to learn the ports
    print(json.dumps({"addresses": [application.address for application in served]}), flush=True)
    await stopped.wait()
    for application in served:
        await application.stop()


def run(start: t.Callable[[], t.Awaitable[list[Served]]]) -> None:
    """Serve until SIGTERM or SIGINT, after one JSON line with the addresses."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve_until_signal(start))
