"""Program of one worker of the soak with pauses, which its parent stops and continues by signals.

It writes its entry, the runs that it begins and the orders to leave that it follows as JSON lines
to its standard output, so that its entry stays in the store while the process stands still. It
reads which other workers stand still from its standard input, and ends when that does.

Owns: the worker, its listener and what it knows of the other members of its group.
Relies on: the parent to write the entry into the store and to name the workers that stand still.
"""

import asyncio
import json
import logging
import sys
import typing as t

from thorncleat_standins.platform_worker import Run

from .stalling_worker import StallingWorker

EVENT_INTERVAL_SECONDS = 0.05
EVENTS_PER_STREAM = 40
# How long a leader stalls without a member before it breaks its group. The daemons' stall
# timeout has the same value.
STALL_TIMEOUT_SECONDS = 5.0


def report(kind: str, **fields: t.Any) -> None:
    """Write a line to the parent."""
    print(json.dumps({"kind": kind, **fields}), flush=True)


class ReportedEntries:
    """Passes the entry of the worker to the parent, which writes it into the store."""

    def write(self, key: str, document: dict[str, t.Any]) -> None:
        """Report a document."""
        report("entry", key=key, document=document)

    def delete(self, key: str) -> None:
        """Report that a key is gone."""
        report("gone", key=key)


class PausingWorker(StallingWorker):
    """A worker that breaks the streams of the group that it leaves, and ends no other stream.

    As a leader it stalls while a member stands still or has left the group.

    :ivar paused: ids of the workers that stand still or have died.
    :ivar departed: ids of workers with the epochs of the groups that they left.
    """

    stall_timeout = STALL_TIMEOUT_SECONDS
    event_interval = EVENT_INTERVAL_SECONDS

    def __init__(self, name: str, service: str, domain: str, zone: str) -> None:
        super().__init__(ReportedEntries(), name, service, domain)
        self.zone = zone
        self.born = 1
        self.events = EVENTS_PER_STREAM
        self.breaks_streams = True
        self.paused: set[str] = set()
        self.departed: set[tuple[str, int]] = set()

    @property
    def is_group_complete(self) -> bool:
        """Whether all members of its group are in it and none stands still."""
        return not any(
            name in self.paused or (name, self._epoch) in self.departed for name in self._members
        )

    def record_run(self, run: Run) -> None:
        """Report the start of a run."""
        report("run", id=run.id, path=run.path, epoch=self._epoch)

    def _leave(self) -> None:
        group = self._group
        assert group is not None
        report(
            "leave",
            group=group["name"],
            epoch=group["epoch"],
            state=group["state"],
            members=self._members,
            streams=self._stream_count,
        )
        super()._leave()


async def _read_parent(worker: PausingWorker) -> None:
    """Follow the parent's lines until its end."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        message = json.loads(line)
        worker.paused = set(message["paused"])
        worker.departed = {(name, epoch) for name, epoch in message["departed"]}


async def main(name: str, service: str, domain: str, zone: str) -> None:
    """Run the worker until the parent ends."""
    worker = PausingWorker(name, service, domain, zone)
    await worker.start()
    await _read_parent(worker)


if __name__ == "__main__":
    # Silences the errors of the streams that an order to leave breaks.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    asyncio.run(main(*sys.argv[1:]))
