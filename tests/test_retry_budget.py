"""How many retries a daemon may send, and all daemons together."""

from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.requests.retry_budget import RetryBudget
from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings


class TestRetryBudget:
    @given(
        daemons=st.integers(1, 20),
        extra=st.integers(0, 200),
        steps=st.lists(st.tuples(st.integers(0, 19), st.booleans(), st.integers(0, 3))),
    )
    def test_all_daemons_together_keep_within_the_budget(self, daemons, extra, steps):
        terms = RetryBudgetSettings(0.2, extra, 10)
        parts = [RetryBudget(terms) for _ in range(daemons)]
        now, sent, asked = 0.0, [], []
        for who, repeat, pause in steps * 3:
            now += pause
            one = parts[who % daemons]
            if repeat and one.take(now, daemons):
                sent.append(now)
            elif not repeat:
                one.request(now)
                asked.append(now)
            window = [at for at in sent if at > now - 10]
            requests = [at for at in asked if at >= now - 20]
            assert len(window) <= 0.2 * len(requests) + extra

    def test_requests_of_long_ago_give_nothing(self):
        one = RetryBudget(RetryBudgetSettings(1.0, 0, 10))
        for _ in range(10):
            one.request(0.0)
        assert one.left(5.0, 1) == 8
        assert one.left(11.0, 1) == 0


class TestSharers:
    """A list that has grown short makes nobody's part larger at once.

    The records of all eight daemons ran out while the store was away. The first ones that were back
    in the list saw one or two daemons, and took the whole fixed allowance, or half of it, each: 107
    and 53 retries beside the 13 of those that could not reach the store yet.
    """

    terms = RetryBudgetSettings(0.2, 134, 10)

    def _budgets(self, listed, now):
        return [RetryBudgets(self.terms, lambda: now[0], lambda one=one: one[0]) for one in listed]

    def test_records_of_all_run_out_and_come_back_one_by_one(self):
        now, listed = [0.0], [[8] for _ in range(8)]
        budgets = self._budgets(listed, now)
        for budget in budgets:
            budget.request("narrator")
        now[0] = 20.0
        for number, one in enumerate(listed):
            one[0] = 1 + number
        sent = sum(budget.take("narrator") for budget in budgets for _ in range(200))
        assert sent <= 134

    def test_part_grows_once_the_others_are_long_gone(self):
        now, listed = [0.0], [[8]]
        (budget,) = self._budgets(listed, now)
        budget.request("narrator")
        listed[0][0] = 1
        for _ in range(60):
            now[0] += 2.0
            budget.request("narrator")
        assert sum(budget.take("narrator") for _ in range(200)) > 100
