"""The memory for endpoints' answers, by one request and by all."""

import pytest

from thorncleat_gateway.requests.answer_budget import ALWAYS_HELD_BYTES
from thorncleat_gateway.requests.answer_budget import MAX_HELD_BYTES
from thorncleat_gateway.requests.answer_budget import MEMORY_FRACTION
from thorncleat_gateway.requests.answer_budget import AnswerBudget

MEMORY_BYTES = 300 << 20


def test_one_answer_is_held_up_to_its_bound():
    with AnswerBudget(MEMORY_BYTES).hold() as held:
        assert held.resize(MAX_HELD_BYTES)
        assert not held.resize(MAX_HELD_BYTES + 1)
        assert held.size == MAX_HELD_BYTES


@pytest.mark.parametrize("memory", [MEMORY_BYTES, None])
def test_all_answers_together_have_a_bound(memory):
    """One bound for each answer would hold for none of a thousand."""
    budget = AnswerBudget(memory)
    requests = [budget.hold() for _ in range(1000)]
    held = [request.__enter__() for request in requests]
    granted = sum(one.resize(MAX_HELD_BYTES) for one in held)
    assert granted * MAX_HELD_BYTES == budget.held <= MEMORY_FRACTION * MEMORY_BYTES
    for request in requests:
        request.__exit__(None, None, None)
    assert budget.held == 0


def test_small_answers_are_served_while_the_budget_is_used_up():
    budget = AnswerBudget(MAX_HELD_BYTES / MEMORY_FRACTION)
    with budget.hold() as large, budget.hold() as small:
        assert large.resize(MAX_HELD_BYTES)
        assert small.resize(ALWAYS_HELD_BYTES)
        assert not small.resize(ALWAYS_HELD_BYTES + 1)


def test_what_isnt_held_any_more_is_free_again():
    budget = AnswerBudget(MAX_HELD_BYTES / MEMORY_FRACTION)
    with budget.hold() as first, budget.hold() as second:
        assert first.resize(MAX_HELD_BYTES)
        assert not second.resize(MAX_HELD_BYTES)
        assert first.resize(0)
        assert second.resize(MAX_HELD_BYTES)
