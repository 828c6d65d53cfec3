"""What a caller's connection may take: the parts of :mod:`thorncleat_gateway.callers`."""

import asyncio

import pytest

from thorncleat_gateway.callers import limits
from thorncleat_gateway.callers.body_budget import LATE_SECONDS
from thorncleat_gateway.callers.body_budget import STALLED_SECONDS
from thorncleat_gateway.callers.body_budget import BodyBudget
from thorncleat_gateway.callers.body_buffer import BLOCK_BYTES
from thorncleat_gateway.callers.body_buffer import BodyBuffer
from thorncleat_gateway.callers.bounded_log import LOG_INTERVAL_SECONDS
from thorncleat_gateway.callers.bounded_log import BoundedLog
from thorncleat_gateway.callers.bounded_log import Cause
from thorncleat_gateway.callers.connection_table import EXPIRY_INTERVAL_SECONDS
from thorncleat_gateway.callers.connection_table import LINGER_SECONDS
from thorncleat_gateway.callers.connection_table import ConnectionTable
from thorncleat_gateway.callers.connection_table import Stage
from thorncleat_gateway.callers.limits import ProcessLimits
from thorncleat_gateway.callers.loop_turns import HEAVY_SECONDS
from thorncleat_gateway.callers.loop_turns import TURN_SECONDS
from thorncleat_gateway.callers.loop_turns import LoopTurns
from thorncleat_gateway.callers.pending_memory import PendingMemory
from thorncleat_gateway.exceptions import RefusalError

HEADER_TIMEOUT_SECONDS = 3.0
IDLE_TIMEOUT_SECONDS = 15.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Connection:
    def __init__(self, name):
        self.name = name
        self.dropped = []
        self.aborted = 0

    def drop(self, cause, *, is_idle=False):
        self.dropped.append((cause, is_idle))

    def abort(self):
        self.aborted += 1


@pytest.fixture
def clock():
    return Clock()


class TestLimits:
    """Guards against parts that together take more than the process has."""

    @pytest.mark.parametrize("descriptors", [300, 1_535, 4_100, 8_192])
    def test_connections_leave_room_for_the_ways_to_endpoints(self, descriptors):
        process = ProcessLimits(descriptors=descriptors)
        taken = process.caller_connections * 1.25 + 2 * process.service_connections * 1.25
        assert taken < 0.75 * (descriptors - limits.FILE_DESCRIPTORS)

    @pytest.mark.parametrize("memory", [152_000_000, 200_000_000, 552_000_000])
    def test_pending_memory_is_a_small_part(self, memory):
        assert ProcessLimits(memory).pending_bytes < memory / 10

    def test_settings_without_limits_have_defaults(self):
        process = limits.process_limits(None, None)
        assert process.memory == limits.DEFAULT_MEMORY_BYTES
        assert process.descriptors > 0

    def test_limit_of_the_operating_system_holds_too(self):
        assert limits.process_limits(None, 1 << 40).descriptors < 1 << 40


