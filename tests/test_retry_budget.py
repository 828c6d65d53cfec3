"""The retry budget of each daemon, and of all daemons together."""

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
    def test_all_daemons_together_stay_within_the_budget(self, daemons, extra, steps):
        settings = RetryBudgetSettings(0.2, extra, 10)
        budgets = [RetryBudget(settings) for _ in range(daemons)]
        now, sent, requested = 0.0, [], []
        for number, repeat, pause in steps * 3:
            now += pause
            budget = budgets[number % daemons]
            if repeat and budget.take_token(now, daemons):
                sent.append(now)
            elif not repeat:
                budget.record_request(now)
                requested.append(now)
            window = [at for at in sent if at > now - 10]
            requests = [at for at in requested if at >= now - 20]
            assert len(window) <= 0.2 * len(requests) + extra

    def test_requests_outside_the_window_do_not_count(self):
        budget = RetryBudget(RetryBudgetSettings(1.0, 0, 10))
        for _ in range(10):
            budget.record_request(0.0)
        assert budget.retries_left(5.0, 1) == 8
        assert budget.retries_left(11.0, 1) == 0


class TestDaemonCount:
    """Guards against daemons whose share of the budget grows at once when the list gets shorter.

    After an outage of the store the first daemons to be listed again see few others.
    """

    settings = RetryBudgetSettings(0.2, 134, 10)

    def _budgets(self, listed, now):
        return [
            RetryBudgets(self.settings, lambda: now[0], lambda count=count: count[0])
            for count in listed
        ]

    def test_records_of_all_daemons_expire_and_return_one_by_one(self):
        now, listed = [0.0], [[8] for _ in range(8)]
        budgets = self._budgets(listed, now)
        for budget in budgets:
            budget.record_request("narrator")
        now[0] = 20.0
        for number, count in enumerate(listed):
            count[0] = 1 + number
        sent = sum(budget.take_token("narrator") for budget in budgets for _ in range(200))
        assert sent <= 134

    def test_share_grows_some_time_after_the_others_left(self):
        now, listed = [0.0], [[8]]
        (budget,) = self._budgets(listed, now)
        budget.record_request("narrator")
        listed[0][0] = 1
        for _ in range(60):
            now[0] += 2.0
            budget.record_request("narrator")
        assert sum(budget.take_token("narrator") for _ in range(200)) > 100
