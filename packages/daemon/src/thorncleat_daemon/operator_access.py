"""Authentication and authorisation of operators.

Owns: nothing; operators are named by the configuration and by the bootstrap settings.
Relies on: digests of keys; the keys themselves are not stored.
"""

import dataclasses
import typing as t

from aiohttp import web

from thorncleat_core.daemon import keys
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.settings import BootstrapOperator

from . import events

Right = t.Literal["read", "change"]


@dataclasses.dataclass(frozen=True)
class ActingOperator:
    """An authenticated operator."""

    name: str
    rights: str


Handler = t.Callable[[web.Request, ActingOperator], t.Awaitable[web.Response]]


def problem(status: int, detail: str, **more: t.Any) -> web.Response:
    """Return a problem document as the response to an operator.

    :param more: additional members of the document.
    """
    body = {"status": status, "detail": detail, **more}
    return web.json_response(body, status=status, content_type="application/problem+json")


class OperatorAccess:
    """Authenticates operators by their keys.

    :param configuration: returns the current configuration.
    :param bootstrap: operators from the settings, all with the right to change.
    """

    def __init__(
        self,
        configuration: t.Callable[[], Configuration],
        bootstrap: t.Sequence[BootstrapOperator],
    ) -> None:
        self._configuration = configuration
        self._bootstrap = bootstrap

    def require_right(
        self, right: Right, handler: Handler
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        """Return a handler that refuses operators without a right."""

        async def answer(request: web.Request) -> web.Response:
            operator = self._identify(request)
            if operator is None:
                return problem(401, "an operator's key is wanted as a bearer")
            if right == "change" and operator.rights != "change":
                events.OPERATOR_DENIED.log(operator=operator.name, path=request.path)
                return problem(403, f"operator {operator.name!r} may read only")
            return await handler(request, operator)

        return answer

    def _identify(self, request: web.Request) -> ActingOperator | None:
        key = keys.parse_bearer(request.headers.get("Authorization"))
        if key is None:
            return None
        digest = keys.digest(key)
        for operator in self._configuration().operators.values():
            if keys.are_equal(operator.key_digest, digest):
                return ActingOperator(operator.name, operator.rights)
        for bootstrap in self._bootstrap:
            if keys.are_equal(bootstrap.key_digest, digest):
                return ActingOperator(bootstrap.name, "change")
        return None
