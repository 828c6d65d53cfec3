"""Errors of the gateway's layers; each adapter turns those of its library into these.

Owns: nothing.
Relies on: the base class that all parts of the product share.
"""

import enum

from thorncleat_core.exceptions import ThorncleatError


class StoreError(ThorncleatError):
    """Base class of errors of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store did not answer a read, or refused a call without carrying it out."""


class RelayError(StoreUnavailableError):
    """A relay gave no answer that can be used; it is left for the store."""


class StoreOutcomeUnknownError(StoreError):
    """A write got no answer; it may have taken effect, or may still do so."""


class HistoryCompactedError(StoreError):
    """The store no longer has the changes since a revision; all has to be read again."""


class LeaseExpiredError(StoreError):
    """A lease is over."""


class EndpointError(ThorncleatError):
    """Base class of errors of calls to an endpoint."""


class EndpointTimeoutError(EndpointError):
    """No answer came in time; the call may have been taken, or may be later."""


class EndpointReplacedError(EndpointError):
    """The process that was meant has ended: another one answers at its address."""


class EndpointRefusedError(EndpointError):
    """Nobody listens at the address: the process has ended, or takes nothing new and works on."""


class EndpointNotAcceptingError(EndpointError):
    """An endpoint takes no requests of this daemon now; nothing was sent to it."""


class Ran(enum.Enum):
    """Whether a request may have run in a failed attempt; the value stands in the log line."""

    NO = "no"
    MAYBE = "maybe"


class ConnectionBreak(enum.Enum):
    """When the connection of an attempt broke; the value stands in the log line.

    A streamed request that waits at its endpoint has no head yet; one that runs has.
    """

    BEFORE_HEAD = "before head"
    AFTER_HEAD = "after head"


class AttemptError(ThorncleatError):
    """An attempt at an endpoint brought no answer for the caller.

    :param ran: whether the request may have run.
    :param sent: whether any of it can have reached the endpoint.
    :param broken: when the endpoint's side of the connection ended before the answer was whole;
        None if it didn't.
    :param retry_after: seconds for which the endpoint wants no requests of this daemon; None if it
        named none.
    """

    def __init__(
        self,
        cause: str,
        ran: Ran,
        *,
        sent: bool = True,
        broken: ConnectionBreak | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.ran = ran
        self.sent = sent
        self.broken = broken
        self.retry_after = retry_after


class RefusalError(ThorncleatError):
    """A request gets an answer of the gateway's own.

    :param status: HTTP status.
    :param retry_after: seconds after which coming back helps; None if it doesn't.
    """

    def __init__(self, status: int, cause: str, *, retry_after: float | None = None) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.retry_after = retry_after


class AnswerAbortedError(RefusalError):
    """An answer that has begun can't be completed; the caller's connection has to be cut."""

    def __init__(self, cause: str) -> None:
        super().__init__(502, cause)
