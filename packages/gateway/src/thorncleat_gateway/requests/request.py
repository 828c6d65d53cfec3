"""The state of a caller's request while it is served.

Owns: what one request asks for, and the attempts that it has used.
Relies on: :mod:`.retry_policy` to decide on the next attempt by that state, and
:class:`~..ports.ForwardMeta` for the metadata that endpoints get.
"""

import dataclasses
import enum
import functools

from ..exceptions import AttemptError
from ..exceptions import Executed
from ..ports import ForwardMeta
from ..ports import Headers
from ..ports import RequestMeta
from ..store.roster import Endpoint
from ..store.serving import Route
from ..store.serving import Service
from ..store.serving import Workspace
from . import fingerprint
from .fingerprint import Fingerprint
from .first_event_offsets import ExpectedTime
from .request_retries import RequestRetries
from .retry_policy import AttemptsUsed

# Priority of the least urgent requests; engines accept 0 to 9.
LOWEST_PRIORITY = 9
# Shortest remaining time that is sent to an endpoint: the platform's unit, a millisecond.
MIN_REMAINING_SECONDS = 0.001


class MissedTarget(enum.Enum):
    """The target of its route that an answer missed; the value is written to the log line."""

    FIRST_EVENT = "first event"
    PAUSE = "pause"
    ANSWER = "answer"


@dataclasses.dataclass
class Request:
    """A caller's request; times are seconds on the gateway's clock.

    :param give_up_at: when the gateway gives the request up.
    :param deadline_at: when the caller gives it up.
    :param tried: ids of the endpoints that failed the request or didn't accept it.
    :param sends: attempts that count towards the route's limit.
    :param unsent: attempts that don't count, since they cannot have run.
    :param may_have_run: whether any attempt may have run.
    :param longest_pause: longest time between two events of the answer, in seconds.
    :param endpoint_id: the endpoint of the latest attempt of a streamed request.
    :param sent_at: when the latest attempt began.
    :param is_sent: whether any part of the latest attempt may have been sent.
    :param head_at: when the head of the latest attempt's answer came; 0 before that.
    :param level_priority: the priority for engines by the level of the request; None without
        overload control.
    :param expected: what was expected of the latest attempt; None if it isn't the first one, or
        isn't known.
    :param retries: the tokens of the retry budget that it holds; None before it is forwarded.
    :param needs_new_connection: whether an earlier attempt met another answer on a used one.
    :param is_probe: whether it was let through a quarantine, for its first attempt.
    """

    meta: RequestMeta
    method: str
    path: str
    headers: Headers
    body: bytes
    route: Route
    service: Service
    workspace: Workspace | None
    received_at: float
    give_up_at: float
    deadline_at: float
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    endpoint_id: str = ""
    sent_at: float = 0.0
    is_sent: bool = True
    head_at: float = 0.0
    level_priority: int | None = None
    expected: ExpectedTime | None = None
    retries: RequestRetries | None = None
    needs_new_connection: bool = False
    is_probe: bool = False

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """The digest of this request, which the caller's retries share."""
        workspace = self.workspace.name if self.workspace else ""
        return fingerprint.of(workspace, self.route.host, self.path, self.body)

    @functools.cached_property
    def crash_keys(self) -> tuple[Fingerprint, ...]:
        """What a crash may be put down to: this request, or a part of its prompt."""
        parts = (
            fingerprint.of_part(self.service.name, part_id) for part_id in self.meta.prompt_parts
        )
        return (self.fingerprint, *parts)

    @property
    def priority(self) -> int:
        """The priority for engines, by workspace and then by route; 0 is the most urgent."""
        if self.level_priority is not None:
            # A stream that has begun goes first.
            has_begun = self.first_event_at or self.meta.last_event_id is not None
            return 0 if has_begun else self.level_priority
        workspace_priority = self.workspace.priority if self.workspace else 0
        return min(LOWEST_PRIORITY, 2 * workspace_priority + min(1, self.route.priority))

    def record_event(self, now: float) -> None:
        """Record that an event of the answer came."""
        if self.first_event_at:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now

    def target_left(self, now: float) -> float:
        """Return the seconds until the target of a stream's next event is missed."""
        if self.first_event_at:
            return self.last_event_at + self.route.gap_target - now
        return self.received_at + self.route.target - now

    def missed_target(self, now: float) -> MissedTarget | None:
        """Return the target that an answer completed now has missed, or None."""
        if not self.first_event_at:
            return MissedTarget.ANSWER if now - self.received_at > self.route.target else None
        if self.first_event_at - self.received_at > self.route.target:
            return MissedTarget.FIRST_EVENT
        return MissedTarget.PAUSE if self.longest_pause > self.route.gap_target else None

    def forward_meta(
        self, endpoint: Endpoint, now: float, last_event_id: str | None
    ) -> ForwardMeta:
        """Return the metadata that an endpoint gets with an attempt.

        :param last_event_id: id of the last event that the caller has got, or None.
        """
        return ForwardMeta(
            remaining=max(MIN_REMAINING_SECONDS, self.deadline_at - now),
            endpoint_id=endpoint.id,
            workspace=self.workspace.name if self.workspace else None,
            priority=self.priority,
            last_event_id=last_event_id,
        )

    def begin_attempt(self, endpoint: Endpoint) -> None:
        """Record that an attempt begins, of which nothing has been sent yet."""
        self.is_sent = False
        if self.retries is not None:
            self.retries.begin_attempt(endpoint, self.sent_at)

    def record_sent(self) -> None:
        """Record that a part of the latest attempt may have been sent."""
        self.is_sent = True
        if self.retries is not None:
            self.retries.record_sent()

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has answered the latest attempt."""
        if self.retries is not None:
            self.retries.record_answer(endpoint)

    def record_failure(self, endpoint: Endpoint, failure: AttemptError, *, counted: bool) -> None:
        """Record a failed attempt.

        :param counted: whether it counts towards the route's limit, see
            :func:`.retry_policy.counts_as_sent`.
        """
        self.tried.add(endpoint.id)
        if counted:
            self.sends += 1
        else:
            self.unsent += 1
        if failure.ran is Executed.MAYBE:
            self.may_have_run = True
        if self.retries is not None:
            self.retries.record_failure(is_ended=failure.broken is not None)

    def attempts_used(self, now: float) -> AttemptsUsed:
        """Return the attempts used so far."""
        return AttemptsUsed(self.sends, self.unsent, self.may_have_run, now >= self.give_up_at)
