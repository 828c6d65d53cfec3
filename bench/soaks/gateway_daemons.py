"""Gateway processes of the gateway's soak.

Owns: the process of each daemon.
Relies on: Linux, whose kernel kills the daemons when the soak is killed.
"""

import asyncio
import ctypes
import dataclasses
import os
import pathlib
import signal
import sys

from thorncleat_standins.processes import Process

from .proxy import Proxy

PROGRAM = pathlib.Path(__file__).resolve().parents[2] / "platform" / "run.py"
# Time for a stopping daemon to finish its requests.
GRACE_PERIOD_SECONDS = 6.0
# Time from SIGTERM to SIGKILL.
STOP_TIMEOUT_SECONDS = GRACE_PERIOD_SECONDS + 2.0
# Option of prctl(2).
_PR_SET_PDEATHSIG = 1


def exit_with_parent() -> None:
    """Make the kernel kill this process when its parent exits."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclasses.dataclass
class Daemon:
    """A gateway process, which can be restarted.

    :param settings: path of its settings file.
    :param callers_address: ``host:port`` of its listener for callers.
    :param readiness_address: ``host:port`` of its listener for readiness probes.
    :param proxy: the proxy between it and the store.
    :param program: the program of its next start.
    :ivar ended_by_soak: whether the soak ended the process or has not started it.
    :ivar running_program: the program of its latest start.
    :ivar started_at: time of its latest start, on the loop's clock.
    :ivar signalled_at: time of the latest signal except SIGHUP, on the loop's clock.
    :ivar start_lock: serialises starts.
    """

    name: str
    settings: pathlib.Path
    callers_address: str
    readiness_address: str
    proxy: Proxy
    program: pathlib.Path = PROGRAM
    process: Process | None = None
    ended_by_soak: bool = True
    running_program: pathlib.Path = PROGRAM
    started_at: float = 0.0
    signalled_at: float = float("-inf")
    start_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def reads_notices(self) -> bool:
        """Whether its build honours ``Retry-After`` and ``Server-Leaving``."""
        return self.running_program == PROGRAM

    @property
    def reads_limits(self) -> bool:
        """Whether its build honours ``Server-Limit``."""
        return self.running_program == PROGRAM

    @property
    def reads_evacuations(self) -> bool:
        """Whether its build honours evacuations."""
        return self.running_program == PROGRAM

    @property
    def bounds_answers(self) -> bool:
        """Whether its build bounds what it reads of workers."""
        return self.running_program == PROGRAM

    @property
    def interrupted_at(self) -> float:
        """Time of the latest start or signal, on the loop's clock."""
        return max(self.started_at, self.signalled_at)

    @property
    def disturbed_at(self) -> float:
        """Time of the latest start, signal or change of its proxy's mode, on the loop's clock."""
        return max(self.interrupted_at, self.proxy.changed_at)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.is_running

    async def start(self, log: pathlib.Path) -> None:
        """Start the program.

        :param log: file to which the output is appended.
        """
        environment = {**os.environ, "THORNCLEAT_CONFIG": str(self.settings)}
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.program),
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=exit_with_parent,
            )
        self.process = Process(self.name, process)
        self.running_program = self.program
        # Set only now: a daemon that is not ended by the soak must have a running process.
        self.ended_by_soak = False
        self.started_at = asyncio.get_running_loop().time()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if there is a process."""
        if signal_number is not signal.SIGHUP:
            # SIGHUP only reloads the settings.
            self.signalled_at = asyncio.get_running_loop().time()
        if self.process is not None:
            self.process.send(signal_number)

    async def end(self, signal_number: signal.Signals) -> bool:
        """Send a signal and wait for the exit; return False if SIGKILL was needed."""
        self.ended_by_soak = True
        self.signalled_at = asyncio.get_running_loop().time()
        return self.process is None or await self.process.stop(signal_number, STOP_TIMEOUT_SECONDS)
