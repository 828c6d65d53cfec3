"""Asks other daemons whether an endpoint answers them before its silence here ends a group.

A controller that is cut off gets no answer from any endpoint, and would end every group. Its own
silence counts only if it reaches other endpoints meanwhile, or if a daemon that reaches some gets
no answer of this one either; an answer to any daemon overrules it.

Owns: the latest result of each daemon that was asked about an endpoint.
Relies on: :class:`~..peers.probe_answers.ProbeAnswers` of the other daemons to report their results
at once; daemons of earlier builds report none.
"""

import asyncio
import contextlib
import random
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.messages import Message
from ..peers.messages import Probe
from ..peers.messages import ProbeResult
from ..store.roster import Endpoint

# Daemons that are asked about one endpoint; the other two count if one is cut off itself.
WITNESSES = 3
# How long an asked daemon has to report: a datagram each way, the probe of an endpoint that answers
# and some lateness of its event loop.
ANSWER_SECONDS = 0.2

ConfirmsReach = t.Callable[[str, float], t.Awaitable[bool]]


def proves_loss(*, answers_others: bool, is_in_touch: bool, has_witness: bool) -> bool:
    """Return whether an endpoint that doesn't answer this daemon is lost.

    :param answers_others: whether it answered another daemon since.
    :param is_in_touch: whether other endpoints answered this daemon meanwhile.
    :param has_witness: whether a daemon that reaches endpoints got no answer of this one.
    """
    return not answers_others and (is_in_touch or has_witness)


class Question:
    """A question to some daemons whether an endpoint answers them.

    :param ask: sends a probe request to a daemon.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        began_at: float,
        daemons: t.Collection[str],
        ask: t.Callable[[str, Probe], None],
    ) -> None:
        self.endpoint = endpoint
        self.began_at = began_at
        self.asked_at: float | None = None
        self.results: dict[str, ProbeResult] = {}
        self._daemons = daemons
        self._ask = ask
        self._answered = asyncio.Event()

    @property
    def answers_others(self) -> bool:
        """Whether the endpoint answered an asked daemon."""
        return any(result.answered for result in self.results.values())

    @property
    def has_witness(self) -> bool:
        """Whether an asked daemon reaches endpoints, but not this one."""
        return any(
            result.reaches_others and not result.answered for result in self.results.values()
        )

    def ask(self, now: float) -> None:
        """Ask the daemons, unless they have been asked already."""
        if self.asked_at is not None:
            return
        self.asked_at = now
        for daemon in self._daemons:
            self._ask(daemon, Probe(self.endpoint.id))

    def record(self, sender: str, result: ProbeResult) -> None:
        """Record the result of an asked daemon."""
        if self.asked_at is not None and sender in self._daemons:
            self.results[sender] = result
            if result.answered or len(self.results) == len(self._daemons):
                self._answered.set()

    async def wait_answered(self, seconds: float) -> None:
        """Wait until all asked daemons have reported, or one that the endpoint answers it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, seconds)):
                await self._answered.wait()


class Witnesses:
    """Asks other daemons about endpoints that don't answer this one.

    :param confirms_reach: returns whether this daemon has reached a service since an instant.
    """

    def __init__(
        self,
        peers: PeerChannel,
        detector: FailureDetector,
        clock: t.Callable[[], float],
        confirms_reach: ConfirmsReach,
    ) -> None:
        self._peers = peers
        self._detector = detector
        self._clock = clock
        self._confirms_reach = confirms_reach
        self._questions: set[Question] = set()
        peers.on_message(self._on_message)

    def begin(self, endpoint: Endpoint) -> Question:
        """Return a question about an endpoint, which is yet to be asked."""
        others = sorted(self._peers.other_daemons)
        daemons = random.sample(others, min(WITNESSES, len(others)))
        question = Question(endpoint, self._clock(), daemons, self._peers.send)
        self._questions.add(question)
        return question

    def end(self, question: Question) -> None:
        """Take no more answers to a question."""
        self._questions.discard(question)

    async def confirm_lost(self, endpoint: Endpoint) -> bool:
        """Ask other daemons now, and return whether a silent endpoint is lost."""
        question = self.begin(endpoint)
        try:
            return await self.is_lost(question)
        finally:
            self.end(question)

    async def is_lost(self, question: Question) -> bool:
        """Return whether an endpoint that doesn't answer this daemon is lost."""
        question.ask(self._clock())
        assert question.asked_at is not None
        await question.wait_answered(question.asked_at + ANSWER_SECONDS - self._clock())
        service = question.endpoint.service
        is_in_touch = await self._confirms_reach(service, question.asked_at)
        return proves_loss(
            answers_others=question.answers_others or self._was_heard(question),
            is_in_touch=is_in_touch,
            has_witness=question.has_witness,
        )

    def _was_heard(self, question: Question) -> bool:
        """Return whether the endpoint has answered this daemon after all."""
        return self._detector.was_heard_here_since(question.endpoint.id, question.began_at)

    def _on_message(self, sender: str, message: Message) -> None:
        if not isinstance(message, ProbeResult):
            return
        for question in self._questions:
            if question.endpoint.id == message.endpoint_id:
                question.record(sender, message)
