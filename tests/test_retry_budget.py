"""How many retries a daemon may send, and all daemons together."""

from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.requests.retry_budget import RetryBudget
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
