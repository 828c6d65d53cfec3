"""Exceptions of the daemon; adapters convert those of their libraries into these.

Owns: nothing.
Relies on: adapters that let no exception of a library through.
"""

from thorncleat_core.exceptions import ThorncleatError


class StoreError(ThorncleatError):
    """Base class of errors of the store."""


class StoreUnavailableError(StoreError):
    """The call was not carried out and may be retried."""


class StoreOutcomeUnknownError(StoreError):
    """A write may or may not have taken effect; it must be read back."""


class StoreRefusedError(StoreError):
    """The store rejected the call; a retry can't succeed."""


class PlatformError(ThorncleatError):
    """The platform's list of instances can't be fetched."""


class PeerError(ThorncleatError):
    """A daemon did not answer, or answered with an error."""


class EndpointError(ThorncleatError):
    """An endpoint did not answer a probe or an order correctly."""


class EndpointSilentError(EndpointError):
    """An endpoint did not answer in time."""


class StaleOrderError(EndpointError):
    """An endpoint follows an order of a later epoch."""


class RequestError(ThorncleatError):
    """A request can't be answered.

    :param status: HTTP status.
    :param title: summary of the problem type.
    :param detail: explanation of this occurrence.
    :param executed: whether the request ran: ``no``, ``yes`` or ``unknown``.
    :param retry_after: seconds after which a retry may succeed; None if it can't.
    :param cause: label of the error in metrics and logs.
    """

    def __init__(
        self,
        status: int,
        title: str,
        detail: str,
        *,
        executed: str = "no",
        retry_after: float | None = None,
        cause: str = "refused",
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.title = title
        self.detail = detail
        self.executed = executed
        self.retry_after = retry_after
        self.cause = cause
