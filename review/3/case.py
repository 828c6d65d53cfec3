"""A worker of a service without an engine crashes within an event of streams without a length."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import world as lib
from aiohttp import web

STREAMS = 120
STREAMS_PER_SECOND = 40.0
DEADLINE_SECONDS = 8.0
CRASH_AFTER_SECONDS = 2.0
EVENTS = 27


class DeskWorker(lib.Worker):
    """Streams without a length or chunks; the end of the connection ends the answer."""

    def __init__(self, world: lib.World, name: str) -> None:
        super().__init__(world.store, name, "wuno96b", "", world.record)
        # The number of the last event that each stream has got.
        self._open: dict[asyncio.Transport, int] = {}

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        self._open[transport] = 0
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close", *lines]
        transport.write("\r\n".join([*head, "", ""]).encode())
        for number in range(1, self.events + 1):
            if transport.is_closing():
                break
            transport.write(b"id: %d\ndata: %s\n\n" % (number, self.event(request, number)))
            self._open[transport] = number
            await self.delay_next_event()
        self._open.pop(transport, None)
        transport.close()
        return web.Response()

    async def crash_within_event(self) -> None:
        """End as a process that is killed: the system closes its connections."""
        self.is_alive = False
        for transport, number in list(self._open.items()):
            transport.write(b"id: %d\nda" % (number + 1))
            transport.close()
        self.record.write(f"{self.id} crashes within an event of {len(self._open)} streams")
        await asyncio.sleep(0.05)
        await self.crash()
        await asyncio.sleep(3 * lib.HEARTBEAT_SECONDS)
        self._store.delete(f"servers/{self.id}")


async def ask(world: lib.World, number: int, faults: list[str]) -> bool:
    """Ask for a stream, and check that an answer that looks complete is complete."""
    gateway = world.gateways[number % len(world.gateways)]
    attempt_id = world.next_id()
    headers = lib.request_headers(attempt_id, int(DEADLINE_SECONDS * 1000))
    answer = await lib.attempt(gateway, "/lohu930/2f", headers, DEADLINE_SECONDS)
    is_complete = answer.status == 200 and answer.is_whole
    end = answer.body[-24:]
    world.record.write(
        f"client {number} gets {answer.status} for {attempt_id}, {len(answer.body)} bytes, "
        f"{'complete' if is_complete else 'broken off or refused'}, ends with {end!r}"
    )
    last = b"id: %d\ndata: event %d\n\n" % (EVENTS, EVENTS)
    if is_complete and not answer.body.endswith(last):
        faults.append(f"client {number}: {attempt_id} is complete, but lacks its last piece")
    return is_complete


async def main(world: lib.World, trouble: bool) -> int:
    """Return the exit status of the case."""
    split = [{"service": "huvo11a", "weight": 90}, {"service": "wuno96b", "weight": 10}]
    await world.start_store(lib.configuration(7, split, size=2))
    for number in range(8):
        await world.add_worker(f"i-narrator-{number}", "huvo11a", "lima-a-d0")
    desks = [DeskWorker(world, f"i-desk-{number}") for number in range(3)]
    for desk in desks:
        world.workers[desk.id] = desk
        await desk.start()
    await world.start_gateways(3)
    if not await world.wait_serving("huvo11a"):
        world.record.write("no group serves")
        return 2
    await asyncio.sleep(3.0)
    faults: list[str] = []
    clients = []
    crash = None
    for number in range(STREAMS):
        clients.append(asyncio.create_task(ask(world, number, faults)))
        await asyncio.sleep(1 / STREAMS_PER_SECOND)
        if trouble and crash is None and number >= CRASH_AFTER_SECONDS * STREAMS_PER_SECOND:
            busiest = max(desks, key=lambda desk: len(desk._open))
            crash = asyncio.create_task(busiest.crash_within_event())
    done = await asyncio.gather(*clients)
    if crash is not None:
        crash.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await crash
    world.record.write(f"{sum(done)} of {STREAMS} answers look complete")
    for fault in faults:
        world.record.write(f"ORDER broken: {fault}")
    if sum(done) < STREAMS / 2:
        return 2
    return 1 if faults else 0


lib.run(main)
