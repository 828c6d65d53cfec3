"""Errors of the daemon's layers; each adapter turns those of its library into these.

Owns: nothing.
Relies on: adapters that let no error of a library through.
"""

from thorncleat_core.exceptions import ThorncleatError


class StoreError(ThorncleatError):
    """Base class of errors of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The call was not carried out; it may be made again later."""


class StoreOutcomeUnknownError(StoreError):
    """A write may or may not have taken effect; it has to be read back."""


class StoreRefusedError(StoreError):
    """The store understood the call and will never carry it out."""


class PlatformError(ThorncleatError):
    """The platform's list of instances can't be had."""


class PeerError(ThorncleatError):
    """A daemon did not answer, or answered with an error."""


class EndpointError(ThorncleatError):
    """An endpoint did not answer a probe or an order."""


class EndpointSilentError(EndpointError):
    """An endpoint did not answer in time; nothing else is known of it."""


class StaleOrderError(EndpointError):
    """An endpoint follows an order of a later epoch."""


class RequestError(ThorncleatError):
    """A request can't be answered.

    :param status: HTTP status.
    :param title: what is wrong, the same for all of a kind.
    :param detail: what is wrong with this request.
    :param executed: ``no``, ``yes`` or ``unknown``.
    :param retry_after: seconds after which coming back helps; None if it doesn't.
    :param cause: the name under which it is counted.
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
