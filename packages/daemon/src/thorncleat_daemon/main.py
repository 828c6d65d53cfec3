"""The program ``thorncleatd``.

Owns: the process.
Relies on: signals to stop; standard output for the ports that were taken.
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

# exit code for settings that are not usable, as the client's for documents
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await daemon.start()
    try:
        # whoever started the daemon learns its ports from this line
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
        loaded = _load(path)
        logs.setup(loaded.log_level, loaded.daemon.id)
        with asyncio.Runner(loop_factory=clock.BootClockLoop) as runner:
            runner.run(_run(Daemon(loaded)))

    def check(self, path: str) -> None:
        """Check a settings file and list everything that is wrong with it.

        :param path: settings file.
        """
        _load(path)
        print(f"{path}: settings are good")


def main() -> None:
    """Run the program."""
    fire.Fire(Commands, name="thorncleatd")