class TestConnections:
    """Guards against connections that keep out those which have something to send."""

    @staticmethod
    def _fill(table, *stages):
        connections = [Connection(stage.name) for stage in stages]
        for connection, stage in zip(connections, stages, strict=True):
            assert table.add(connection)
            table.move(connection, stage)
        return connections

    @pytest.mark.parametrize(
        ("stages", "replaced"),
        [
            ((Stage.RESTING, Stage.NEW), "NEW"),
            ((Stage.HEAD, Stage.RESTING), "RESTING"),
            ((Stage.BODY, Stage.HEAD), "HEAD"),
            ((Stage.RUNNING, Stage.BODY), "BODY"),
        ],
    )
    def test_least_useful_connection_is_replaced(self, clock, stages, replaced):
        table = ConnectionTable(2, clock)
        connections = self._fill(table, *stages)
        assert table.add(Connection("newcomer"))
        assert [one.name for one in connections if one.dropped] == [replaced]

    def test_connection_that_is_being_closed_keeps_its_place(self, clock):
        """Its descriptor is in use until it has ended."""
        table = ConnectionTable(4, clock)
        connections = self._fill(table, *[Stage.NEW] * 4)
        assert table.add(Connection("fifth"))
        assert (connections[0].dropped, connections[0].aborted) == (
            [(Cause.TOO_MANY_CONNECTIONS, True)],
            0,
        )
        assert len(table) == 5
        assert table.add(Connection("sixth"))
        assert connections[0].aborted == 1
        table.move(connections[0], Stage.RUNNING)
        table.remove(connections[0])
        assert len(table) == 5

    def test_longest_in_its_stage_is_replaced(self, clock):
        table = ConnectionTable(2, clock)
        first, second = self._fill(table, Stage.RESTING, Stage.RESTING)
        table.move(first, Stage.RUNNING)
        table.move(first, Stage.RESTING)
        table.add(Connection("newcomer"))
        assert (first.dropped, second.dropped) == ([], [(Cause.TOO_MANY_CONNECTIONS, True)])

    def test_some_more_are_accepted_while_all_are_served(self, clock):
        table = ConnectionTable(4, clock)
        running = self._fill(table, *[Stage.RUNNING] * 4)
        surplus = Connection("surplus")
        assert table.add(surplus)
        table.move(surplus, Stage.RUNNING)
        assert not table.add(Connection("too many"))
        # The first one that rests is closed.
        table.move(running[0], Stage.RESTING)
        assert running[0].dropped == [(Cause.TOO_MANY_CONNECTIONS, True)]

    def test_caller_that_does_not_read_is_replaced(self, clock):
        table = ConnectionTable(2, clock)
        first, second = self._fill(table, Stage.RUNNING, Stage.RUNNING)
        table.block(second)
        assert table.add(Connection("newcomer"))
        assert (first.dropped, second.dropped) == ([], [(Cause.TOO_MANY_CONNECTIONS, False)])

    @pytest.mark.parametrize(
        ("stage", "seconds", "cause"),
        [
            (Stage.NEW, IDLE_TIMEOUT_SECONDS, Cause.IDLE),
            (Stage.RESTING, IDLE_TIMEOUT_SECONDS, Cause.IDLE),
            (Stage.HEAD, HEADER_TIMEOUT_SECONDS, Cause.SLOW_HEAD),
        ],
    )
    def test_stage_that_takes_too_long_ends(self, clock, stage, seconds, cause):
        table = ConnectionTable(9, clock)
        (connection,) = self._fill(table, stage)
        for at, dropped in ((seconds - 0.1, []), (seconds, [cause])):
            clock.now = 100.0 + at
            table._expires_at = clock.now
            self._expire(table)
            assert [found for found, _ in connection.dropped] == dropped
        clock.now += LINGER_SECONDS
        table._expires_at = clock.now
        self._expire(table)
        assert connection.aborted == 1

    @pytest.mark.parametrize("stage", [Stage.RUNNING, Stage.BODY])
    def test_request_on_its_way_is_bounded_by_its_own_time(self, clock, stage):
        table = ConnectionTable(9, clock)
        (connection,) = self._fill(table, stage)
        clock.now += 1_000.0
        self._expire(table)
        assert connection.dropped == []

    def test_caller_that_does_not_read_ends(self, clock):
        table = ConnectionTable(9, clock)
        (connection,) = self._fill(table, Stage.RUNNING)
        table.block(connection)
        clock.now += IDLE_TIMEOUT_SECONDS
        self._expire(table)
        assert connection.dropped == [(Cause.UNREAD_ANSWER, False)]

    def test_late_search_ends_nothing(self, clock):
        """What callers sent while this daemon stood still has not been read."""
        table = ConnectionTable(9, clock)
        (connection,) = self._fill(table, Stage.HEAD)
        self._expire(table)
        clock.now += HEADER_TIMEOUT_SECONDS + 5.0
        self._expire(table)
        assert connection.dropped == []
        clock.now += EXPIRY_INTERVAL_SECONDS
        self._expire(table)
        assert [found for found, _ in connection.dropped] == [Cause.SLOW_HEAD]

    @staticmethod
    def _expire(table):
        table.expire(header_timeout=HEADER_TIMEOUT_SECONDS, idle_timeout=IDLE_TIMEOUT_SECONDS)


class TestPendingMemory:
    """Guards against heads and unread answers that take all memory."""

    def _memory(self, replaceable):
        self.dropped = []
        return PendingMemory(100, lambda one: one in replaceable, self.dropped.append)

    def test_longest_charged_makes_room(self):
        first, second, third = (Connection(str(number)) for number in range(3))
        memory = self._memory({first, second, third})
        for connection in (first, second):
            assert memory.charge(connection, 40)
        assert memory.charge(first, 50)
        assert memory.charge(third, 40)
        assert (self.dropped, memory.held) == ([first], 80)

    def test_complete_requests_keep_their_room(self):
        running, newcomer = Connection("running"), Connection("newcomer")
        memory = self._memory({newcomer})
        assert memory.charge(running, 90)
        assert not memory.charge(newcomer, 20)
        assert self.dropped == []
        memory.release(newcomer)
        assert memory.held == 90

    def test_released_bytes_are_free_again(self):
        connection = Connection("a")
        memory = self._memory(set())
        memory.charge(connection, 90)
        memory.charge(connection, 0)
        memory.release(connection)
        assert memory.held == 0


