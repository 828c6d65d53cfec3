"""Guards against retries that take a token, wait for a group, and arrive beside those of later.

A token counts for the length of a window. One that is taken long before its retry is sent was out
of the account while the retry was in the window of all arrivals.
"""

import asyncio

import pytest
from bench.retry_rule import RetryRule

from thorncleat_gateway.exceptions import AnswerAbortedError
from thorncleat_gateway.requests import service_endpoints
from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings

from . import virtual_time
from .notice_endpoints import Size
from .notice_world import Caller
from .notice_world import NoticeWorld

SERVICE = "narrator"
# The budget of the daemons of the world of notices.
EXTRA = 134.0
WINDOW_SECONDS = 10.0
STREAMS = 200


class _Site:
    """One daemon and its only group, on which streams that have begun go on.

    :ivar excess: arrivals beyond the first of each request that exceeded the budget, at most.
    """

    def __init__(self) -> None:
        self.world = NoticeWorld(Size(daemons=1, endpoints=1), 1)
        self.rule = RetryRule(0.2, EXTRA, WINDOW_SECONDS)
        self.excess = float("-inf")

    async def begin(self) -> None:
        await self.world.begin()
        (self.daemon,) = self.world.daemons

    def pause(self, seconds: float) -> None:
        """Let the group want no requests for some seconds."""
        incarnation = self.world.workers[0].endpoint.incarnation
        self.daemon.selector._notices._pause(incarnation, seconds)

    async def break_streams(self, left: float = 9.0) -> int:
        """Break many streams at once; return how many were sent again.

        :param left: seconds until each is given up.
        """
        return sum(await asyncio.gather(*(self._send_again(left) for _ in range(STREAMS))))

    async def _send_again(self, left: float) -> bool:
        request, caller = self.world.request("r", left=left), Caller(self.world)
        await caller.begin(200, ())
        streams = self.daemon.streams
        if not streams._token_source(request)():
            return False
        try:
            endpoints = service_endpoints.of(request, self.daemon.selector)
            endpoint = await streams._choose_endpoint(request, endpoints, caller)
        except AnswerAbortedError:
            request.retries.close()
            return False
        request.begin_attempt(endpoint)
        request.record_sent()
        request.record_answer(endpoint)
        now = self.world.now()
        self.rule.record_repeat(now)
        self.excess = max(self.excess, self.rule.repeats(now) - self.rule.allowed(now))
        return True


async def _breaks(pause: float, at: float) -> tuple[float, int]:
    """Return the excess, and the retries sent, of two breaks of all streams.

    :param pause: seconds for which the group wants no requests after the first break.
    :param at: seconds from the first break to the second one.
    """
    site = _Site()
    await site.begin()
    site.pause(pause)
    first = asyncio.ensure_future(site.break_streams())
    await asyncio.sleep(at)
    sent = await first + await site.break_streams()
    await site.world.end()
    return site.excess, sent


@pytest.mark.parametrize("pause", [0.5, 1.9, 3.9])
def test_retries_that_waited_for_a_group_keep_the_budget(pause):
    excess, sent = virtual_time.run(_breaks(pause, at=WINDOW_SECONDS + 0.1))
    assert excess <= 0
    assert sent >= 0.8 * EXTRA - 1


def test_retries_that_waited_count_for_a_window_from_their_sending_only():
    excess, sent = virtual_time.run(_breaks(1.9, at=WINDOW_SECONDS + 2.6))
    assert excess <= 0
    assert sent >= 2 * (0.8 * EXTRA - 1)


async def _break_without_a_group() -> tuple[int, int]:
    """Return how many streams of two breaks were sent again; the first one found no group."""
    site = _Site()
    await site.begin()
    site.pause(30.0)
    first = await site.break_streams(left=3.0)
    account = site.daemon.budgets.account(SERVICE)
    await site.world.end()
    return first, account.retries


def test_retry_that_is_never_sent_gives_its_token_back():
    assert virtual_time.run(_break_without_a_group()) == (0, 0)


def _budgets(extra: float, now: list[float]) -> RetryBudgets:
    settings = RetryBudgetSettings(0.2, extra, WINDOW_SECONDS)
    return RetryBudgets(settings, lambda: now[0], lambda: 1, has_predecessor=False)


@pytest.mark.parametrize("seconds", [0.02, 0.25])
def test_retries_whose_connections_take_long_keep_the_budget(seconds):
    """Guards against retries that arrive some time after their tokens, beside those of later.

    :param seconds: that the connections of the first retries take; the later ones take none.
    """
    now, rule = [0.0], RetryRule(0.2, EXTRA, WINDOW_SECONDS)
    budgets = _budgets(EXTRA, now)
    for taken_at, arrives_at in [(0.0, seconds), (WINDOW_SECONDS + 0.01, WINDOW_SECONDS + 0.01)]:
        now[0] = taken_at
        for _ in range(STREAMS):
            if budgets.take_token(SERVICE):
                rule.record_repeat(arrives_at)
    now[0] = WINDOW_SECONDS + 1.0
    assert rule.repeats(WINDOW_SECONDS + 0.01) <= rule.allowed(WINDOW_SECONDS + 0.01)
    assert budgets.take_token(SERVICE)


def test_waiting_retry_counts_for_as_long_as_it_waits():
    now = [0.0]
    budgets = _budgets(10.0, now)
    token = budgets.hold_token(SERVICE)
    assert token
    now[0] = 2.5 * WINDOW_SECONDS
    assert budgets.account(SERVICE).retries == 1
    (use,) = budgets.uses()
    assert use.retries[0] == 1
    token.release()
    now[0] += 0.9 * WINDOW_SECONDS
    assert budgets.account(SERVICE).retries == 1
    now[0] += 0.2 * WINDOW_SECONDS
    assert budgets.account(SERVICE).retries == 0
