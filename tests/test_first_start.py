"""Guards against processes that take a restart for the first start of the system.

A runner may start a killed process again with the settings file of its first start.
"""

import asyncio
import types

import pytest

from thorncleat_core import clock
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.gateway import Gateway
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.store.store_era import StoreEra


class Records:
    """The stored records, as the first read finds them."""

    def __init__(self, listed):
        self._listed = listed

    async def list_records(self, prefix):
        if self._listed is None:
            raise StoreUnavailableError("down")
        return [record for record in self._listed if record.key.startswith(prefix)]


class Engines:
    def on_answer(self, listener):
        pass


def _gateway(listed):
    settings = GatewaySettings(
        "edge-1", "a", ("", 0), ("", 0), ("", 0), RetryBudgetSettings(0.2, 10, 10)
    )
    feed = types.SimpleNamespace(era=StoreEra())
    return Gateway(settings, feed, Records(listed), Engines(), None, clock.now, first_start=True)


def _record(key):
    return RecordChanged(key, b"", 1)


@pytest.mark.parametrize(
    ("listed", "is_first"),
    [
        pytest.param([], True, id="nothing-stored"),
        pytest.param([_record("thorncleat/daemons/edge-1")], False, id="own-record"),
        pytest.param([_record("thorncleat/daemons/edge-2")], False, id="another-daemons-record"),
        pytest.param(None, False, id="store-down"),
    ],
)
async def test_whole_retry_budget_is_used_at_once_only_if_no_daemon_has_run(listed, is_first):
    gateway = _gateway(listed)
    assert not gateway._retry_budgets.is_complete
    await asyncio.wait_for(gateway._confirm_first_start(), 1.0)
    assert gateway._retry_budgets.is_complete is is_first
