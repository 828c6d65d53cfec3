"""Clients resume streams that broke off, on a route that is split over two services."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import world as lib

STREAMS = 40
DEADLINE_SECONDS = 8.0
# The sheet of vam-lima gives one retry to each kind of request.
TRIES = 2
PAUSE_SECONDS = 0.3


async def serve_one(world: lib.World, number: int, faults: list[str]) -> bool:
    """Ask for a stream as a client does, resume it after a break, and check the pieces."""
    until = time.monotonic() + DEADLINE_SECONDS
    got: list[int] = []
    for tried in range(TRIES):
        left = until - time.monotonic()
        if left <= 0.1:
            break
        gateway = world.gateways[(number + tried) % len(world.gateways)]
        attempt_id = world.next_id()
        last = got[-1] if got else 0
        headers = lib.request_headers(attempt_id, int(left * 1000), last)
        world.record.write(f"client {number} sends {attempt_id}, Last-Event-Id: {last or None}")
        answer = await lib.attempt(gateway, "/lohu930/2f", headers, left)
        ids = [lib.piece_id(piece) for piece in answer.pieces]
        world.record.write(
            f"client {number} gets {answer.status} for {attempt_id}, pieces {ids}, "
            f"{'whole' if answer.is_whole else 'broken off'}"
        )
        twice = [one for one in ids if one in got]
        if twice:
            faults.append(f"client {number}: pieces {twice} of {attempt_id} arrive twice")
        got += [one for one in ids if one not in got]
        if answer.status == 200 and answer.is_whole:
            return True
        await asyncio.sleep(float(answer.headers.get("retry-after", PAUSE_SECONDS)))
    return False


async def main(world: lib.World, trouble: bool) -> int:
    """Return the exit status of the case."""
    split = [{"service": "huvo11a", "weight": 90}, {"service": "wuno96b", "weight": 10}]
    await world.start_store(lib.configuration(7, split, size=2))
    for number in range(2):
        await world.add_worker(f"i-narrator-{number}", "huvo11a", "lima-a-d0")
    for number in range(3):
        await world.add_worker(f"i-desk-{number}", "wuno96b")
    await world.start_gateways(3)
    if not await world.wait_serving("huvo11a"):
        world.record.write("no group serves")
        return 2
    await asyncio.sleep(2.0)
    faults: list[str] = []
    clients = [asyncio.create_task(serve_one(world, number, faults)) for number in range(STREAMS)]
    if trouble:
        await asyncio.sleep(0.7)
        head = next(worker for worker in world.workers.values() if worker.is_serving_leader)
        crash = asyncio.create_task(head.fail())
        await asyncio.sleep(4.5)
        await crash
        await world.add_worker("i-narrator-2", "huvo11a", "lima-a-d0")
    done = await asyncio.gather(*clients)
    world.record.write(f"{sum(done)} of {STREAMS} streams were completed")
    for fault in faults:
        world.record.write(f"ORDER broken: {fault}")
    if not trouble and sum(done) < STREAMS:
        return 2
    return 1 if faults else 0


lib.run(main)
