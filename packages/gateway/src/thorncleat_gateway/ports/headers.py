"""What the headers of callers and endpoints say.

Owns: nothing.
Relies on: mappings of headers that don't regard the case of names.
"""

import dataclasses
import typing as t

Headers = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class RequestMeta:
    """What a caller's headers say.

    :param id: of this try of the caller's, or an empty string.
    :param key: of its workspace, or None.
    :param deadline: seconds that the caller waits, or None.
    :param last_event_id: of a stream's event that the caller has got, or None.
    """

    id: str
    key: str | None
    deadline: float | None
    model: str
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class ForwardMeta:
    """What the gateway says to an endpoint beside the caller's own headers.

    :param remaining: seconds left of the caller's deadline.
    :param priority: 0 is the most urgent.
    :param last_event_id: after which a stream is to go on, or None.
    """

    remaining: float
    endpoint_id: str
    workspace: str | None
    priority: int
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerMeta:
    """What an endpoint's headers say.

    :param request_id: of the request that it answers, if it says so.
    :param signed: whether the answer carries the endpoint's signature.
    :param not_run: whether the endpoint says that it did not run the request.
    :param encoded: whether the body is compressed or encoded otherwise.
    :param retry_after: seconds for which the endpoint wants no requests of this daemon, or None.
    :param draining: whether the endpoint says that it is about to end.
    :param speaks_for: the endpoint whose fault the answer is, if it names one.
    :param rate_limit: requests a second that the endpoint takes from all daemons together, or None
        if the answer names none that can be read.
    :param names_rate_limit: whether it names any, readable or not.
    :param misdirected: whether another endpoint answers at the address.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    retry_after: float | None = None
    draining: bool = False
    speaks_for: str | None = None
    rate_limit: float | None = None
    names_rate_limit: bool = False
    misdirected: bool = False


class HeaderCodec(t.Protocol):
    """The names that callers and endpoints use in their headers."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestMeta:
        """Read a caller's headers."""
        ...

    def for_endpoint(self, headers: Headers, meta: ForwardMeta) -> Headers:
        """Return the headers to be sent to an endpoint."""
        ...

    def read_answer(self, status: int, headers: t.Mapping[str, str]) -> AnswerMeta:
        """Read an endpoint's headers."""
        ...

    def for_caller(self, status: int, headers: Headers) -> Headers:
        """Return the headers of an endpoint's answer that the caller gets.

        What the endpoint says to this daemon alone is not among them.
        """
        ...

    def is_readiness(self, method: str, path: str) -> bool:
        """Return whether a request asks whether this daemon is ready."""
        ...
