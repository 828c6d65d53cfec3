"""Starts and stops programs as child processes.

Owns: the processes that it starts.
Relies on: each program printing one JSON line with its addresses as soon as it serves.
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

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
MAX_QUOTED_LOG_CHARACTERS = 2000


class LaunchError(Exception):
    """A process failed to start, or a cluster did not reach the expected state."""


@dataclasses.dataclass
class Process:
    """A child process.

    :param announcement: the JSON object that it printed when it began to serve.
    """

    name: str
    process: asyncio.subprocess.Process
    announcement: dict[str, t.Any] = dataclasses.field(default_factory=dict)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def stop(
        self, signal_number: signal.Signals = signal.SIGTERM, seconds: float = STOP_TIMEOUT_SECONDS
    ) -> bool:
        """Stop the process, if necessary with SIGKILL; return whether it ended in time.

        :param seconds: time between the signal and SIGKILL.
        """
        # Resumes a suspended process, which would not handle other signals.
        self.send(signal.SIGCONT)
        self.send(signal_number)
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
            return False
        return True


async def spawn(directory: pathlib.Path, name: str, module: str, *arguments: str) -> Process:
    """Start a Python module as a process and wait for its announcement.

    :param directory: directory of its log ``name.log``.
    :raises LaunchError: if it ends or announces nothing within :data:`START_TIMEOUT_SECONDS`.
    """
    log_path = directory / f"{name}.log"
    with log_path.open("ab") as log:
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
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_SECONDS)
        return Process(name, process, json.loads(line))
    except (TimeoutError, ValueError) as error:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        tail = log_path.read_text(errors="replace")[-MAX_QUOTED_LOG_CHARACTERS:]
        raise LaunchError(f"{name!r} did not start: {tail}") from error
