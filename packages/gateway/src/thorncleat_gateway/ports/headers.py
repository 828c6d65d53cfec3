"""The meaning of the headers of callers and endpoints.

Owns: nothing.
Relies on: mappings of headers that ignore the case of names.
"""

import dataclasses
import typing as t

Headers = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class RequestMeta:
    """The meaning of a caller's headers.

    :param id: id of this attempt of the caller, or an empty string.
    :param key: key of the caller's workspace, or None.
    :param deadline: seconds that the caller waits, or None.
    :param last_event_id: id of the last event that the caller received of a stream, or None.
    :param prompt_tokens: tokens of the prompt, or None if not stated.
    :param max_answer_tokens: most tokens of the answer, or None if not stated.
    :param prompt_parts: ids of the parts of the prompt that other requests may share, in order.
    :param expected_answer_tokens: the caller's estimate of the answer's tokens, or None. The median
        estimate is right, but many are far off.
    """

    id: str
    key: str | None
    deadline: float | None
    model: str
    last_event_id: str | None = None
    prompt_tokens: int | None = None
    max_answer_tokens: int | None = None
    expected_answer_tokens: int | None = None
    prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ForwardMeta:
    """What the gateway adds to the caller's own headers for an endpoint.

    :param remaining: seconds left until the caller's deadline.
    :param priority: 0 is the most urgent.
    :param last_event_id: id of the event after which a stream resumes, or None.
    """

    remaining: float
    endpoint_id: str
    workspace: str | None
    priority: int
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerMeta:
    """The meaning of the headers of an endpoint's answer.

    :param request_id: id of the answered request, or None if not reported.
    :param signed: whether the answer carries the endpoint's signature.
    :param not_run: whether the endpoint reports that it did not run the request.
    :param encoded: whether the body is compressed or has another encoding.
    :param retry_after: seconds for which the endpoint accepts no requests of this daemon, or None.
    :param draining: whether the endpoint reports that it drains.
    :param speaks_for: id of the endpoint that caused the failure, or None if not reported.
    :param rate_limit: requests a second that the endpoint accepts from all daemons together, or
        None if the answer names no valid limit.
    :param names_rate_limit: whether the answer names a limit, valid or not.
    :param misdirected: whether another endpoint than the addressed one answered.
    :param cold_for: seconds for which the endpoint is still cold; None if it doesn't say.
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
    cold_for: float | None = None


class HeaderCodec(t.Protocol):
    """Translates between the platform's headers and their meaning."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestMeta:
        """Return the meaning of a caller's headers."""
        ...

    def for_endpoint(self, headers: Headers, meta: ForwardMeta) -> Headers:
        """Return the headers to send to an endpoint."""
        ...

    def read_answer(self, status: int, headers: t.Mapping[str, str]) -> AnswerMeta:
        """Return the meaning of the headers of an endpoint's answer."""
        ...

    def for_caller(self, status: int, headers: Headers) -> Headers:
        """Return the headers of an endpoint's answer that are passed on to the caller.

        Headers that are meant for this daemon alone are left out.
        """
        ...

    def is_readiness(self, method: str, path: str) -> bool:
        """Return whether a request is a readiness probe of this daemon."""
        ...
