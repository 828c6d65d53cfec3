"""Serves a stand-in on a port, in a process of its own or inside a test.

Owns: the listening socket of each application.
Relies on: :mod:`thorncleat_standins.processes` to read the line that a process prints.
"""

import asyncio
import contextlib
import json
import signal
import typing as t

from aiohttp import web

SHUTDOWN_TIMEOUT_SECONDS = 0.5


class Served:
    """A running HTTP application.

    :param address: ``host:port``.
    """

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self.address = address

    @classmethod
    async def start(cls, app: web.Application, host: str = "127.0.0.1", port: int = 0) -> "Served":
        """Serve an application; port 0 takes a free one."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return cls(runner, f"{host}:{runner.addresses[0][1]}")

    async def stop(self) -> None:
        """Stop serving and close all connections."""
        await self._runner.cleanup()


async def _serve_until_signal(start: t.Callable[[], t.Awaitable[list[Served]]]) -> None:
    served = await start()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # The parent process reads the addresses from this line.
    print(json.dumps({"addresses": [application.address for application in served]}), flush=True)
    await stop_requested.wait()
    for application in served:
        await application.stop()


def run(start: t.Callable[[], t.Awaitable[list[Served]]]) -> None:
    """Print one JSON line with the addresses, and serve until SIGTERM or SIGINT."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve_until_signal(start))
