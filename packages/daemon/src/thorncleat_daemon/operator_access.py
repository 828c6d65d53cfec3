"""Which operator asks, and whether the operator may do so.

Owns: nothing; operators stand in the configuration, and in the settings until it names any.
Relies on: keys being known by their digests alone.
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
    """An operator who was recognised."""

    name: str
    rights: str


Handler = t.Callable[[web.Request, ActingOperator], t.Awaitable[web.Response]]


def problem(status: int, detail: str, **more: t.Any) -> web.Response:
    """Return the problem document for an operator.

    :param more: further members of the document.
    """
    body = {"status": status, "detail": detail, **more}
    return web.json_response(body, status=status, content_type="application/problem+json")


class OperatorAccess:
    """Recognises operators by their keys.

    :param configuration: returns the current configuration.
    :param bootstrap: operators from the settings, with the right to change.
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
        """Return a handler that answers operators who have a right, and refuses all others."""

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
        key = keys.bearer(request.headers.get("Authorization"))
        if key is None:
            return None
        key_digest_value = keys.digest(key)
        for operator in self._configuration().operators.values():
            if keys.same(operator.key_digest, key_digest_value):
                return ActingOperator(operator.name, operator.rights)
        for bootstrap in self._bootstrap:
            if keys.same(bootstrap.key_digest, key_digest_value):
                return ActingOperator(bootstrap.name, "change")
        return None
