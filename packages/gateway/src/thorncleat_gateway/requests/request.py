"""What is known of a caller's request while it is served."""

import collections
import dataclasses
import typing as t

from .. import events
from ..exceptions import AttemptError
from ..exceptions import Ran
from ..exceptions import RefusalError
from ..ports import ForwardMeta
from ..ports import HeaderCodec
from ..ports import Headers
from ..ports import RequestMeta
from ..store.roster import Endpoint
from ..store.serving import Route
from ..store.serving import Service
from ..store.serving import Workspace
from .retry_budget import RetryBudget
from .retry_budget import RetryBudgetSettings

# sends that may be tried while nothing of them can have reached an endpoint
UNSENT_TRIES = 4
LOWEST_PRIORITY = 9


@dataclasses.dataclass
class Request:
    """A caller's request.

    :param until: when it is given up, on the gateway's clock.
    :param tried: endpoints that it was sent to.
    :param sends: attempts that can have reached an endpoint.
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
    until: float
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

    def event(self, now: float) -> None:
        """Take in that an event of the answer came."""
        if self.first_event_at:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now

    @property
    def priority(self) -> int:
        """The rank for engines: the workspace's before the route's; 0 is the highest."""
        own = self.workspace.priority if self.workspace else 0
        return min(LOWEST_PRIORITY, 2 * own + min(1, self.route.priority))

    def forwarded(self, codec: HeaderCodec, one: Endpoint, now: float, last: str | None) -> Headers:
        """Return the headers for an attempt."""
        terms = ForwardMeta(
            remaining=max(0.001, self.deadline_at - now),
            endpoint_id=one.id,
            workspace=self.workspace.name if self.workspace else None,
            priority=self.priority,
            last_event_id=last,
        )
        return codec.forwarded(self.headers, terms)

    def failed(self, one: Endpoint, error: AttemptError, *, counted: bool = True) -> None:
        """Take in that an attempt failed.

        :param counted: whether it counts towards the route's attempts; one that surely did
            not begin to run doesn't.
        """
        self.tried.add(one.id)
        if error.sent and counted:
            self.sends += 1
        else:
            self.unsent += 1
        if error.ran is Ran.MAYBE:
            self.may_have_run = True

    def refusal(self, cause: str, retry_after: float | None) -> RefusalError:
        """Return the final answer: whether it promises anything depends on what was sent."""
        if self.may_have_run:
            return RefusalError(502, cause)
        return RefusalError(503, cause, retry_after=retry_after)


class RetryBudgets:
    """The retry budget of each service, as far as it is this daemon's.

    :param daemons: returns how many daemons share it.
    """

    def __init__(
        self, terms: RetryBudgetSettings, clock: t.Callable[[], float], daemons: t.Callable[[], int]
    ) -> None:
        self._clock = clock
        self._daemons = daemons
        self._budgets: dict[str, RetryBudget] = collections.defaultdict(lambda: RetryBudget(terms))

    def request(self, request: Request) -> None:
        """Count a caller's request."""
        self._budgets[request.service.name].request(self._clock())

    def take(self, request: Request) -> bool:
        """Count a repeat if one may be sent; tell whether it may."""
        if not self._within_attempts(request):
            return False
        return self._budgets[request.service.name].take(self._clock(), self._daemons())

    def _within_attempts(self, request: Request) -> bool:
        return request.sends < request.route.max_attempts and request.unsent < UNSENT_TRIES


def log_failed(request: Request, one: Endpoint, error: AttemptError, now: float) -> None:
    """Write the line of a failed attempt."""
    events.REQUEST_MOVED.log(
        request=request.meta.id,
        endpoint=one.id,
        cause=error.cause,
        ran=error.ran.value,
        sends=request.sends,
        after=round(now - request.received_at, 3),
    )
