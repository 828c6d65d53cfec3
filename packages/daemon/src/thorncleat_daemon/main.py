"""The program ``thorncleatd``.

Owns: the process.
Relies on: signals to stop; standard output for the listening addresses.
"""

import asyncio
import json
import pathlib
import signal
import sys

import fire

from thorncleat_core import clock
from thorncleat_core.daemon import settings
from thorncleat_core.exceptions import DocumentError

from . import logs
from .daemon import Daemon

# Exit code for invalid settings; the client uses the same for documents.
EXIT_SETTINGS = 2


def _load(path: str) -> settings.Settings:
    try:
        return settings.load(pathlib.Path(path))
    except DocumentError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from error


async def _run(daemon: Daemon) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await daemon.start()
    try:
        # The starting process reads the ports from this line.
        print(json.dumps(daemon.addresses), flush=True)
        await stopped.wait()
    finally:
        await daemon.stop()


class Commands:
    """The thorncleat daemon."""

    def run(self, path: str) -> None:
        """Run until SIGTERM or SIGINT.

        :param path: settings file.
        """
        daemon_settings = _load(path)
        logs.setup(daemon_settings.log_level, daemon_settings.daemon.id)
        with asyncio.Runner(loop_factory=clock.BootClockLoop) as runner:
            runner.run(_run(Daemon(daemon_settings)))

    def check(self, path: str) -> None:
        """Check a settings file and list all its faults.

        :param path: settings file.
        """
        _load(path)
        print(f"{path}: settings are good")


def main() -> None:
    """Run the program."""
    fire.Fire(Commands, name="thorncleatd")
