"""Claims, which ensure that a request with an idempotency key runs at most once.

The owner of a shard grants each key to one daemon, after the claim has been written to the store.
It grants the key again only if that daemon reports that nothing was sent.

Owns: the claims of one shard.
Relies on: the owner's lease, which :mod:`thorncleat_daemon.claims` checks around each write.
"""

import dataclasses
import enum
import typing as t

from .. import codec


class ClaimState(enum.StrEnum):
    """The state of a claim."""

    WRITING = "writing"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimAnswer(enum.StrEnum):
    """The answers to a daemon that requests a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The response to a request that ran.

    :param body: body of the response, or None if it was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim on an idempotency key.

    :param request: digest of the request's method, path and body.
    :param until: wall clock time in seconds at which the claim expires.
    :param outcome: response to the request, if it has run and the response is known.
    :param attempt: id of the attempt that holds the claim. No other attempt can release it.
    """

    workspace: str
    key: str
    request: str
    state: ClaimState
    until: int
    outcome: Outcome | None = None
    attempt: str = ""

    @property
    def id(self) -> tuple[str, str]:
        """The workspace and key."""
        return (self.workspace, self.key)


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer to a daemon that requests a claim.

    :param outcome: response to the request, if the answer is :attr:`ClaimAnswer.DONE`.
    """

    answer: ClaimAnswer
    outcome: Outcome | None = None


class ClaimBook:
    """The claims of one shard, held in memory by its owner.

    :param limit: maximum number of claims. Further ones are rejected.
    :param keep: TTL of a claim in seconds.
    :param run_timeout: seconds after which a run without a reported outcome becomes unknown.
    """

    def __init__(
        self, limit: int = 100_000, keep: int = 86_400, run_timeout: float = 600.0
    ) -> None:
        self._claims: dict[tuple[str, str], Claim] = {}
        self._requested_at: dict[tuple[str, str], float] = {}
        self._limit = limit
        self._ttl_seconds = keep
        self._run_timeout = run_timeout

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def ids(self) -> t.AbstractSet[tuple[str, str]]:
        """The workspace and key of each claim."""
        return self._claims.keys()

    def request_claim(
        self, workspace: str, key: str, request: str, now: float, wall_time: int, attempt: str = ""
    ) -> tuple[Reply, Claim | None]:
        """Return the answer to a daemon that requests a claim, and the claim to write first.

        The answer must not be sent before the claim, if there is one, is durable.

        :param request: digest of the request.
        :param now: monotonic time in seconds.
        :param wall_time: wall clock time in seconds, used for the expiry.
        :param attempt: unique id of the attempt.
        """
        found = self._claims.get((workspace, key))
        if found is None or found.state is ClaimState.RELEASED:
            reply, claim = self._create(workspace, key, request, now, wall_time, attempt)
        else:
            reply, claim = self._reply_to_existing(found, request, now), None
        return reply, claim

    def _create(
        self, workspace: str, key: str, request: str, now: float, wall_time: int, attempt: str
    ) -> tuple[Reply, Claim | None]:
        if len(self._claims) >= self._limit and not self.expire(wall_time):
            return Reply(ClaimAnswer.BUSY), None
        until = wall_time + self._ttl_seconds
        claim = Claim(workspace, key, request, ClaimState.RUNNING, until, attempt=attempt)
        writing = dataclasses.replace(claim, state=ClaimState.WRITING)
        self._claims[claim.id] = writing
        self._requested_at[claim.id] = now
        return Reply(ClaimAnswer.GRANTED), claim

    def _reply_to_existing(self, claim: Claim, request: str, now: float) -> Reply:
        if claim.request != request:
            return Reply(ClaimAnswer.MISMATCH)
        if claim.state is ClaimState.DONE:
            return Reply(ClaimAnswer.DONE, claim.outcome)
        if claim.state is ClaimState.UNKNOWN:
            return Reply(ClaimAnswer.UNKNOWN)
        if now - self._requested_at.get(claim.id, float("-inf")) > self._run_timeout:
            return Reply(ClaimAnswer.UNKNOWN)
        return Reply(ClaimAnswer.RUNNING)

    def mark_durable(self, claim: Claim) -> None:
        """Record that a claim has been written to the store."""
        self._replace_if(claim, ClaimState.WRITING)

    def discard_unwritten(self, claim: Claim) -> None:
        """Discard a claim that could not be written to the store."""
        found = self._claims.get(claim.id)
        if found and found.state is ClaimState.WRITING:
            del self._claims[claim.id]
            self._requested_at.pop(claim.id, None)

    def record_outcome(
        self, workspace: str, key: str, outcome: Outcome | None, ran: str, attempt: str = ""
    ) -> Claim | None:
        """Record the outcome of a request and return the claim to write, if it changed.

        :param outcome: response to the request, if there is one.
        :param ran: whether the request ran: ``yes``, ``no`` or ``unknown``.
        :param attempt: id of the reporting attempt. Reports of other attempts are ignored.
        """
        found = self._claims.get((workspace, key))
        if found is None or found.state in (ClaimState.DONE, ClaimState.RELEASED):
            return None
        if found.attempt != attempt:
            return None
        state = {
            "yes": ClaimState.DONE,
            "no": ClaimState.RELEASED,
            "unknown": ClaimState.UNKNOWN,
        }[ran]
        self._requested_at.pop(found.id, None)
        updated = dataclasses.replace(found, state=state, outcome=outcome)
        self._claims[updated.id] = updated
        return updated

    def restore(self, claims: t.Iterable[Claim]) -> None:
        """Restore the claims that previous owners wrote, the oldest first.

        A claim that was running becomes unknown, since its outcome may have been lost.
        """
        for claim in claims:
            state = ClaimState.UNKNOWN if claim.state is ClaimState.RUNNING else claim.state
            self._claims[claim.id] = dataclasses.replace(claim, state=state)

    def expire(self, wall_time: int) -> int:
        """Remove expired claims and return their number."""
        expired = [key for key, claim in self._claims.items() if claim.until <= wall_time]
        for key in expired:
            del self._claims[key]
            self._requested_at.pop(key, None)
        return len(expired)

    def _replace_if(self, claim: Claim, expected_state: ClaimState) -> None:
        found = self._claims.get(claim.id)
        if found and found.state is expected_state:
            self._claims[claim.id] = claim


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that detects different requests with the same key."""
    # Half of the digest is sufficient for the comparison and saves memory.
    return codec.digest([method, path, body.hex()])[:32]


def encode_batch(claims: list[Claim]) -> bytes:
    """Return claims encoded as one value for the store."""
    return codec.pack(claims)


def decode_batch(data: bytes) -> list[Claim]:
    """Return the claims in a value that was encoded by :func:`encode_batch`.

    :raises DecodeError: if the value is invalid.
    """
    return [codec.validate(Claim, raw) for raw in codec.unpack(data)]
