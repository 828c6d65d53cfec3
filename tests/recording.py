"""An HTTP server that records the requests it gets."""

import asyncio
import contextlib
import dataclasses
import json
import typing as t

from aiohttp import web

# Headers that depend on the time, the versions of libraries, or the port.
VARYING_HEADERS = ("date", "server", "host", "user-agent")


def headers_form(headers: t.Iterable[tuple[str, str]]) -> list[list[str]]:
    return [
        [name, "<ms>" if name == "X-Thorncleat-Deadline-Ms" else value]
        for name, value in headers
        if name.lower() not in VARYING_HEADERS
    ]


@dataclasses.dataclass
class Answer:
    """An answer of a recording server.

    :param cut: whether to close the connection after the body, or without any answer if the status
        is 0.
    :param hang: delay of the answer in seconds.
    """

    status: int = 200
    document: t.Any = None
    body: bytes | None = None
    headers: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    cut: bool = False
    hang: float = 0.0


class Recorder:
    """Records requests and sends prepared answers."""

    def __init__(self) -> None:
        self.calls: list[t.Any] = []
        self.answers: list[Answer] = []
        self.address = ""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        self.calls.append(
            {
                "method": request.method,
                "target": request.raw_path,
                "headers": headers_form(request.headers.items()),
                "body": body.decode("latin-1"),
            }
        )
        answer = self.answers.pop(0) if self.answers else Answer()
        await asyncio.sleep(answer.hang)
        data = answer.body or b""
        if answer.document is not None:
            data = json.dumps(answer.document).encode()
        if not answer.cut:
            return web.Response(status=answer.status, body=data, headers=answer.headers)
        if answer.status:
            response = web.StreamResponse(status=answer.status, headers=answer.headers)
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(data)
        assert request.transport is not None
        request.transport.close()
        return response if answer.status else web.Response()


@contextlib.asynccontextmanager
async def recorder() -> t.AsyncIterator[Recorder]:
    server = Recorder()
    async with serving(server.handle) as address:
        server.address = address
        yield server


@contextlib.asynccontextmanager
async def serving(handler: t.Any) -> t.AsyncIterator[str]:
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.05)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
