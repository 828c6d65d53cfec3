"""Guards against attempts that leave the account before they have arrived.

What a stopped endpoint's kernel holds arrives when the process goes on.
"""

import pytest

from thorncleat_gateway.peers.messages import RetryRecall
from thorncleat_gateway.requests.request_retries import RequestRetries
from thorncleat_gateway.requests.retry_budget import MAX_OWED_FRACTION
from thorncleat_gateway.requests.retry_budget import RetryBudgets
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.requests.retry_reporter import RetryReporter
from thorncleat_gateway.requests.unanswered_attempts import FORGET_SECONDS
from thorncleat_gateway.requests.unanswered_attempts import UnansweredAttempts
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Roster

SERVICE = "desk"
WINDOW_SECONDS = 10.0
EXTRA = 20.0
ALLOWED = int(EXTRA * 0.8)


class Daemon:
    """The account of one daemon, with a clock that the test moves."""

    def __init__(self):
        self.now = 0.0
        self.roster = Roster()
        settings = RetryBudgetSettings(0.0, EXTRA, WINDOW_SECONDS)
        self.budgets = RetryBudgets(settings, self.clock, lambda: 1, has_predecessor=False)
        self.unanswered = UnansweredAttempts(lambda: self.roster, self.clock)

    def clock(self):
        return self.now

    @property
    def account(self):
        return self.budgets.account(SERVICE)

    def list(self, endpoint):
        self.roster = Roster()
        self.roster._endpoints[endpoint.id] = endpoint

    def begin(self, endpoint, sent=True):
        """Begin a request with an attempt at an endpoint."""
        retries = RequestRetries(self.budgets, self.unanswered, SERVICE)
        self.send(retries, endpoint, sent=sent)
        return retries

    def send(self, retries, endpoint, sent=True):
        retries.begin_attempt(endpoint, self.now)
        if sent:
            retries.record_sent()

    def answer(self, endpoint):
        """Let an endpoint answer a further request, which is sent now."""
        retries = self.begin(endpoint)
        retries.record_answer(endpoint)
        retries.close()

    def leave(self, endpoint, other):
        """Let a request leave an endpoint that doesn't answer, for one that does."""
        retries = self.begin(endpoint)
        retries.record_failure(is_ended=False)
        if not retries.take():
            retries.close()
            return False
        self.send(retries, other)
        retries.record_answer(other)
        retries.close()
        return True


def endpoint(name, born=1):
    return Endpoint(name, SERVICE, f"127.0.0.1:{9000 + born}", "zone-a", born=born)


SILENT, SOUND = endpoint("silent"), endpoint("sound")


