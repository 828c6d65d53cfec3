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
# that a daemon has to finish its requests; chosen, not measured
GRACE_SECONDS = 6.0
# from SIGTERM to SIGKILL
STOP_SECONDS = GRACE_SECONDS + 2.0
# PR_SET_PDEATHSIG of prctl(2)
_DEATH_SIGNAL = 1


def _die_with_parent() -> None:
    """Let the kernel end this process when the soak is killed."""
    ctypes.CDLL(None).prctl(_DEATH_SIGNAL, signal.SIGKILL)


@dataclasses.dataclass
class Daemon:
    """One gateway process.

    :ivar ended: whether the soak ended it.
    :ivar started_at: on the loop's clock.
    """

    name: str
    settings: pathlib.Path
    callers: str
    readiness: str
    proxy: Proxy
    process: Process | None = None
    ended: bool = True
    started_at: float = 0.0
    starting: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.running

    async def start(self, log: pathlib.Path) -> None:
        """Start the real program.

        :param log: is appended to.
        """
        environment = {**os.environ, "THORNCLEAT_CONFIG": str(self.settings)}
        with log.open("ab") as output:
            started = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=_die_with_parent,
            )
        self.process = Process(self.name, started)
        # not before: until then the former process is the one that is known
        self.ended = False
        self.started_at = asyncio.get_running_loop().time()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.process is not None:
            self.process.send(number)

    async def end(self, number: signal.Signals) -> bool:
        """End the process; return whether it ended by itself in time."""
        self.ended = True
        return self.process is None or await self.process.stop(number, STOP_SECONDS)
