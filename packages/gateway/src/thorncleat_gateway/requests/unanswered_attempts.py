"""Attempts that were sent, were given up without an answer, and may still arrive.

A kernel takes requests for a process that stands still, and hands them over when the process goes
on, even if their connections were reset meanwhile. So an attempt that got no answer may arrive at
any time, until something shows that it has arrived or can't any more:

=====================================================  ==========================================
sign                                                   what it shows
=====================================================  ==========================================
its endpoint answers an attempt that was sent later    the earlier ones were read before
another incarnation of its endpoint is listed          the process that had the earlier ones ended
=====================================================  ==========================================

That an entry has lapsed, that connections are refused or that nobody hears the endpoint shows
neither: all of this can come from a cut, or from the same standstill.

Owns: these attempts, by the incarnation of their endpoint.
Relies on: :mod:`.endpoint_client` to record each answer, and the view for the incarnations.
"""

import asyncio
import collections
import dataclasses
import enum
import typing as t

from .. import events
from ..peers.messages import OwedRetries
from ..service import Service
from ..service import background_task
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.roster import Roster

SWEEP_INTERVAL_SECONDS = 1.0
# How long one is kept whose endpoint shows nothing more, so that endpoints that are gone for good
# don't take up the account.
FORGET_SECONDS = 60.0


class Sign(enum.Enum):
    """What settled attempts; the value is logged."""

    ANSWER = "answered a later attempt"
    REPLACEMENT = "replaced"
    AGE = "forgotten"


class OwedToken(t.Protocol):
    """What an attempt that may still arrive holds."""

    def release_owed(self) -> None:
        """End the hold of an attempt that has arrived, or can't any more."""


@dataclasses.dataclass(frozen=True)
class _Unanswered:
    """An attempt that may still arrive.

    :param sent_at: when it was sent, in seconds on the gateway's clock.
    """

    service: str
    sent_at: float
    token: OwedToken


class UnansweredAttempts(Service):
    """The attempts that may still arrive.

    :param roster: returns the listed endpoints.
    :param clock: monotonic, in seconds.
    """

    def __init__(self, roster: t.Callable[[], Roster], clock: t.Callable[[], float]) -> None:
        super().__init__()
        self._roster = roster
        self._clock = clock
        self._attempts: dict[Incarnation, list[_Unanswered]] = collections.defaultdict(list)

    @property
    def count(self) -> int:
        """Number of attempts that may still arrive."""
        return sum(map(len, self._attempts.values()))

    def add(self, service: str, incarnation: Incarnation, sent_at: float, token: OwedToken) -> None:
        """Add an attempt that was given up.

        :param token: released once it has arrived or can't any more.
        """
        self._attempts[incarnation].append(_Unanswered(service, sent_at, token))

    def owed(self) -> list[OwedRetries]:
        """Return how many tokens are held, each at one of the endpoints that it is held for."""
        seen: set[OwedToken] = set()
        counts: collections.Counter[tuple[str, Incarnation]] = collections.Counter()
        for incarnation, attempts in self._attempts.items():
            for attempt in attempts:
                if attempt.token not in seen:
                    seen.add(attempt.token)
                    counts[attempt.service, incarnation] += 1
        return [
            OwedRetries(service, incarnation.endpoint_id, incarnation.born, count)
            for (service, incarnation), count in counts.items()
        ]

    def record_answer(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record that an endpoint answered an attempt.

        :param sent_at: when that attempt was sent.
        """
        # Fast path, since this runs for every answer.
        if endpoint.incarnation in self._attempts:
            self._settle(endpoint.incarnation, sent_at, Sign.ANSWER)

    @background_task
    async def _sweep_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Settle the attempts at endpoints that were replaced, and those that are too old."""
        now, listed = self._clock(), self._roster().endpoints
        for incarnation in list(self._attempts):
            endpoint = listed.get(incarnation.endpoint_id)
            if endpoint is not None and incarnation.is_superseded_by(endpoint.incarnation):
                self._settle(incarnation, now, Sign.REPLACEMENT)
            else:
                self._settle(incarnation, now - FORGET_SECONDS, Sign.AGE)

    def _settle(self, incarnation: Incarnation, sent_until: float, sign: Sign) -> None:
        """Settle the attempts at an endpoint that were sent until a time."""
        attempts = self._attempts.pop(incarnation)
        settled = [attempt for attempt in attempts if attempt.sent_at <= sent_until]
        remaining = [attempt for attempt in attempts if attempt.sent_at > sent_until]
        if remaining:
            self._attempts[incarnation] = remaining
        if not settled:
            return
        for attempt in settled:
            with self._failures.contain("settled attempt"):
                attempt.token.release_owed()
        events.UNANSWERED_SETTLED.log(
            endpoint=incarnation.endpoint_id,
            sign=sign.value,
            attempts=len(settled),
            after=round(self._clock() - min(attempt.sent_at for attempt in settled), 3),
        )
