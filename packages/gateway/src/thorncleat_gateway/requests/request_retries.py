"""The tokens of one request's retries, for as long as anything of them may arrive.

The n-th attempt of a request has a token that the (n-1)-th was left for. The token counts until
both have arrived or can't any more, since either of them may be the one that arrives second.

Owns: the tokens that the request holds.
Relies on: :mod:`.retry_budget` for the tokens, and :mod:`.unanswered_attempts` for the attempts
that were given up and may still arrive.
"""

import dataclasses

from ..store.roster import Endpoint
from ..store.roster import Incarnation
from .retry_budget import RetryBudgets
from .retry_budget import RetryToken
from .unanswered_attempts import UnansweredAttempts


@dataclasses.dataclass
class _Attempt:
    """The latest attempt.

    :param is_sent: whether any part of it may have been sent.
    :param is_answered: whether the endpoint has answered it.
    """

    incarnation: Incarnation
    sent_at: float
    is_sent: bool = False
    is_answered: bool = False

    @property
    def may_arrive(self) -> bool:
        """Whether it may arrive after it was given up."""
        return self.is_sent and not self.is_answered


class RequestRetries:
    """The retries of a request to one service."""

    def __init__(self, budgets: RetryBudgets, unanswered: UnansweredAttempts, service: str) -> None:
        self._budgets = budgets
        self._unanswered = unanswered
        self._service = service
        self._attempt: _Attempt | None = None
        # The latest attempt, if it was given up and may still arrive.
        self._left: _Attempt | None = None
        # The token of the attempt that is under way or comes next, and the one after it.
        self._token: RetryToken | None = None
        self._reserved: RetryToken | None = None

    @property
    def _leaves_unanswered(self) -> bool:
        """Whether a retry would leave an attempt that may still arrive."""
        is_waiting = self._attempt is not None and not self._attempt.is_answered
        return is_waiting or self._left is not None

    def begin_attempt(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record that an attempt begins.

        :param sent_at: in seconds on the gateway's clock.
        """
        self._attempt = _Attempt(endpoint.incarnation, sent_at)

    def record_sent(self) -> None:
        """Record that a part of the attempt may have been sent."""
        if self._attempt is not None:
            self._attempt.is_sent = True

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record that the endpoint has answered the attempt."""
        if self._attempt is None:
            return
        self._attempt.is_answered = True
        self._unanswered.record_answer(endpoint, self._attempt.sent_at)
        self._release_token()

    def record_failure(self, *, is_ended: bool) -> None:
        """Record that the attempt has failed.

        :param is_ended: whether the endpoint has ended its connection, and so reads no more of it.
        """
        attempt, self._attempt = self._attempt, None
        may_arrive = attempt is not None and attempt.may_arrive and not is_ended
        self._left = attempt if may_arrive else None
        if self._token is not None and self._left is not None:
            self._owe(self._token, self._left)
        self._release_token()

    def can_reserve(self) -> bool:
        """Return whether :meth:`reserve` finds a token."""
        return self._reserved is not None or self._budgets.can_hold_token(
            self._service, leaves_unanswered=self._leaves_unanswered
        )

    def reserve(self) -> bool:
        """Take the token of the next attempt early; return whether there is one."""
        if self._reserved is None:
            self._reserved = self._budgets.hold_token(
                self._service, leaves_unanswered=self._leaves_unanswered
            )
        return self._reserved is not None

    def take(self) -> bool:
        """Take the token of the next attempt, or use the reserved one; return whether there is."""
        if not self.reserve():
            return False
        assert self._reserved is not None
        self._token, self._reserved = self._reserved, None
        if self._left is not None:
            self._owe(self._token, self._left)
        self._left = None
        return True

    def close(self) -> None:
        """Record that the request has ended, and its latest attempt with it."""
        if self._reserved is not None:
            self._reserved.cancel()
            self._reserved = None
        if self._token is not None and self._attempt is None:
            # Its attempt has never begun.
            self._token.cancel()
            self._token = None
        self.record_failure(is_ended=False)

    def _owe(self, token: RetryToken, attempt: _Attempt) -> None:
        """Keep a token until an attempt has arrived or can't any more."""
        token.hold_owed()
        self._unanswered.add(self._service, attempt.incarnation, attempt.sent_at, token)

    def _release_token(self) -> None:
        if self._token is not None:
            self._token.release()
            self._token = None
