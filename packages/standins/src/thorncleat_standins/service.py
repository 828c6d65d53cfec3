"""A plain service whose calls may not be repeated, with a ledger of what ran.

Owns: the ledger: runs by the ``X-Call`` that a caller gave.
Relies on: callers giving each call a name of its own.
"""

import collections
import dataclasses
import typing as t

from aiohttp import web

from .served import Served


@dataclasses.dataclass
class Behaviour:
    """How the service misbehaves.

    :param break_before: break the connection before running, for so many calls.
    :param break_after: run, then break the connection, for so many calls.
    """

    break_before: int = 0
    break_after: int = 0


class Service:
    """Answers any path and counts the runs of each ``X-Call`` header."""

    def __init__(self, behaviour: Behaviour | None = None) -> None:
        self.behaviour = behaviour or Behaviour()
        self.ledger: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_get("/ledger", self._show)
        app.router.add_post("/behaviour", self._behave)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(self.ledger)

    async def _behave(self, request: web.Request) -> web.Response:
        self.behaviour = dataclasses.replace(self.behaviour, **(await request.json()))
        return web.json_response(dataclasses.asdict(self.behaviour))

    def _break(self, request: web.Request) -> t.NoReturn:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("broken on purpose")

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.behaviour.break_before > 0:
            self.behaviour.break_before -= 1
            self._break(request)
        call = request.headers.get("X-Call", f"{request.method} {request.path}")
        self.ledger[call] += 1
        run = self.ledger[call]
        if self.behaviour.break_after > 0:
            self.behaviour.break_after -= 1
            self._break(request)
        answer = {"call": call, "run": run, "bytes": len(body), "path": request.path_qs}
        return web.json_response(answer, status=201 if request.method == "POST" else 200)


async def serve(service: Service, host: str = "127.0.0.1", port: int = 0) -> Served:
    """Start a service on a port; 0 takes a free one."""
    return await Served.start(service.application(), host, port)
