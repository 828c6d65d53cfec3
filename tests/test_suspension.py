"""An instance that is suspended for seconds, as when its host moves it.

The monotonic clock stands still meanwhile, and the boot clock goes on. Whatever the gateway counts
on the monotonic clock seems younger by the whole suspension: the controller's lease seems to hold
though the store has given it to another daemon, keys that were taken away seem fresh, and timers
are late. The program was started with time.monotonic: of a suspension of 10 s it saw 0.000003 s,
and a timer that was due within it did not run.
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
# a timer that is due within the suspension
TIMER_SECONDS = 5.0
# turns of the event loop in which a timer that is due is run
TURNS = 10


@pytest.fixture
def boot_clock(monkeypatch):
    """Yield a list whose element is how far the boot clock is ahead, in seconds."""
    ahead = [0.0]
    monotonic = time.monotonic
    monkeypatch.setattr(time, "clock_gettime", lambda clock: monotonic() + ahead[0])
    return ahead


@pytest.fixture
def program(monkeypatch, tmp_path, boot_clock):
    """Run the program, with a gateway that is suspended once; yield what its clocks showed."""
    found = {}

    class Gateway:
        def __init__(self, *parts, **more):
            self._clock = next(part for part in parts if part is not None and _is_clock(part))
            self.metrics = self
            self.record = lambda event, fields: None

        async def start(self):
            timer = asyncio.create_task(asyncio.sleep(TIMER_SECONDS))
            await asyncio.sleep(0)
            before = self._clock()
            boot_clock[0] += SUSPENDED_SECONDS
            found["passed"] = self._clock() - before
            for _ in range(TURNS):
                await asyncio.sleep(0)
            found["timer"] = timer.done()
            timer.cancel()
            os.kill(os.getpid(), signal.SIGTERM)

        async def drain(self):
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
    return found


def test_times_of_the_gateway_go_on_while_its_instance_is_suspended(program):
    assert program["passed"] == pytest.approx(SUSPENDED_SECONDS, abs=1.0)
    assert program["timer"]
