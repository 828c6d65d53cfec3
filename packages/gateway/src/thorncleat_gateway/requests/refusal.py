"""A refusal: the gateway's own final answer to a request.

Owns: nothing.
Relies on: nothing; :mod:`.admission` and :mod:`.retry_policy` decide on refusals, the frontend
sends them.
"""

import dataclasses

from ..exceptions import RefusalError


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The gateway's answer to a request of which the caller has got no answer yet.

    :param status: HTTP status; 503 promises that the request has not run, 502 promises nothing.
    :param cause: the text in the log line and in the answer.
    :param retry_after: seconds after which a retry may succeed; None if it can't, or if the request
        may have run.
    """

    status: int
    cause: str
    retry_after: float | None = None

    def error(self) -> RefusalError:
        """Return the error that ends the request in this way."""
        return RefusalError(self.status, self.cause, retry_after=self.retry_after)
