"""What the headers of callers and endpoints say."""

import dataclasses
import typing as t

Headers = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class RequestMeta:
    """What a caller's headers say.

    :param deadline: seconds that the caller waits, or None.
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
    """

    remaining: float
    endpoint_id: str
    workspace: str | None
    priority: int
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerMeta:
    """What an endpoint's headers say.

    :param signed: whether the answer carries the endpoint's signature.
    :param not_run: whether the endpoint says that it did not run the request.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool


class HeaderCodec(t.Protocol):
    """The names that callers and endpoints use in their headers."""

    def request_head(self, headers: t.Mapping[str, str]) -> RequestMeta:
        """Read a caller's headers."""
        ...

    def forwarded(self, headers: Headers, terms: ForwardMeta) -> Headers:
        """Return the headers to be sent to an endpoint."""
        ...

    def answer_head(self, status: int, headers: t.Mapping[str, str]) -> AnswerMeta:
        """Read an endpoint's headers."""
        ...

    def returned(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's answer that the caller gets."""
        ...

    def is_readiness(self, method: str, path: str) -> bool:
        """Tell whether a request asks whether this daemon is ready."""
        ...
