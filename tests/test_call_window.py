"""Calls to endpoints: how many are under way, and which go first."""

import asyncio

import pytest

from thorncleat_gateway.groups import call_window
from thorncleat_gateway.groups.call_window import AT_ONCE
from thorncleat_gateway.groups.call_window import FIRST_LIMIT
from thorncleat_gateway.groups.call_window import LAST
from thorncleat_gateway.groups.call_window import LEAST_LIMIT
from thorncleat_gateway.groups.call_window import MOST_LIMIT
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
    """A loop that is late for as long as a test says."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def max_lateness_since(self, _moment: float) -> float:
        return self.seconds


class Calls:
    """Calls that take some time, and what was under way."""

    def __init__(self) -> None:
        self.lateness = Lateness()
        loop = asyncio.get_running_loop()
        self.window = CallWindow(self.lateness, loop.time)
        self.order: list[object] = []
        self.under_way = self.most = 0

    async def call(self, name, urgency=AT_ONCE, seconds=0.1) -> None:
        async with self.window.turn(urgency):
            self.order.append(name)
            self.under_way += 1
            self.most = max(self.most, self.under_way)
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
    assert calls.most == FIRST_LIMIT
    assert len(calls.order) == 200
    assert calls.window.waiting == 0


def test_a_daemon_that_is_late_sends_fewer_and_never_none():
    async def late():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        for _ in range(20):
            await calls.call(0)
        low = calls.window.limit
        calls.lateness.seconds = 0.0
        for _ in range(50):
            await asyncio.gather(*(calls.call(0) for _ in range(MOST_LIMIT)))
        return low, calls.window.limit

    low, high = virtual_time.run(late())
    assert low == LEAST_LIMIT
    assert FIRST_LIMIT < high <= MOST_LIMIT


def test_calls_sent_together_shrink_the_limit_once():
    async def late():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        await asyncio.gather(*(calls.call(number) for number in range(FIRST_LIMIT)))
        return calls.window.limit

    assert virtual_time.run(late()) == int(FIRST_LIMIT * call_window.SHRINK)


def test_the_first_group_is_whole_before_the_second_and_what_serves_goes_before_both():
    async def contended():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        holding = [asyncio.ensure_future(calls.call("before")) for _ in range(FIRST_LIMIT)]
        await asyncio.sleep(0)
        waiting = [
            asyncio.ensure_future(calls.call(name, urgency))
            for name, urgency in (
                ("load", LAST),
                ("second", call_window.forming(SECOND)),
                ("first", call_window.forming(FIRST)),
                ("leave", AT_ONCE),
            )
        ]
        await asyncio.gather(*holding, *waiting)
        return calls.order[FIRST_LIMIT:]

    assert virtual_time.run(contended()) == ["leave", "first", "second", "load"]


@pytest.mark.parametrize("ended", ["while it waits", "as its turn comes"])
def test_a_call_that_is_cancelled_leaves_its_turn_to_the_next(ended):
    async def cancelled():
        calls = Calls()
        calls.lateness.seconds = 2 * MAX_LATENESS_SECONDS
        holding = [asyncio.ensure_future(calls.call("before")) for _ in range(FIRST_LIMIT)]
        await asyncio.sleep(0)
        dropped = asyncio.ensure_future(calls.call("dropped"))
        kept = asyncio.ensure_future(calls.call("kept"))
        await asyncio.sleep(0.05)
        if ended == "as its turn comes":
            # woken by the call that ends, and cancelled before it runs on
            holding[0].add_done_callback(lambda _: dropped.cancel())
        else:
            dropped.cancel()
        await asyncio.gather(*holding, kept)
        for _ in range(FIRST_LIMIT):
            await calls.call("after")
        return calls

    calls = virtual_time.run(cancelled())
    assert "kept" in calls.order
    assert "dropped" not in calls.order or ended == "as its turn comes"
    assert calls.under_way == 0


@pytest.mark.parametrize(
    ("order", "urgency"),
    [
        (Leave(FIRST), AT_ONCE),
        (Open(FIRST), AT_ONCE),
        (Close(FIRST), AT_ONCE),
        (Join(FIRST, "m", ("a",)), call_window.forming(FIRST)),
        (Load("m"), LAST),
    ],
    ids=["leave", "open", "close", "join", "load"],
)
def test_urgency_of_orders(order, urgency):
    assert order_urgency(order) == urgency
