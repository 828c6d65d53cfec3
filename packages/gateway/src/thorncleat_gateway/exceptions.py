"""Errors of the gateway, into which each adapter converts those of its library.

Owns: nothing.
Relies on: the base class of all errors of the product.
"""

import enum

from thorncleat_core.exceptions import ThorncleatError


class StoreError(ThorncleatError):
    """Base class of errors of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store did not answer a read, or rejected a call without executing it."""


class RelayError(StoreUnavailableError):
    """A relay gave no usable answer."""


class StoreOutcomeUnknownError(StoreError):
    """A write got no answer; it may have taken effect, or may still take effect."""


class HistoryCompactedError(StoreError):
    """The store no longer has the changes since a revision; a snapshot has to be read."""


class LeaseExpiredError(StoreError):
    """A lease has expired."""


class EndpointError(ThorncleatError):
    """Base class of errors of calls to an endpoint."""


class EndpointTimeoutError(EndpointError):
    """No answer came in time; the call may have been executed, or may still be."""


class EndpointReplacedError(EndpointError):
    """A process other than the expected one answers at an endpoint's address."""


class EndpointRefusedError(EndpointError):
    """The connection was refused: the process has ended, or no longer accepts connections."""


class CallerDroppedError(ThorncleatError):
    """A caller's connection is being closed, since it takes too much; its request has not run.

    :param cause: for the log.
    """

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class TunnelError(ThorncleatError):
    """A connection to an endpoint by way of another daemon did not come up; nothing was sent.

    :param is_endpoints: whether the other daemon was reached, but didn't reach the endpoint.
    """

    def __init__(self, cause: str, *, is_endpoints: bool = False) -> None:
        super().__init__(cause)
        self.is_endpoints = is_endpoints


class TunnelLostError(TunnelError):
    """The other daemon was lost; the endpoint may still have got what was sent."""


class EndpointNotAcceptingError(EndpointError):
    """An endpoint does not accept requests of this daemon now; nothing was sent to it."""


class Executed(enum.Enum):
    """Whether a failed attempt may have executed its request; the value is logged."""

    NO = "no"
    MAYBE = "maybe"


class ConnectionBreak(enum.Enum):
    """When the connection of an attempt broke; the value is logged.

    The head of a streamed answer arrives when the request leaves the endpoint's queue.
    """

    BEFORE_HEAD = "before head"
    AFTER_HEAD = "after head"


class AttemptError(ThorncleatError):
    """An attempt at an endpoint produced no answer for the caller.

    :param cause: the logged cause, which callers may get as well.
    :param detail: more for the log; callers get none of it, as it may hold bytes that the endpoint
        sent.
    :param ran: whether the request may have run.
    :param sent: whether any part of the request may have reached the endpoint.
    :param broken: when the endpoint closed the connection before the answer was complete; None if
        it did not.
    :param retry_after: seconds for which the endpoint wants no requests of this daemon; None if it
        didn't say.
    :param is_own_fault: whether the attempt says nothing of the endpoint, since this daemon reaches
        none, or the time was over before a connection was up.
    :param is_hopeless: whether there is no way to any endpoint, so that no further attempt helps.
    :param is_unsound: whether the endpoint sent what no sound endpoint does: bytes that are no
        answer in the protocol, or more of them than any answer has.
    """

    def __init__(
        self,
        cause: str,
        ran: Executed,
        *,
        sent: bool = True,
        is_own_fault: bool = False,
        is_hopeless: bool = False,
        is_unsound: bool = False,
        detail: str = "",
        broken: ConnectionBreak | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.ran = ran
        self.sent = sent
        self.is_own_fault = is_own_fault
        self.is_hopeless = is_hopeless
        self.is_unsound = is_unsound
        self.detail = detail
        self.broken = broken
        self.retry_after = retry_after


class RefusalError(ThorncleatError):
    """Raised to answer a request with an error of the gateway itself.

    :param status: HTTP status.
    :param cause: the logged cause.
    :param retry_after: seconds after which the caller may retry; None if a retry won't help.
    """

    def __init__(self, status: int, cause: str, *, retry_after: float | None = None) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.retry_after = retry_after


class AnswerAbortedError(RefusalError):
    """An answer that has begun can't be completed; the caller's connection must be closed."""

    def __init__(self, cause: str) -> None:
        super().__init__(502, cause)
