"""How many calls to endpoints are under way, and which go first."""

import asyncio

import pytest

from thorncleat_gateway.groups import call_window
from thorncleat_gateway.groups.call_window import BACKGROUND
from thorncleat_gateway.groups.call_window import IMMEDIATE
from thorncleat_gateway.groups.call_window import INITIAL_LIMIT
from thorncleat_gateway.groups.call_window import MAX_LIMIT
from thorncleat_gateway.groups.call_window import MIN_LIMIT
from thorncleat_gateway.groups.call_window import CallWindow
from thorncleat_gateway.groups.orders import order_urgency
from thorncleat_gateway.peers.own_lateness import MAX_LATENESS_SECONDS
from thorncleat_gateway.ports import Close
from thorncleat_gateway.ports import Join
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Load
from thorncleat_gateway.ports import Open
from thorncleat_gateway.store.roster import GroupId

from . import virtual_time

FIRST, SECOND = GroupId(1, "g1"), GroupId(2, "g2")


class Lateness:
    """An event loop with a lateness set by the test."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def max_lateness_since(self, _moment: float) -> float:
        return self.seconds


class Calls:
    """Calls that take some time, and the largest number under way."""

    def __init__(self) -> None:
        self.lateness = Lateness()
        loop = asyncio.get_running_loop()
        self.window = CallWindow(self.lateness, loop.time)
        self.order: list[object] = []
        self.under_way = self.max_under_way = 0

    async def call(self, name, urgency=IMMEDIATE, seconds=0.1) -> None:
        async with self.window.slot(urgency):
            self.order.append(name)
            self.under_way += 1
            self.max_under_way = max(self.max_under_way, self.under_way)
            try:
                await asyncio.sleep(seconds)
            finally:
                self.under_way -= 1


def test_no_more_calls_are_under_way_than_the_limit():
    async def many():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        await asyncio.gather(*(calls.call(number) for number in range(200)))
        return calls

    calls = virtual_time.run(many())
    assert calls.max_under_way == INITIAL_LIMIT
    assert len(calls.order) == 200
    assert calls.window.waiting == 0


def test_late_daemon_sends_fewer_calls_but_always_some():
    async def late():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        for _ in range(20):
            await calls.call(0)
        low = calls.window.limit
        calls.lateness.seconds = 0.0
        for _ in range(50):
            await asyncio.gather(*(calls.call(0) for _ in range(MAX_LIMIT)))
        return low, calls.window.limit

    low, high = virtual_time.run(late())
    assert low == MIN_LIMIT
    assert INITIAL_LIMIT < high <= MAX_LIMIT


def test_calls_sent_together_shrink_the_limit_once():
    async def late():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        await asyncio.gather(*(calls.call(number) for number in range(INITIAL_LIMIT)))
        return calls.window.limit

    assert virtual_time.run(late()) == int(INITIAL_LIMIT * call_window.SHRINK_FACTOR)


def test_earlier_groups_go_first_and_urgent_calls_before_all():
    async def contended():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        holders = [asyncio.ensure_future(calls.call("before")) for _ in range(INITIAL_LIMIT)]
        await asyncio.sleep(0)
        waiting = [
            asyncio.ensure_future(calls.call(name, urgency))
            for name, urgency in (
                ("load", BACKGROUND),
                ("second", call_window.forming_urgency(SECOND)),
                ("first", call_window.forming_urgency(FIRST)),
                ("leave", IMMEDIATE),
            )
        ]
        await asyncio.gather(*holders, *waiting)
        return calls.order[INITIAL_LIMIT:]

    assert virtual_time.run(contended()) == ["leave", "first", "second", "load"]


@pytest.mark.parametrize("ended", ["while it waits", "as its turn comes"])
def test_cancelled_call_passes_its_slot_to_the_next(ended):
    async def cancelled():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        holders = [asyncio.ensure_future(calls.call("before")) for _ in range(INITIAL_LIMIT)]
        await asyncio.sleep(0)
        dropped = asyncio.ensure_future(calls.call("dropped"))
        kept = asyncio.ensure_future(calls.call("kept"))
        await asyncio.sleep(0.05)
        if ended == "as its turn comes":
            # It is granted the slot of the call that ends, and cancelled before it resumes.
            holders[0].add_done_callback(lambda _: dropped.cancel())
        else:
            dropped.cancel()
        await asyncio.gather(*holders, kept)
        for _ in range(INITIAL_LIMIT):
            await calls.call("after")
        return calls

    calls = virtual_time.run(cancelled())
    assert "kept" in calls.order
    assert "dropped" not in calls.order or ended == "as its turn comes"
    assert calls.under_way == 0


@pytest.mark.parametrize(
    ("order", "urgency"),
    [
        (Leave(FIRST), IMMEDIATE),
        (Open(FIRST), IMMEDIATE),
        (Close(FIRST), IMMEDIATE),
        (Join(FIRST, "m", ("a",)), call_window.forming_urgency(FIRST)),
        (Load("m"), BACKGROUND),
    ],
    ids=["leave", "open", "close", "join", "load"],
)
def test_urgency_of_orders(order, urgency):
    assert order_urgency(order) == urgency