class TestOwedTokens:
    def test_token_counts_until_the_endpoint_answers_a_later_attempt(self):
        daemon = Daemon()
        assert daemon.leave(SILENT, SOUND)
        daemon.now = 3 * WINDOW_SECONDS
        daemon.answer(SOUND)
        assert (daemon.account.retries, daemon.account.owed) == (1, 1)
        daemon.answer(SILENT)
        assert (daemon.account.retries, daemon.account.owed) == (1, 0)
        daemon.now += 0.9 * WINDOW_SECONDS
        assert daemon.account.retries == 1
        daemon.now += 0.2 * WINDOW_SECONDS
        assert daemon.account.retries == 0

    def test_answer_to_an_earlier_attempt_proves_nothing(self):
        daemon = Daemon()
        earlier = daemon.begin(SILENT)
        daemon.now = 1.0
        assert daemon.leave(SILENT, SOUND)
        daemon.now = 2.0
        earlier.record_answer(SILENT)
        assert daemon.account.owed == 1

    def test_answer_of_another_incarnation_proves_nothing_before_it_is_listed(self):
        daemon = Daemon()
        assert daemon.leave(SILENT, SOUND)
        daemon.now = 1.0
        daemon.answer(endpoint("silent", born=2))
        assert daemon.account.owed == 1
        daemon.list(endpoint("silent", born=2))
        daemon.unanswered.sweep()
        assert daemon.account.owed == 0

    def test_entry_that_has_lapsed_proves_nothing(self):
        daemon = Daemon()
        daemon.list(SILENT)
        assert daemon.leave(SILENT, SOUND)
        daemon.roster = Roster()
        daemon.now = FORGET_SECONDS - 1.0
        daemon.unanswered.sweep()
        assert daemon.account.owed == 1

    def test_endpoint_that_is_gone_for_good_is_forgotten(self):
        daemon = Daemon()
        assert daemon.leave(SILENT, SOUND)
        daemon.now = FORGET_SECONDS + 1.0
        daemon.unanswered.sweep()
        assert daemon.account.owed == 0
        assert daemon.unanswered.count == 0

    def test_retry_that_gets_no_answer_either_counts_until_both_have_arrived(self):
        daemon = Daemon()
        retries = daemon.begin(SILENT)
        retries.record_failure(is_ended=False)
        assert retries.take()
        other = endpoint("other")
        daemon.send(retries, other)
        retries.record_failure(is_ended=False)
        retries.close()
        daemon.now = 1.0
        daemon.answer(SILENT)
        assert daemon.account.owed == 1
        daemon.answer(other)
        assert daemon.account.owed == 0

    def test_caller_that_leaves_during_a_retry_leaves_its_token_owed(self):
        daemon = Daemon()
        retries = daemon.begin(SOUND)
        retries.record_answer(SOUND)
        retries.record_failure(is_ended=False)
        assert retries.take()
        daemon.send(retries, SILENT)
        retries.close()
        assert daemon.account.owed == 1

    def test_first_attempt_without_a_retry_takes_nothing(self):
        daemon = Daemon()
        retries = daemon.begin(SILENT)
        retries.record_failure(is_ended=False)
        retries.close()
        assert daemon.account.retries == 0
        assert daemon.unanswered.count == 0

    @pytest.mark.parametrize("is_ended", [True, False])
    def test_attempt_that_can_not_arrive_is_not_owed(self, is_ended):
        """An endpoint has ended its connection, or it was never connected."""
        daemon = Daemon()
        retries = daemon.begin(SILENT, sent=is_ended)
        retries.record_failure(is_ended=is_ended)
        assert retries.take()
        daemon.send(retries, SOUND)
        retries.record_answer(SOUND)
        assert (daemon.account.retries, daemon.account.owed) == (1, 0)

    def test_retry_that_is_never_sent_gives_its_token_back(self):
        daemon = Daemon()
        retries = daemon.begin(SOUND)
        retries.record_answer(SOUND)
        retries.record_failure(is_ended=False)
        assert retries.take()
        assert retries.reserve()
        retries.close()
        assert daemon.account.retries == 0


class TestPartThatIsKept:
    def test_silent_endpoints_do_not_take_all_retries(self):
        daemon = Daemon()
        left = sum(daemon.leave(SILENT, SOUND) for _ in range(3 * ALLOWED))
        assert left == MAX_OWED_FRACTION * ALLOWED
        declined = 0
        for _ in range(3 * ALLOWED):
            retries = daemon.begin(SOUND)
            retries.record_answer(SOUND)
            retries.record_failure(is_ended=False)
            declined += retries.take()
        assert declined == ALLOWED - left


class TestRestarts:
    """Guards against successors that forget what waits in stopped endpoints."""

    @staticmethod
    def _reporter(daemon, sent):
        class Peers:
            id = "edge-0"
            is_full_mesh = True
            other_daemons = frozenset({"edge-1"})

            def on_message(self, handler):
                self.handle = handler

            def send(self, _, message):
                sent.append(message)

        peers = Peers()
        return RetryReporter(daemon.budgets, peers, daemon.clock, daemon.unanswered), peers

    def _restart(self, daemon, keeps=lambda report: True):
        """Return the successor of a daemon, told by a keeper what that one had reported."""
        sent = []
        reporter, _ = self._reporter(daemon, sent)
        reporter.end_asking()
        reporter.report()
        kept = [report for report in sent if keeps(report)][-1]
        successor = Daemon()
        settings = RetryBudgetSettings(0.0, EXTRA, WINDOW_SECONDS)
        successor.budgets = RetryBudgets(settings, successor.clock, lambda: 1)
        reporter, peers = self._reporter(successor, [])
        peers.handle("edge-1", RetryRecall(0.1, kept))
        reporter.take_best_recall()
        return successor

    def test_successor_counts_them_until_the_endpoint_answers(self):
        daemon = Daemon()
        for _ in range(3):
            assert daemon.leave(SILENT, SOUND)
        successor = self._restart(daemon)
        successor.now = 3 * WINDOW_SECONDS
        assert (successor.account.retries, successor.account.owed) == (3, 3)
        successor.answer(SILENT)
        assert successor.account.owed == 0

    def test_keeper_of_an_earlier_build_does_not_pass_an_older_account_on(self):
        daemon = Daemon()
        assert daemon.leave(SILENT, SOUND)
        successor = self._restart(daemon, keeps=lambda report: not report.owed)
        assert not successor.budgets.is_complete
