"""The daemons of the gateway's soak: the real program, started and ended by id.

Owns: each daemon's process.
Relies on: Linux, whose kernel ends the daemons when the soak itself is killed.
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
# that a daemon has to finish its requests
GRACE_PERIOD_SECONDS = 6.0
# from SIGTERM to SIGKILL
STOP_TIMEOUT_SECONDS = GRACE_PERIOD_SECONDS + 2.0
# PR_SET_PDEATHSIG of prctl(2)
_PR_SET_PDEATHSIG = 1


def _exit_with_parent() -> None:
    """Let the kernel end this process when the soak is killed."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclasses.dataclass
class Daemon:
    """One gateway process.

    :param program: of the build that it runs from its next start on.
    :ivar running_program: the program that it runs now, or ran last.
    :ivar ended_by_soak: whether the soak ended it.
    :ivar started_at: on the loop's clock.
    :ivar signalled_at: the same.
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
        """Whether its build reads what workers say in answers about taking requests."""
        return self.running_program == PROGRAM

    @property
    def reads_limits(self) -> bool:
        """Whether its build keeps to what workers take from all daemons together."""
        return self.running_program == PROGRAM

    @property
    def interrupted_at(self) -> float:
        """When it was started, stopped or frozen last, on the loop's clock."""
        return max(self.started_at, self.signalled_at)

    @property
    def disturbed_at(self) -> float:
        """The same, or when it was cut off from the store last."""
        return max(self.interrupted_at, self.proxy.changed_at)

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.running

    async def start(self, log: pathlib.Path) -> None:
        """Start the real program.

        :param log: is appended to.
        """
        environment = {**os.environ, "THORNCLEAT_CONFIG": str(self.settings)}
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.program),
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=_exit_with_parent,
            )
        self.process = Process(self.name, process)
        self.running_program = self.program
        # not before: until then the former process is the one that is known
        self.ended_by_soak = False
        self.started_at = asyncio.get_running_loop().time()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if signal_number is not signal.SIGHUP:
            # that one only has it read its settings
            self.signalled_at = asyncio.get_running_loop().time()
        if self.process is not None:
            self.process.send(signal_number)

    async def end(self, signal_number: signal.Signals) -> bool:
        """End the process; return whether it ended by itself in time."""
        self.ended_by_soak = True
        self.signalled_at = asyncio.get_running_loop().time()
        return self.process is None or await self.process.stop(signal_number, STOP_TIMEOUT_SECONDS)
