"""How failed connections to a worker are reported."""

import errno

import aiohttp
import pytest
from aiohttp.client_reqrep import ConnectionKey

from thorncleat_gateway.exceptions import EndpointRefusedError
from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_platform.engines import WorkerEngines

WORKER = Endpoint("i-1", "narrator", "127.0.0.1:81", "a")
ADDRESS = ConnectionKey("127.0.0.1", 81, False, True, None, None, None)


class FailingSession:
    """A session whose connections always fail."""

    def __init__(self, error):
        self._error = error

    def request(self, *_args, **_options):
        raise aiohttp.ClientConnectorError(ADDRESS, self._error)


@pytest.mark.parametrize(
    ("error", "raised"),
    [
        pytest.param(
            ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
            EndpointRefusedError,
            id="nobody listens there",
        ),
        pytest.param(
            ConnectionResetError(errno.ECONNRESET, "reset"),
            EndpointTimeoutError,
            id="it came up and was reset: by one that listens, and has too many",
        ),
        pytest.param(
            OSError(errno.EHOSTUNREACH, "unreachable"),
            EndpointTimeoutError,
            id="no way there",
        ),
    ],
)
async def test_failed_connection(error, raised):
    engines = WorkerEngines()
    engines._session = FailingSession(error)
    with pytest.raises(raised):
        await engines.report(WORKER, 0.1)
