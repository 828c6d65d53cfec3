"""Base class of the forwarders of plain and streamed requests.

Owns: nothing.
Relies on: the selector, the load table, the failure detector and the retry budgets, which are
shared by all requests of this daemon.
"""

import contextlib
import typing as t

from ..exceptions import AttemptError
from ..exceptions import Executed
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.roster import Roster
from . import request_log
from . import retry_policy
from .answer_budget import AnswerBudget
from .crash_watch import CrashWatch
from .endpoint_client import EndpointClient
from .endpoint_selector import EndpointSelector
from .overload.control import OverloadControl
from .request import Request
from .request_retries import RequestRetries
from .retry_budget import RetryBudgets
from .stop_window import StopWindow
from .unanswered_attempts import UnansweredAttempts


class Forwarder:
    """Base class of the forwarders, which send requests to endpoints.

    :param clock: monotonic, in seconds.
    :param overload_control: None to admit all requests.
    :param answers: the memory for endpoints' answers; None for a budget of its own.
    :param stop_window: the time that a planned stop leaves; None for no stop.
    :param unanswered: the attempts that may still arrive; None for an account of its own.
    """

    def __init__(
        self,
        endpoint_client: EndpointClient,
        selector: EndpointSelector,
        load_table: LoadTable,
        retry_budgets: RetryBudgets,
        detector: FailureDetector,
        crash_watch: CrashWatch,
        clock: t.Callable[[], float],
        overload_control: OverloadControl | None = None,
        answers: AnswerBudget | None = None,
        stop_window: StopWindow | None = None,
        unanswered: UnansweredAttempts | None = None,
    ) -> None:
        self._unanswered = unanswered or UnansweredAttempts(Roster, clock)
        self._endpoint_client = endpoint_client
        self._selector = selector
        self._load_table = load_table
        self._retry_budgets = retry_budgets
        self._detector = detector
        self._crash_watch = crash_watch
        self._clock = clock
        self._overload_control = overload_control
        self._answers = answers or AnswerBudget()
        self._stop_window = stop_window or StopWindow(clock)
        # Services of which a large answer without a stated length has come to its end.
        self._large_answer_services: set[str] = set()

    @contextlib.contextmanager
    def _count_request(self, request: Request) -> t.Iterator[None]:
        """Count a caller's request towards the retry budget of its service, and its retries."""
        self._retry_budgets.record_request(request.service.name)
        retries = self._retries(request)
        try:
            yield
        finally:
            retries.close()

    def _retries(self, request: Request) -> RequestRetries:
        """Return the retries of a request."""
        if request.retries is None:
            request.retries = RequestRetries(
                self._retry_budgets, self._unanswered, request.service.name
            )
        return request.retries

    @contextlib.contextmanager
    def _track(self, request: Request, endpoint: Endpoint, model: str) -> t.Iterator[None]:
        """Count an attempt as running at an endpoint, and for its workspace.

        :param model: the model of the group; empty for a plain service.
        """
        with self._load_table.track_request(endpoint.id):
            if self._overload_control is None:
                yield
                return
            with self._overload_control.track_request(request, model):
                yield

    @staticmethod
    def _timeout_error(request: Request, cause: str) -> AttemptError:
        """Return the error of an attempt whose time is over.

        One that was never connected hasn't run. Its end says nothing of the endpoint, which may
        have had less time than a connection takes.
        """
        if request.is_sent:
            return AttemptError(cause, Executed.MAYBE)
        return AttemptError(cause, Executed.NO, sent=False, is_own_fault=True)

    def _record_served(self, request: Request, endpoint: Endpoint, model: str) -> None:
        """Record an attempt that was answered without a failure.

        :param model: the model of the group; empty for a plain service.
        """
        self._crash_watch.record_served(request, endpoint)
        if self._overload_control is not None:
            self._overload_control.record_served(request, model)

    def _check_quarantine(self, request: Request, *, has_begun: bool) -> None:
        """Check before an attempt that the request isn't quarantined.

        :param has_begun: whether the caller has got the head of an answer.
        :raises RefusalError: if it is quarantined and the caller has not got the head.
        :raises AnswerAbortedError: if it is quarantined and the caller has got the head.
        """
        seconds = self._crash_watch.quarantine_seconds_left(request)
        if seconds and not self._crash_watch.may_probe(request):
            decision = retry_policy.refuse_quarantined(
                seconds, may_have_run=request.may_have_run, has_begun=has_begun
            )
            raise decision.error()

    def _check_stop(self, request: Request, *, must_go_on: bool) -> None:
        """Check before an attempt that a planned stop leaves time for it.

        :param must_go_on: see :func:`.stop_window.may_send`.
        :raises RefusalError: if it doesn't.
        """
        if not self._stop_window.may_send(request, must_go_on=must_go_on):
            raise retry_policy.refuse_stopping(may_have_run=request.may_have_run).error()

    def _token_source(self, request: Request) -> t.Callable[[], bool]:
        """Return a function that takes a token of the retry budget for a request."""
        return lambda: self._take_token(request)

    def _take_token(self, request: Request) -> bool:
        """Take a token for a retry of a request, or use the reserved one; log a denial."""
        if self._retries(request).take():
            return True
        account = self._retry_budgets.account(request.service.name)
        request_log.retry_denied(request, account)
        return False
