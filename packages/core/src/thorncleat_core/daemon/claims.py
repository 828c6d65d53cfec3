"""Claims: at most one run of each request that may not be repeated.

The owner of a claim shard gives each key to one daemon once, and only after the claim is
durable in the store. It never gives a key a second time unless the first daemon says that
nothing was sent.

Owns: the claims of the shards held.
Relies on: the owner's lease, which :mod:`thorncleat_daemon.claims` checks around each write.
"""

import dataclasses
import enum
import typing as t

from .. import codec


class ClaimState(enum.StrEnum):
    """What the owner knows of a key."""

    WRITING = "writing"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimAnswer(enum.StrEnum):
    """The answer to a daemon that asks for a key."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to a request that ran.

    :param body: None if it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A key and what is known of its request.

    :param request: digest of method, path and body.
    :param until: wall clock second up to which the claim is kept.
    :param attempt: the attempt that it was given to; nobody else can give it back.
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
        """Workspace and key."""
        return (self.workspace, self.key)


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer to a daemon."""

    answer: ClaimAnswer
    outcome: Outcome | None = None


class ClaimBook:
    """The claims of one shard, in the memory of its owner.

    :param limit: claims that are kept; one more is refused.
    :param keep: seconds for which a claim is kept.
    :param patience: seconds after which a run of which nothing is heard counts as unknown.
    """

    def __init__(
        self, limit: int = 100_000, keep: int = 86_400, run_timeout: float = 600.0
    ) -> None:
        self._claims: dict[tuple[str, str], Claim] = {}
        self._since: dict[tuple[str, str], float] = {}
        self._limit = limit
        self._keep = keep
        self._patience = run_timeout

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def ids(self) -> t.AbstractSet[tuple[str, str]]:
        """Workspace and key of each claim."""
        return self._claims.keys()

    def request_claim(
        self, workspace: str, key: str, request: str, now: float, wall: int, attempt: str = ""
    ) -> tuple[Reply, Claim | None]:
        """Answer a daemon that wants to run a request.

        :param now: monotonic seconds.
        :param wall: wall clock seconds, for expiry alone.
        :param attempt: unique to this question.
        :return: the answer, and the claim to make durable before it is given.
        """
        found = self._claims.get((workspace, key))
        if found is None or found.state is ClaimState.RELEASED:
            reply, claim = self._open(workspace, key, request, now, wall, attempt)
        else:
            reply, claim = self._known(found, request, now), None
        return reply, claim

    def _open(
        self, workspace: str, key: str, request: str, now: float, wall: int, attempt: str
    ) -> tuple[Reply, Claim | None]:
        if len(self._claims) >= self._limit and not self.expire(wall):
            return Reply(ClaimAnswer.BUSY), None
        until = wall + self._keep
        claim = Claim(workspace, key, request, ClaimState.RUNNING, until, attempt=attempt)
        writing = dataclasses.replace(claim, state=ClaimState.WRITING)
        self._claims[claim.id] = writing
        self._since[claim.id] = now
        return Reply(ClaimAnswer.GRANTED), claim

    def _known(self, claim: Claim, request: str, now: float) -> Reply:
        if claim.request != request:
            return Reply(ClaimAnswer.MISMATCH)
        if claim.state is ClaimState.DONE:
            return Reply(ClaimAnswer.DONE, claim.outcome)
        if claim.state is ClaimState.UNKNOWN:
            return Reply(ClaimAnswer.UNKNOWN)
        if now - self._since.get(claim.id, float("-inf")) > self._patience:
            return Reply(ClaimAnswer.UNKNOWN)
        return Reply(ClaimAnswer.RUNNING)

    def mark_durable(self, claim: Claim) -> None:
        """Note that a claim is durable."""
        self._replace(claim, ClaimState.WRITING)

    def discard_unwritten(self, claim: Claim) -> None:
        """Forget a claim that did not reach the store."""
        found = self._claims.get(claim.id)
        if found and found.state is ClaimState.WRITING:
            del self._claims[claim.id]
            self._since.pop(claim.id, None)

    def record_outcome(
        self, workspace: str, key: str, outcome: Outcome | None, ran: str, attempt: str = ""
    ) -> Claim | None:
        """Note how a request ended.

        :param ran: ``yes``, ``no`` or ``unknown``.
        :param attempt: the attempt that tells; what another one tells of a claim is ignored.
        :return: the claim to make durable, if it is known.
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
        self._since.pop(found.id, None)
        ended = dataclasses.replace(found, state=state, outcome=outcome)
        self._claims[ended.id] = ended
        return ended

    def restore(self, claims: t.Iterable[Claim]) -> None:
        """Restore claims that an earlier owner wrote, oldest first.

        What was running then may be running still, so it counts as unknown.
        """
        for claim in claims:
            state = ClaimState.UNKNOWN if claim.state is ClaimState.RUNNING else claim.state
            self._claims[claim.id] = dataclasses.replace(claim, state=state)

    def expire(self, wall: int) -> int:
        """Drop the claims whose time is over; return how many went."""
        late = [key for key, claim in self._claims.items() if claim.until <= wall]
        for key in late:
            del self._claims[key]
            self._since.pop(key, None)
        return len(late)

    def _replace(self, claim: Claim, only_from: ClaimState) -> None:
        found = self._claims.get(claim.id)
        if found and found.state is only_from:
            self._claims[claim.id] = claim


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which two requests under one key are compared."""
    # half of the digest is enough to compare two, and claims are kept by the ten thousand
    return codec.digest([method, path, body.hex()])[:32]


def encode_batch(claims: list[Claim]) -> bytes:
    """Encode claims for one value of the store."""
    return codec.pack(claims)


def decode_batch(data: bytes) -> list[Claim]:
    """Decode one value of the store.

    :raises DecodeError: if it is broken.
    """
    return [codec.validate(Claim, raw) for raw in codec.unpack(data)]
