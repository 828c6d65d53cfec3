"""A final answer of the gateway's own to a request: its status, its cause, when to come back.

Owns: nothing.
Relies on: nothing; :mod:`.admission` and :mod:`.retry_policy` decide on refusals, the frontend
sends them.
"""

import dataclasses

from ..exceptions import RefusalError


@dataclasses.dataclass(frozen=True)
class Refusal:
    """How a request ends of whose answer the caller has nothing yet.

    :param status: HTTP status; 503 promises that the request has not run, 502 promises nothing.
    :param cause: as it stands in the log line and in the answer.
    :param retry_after: seconds after which coming back helps; None if it doesn't, or if nothing
        is promised.
    """

    status: int
    cause: str
    retry_after: float | None = None

    def error(self) -> RefusalError:
        """Return the error that ends the request so."""
        return RefusalError(self.status, self.cause, retry_after=self.retry_after)
