"""Stand-in for a plain service whose calls must not be repeated, with a ledger of executions.

Owns: the ledger, which counts executions by the ``X-Call`` header.
Relies on: callers sending a unique ``X-Call`` with each call.
"""

import collections
import dataclasses
import typing as t

from aiohttp import web

from .served import Served


@dataclasses.dataclass
class Behaviour:
    """Faults of the service.

    :param break_before: number of further calls whose connection breaks before execution.
    :param break_after: number of further calls whose connection breaks after execution.
    """

    break_before: int = 0
    break_after: int = 0


class Service:
    """Answers all paths and counts the executions of each call."""

    def __init__(self, behaviour: Behaviour | None = None) -> None:
        self.behaviour = behaviour or Behaviour()
        self.ledger: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_get("/ledger", self._handle_ledger)
        app.router.add_post("/behaviour", self._handle_behaviour)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        return app

    async def _handle_ledger(self, request: web.Request) -> web.Response:
        return web.json_response(self.ledger)

    async def _handle_behaviour(self, request: web.Request) -> web.Response:
        self.behaviour = dataclasses.replace(self.behaviour, **(await request.json()))
        return web.json_response(dataclasses.asdict(self.behaviour))

    def _abort_connection(self, request: web.Request) -> t.NoReturn:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("broken on purpose")

    async def _handle_call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.behaviour.break_before > 0:
            self.behaviour.break_before -= 1
            self._abort_connection(request)
        call = request.headers.get("X-Call", f"{request.method} {request.path}")
        self.ledger[call] += 1
        run_count = self.ledger[call]
        if self.behaviour.break_after > 0:
            self.behaviour.break_after -= 1
            self._abort_connection(request)
        answer = {"call": call, "run": run_count, "bytes": len(body), "path": request.path_qs}
        return web.json_response(answer, status=201 if request.method == "POST" else 200)


async def serve(service: Service, host: str = "127.0.0.1", port: int = 0) -> Served:
    """Serve a service; port 0 takes a free one."""
    return await Served.start(service.application(), host, port)
