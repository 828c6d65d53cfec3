"""Suspension of an instance for some seconds, during which its monotonic clock stops.

With that clock, expired leases and revoked keys would still seem valid, and timers would be late.
"""

import asyncio
import os
import signal
import time

import pytest

from thorncleat_gateway import logs
from thorncleat_platform import main
from thorncleat_platform import settings

SUSPENDED_SECONDS = 10.0
# A timer that is due during the suspension.
TIMER_SECONDS = 5.0
# Iterations of the event loop in which a due timer runs.
LOOP_ITERATIONS = 10


@pytest.fixture
def boot_clock(monkeypatch):
    """Return a list of one element: the seconds by which the boot clock is ahead."""
    ahead = [0.0]
    monotonic = time.monotonic
    monkeypatch.setattr(time, "clock_gettime", lambda clock: monotonic() + ahead[0])
    return ahead


@pytest.fixture
def program(monkeypatch, tmp_path, boot_clock):
    """Run the program with a gateway that is suspended once; return what its clocks showed."""
    observed = {}

    class Gateway:
        def __init__(self, *parts, **options):
            self._clock = next(part for part in parts if part is not None and _is_clock(part))
            self.metrics = self
            self.record = lambda event, fields: None

        async def start(self):
            timer = asyncio.create_task(asyncio.sleep(TIMER_SECONDS))
            await asyncio.sleep(0)
            before = self._clock()
            boot_clock[0] += SUSPENDED_SECONDS
            observed["passed"] = self._clock() - before
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            observed["timer"] = timer.done()
            timer.cancel()
            os.kill(os.getpid(), signal.SIGTERM)

        async def drain(self, ordered_at):
            pass

        async def stop(self):
            pass

    def _is_clock(part):
        return callable(part) and isinstance(part(), float)

    path = tmp_path / "settings.toml"
    path.write_text(
        """
        node_name = "edge-1"
        ip = "127.0.0.1"
        internal_ports = [7000, 7001]
        [listen]
        frontend = "127.0.0.1:7002"
        readiness = "127.0.0.1:7003"
        [platform]
        address = "127.0.0.1:7004"
        """
    )
    monkeypatch.setattr(main, "Gateway", Gateway)
    monkeypatch.setattr(main, "settings_path", lambda: path)
    monkeypatch.setattr(logs, "setup", lambda *_: None)
    assert settings.load(path)
    main.main()
    return observed


def test_clock_of_the_gateway_advances_while_its_instance_is_suspended(program):
    assert program["passed"] == pytest.approx(SUSPENDED_SECONDS, abs=1.0)
    assert program["timer"]
