"""Programs started as processes of their own, and ended by id.

Owns: nothing beyond the processes that it started.
Relies on: a stand-in or daemon printing one JSON line once it serves, with its addresses.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import typing as t

# for a daemon's imports and its first line on a busy machine
START_SECONDS = 20.0
# from the signal on
STOP_SECONDS = 10.0
# of a log that an error quotes
TAIL_CHARACTERS = 2000


class LaunchError(Exception):
    """A process did not start, or a cluster did not become what was waited for."""


@dataclasses.dataclass
class Process:
    """A process that was started here.

    :param said: the line that it printed.
    """

    name: str
    process: asyncio.subprocess.Process
    announcement: dict[str, t.Any] = dataclasses.field(default_factory=dict)

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        if self.running:
            self.process.send_signal(number)

    async def stop(
        self, number: signal.Signals = signal.SIGTERM, seconds: float = STOP_SECONDS
    ) -> bool:
        """End it, at last by SIGKILL; return whether it ended in time.

        :param seconds: that it has from the signal on.
        """
        # a process that stands still would notice nothing but SIGKILL
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
            return False
        return True


async def spawn(directory: pathlib.Path, name: str, module: str, *arguments: str) -> Process:
    """Start a Python module as a process and wait for the line that it prints.

    :param directory: where its log is written, as ``name.log``.
    :raises LaunchError: if it ends or prints no such line within :data:`START_SECONDS`.
    """
    path = directory / f"{name}.log"
    with path.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), START_SECONDS)
        return Process(name, process, json.loads(line))
    except (TimeoutError, ValueError) as error:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        tail = path.read_text(errors="replace")[-TAIL_CHARACTERS:]
        raise LaunchError(f"{name!r} did not start: {tail}") from error
