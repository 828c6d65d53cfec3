"""Requests to plain services: the whole answer, or a refusal that says whether it ran."""

import dataclasses
import typing as t

from ..exceptions import AttemptError
from ..exceptions import Ran
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..ports import HeaderCodec
from ..ports import Headers
from ..store.roster import Endpoint
from .endpoint_client import EndpointClient
from .endpoint_client import within
from .endpoint_selector import EndpointSelector
from .request import Request
from .request import RetryBudgets
from .request import log_failed

RETRY_AFTER_SECONDS = 0.3
# a repeatable request goes to another endpoint after this many times its target
PATIENCE = 0.8


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """An endpoint's whole answer."""

    status: int
    headers: Headers
    body: bytes


class PlainForwarder:
    """Sends requests to the endpoints of plain services."""

    def __init__(
        self,
        codec: HeaderCodec,
        endpoint_client: EndpointClient,
        selector: EndpointSelector,
        load_table: LoadTable,
        retry_budgets: RetryBudgets,
        detector: FailureDetector,
        clock: t.Callable[[], float],
    ) -> None:
        self._codec = codec
        self._endpoint_client = endpoint_client
        self._selector = selector
        self._load_table = load_table
        self._retry_budgets = retry_budgets
        self._detector = detector
        self._clock = clock

    async def serve(self, request: Request) -> PlainAnswer:
        """Return an endpoint's answer.

        :raises RefusalError: if there is none.
        """
        kept: PlainAnswer | None = None
        while True:
            one = self._selector.plain(request.service.name, request.tried)
            if one is None and kept is not None:
                return kept
            if one is None:
                raise request.refusal("no endpoint", RETRY_AFTER_SECONDS)
            try:
                kept = await self._attempt(request, one)
                self._detector.heard(one.id, self._clock())
                self._selector.answered(one.id, well=kept.status < 500)
                if kept.status < 500 or not self._again(request):
                    return kept
                error = AttemptError(f"status {kept.status}", Ran.MAYBE)
            except AttemptError as failure:
                error = failure
                self._selector.answered(one.id, well=False)
                if not error.sent:
                    self._selector.avoid(one.id)
            request.failed(one, error)
            log_failed(request, one, error, self._clock())
            if self._clock() >= request.until:
                raise request.refusal("out of time", RETRY_AFTER_SECONDS)
            if request.may_have_run and not request.route.repeatable:
                raise request.refusal(error.cause, None)
            if not self._retry_budgets.take(request):
                if kept is not None:
                    return kept
                raise request.refusal(error.cause, RETRY_AFTER_SECONDS)

    def _again(self, request: Request) -> bool:
        """Tell whether a failure of the endpoint's own may be tried elsewhere."""
        more = request.sends + 1 < request.route.max_attempts
        return request.route.repeatable and more and self._clock() < request.until

    async def _attempt(self, request: Request, one: Endpoint) -> PlainAnswer:
        left = request.until - self._clock()
        if self._again(request):
            left = min(left, PATIENCE * request.route.target)
        with self._load_table.running(one.id):
            answer: PlainAnswer = await within(left, self._exchange(request, one))
        return answer

    async def _exchange(self, request: Request, one: Endpoint) -> PlainAnswer:
        headers = request.forwarded(self._codec, one, self._clock(), None)
        async with self._endpoint_client.open(
            one.address, request.method, request.path, headers, request.body, request.meta.id
        ) as exchange:
            body = await exchange.body()
            return PlainAnswer(exchange.status, self._codec.returned(exchange.headers), body)
