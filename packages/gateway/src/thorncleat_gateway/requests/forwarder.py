"""What plain and streamed requests have in common: the parts that an attempt needs.

Owns: nothing of its own.
Relies on: the selector, the load table, the failure detector and the retry budgets, which are
shared by all requests of this daemon.
"""

import typing as t

from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from .endpoint_client import EndpointClient
from .endpoint_selector import EndpointSelector
from .request import Request
from .retry_budget import RetryBudgets


class Forwarder:
    """Base class of those that send requests to endpoints.

    :param clock: seconds that never go back.
    """

    def __init__(
        self,
        endpoint_client: EndpointClient,
        selector: EndpointSelector,
        load_table: LoadTable,
        retry_budgets: RetryBudgets,
        detector: FailureDetector,
        clock: t.Callable[[], float],
    ) -> None:
        self._endpoint_client = endpoint_client
        self._selector = selector
        self._load_table = load_table
        self._retry_budgets = retry_budgets
        self._detector = detector
        self._clock = clock

    def _count(self, request: Request) -> None:
        """Count a caller's request towards the retry budget of its service."""
        self._retry_budgets.request(request.service.name)

    def _token(self, request: Request) -> t.Callable[[], bool]:
        """Return a function that takes a token of the retry budget for a request."""
        return lambda: self._retry_budgets.take(request.service.name)
