"""Records of daemons with addresses that nothing can be sent to, beside sound ones."""

import asyncio
import base64

import msgpack
import pytest

from thorncleat_gateway.store.registration import DAEMONS

from .test_failing_tasks import check_loads_arrive
from .test_gateway import site

ODD_ID = "a-odd"
ODD_KEY = DAEMONS + ODD_ID
SETTLING_SECONDS = 0.3
ODD_ADDRESSES = {
    "large port": ("127.0.0.1", 70_000),
    "negative port": ("127.0.0.1", -1),
    "port 0": ("127.0.0.1", 0),
    "huge port": ("127.0.0.1", 2**63),
    "truth value": ("127.0.0.1", True),
    "long label": ("a" * 64 + ".example", 9000),
    "empty label": ("...", 9000),
    "no host": ("", 9000),
    "zero byte": ("127.0.0.1\0", 9000),
    "name": ("edge.invalid", 9000),
}


@pytest.mark.parametrize("odd", ODD_ADDRESSES)
async def test_daemons_still_hear_each_other(tmp_path, odd):
    """Guards against a socket that is closed for good by an address that can't be sent to."""
    async with site(tmp_path, domains=1, desks=1, daemons=2) as cluster:
        packed = msgpack.packb([*ODD_ADDRESSES[odd], "z0", 1.0])
        cluster.store._put(ODD_KEY, base64.b64encode(packed).decode(), 0)
        await cluster.until(
            lambda: all(ODD_KEY in gateway.view.records for gateway in cluster.gateways)
        )
        assert not any(ODD_ID in gateway._registration.daemons() for gateway in cluster.gateways)
        # The reports that follow are sent to the odd address as well.
        await asyncio.sleep(SETTLING_SECONDS)
        first, second = cluster.gateways
        await check_loads_arrive(first, second, cluster)
        await check_loads_arrive(second, first, cluster)
