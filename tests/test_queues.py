"""Queues and shares are fair between workspaces and never exceed the capacity."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from thorncleat_core.daemon import shares
from thorncleat_core.daemon.queues import FairQueue
from thorncleat_core.daemon.queues import QueuedRequest

NAMES = ["a", "b", "c"]
demands = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 500), max_size=3)


def _request(name: str, workspace: str = "a", cost: int = 10, **more) -> QueuedRequest:
    return QueuedRequest(
        name, workspace, cost, more.get("priority", 0), more.get("deadline", 100.0)
    )


def _drain(queue: FairQueue, count: int, weights=None) -> list[str]:
    popped = (queue.pop(lambda *_: True, weights or {}, 0.0) for _ in range(count))
    return [request.item for request in popped if request]


class TestOrder:
    def test_priority_then_deadline_then_arrival(self):
        queue: FairQueue = FairQueue(10_000)
        queue.add(_request("late", deadline=9.0))
        queue.add(_request("soon", deadline=5.0))
        queue.add(_request("soon too", deadline=5.0))
        queue.add(_request("urgent", priority=3))
        assert _drain(queue, 4) == ["urgent", "soon", "soon too", "late"]

    def test_burst_of_a_workspace_does_not_delay_another(self):
        queue: FairQueue = FairQueue(10**9, quantum=100)
        for number in range(1000):
            queue.add(_request(f"a{number}", "a", cost=100))
        queue.add(_request("b", "b", cost=100))
        assert "b" in _drain(queue, 3)

    def test_workspaces_are_served_in_proportion_to_their_weights(self):
        queue: FairQueue = FairQueue(10**9, quantum=100)
        for _ in range(400):
            queue.add(_request("a", "a", cost=100))
            queue.add(_request("b", "b", cost=100))
        found = _drain(queue, 200, {"a": 3.0, "b": 1.0})
        assert found.count("a") == pytest.approx(150, abs=4)

    def test_blocked_workspace_does_not_block_others(self):
        queue: FairQueue = FairQueue(10_000)
        queue.add(_request("a", "a"))
        queue.add(_request("b", "b"))
        found = queue.pop(lambda workspace, cost: workspace == "b", {}, 0.0)
        assert found.item == "b"
        assert queue.pop(lambda workspace, cost: workspace == "b", {}, 0.0) is None


class TestRefusal:
    def test_request_for_a_full_queue_is_rejected(self):
        queue: FairQueue = FairQueue(limit=15)
        queue.add(_request("first"))
        assert queue.retry_after(_request("second"), 0.0) >= 0.5
        assert queue.retry_after(_request("other", "b"), 0.0) is None

    def test_request_that_would_miss_its_deadline_is_rejected(self):
        queue: FairQueue = FairQueue(limit=10_000)
        queue.add(_request("x", cost=100))
        queue.pop(lambda *_: True, {}, 0.0)
        queue.drain_rate.tokens_per_second(1.0)
        queue.add(_request("ahead", cost=1000))
        assert queue.retry_after(_request("y", deadline=5.0), 1.0) == pytest.approx(10.0)
        assert queue.retry_after(_request("z", deadline=50.0), 1.0) is None


class QueueMachine(RuleBasedStateMachine):
    """Requests are added, removed, popped and expire. The model is a dictionary."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue: FairQueue = FairQueue(10**9)
        self.queued: dict[int, QueuedRequest] = {}
        self.tickets: dict[int, int] = {}
        self.count = 0

    @rule(workspace=st.sampled_from(NAMES), cost=st.integers(1, 900), after=st.floats(0.1, 9))
    def add(self, workspace, cost, after):
        self.count += 1
        request = QueuedRequest(self.count, workspace, cost, 0, self.now + after)
        self.tickets[self.count] = self.queue.add(request)
        self.queued[self.count] = request

    @rule(data=st.data())
    def drop(self, data):
        if self.queued:
            name = data.draw(st.sampled_from(sorted(self.queued)))
            self.queue.remove(self.tickets[name], self.queued.pop(name))

    @rule(blocked=st.sampled_from([*NAMES, ""]))
    def pop(self, blocked):
        found = self.queue.pop(lambda workspace, cost: workspace != blocked, {}, self.now)
        sendable = [request for request in self.queued.values() if request.workspace != blocked]
        assert (found is None) == (not sendable)
        if found:
            assert self.queued.pop(found.item) == found

    @rule(seconds=st.floats(0.1, 5))
    def wait(self, seconds):
        self.now += seconds
        for late in self.queue.pop_expired(self.now):
            assert self.queued.pop(late.item).deadline <= self.now

    @invariant()
    def nothing_is_lost_or_counted_twice(self):
        assert len(self.queue) == len(self.queued)
        for name in NAMES:
            cost = sum(
                request.cost for request in self.queued.values() if request.workspace == name
            )
            assert self.queue.queued_tokens.get(name, 0) == cost


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(max_examples=80, stateful_step_count=40)


class TestShares:
    def test_unused_share_goes_to_the_others(self):
        assert shares.max_min(90, {"a": 10.0, "b": 500.0}, {}) == {"a": 10, "b": 80}

    def test_weights(self):
        found = shares.max_min(90, {"a": 500.0, "b": 500.0}, {"a": 2.0})
        assert found == pytest.approx({"a": 60, "b": 30})

    @given(
        st.dictionaries(st.sampled_from(["d1", "d2", "d3"]), demands, min_size=1),
        st.integers(1, 1000),
        st.dictionaries(st.sampled_from(NAMES), st.floats(0.1, 10)),
    )
    def test_all_daemons_together_never_get_more_than_there_is(self, asked, capacity, weights):
        parts = [shares.divide(capacity, asked, weights, daemon) for daemon in asked]
        given_out = sum(sum(credits.values()) + spare for credits, spare in parts)
        assert given_out <= capacity
        for (credits, _), daemon in zip(parts, asked, strict=True):
            for name, amount in credits.items():
                assert amount <= asked[daemon][name]

    @given(demands, st.integers(1, 1000))
    def test_max_min_wastes_nothing(self, asked, capacity):
        wanted = {name: float(amount) for name, amount in asked.items()}
        found = shares.max_min(capacity, wanted, {})
        assert sum(found.values()) == pytest.approx(min(capacity, sum(wanted.values())))
