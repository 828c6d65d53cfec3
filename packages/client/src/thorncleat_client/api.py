"""HTTP client of a daemon's operator API.

Owns: nothing.
Relies on: the operator API, which answers in JSON with one status for each kind of error.
"""

import asyncio
import json
import typing as t

import aiohttp

from thorncleat_core.answer_connection import use_connections
from thorncleat_core.bounded_answers import read_body

from .exceptions import ClientError
from .exceptions import DeniedError
from .exceptions import NotFoundError
from .exceptions import OutcomeUnknownError
from .exceptions import PlanConflictError
from .exceptions import UnavailableError
from .exceptions import UnusableDocumentError

PREFIX = "/operators/v1"
CALL_TIMEOUT_SECONDS = 20.0
# Larger than any configuration that the store can hold, and its plan.
MAX_ANSWER_BYTES = 64 << 20
Json = dict[str, t.Any]


def _unusable_document_error(body: Json) -> ClientError:
    lines = [str(body.get("detail", ""))]
    for problem in body.get("problems", []):
        line = f"  line {problem['line']}: " if problem.get("line") else "  "
        lines.append(f"{line}{problem['path'] or 'document'}: {problem['message']}")
    return UnusableDocumentError("\n".join(lines))


def _plan_conflict_error(body: Json) -> ClientError:
    return PlanConflictError(str(body.get("detail")), body.get("fresh"))


_ERRORS_BY_STATUS: dict[int, t.Callable[[Json], ClientError]] = {
    400: _unusable_document_error,
    401: lambda body: DeniedError(str(body.get("detail"))),
    403: lambda body: DeniedError(str(body.get("detail"))),
    404: lambda body: NotFoundError(str(body.get("detail"))),
    409: _plan_conflict_error,
    422: _unusable_document_error,
    503: lambda body: UnavailableError(str(body.get("detail"))),
    504: lambda body: OutcomeUnknownError(str(body.get("detail"))),
}


class Api:
    """Client of one daemon, or of a load balancer in front of several.

    :param url: base URL, such as ``https://operators.example:8443``.
    :param key: the operator's key.
    """

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key

    def get(self, path: str) -> Json:
        """Return the answer to a GET request.

        :raises ClientError: if the call fails; the subclass names the kind of failure.
        """
        return asyncio.run(self._call("GET", path, None))

    def post(self, path: str, body: Json) -> Json:
        """Return the answer to a POST request.

        :raises ClientError: if the call fails; the subclass names the kind of failure.
        """
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: Json | None) -> Json:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        headers = {"Authorization": f"Bearer {self._key}"}
        url = f"{self._url}{PREFIX}{path}"
        try:
            connector = use_connections(aiohttp.TCPConnector())
            async with (
                aiohttp.ClientSession(
                    connector=connector, timeout=timeout, headers=headers
                ) as session,
                session.request(method, url, json=body) as response,
            ):
                answer = json.loads(await read_body(response, MAX_ANSWER_BYTES))
                return self._check_response(response.status, answer)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            raise UnavailableError(f"no daemon at {self._url!r}: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            if path == "/confirm":
                text = f"the answer was lost ({error!r}); confirm the same plan again"
                raise OutcomeUnknownError(text) from error
            raise UnavailableError(f"no answer from {self._url!r}: {error!r}") from error
        except ValueError as error:
            raise ClientError(f"{self._url!r} does not answer as a daemon: {error}") from error

    def _check_response(self, status: int, answer: t.Any) -> Json:
        if not isinstance(answer, dict):
            raise ClientError(f"{self._url!r} does not answer as a daemon")
        if status == 200:
            return answer
        make_error = _ERRORS_BY_STATUS.get(status)
        if make_error is None:
            raise ClientError(f"{self._url!r} answered {status!r}: {answer.get('detail')}")
        raise make_error(answer)