class TestBodies:
    """Guards against unfinished bodies that keep others out."""

    @staticmethod
    def _hold(budget, size, given_up):
        context = budget.hold(lambda: True, lambda: given_up.append(size))
        body = context.__enter__()
        body.reserve(size)
        return context, body

    @pytest.mark.parametrize(
        ("seconds", "size", "is_given_up"),
        [
            pytest.param(0.0, 60, False, id="just arriving"),
            pytest.param(STALLED_SECONDS, 60, True, id="it stands still"),
            pytest.param(0.0, 1, True, id="much larger than what is needed"),
        ],
    )
    def test_unfinished_body_makes_room(self, clock, seconds, size, is_given_up):
        budget, given_up = BodyBudget(400, clock), []
        context, _ = self._hold(budget, 100, given_up)
        clock.now += seconds
        with budget.hold(lambda: True) as other:
            if is_given_up:
                other.reserve(size)
            else:
                with pytest.raises(RefusalError):
                    other.reserve(size)
            assert bool(given_up) is is_given_up
            assert budget.held == (size if is_given_up else 100)
        context.__exit__(None, None, None)
        assert budget.held == 0

    def test_body_that_goes_on_is_given_up_late(self, clock):
        budget, given_up = BodyBudget(400, clock), []
        context, body = self._hold(budget, 50, given_up)
        for _ in range(int(LATE_SECONDS / STALLED_SECONDS) + 1):
            clock.now += STALLED_SECONDS * 0.9
            body.reserve(body.reserved + 1)
        clock.now += STALLED_SECONDS * 2
        with budget.hold(lambda: True) as other:
            other.reserve(60)
        assert given_up
        context.__exit__(None, None, None)

    def test_complete_body_is_kept(self, clock):
        budget, given_up = BodyBudget(400, clock), []
        context, body = self._hold(budget, 100, given_up)
        body.finish()
        clock.now += 100.0
        with budget.hold(lambda: True) as other, pytest.raises(RefusalError):
            other.reserve(60)
        assert given_up == []
        context.__exit__(None, None, None)

    def test_large_complete_body_counts_twice(self):
        """It is joined, and held by its connection to the endpoint while it is sent."""
        budget = BodyBudget(4_000_000)
        with budget.hold(lambda: True) as body:
            body.reserve(400_000)
            body.finish()
            assert budget.held == 800_000

    def test_stated_length_holds_nothing(self):
        budget = BodyBudget(400)
        with budget.hold(lambda: True) as body:
            body.require(100)
            assert budget.held == 0
            with pytest.raises(RefusalError):
                body.require(101)

    @pytest.mark.parametrize("sizes", [(1,) * 10, (BLOCK_BYTES, 5), (BLOCK_BYTES - 1, 2, 3), ()])
    def test_buffer_joins_its_pieces(self, sizes):
        buffer = BodyBuffer()
        pieces = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
        for piece in pieces:
            buffer.add(piece)
        assert buffer.size == sum(sizes)
        assert buffer.join() == b"".join(pieces)
        buffer.clear()
        assert buffer.join() == b""


class TestTurns:
    """Guards against connections that take all turns of the loop."""

    async def test_light_connections_go_before_heavy_ones(self, clock):
        turns, order = LoopTurns(clock), []

        def parse(name, seconds):
            def run():
                clock.now += seconds
                order.append(name)

            return run

        heavy, light = turns.new_use(), turns.new_use()
        assert turns.run(heavy, parse("heavy", 2 * HEAVY_SECONDS))
        # The turn's time is used up.
        clock.now -= 2 * HEAVY_SECONDS
        turns._began_at = clock.now
        assert not turns.run(heavy, parse("heavy again", TURN_SECONDS))
        assert not turns.run(light, parse("light", 0.0))
        assert turns.deferred == 2
        for _ in range(10):
            await asyncio.sleep(0)
        assert order == ["heavy", "light", "heavy again"]

    async def test_all_that_waits_is_parsed_in_the_end(self, clock):
        turns, parsed = LoopTurns(clock), []
        use = turns.new_use()
        turns.run(use, lambda: setattr(clock, "now", clock.now + TURN_SECONDS))
        for number in range(50):
            turns._began_at = clock.now
            turns.run(use, lambda number=number: parsed.append(number))
        for _ in range(100):
            await asyncio.sleep(0)
        assert parsed == list(range(50))

    async def test_connection_alone_gets_all_turns(self, clock):
        turns, parsed = LoopTurns(clock), []
        use = turns.new_use()

        def parse():
            clock.now += 2 * TURN_SECONDS
            parsed.append(clock.now)

        for _ in range(5):
            turns.run(use, parse)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert len(parsed) == 5


def test_lines_of_a_crowd_are_bounded(clock, caplog):
    log = BoundedLog(clock)
    with caplog.at_level("WARNING", "thorncleat"):
        for _ in range(1_000):
            log.record("callers", Cause.SLOW_HEAD)
        clock.now += LOG_INTERVAL_SECONDS
        log.record("callers", Cause.SLOW_HEAD)
    assert len(caplog.records) == 2
    assert log.totals() == {("callers", "head too slow"): 1_001.0}
