"""The gateway's own final answer to a request that it refuses.

Owns: nothing.
Relies on: nothing; :mod:`.admission` and :mod:`.retry_policy` create refusals, and
:mod:`.frontend` sends them.
"""

import dataclasses

from ..exceptions import RefusalError


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The gateway's answer to a request whose caller has got no answer yet.

    :param status: HTTP status; 502 if the request may have run, any other promises that it has not.
    :param cause: text of the log line and of the answer.
    :param retry_after: seconds after which a retry may succeed; None if it can't, or if the request
        may have run.
    """

    status: int
    cause: str
    retry_after: float | None = None

    def error(self) -> RefusalError:
        """Return the error that ends the request in this way."""
        return RefusalError(self.status, self.cause, retry_after=self.retry_after)
