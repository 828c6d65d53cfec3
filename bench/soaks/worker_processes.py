"""Worker processes of the soak with pauses, as their parent sees them.

Owns: the process of each worker, and the time of its pauses and its death.
Relies on: the lines that :mod:`bench.soaks.pausing_worker` writes.
"""

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys
import typing as t

from .gateway_daemons import exit_with_parent

ROOT = pathlib.Path(__file__).resolve().parents[2]


@dataclasses.dataclass(frozen=True)
class Leave:
    """An order to leave that a worker followed.

    :param group: name of the group.
    :param state: state of the group at this worker before it.
    :param members: ids of the group's members, the leader first.
    :param streams: number of streams that it broke.
    :param at: on the loop's clock, in seconds.
    """

    worker: str
    group: str
    epoch: int
    state: str
    members: tuple[str, ...]
    streams: int
    at: float


@dataclasses.dataclass(frozen=True)
class RunStart:
    """The start of a run.

    :param id: of the request.
    :param epoch: of the group that runs it.
    """

    worker: str
    id: str
    path: str
    epoch: int


class ProcessObserver(t.Protocol):
    """Receives what worker processes report."""

    def record_entry(self, key: str, document: dict[str, t.Any]) -> None:
        """Record the entry of a worker."""
        ...

    def record_run(self, run: RunStart) -> None:
        """Record the start of a run."""
        ...

    def record_leave(self, leave: Leave) -> None:
        """Record that a worker follows an order to leave."""
        ...


class WorkerProcess:
    """A worker in a process of its own.

    :param zone: its failure domain.
    :cvar module: the program, a Python module.
    :ivar entry: the entry that it reported last; empty before the first.
    :ivar is_paused: whether the process stands still.
    :ivar continued_at: time of the end of its latest pause, on the loop's clock.
    :ivar died_at: time of its death, on the loop's clock; None while it lives.
    """

    module: t.ClassVar[str] = "bench.soaks.pausing_worker"

    def __init__(
        self, observer: ProcessObserver, name: str, service: str, domain: str, zone: str
    ) -> None:
        self._observer = observer
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._has_entry = asyncio.Event()
        self.id = name
        self.service = service
        self.domain = domain
        self.zone = zone
        self.entry: dict[str, t.Any] = {}
        self.is_paused = False
        self.continued_at = float("-inf")
        self.died_at: float | None = None

    @property
    def is_alive(self) -> bool:
        """Whether it has not died."""
        return self.died_at is None

    @property
    def group(self) -> dict[str, t.Any]:
        """Its group as in its entry; empty for none."""
        return self.entry.get("group") or {}

    @property
    def is_serving_leader(self) -> bool:
        """Whether it lives and leads an open group."""
        return self.is_alive and self.group.get("rank") == 0 and self.group["state"] == "open"

    async def start(self, log: pathlib.Path) -> None:
        """Start the process and wait for its entry.

        :param log: file to which its errors are appended.
        """
        with log.open("ab") as errors:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                self.id,
                self.service,
                self.domain,
                self.zone,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                cwd=ROOT,
                preexec_fn=exit_with_parent,
            )
        self._reading = asyncio.create_task(self._read_lines(self._process))
        await self._has_entry.wait()

    def tell(self, message: dict[str, t.Any]) -> None:
        """Write a line to the process."""
        if self.is_alive and self._process is not None and self._process.stdin is not None:
            self._process.stdin.write(json.dumps(message).encode() + b"\n")

    def pause(self) -> None:
        """Make the process stand still."""
        self.is_paused = True
        self._send(signal.SIGSTOP)

    def go_on(self) -> None:
        """End a pause."""
        self.is_paused = False
        self.continued_at = asyncio.get_running_loop().time()
        self._send(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and read what it had reported."""
        self.died_at = asyncio.get_running_loop().time()
        self._send(signal.SIGKILL)
        if self._process is not None and self._reading is not None:
            await self._process.wait()
            await self._reading

    def _send(self, signal_number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def _read_lines(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.record(json.loads(line))

    def record(self, message: dict[str, t.Any]) -> None:
        """Record a line of the process."""
        if message["kind"] == "entry":
            self.entry = message["document"]
            self._observer.record_entry(message["key"], message["document"])
            self._has_entry.set()
        elif message["kind"] == "run":
            run = RunStart(self.id, message["id"], message["path"], message["epoch"])
            self._observer.record_run(run)
        elif message["kind"] == "leave":
            leave = Leave(
                self.id,
                message["group"],
                message["epoch"],
                message["state"],
                tuple(message["members"]),
                message["streams"],
                asyncio.get_running_loop().time(),
            )
            self._observer.record_leave(leave)
